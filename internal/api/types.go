// Package api holds the JSON types of the caller and administration API that
// the daemon serves and the command-line tool uses.
package api

import (
	"time"

	"catkinvalve/internal/core/model"
)

// SubmitRequest is the body of POST /v1/requests. Zero fields take the
// defaults of the service in the published text.
type SubmitRequest struct {
	Key     string `json:"key"`
	Service string `json:"service"`
	Team    string `json:"team,omitempty"`
	// Idempotent defaults to the service's setting.
	Idempotent *bool       `json:"idempotent,omitempty"`
	Deadline   *time.Time  `json:"deadline,omitempty"`
	IssuedAt   *time.Time  `json:"issued_at,omitempty"`
	Tasks      int         `json:"tasks,omitempty"`
	Size       *model.Size `json:"size,omitempty"`
	// RunMS is the expected run time in milliseconds.
	RunMS int64 `json:"run_ms,omitempty"`
	// Payload is passed to the worker unchanged (base64 in JSON).
	Payload []byte `json:"payload,omitempty"`
	// WaitMS is how long the call waits for a final fate.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// RequestStatus is the answer to a submission, a fate question or a cancellation.
type RequestStatus struct {
	Key     string       `json:"key"`
	Service string       `json:"service"`
	Team    string       `json:"team"`
	Class   model.Class  `json:"class"`
	Side    model.Side   `json:"side"`
	Fate    model.Fate   `json:"fate"`
	OK      bool         `json:"ok"`
	Reason  model.Reason `json:"reason,omitempty"`
	// Answer is the payload that the worker returned; for several tasks it is
	// the concatenation in task order.
	Answer []byte `json:"answer,omitempty"`
	// AnswerDropped is set when the daemons no longer keep the answer.
	AnswerDropped bool             `json:"answer_dropped,omitempty"`
	Home          model.DataCentre `json:"home"`
	AcceptedAt    time.Time        `json:"accepted_at"`
	StartedAt     *time.Time       `json:"started_at,omitempty"`
	EndedAt       *time.Time       `json:"ended_at,omitempty"`
	Tasks         []TaskStatus     `json:"tasks,omitempty"`
}

// TaskStatus is the state of one task of a request.
type TaskStatus struct {
	Index   int             `json:"index"`
	State   model.TaskState `json:"state"`
	Worker  model.WorkerID  `json:"worker,omitempty"`
	Attempt int             `json:"attempt"`
}

// Explanation is the answer to GET /v1/requests/:key/explain.
type Explanation struct {
	Key     string       `json:"key"`
	Fate    model.Fate   `json:"fate"`
	Summary string       `json:"summary"`
	Counts  model.Counts `json:"counts,omitempty"`
}

// PublishRequest is the body of POST /v1/config.
type PublishRequest struct {
	// PublishID makes a repeated publication idempotent.
	PublishID string `json:"publish_id"`
	// Base is the revision that the text was edited from.
	Base uint64 `json:"base"`
	Text string `json:"text"`
	// Author is kept in the history.
	Author string `json:"author,omitempty"`
}

// PublishResult is the verdict on a publication.
type PublishResult struct {
	PublishID string `json:"publish_id"`
	Accepted  bool   `json:"accepted"`
	// Revision is the accepted revision, or the one that won instead.
	Revision uint64 `json:"revision"`
}

// ConfigDocument is the answer to GET /v1/config.
type ConfigDocument struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
}

// HistoryEntry is one publication in GET /v1/config/history.
type HistoryEntry struct {
	PublishID string    `json:"publish_id"`
	Author    string    `json:"author,omitempty"`
	Time      time.Time `json:"time"`
	Accepted  bool      `json:"accepted"`
	// Revision is the accepted revision, or the one that won instead.
	Revision uint64 `json:"revision"`
}

// History is the answer to GET /v1/config/history, newest first.
type History struct {
	Entries []HistoryEntry `json:"entries"`
}

// DaemonStatus is one daemon's part of a data centre's status.
type DaemonStatus struct {
	ID       string `json:"id"`
	Ready    bool   `json:"ready"`
	Draining bool   `json:"draining"`
	Owner    bool   `json:"owner"`
	// Revision is the configuration revision that the daemon has in force.
	Revision uint64 `json:"revision"`
	// Reachable is false when the daemon did not answer the last heartbeats.
	Reachable bool `json:"reachable"`
}

// WorkerStatus is one worker's part of a data centre's status.
type WorkerStatus struct {
	ID       model.WorkerID `json:"id"`
	Rack     string         `json:"rack"`
	State    string         `json:"state"`
	Capacity model.Size     `json:"capacity"`
	Planned  model.Size     `json:"planned"`
	Tasks    int            `json:"tasks"`
}

// QueueStatus counts what waits, by team and class, and why.
type QueueStatus struct {
	Team    string       `json:"team"`
	Class   model.Class  `json:"class"`
	Waiting int          `json:"waiting"`
	Reasons model.Counts `json:"reasons,omitempty"`
}

// DataCentreStatus is what the owner of a data centre reports.
type DataCentreStatus struct {
	DataCentre model.DataCentre `json:"data_centre"`
	Region     string           `json:"region"`
	Reachable  bool             `json:"reachable"`
	Owner      string           `json:"owner,omitempty"`
	Term       uint64           `json:"term,omitempty"`
	InDoubt    bool             `json:"in_doubt"`
	Daemons    []DaemonStatus   `json:"daemons"`
	Workers    []WorkerStatus   `json:"workers,omitempty"`
	Queues     []QueueStatus    `json:"queues,omitempty"`
	Running    int              `json:"running"`
}

// Status is the answer to GET /v1/status.
type Status struct {
	DataCentres []DataCentreStatus `json:"data_centres"`
}

// DrainResult is the answer to POST /v1/workers/:id/drain.
type DrainResult struct {
	Worker  model.WorkerID `json:"worker"`
	Running int            `json:"running"`
}
