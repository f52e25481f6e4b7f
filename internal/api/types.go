// Package api defines the JSON types of the caller and administration API, which the daemon
// serves and the command-line tool uses, and a client of the API.
package api

import (
	"time"

	"catkinvalve/internal/core/model"
)

// SubmitRequest is the body of POST /v1/requests. Optional fields that are not set take the
// defaults of the service in the published configuration.
type SubmitRequest struct {
	Key     string `json:"key"`
	Service string `json:"service"`
	Team    string `json:"team,omitempty"`
	// Idempotent overrides the service's setting; nil means that setting.
	Idempotent *bool       `json:"idempotent,omitempty"`
	Deadline   *time.Time  `json:"deadline,omitempty"`
	IssuedAt   *time.Time  `json:"issued_at,omitempty"`
	Tasks      int         `json:"tasks,omitempty"`
	Size       *model.Size `json:"size,omitempty"`
	// RunMS is the expected run time in milliseconds.
	RunMS int64 `json:"run_ms,omitempty"`
	// Payload is sent to the worker unchanged. It is base64 in JSON.
	Payload []byte `json:"payload,omitempty"`
	// WaitMS is how long the call waits for the final fate, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// RequestStatus is the state of a request. It is the response of submit, fate and cancel
// calls.
type RequestStatus struct {
	Key     string       `json:"key"`
	Service string       `json:"service"`
	Team    string       `json:"team"`
	Class   model.Class  `json:"class"`
	Side    model.Side   `json:"side"`
	Fate    model.Fate   `json:"fate"`
	OK      bool         `json:"ok"`
	Reason  model.Reason `json:"reason,omitempty"`
	// Answer is the result that the worker returned. For several tasks it is the
	// concatenation of their results in task order.
	Answer []byte `json:"answer,omitempty"`
	// AnswerDropped is true when the daemons have deleted the answer.
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

// Explanation is the response of GET /v1/requests/:key/explain.
type Explanation struct {
	Key     string       `json:"key"`
	Fate    model.Fate   `json:"fate"`
	Summary string       `json:"summary"`
	Counts  model.Counts `json:"counts,omitempty"`
}

// PublishRequest is the body of POST /v1/config.
type PublishRequest struct {
	// PublishID identifies the publication, so that it can be repeated without effect.
	PublishID string `json:"publish_id"`
	// Base is the revision from which Text was edited.
	Base uint64 `json:"base"`
	Text string `json:"text"`
	// Author is shown in the history.
	Author string `json:"author,omitempty"`
}

// PublishResult tells whether a publication was accepted.
type PublishResult struct {
	PublishID string `json:"publish_id"`
	Accepted  bool   `json:"accepted"`
	// Revision is the accepted revision, or the one that was accepted instead.
	Revision uint64 `json:"revision"`
}

// ConfigDocument is the response of GET /v1/config.
type ConfigDocument struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
}

// HistoryEntry is a publication in the response of GET /v1/config/history.
type HistoryEntry struct {
	PublishID string    `json:"publish_id"`
	Author    string    `json:"author,omitempty"`
	Time      time.Time `json:"time"`
	Accepted  bool      `json:"accepted"`
	// Revision is the accepted revision, or the one that was accepted instead.
	Revision uint64 `json:"revision"`
}

// History is the response of GET /v1/config/history. The newest entry is the first.
type History struct {
	Entries []HistoryEntry `json:"entries"`
}

// DaemonStatus is the status of a daemon.
type DaemonStatus struct {
	ID       string `json:"id"`
	Ready    bool   `json:"ready"`
	Draining bool   `json:"draining"`
	Owner    bool   `json:"owner"`
	// Revision is the configuration revision that the daemon uses.
	Revision uint64 `json:"revision"`
	// Reachable is false when the daemon did not respond to the last heartbeats.
	Reachable bool `json:"reachable"`
}

// WorkerStatus is the status of a worker.
type WorkerStatus struct {
	ID       model.WorkerID `json:"id"`
	Rack     string         `json:"rack"`
	State    string         `json:"state"`
	Capacity model.Size     `json:"capacity"`
	// Planned is the size that the worker's tasks hold.
	Planned model.Size `json:"planned"`
	Tasks   int        `json:"tasks"`
}

// QueueStatus counts what is waiting for one team and class, in total and by reason.
type QueueStatus struct {
	Team    string       `json:"team"`
	Class   model.Class  `json:"class"`
	Waiting int          `json:"waiting"`
	Reasons model.Counts `json:"reasons,omitempty"`
}

// DataCentreStatus is the status of a data centre, as its owner reports it.
type DataCentreStatus struct {
	DataCentre model.DataCentre `json:"data_centre"`
	Region     string           `json:"region"`
	Reachable  bool             `json:"reachable"`
	Owner      string           `json:"owner,omitempty"`
	Term       uint64           `json:"term,omitempty"`
	// InDoubt is true when the owner may lack records of earlier requests.
	InDoubt bool           `json:"in_doubt"`
	Daemons []DaemonStatus `json:"daemons"`
	Workers []WorkerStatus `json:"workers,omitempty"`
	Queues  []QueueStatus  `json:"queues,omitempty"`
	// Running is the number of tasks that hold capacity of a worker.
	Running int `json:"running"`
}

// Status is the response of GET /v1/status.
type Status struct {
	DataCentres []DataCentreStatus `json:"data_centres"`
}

// DrainResult is the response of POST /v1/workers/:id/drain.
type DrainResult struct {
	Worker model.WorkerID `json:"worker"`
	// Running is the number of tasks that hold capacity of the worker.
	Running int `json:"running"`
}
