// Package standinapi holds the JSON types of the platform's protocols: worker,
// log, instance list and old system, and of the stand-ins' admin ports. Both
// the client adapters and the stand-ins use them.
package standinapi

import (
	"fmt"
	"strconv"
	"strings"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/ports"
)

// DaemonHeader carries the ID of the daemon that sends a request.
const DaemonHeader = "X-Catkinvalve-Daemon"

// WorkerInfo answers GET /v1/worker.
type WorkerInfo struct {
	ID         model.WorkerID   `json:"id"`
	BootID     string           `json:"boot_id"`
	DataCentre model.DataCentre `json:"data_centre"`
	Rack       string           `json:"rack"`
	Capacity   model.Size       `json:"capacity"`
}

// LeaseRequest is the body of POST /v1/lease. POST /v1/lease/release uses only
// holder and term.
type LeaseRequest struct {
	Holder      string `json:"holder"`
	Term        uint64 `json:"term"`
	TTLMS       int64  `json:"ttl_ms,omitempty"`
	TaskGraceMS int64  `json:"task_grace_ms,omitempty"`
}

// LeaseGrant is the 200 answer to POST /v1/lease. Tasks is the complete inventory.
type LeaseGrant struct {
	BootID string       `json:"boot_id"`
	Term   uint64       `json:"term"`
	Tasks  []TaskStatus `json:"tasks"`
}

// LeaseHeld is the 409 answer to POST /v1/lease. Term is the highest term
// granted; RemainingMS is 0 when only the requested term was too low.
type LeaseHeldReply struct {
	Holder      string `json:"holder"`
	Term        uint64 `json:"term"`
	RemainingMS int64  `json:"remaining_ms"`
}

// TaskStatus is an entry of a worker's inventory.
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

// SyncRequest is the body of POST /v1/sync.
type SyncRequest struct {
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	TTLMS  int64  `json:"ttl_ms"`
	Ack    int64  `json:"ack"`
	WaitMS int64  `json:"wait_ms,omitempty"`
}

// SyncReply answers POST /v1/sync.
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

// TaskUsage is a lagging measurement of a task.
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

// StartTask is one task of a StartRequest. A RunMS of 0 runs until stopped; a
// StartWithinMS of 0 sets no limit.
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

// StartReply answers POST /v1/tasks. Tasks that are not listed were accepted.
type StartReply struct {
	Refused []StartRefusal `json:"refused,omitempty"`
}

// StartRefusal names a task that was not started.
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

// StopTask is one task of a StopRequest. Attempt 0 addresses every attempt.
type StopTask struct {
	ID      string         `json:"id"`
	Attempt int            `json:"attempt,omitempty"`
	Mode    ports.StopMode `json:"mode"`
}

// AppendRequest is the body of POST /v1/streams/:name.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendReply answers POST /v1/streams/:name.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// LogRecord is one record of a ReadReply.
type LogRecord struct {
	Offset int64  `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// ReadReply answers GET /v1/streams/:name. Next is the offset to read from next.
type ReadReply struct {
	First   int64       `json:"first"`
	Next    int64       `json:"next"`
	Records []LogRecord `json:"records"`
}

// InstancesReply answers GET /v1/instances.
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

// RunReply answers POST /v1/run and GET /v1/keys/:key.
type RunReply struct {
	Key    string     `json:"key"`
	State  model.Fate `json:"state"`
	OK     bool       `json:"ok,omitempty"`
	Answer []byte     `json:"answer,omitempty"`
}

// ReserveRequest is the body of PUT /v1/reserve.
type ReserveRequest struct {
	Revision uint64 `json:"revision"`
	Slots    int64  `json:"slots"`
}

// ReserveReply carries the highest revision that the old system has in force.
type ReserveReply struct {
	Revision uint64 `json:"revision"`
}

// ParseTaskID reads the form that model.TaskID.String writes.
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
