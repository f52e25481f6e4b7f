// Package standinapi defines the JSON messages of the platform's worker, log,
// instance list and old system, and of the admin ports of their stand-ins. The
// client adapters and the stand-ins share them.
package standinapi

import (
	"fmt"
	"strconv"
	"strings"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/ports"
)

// DaemonHeader is the HTTP header with the ID of the daemon that sent a request.
const DaemonHeader = "X-Catkinvalve-Daemon"

// WorkerInfo is the reply to GET /v1/worker. BootID changes when the worker
// restarts.
type WorkerInfo struct {
	ID         model.WorkerID   `json:"id"`
	BootID     string           `json:"boot_id"`
	DataCentre model.DataCentre `json:"data_centre"`
	Rack       string           `json:"rack"`
	Capacity   model.Size       `json:"capacity"`
}

// LeaseRequest is the body of POST /v1/lease and of POST /v1/lease/release,
// which uses only Holder and Term. Tasks are stopped TaskGraceMS after the lease
// expired.
type LeaseRequest struct {
	Holder      string `json:"holder"`
	Term        uint64 `json:"term"`
	TTLMS       int64  `json:"ttl_ms,omitempty"`
	TaskGraceMS int64  `json:"task_grace_ms,omitempty"`
}

// LeaseGrant is the reply to POST /v1/lease with status 200. Tasks lists all
// tasks that the worker knows.
type LeaseGrant struct {
	BootID string       `json:"boot_id"`
	Term   uint64       `json:"term"`
	Tasks  []TaskStatus `json:"tasks"`
}

// LeaseHeldReply is the reply to POST /v1/lease with status 409. Term is the
// highest term granted. RemainingMS is the time until the lease expires; it is 0
// if the lease has expired and only the requested term was too low.
type LeaseHeldReply struct {
	Holder      string `json:"holder"`
	Term        uint64 `json:"term"`
	RemainingMS int64  `json:"remaining_ms"`
}

// TaskStatus describes one task in a LeaseGrant.
type TaskStatus struct {
	ID      string          `json:"id"`
	Attempt int             `json:"attempt"`
	Key     string          `json:"key"`
	Service string          `json:"service,omitempty"`
	Size    model.Size      `json:"size"`
	State   model.TaskState `json:"state"`
	OK      bool            `json:"ok,omitempty"`
	Answer  []byte          `json:"answer,omitempty"`
}

// SyncRequest is the body of POST /v1/sync, which renews the lease for TTLMS and
// returns events. Ack is the sequence number of the last event that the holder
// has processed. WaitMS is how long the worker may wait for an event.
type SyncRequest struct {
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	TTLMS  int64  `json:"ttl_ms"`
	Ack    int64  `json:"ack"`
	WaitMS int64  `json:"wait_ms,omitempty"`
}

// SyncReply is the reply to POST /v1/sync.
type SyncReply struct {
	BootID string      `json:"boot_id"`
	Events []TaskEvent `json:"events,omitempty"`
	Usage  []TaskUsage `json:"usage,omitempty"`
}

// TaskEvent is a state change of a task.
type TaskEvent struct {
	Seq     int64           `json:"seq"`
	ID      string          `json:"id"`
	Attempt int             `json:"attempt"`
	State   model.TaskState `json:"state"`
	OK      bool            `json:"ok,omitempty"`
	Answer  []byte          `json:"answer,omitempty"`
}

// TaskUsage is a delayed measurement of the resources that a task uses.
type TaskUsage struct {
	ID   string     `json:"id"`
	Size model.Size `json:"size"`
}

// StartRequest is the body of POST /v1/tasks.
type StartRequest struct {
	Holder string      `json:"holder"`
	Term   uint64      `json:"term"`
	Tasks  []StartTask `json:"tasks"`
}

// StartTask is one task of a StartRequest. With a RunMS of 0 the task runs until
// it is stopped. StartWithinMS is the longest time from the arrival of the
// request to the start; 0 sets no limit.
type StartTask struct {
	ID            string     `json:"id"`
	Attempt       int        `json:"attempt"`
	Key           string     `json:"key"`
	Service       string     `json:"service,omitempty"`
	Size          model.Size `json:"size"`
	RunMS         int64      `json:"run_ms,omitempty"`
	StartWithinMS int64      `json:"start_within_ms,omitempty"`
	Payload       []byte     `json:"payload,omitempty"`
}

// StartReply is the reply to POST /v1/tasks. Tasks that are not listed were
// accepted.
type StartReply struct {
	Refused []StartRefusal `json:"refused,omitempty"`
}

// StartRefusal names a task that was not started and the reason.
type StartRefusal struct {
	ID     string       `json:"id"`
	Reason model.Reason `json:"reason"`
}

// StopRequest is the body of POST /v1/tasks/stop.
type StopRequest struct {
	Holder string     `json:"holder"`
	Term   uint64     `json:"term"`
	Tasks  []StopTask `json:"tasks"`
}

// StopTask is one task of a StopRequest. Attempt 0 selects all attempts.
type StopTask struct {
	ID      string         `json:"id"`
	Attempt int            `json:"attempt,omitempty"`
	Mode    ports.StopMode `json:"mode"`
}

// AppendRequest is the body of POST /v1/streams/:name.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendReply is the reply to POST /v1/streams/:name with the offset of the new
// record.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// LogRecord is one record of a ReadReply. TimeMS is the Unix time of the append
// in milliseconds.
type LogRecord struct {
	Offset int64  `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// ReadReply is the reply to GET /v1/streams/:name. First is the offset of the
// first retained record, Next the offset from which to read next.
type ReadReply struct {
	First   int64       `json:"first"`
	Next    int64       `json:"next"`
	Records []LogRecord `json:"records"`
}

// InstancesReply is the reply to GET /v1/instances. Version increases with each
// change that becomes visible.
type InstancesReply struct {
	Version   int64            `json:"version"`
	Instances []ports.Instance `json:"instances"`
}

// RunRequest is the body of POST /v1/run of the old system.
type RunRequest struct {
	Key     string `json:"key"`
	Service string `json:"service"`
	Payload []byte `json:"payload,omitempty"`
}

// RunReply is the reply to POST /v1/run and GET /v1/keys/:key.
type RunReply struct {
	Key    string     `json:"key"`
	State  model.Fate `json:"state"`
	OK     bool       `json:"ok,omitempty"`
	Answer []byte     `json:"answer,omitempty"`
}

// ReserveRequest is the body of PUT /v1/reserve. It sets the number of slots on
// shared workers that the old system may use as of a configuration revision.
type ReserveRequest struct {
	Revision uint64 `json:"revision"`
	Slots    int64  `json:"slots"`
}

// ReserveReply holds the highest revision whose slot limit the old system's
// running work fits.
type ReserveReply struct {
	Revision uint64 `json:"revision"`
}

// ParseTaskID parses the format of model.TaskID.String.
func ParseTaskID(s string) (model.TaskID, error) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return model.TaskID{}, fmt.Errorf("task id %q lacks an index", s)
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 0 {
		return model.TaskID{}, fmt.Errorf("task id %q has a malformed index", s)
	}
	return model.TaskID{Key: s[:i], Index: n}, nil
}
