package standinapi

import (
	"encoding/json"

	"catkinvalve/internal/core/model"
)

// Partition cuts callers off. Addrs lists source addresses or CIDR prefixes,
// Daemons lists values of DaemonHeader. Empty lists end the partition.
type Partition struct {
	Addrs   []string `json:"addrs,omitempty"`
	Daemons []string `json:"daemons,omitempty"`
	// DropAnswers handles requests but never answers them, instead of closing
	// the connection before the request is handled.
	DropAnswers bool `json:"drop_answers,omitempty"`
}

// GateFault holds the faults that every stand-in supports. Absent fields leave
// the present setting as it is.
type CommonFault struct {
	Outage  *bool  `json:"outage,omitempty"`
	DelayMS *int64 `json:"delay_ms,omitempty"`
	// LoseNextAnswers closes the connection after this many successful changes.
	LoseNextAnswers *int `json:"lose_next_answers,omitempty"`
	// LosePath limits LoseNextAnswers to paths with this prefix. The default is
	// /v1/tasks on workers and any POST or PUT elsewhere.
	LosePathPrefix string     `json:"lose_path,omitempty"`
	Partition      *Partition `json:"partition,omitempty"`
}

// Truncate drops the records of a stream before an offset.
type Truncation struct {
	Stream string `json:"stream"`
	Before int64  `json:"before"`
}

// LogFault is the body of POST /admin/fault of the log.
type LogFault struct {
	CommonFault
	Rate       *float64    `json:"rate,omitempty"`
	Truncation *Truncation `json:"truncate,omitempty"`
}

// ListFault is the body of POST /admin/fault of the instance list.
type ListFault struct {
	CommonFault
	LagMS *int64 `json:"lag_ms,omitempty"`
}

// WorkerFault is the body of POST /admin/fault of workers. An empty Worker
// addresses all workers of the process.
type WorkerFault struct {
	CommonFault
	Worker          model.WorkerID `json:"worker,omitempty"`
	FailAll         *bool          `json:"fail_all,omitempty"`
	Crash           bool           `json:"crash,omitempty"`
	DuplicateEvents *bool          `json:"duplicate_events,omitempty"`
	ReorderEvents   *bool          `json:"reorder_events,omitempty"`
}

// OldFault is the body of POST /admin/fault of the old system.
type OldFault struct {
	CommonFault
}

// StreamStats describes the retained records of a stream.
type StreamStats struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

// LogStats answers GET /admin/stats of the log.
type LogStats struct {
	Appends        int64                  `json:"appends"`
	AppendedBytes  int64                  `json:"appended_bytes"`
	RefusedAppends int64                  `json:"refused"`
	Reads          int64                  `json:"reads"`
	Streams        map[string]StreamStats `json:"streams"`
}

// ListStats answers GET /admin/stats of the instance list.
type ListStats struct {
	Version   int64 `json:"version"`
	Pending   int   `json:"pending"`
	Instances int   `json:"instances"`
	Reads     int64 `json:"reads"`
}

// WorkerStats are the counters of one worker. They outlive a crash.
type WorkerStats struct {
	Addr     string     `json:"addr"`
	BootID   string     `json:"boot_id"`
	Holder   string     `json:"holder,omitempty"`
	Term     uint64     `json:"term"`
	Running  int        `json:"running"`
	Capacity model.Size `json:"capacity"`
	InUse    model.Size `json:"in_use"`
	MaxInUse model.Size `json:"max_in_use"`
	Starts   int64      `json:"starts"`
	// Overloads counts starts that left the sum of sizes above the capacity.
	OverCapacityStarts int64 `json:"overloads"`
	// DoubleStarts counts starts of a task while another attempt of it ran on
	// the same worker.
	DoubleStarts  int64 `json:"double_starts"`
	LateStarts    int64 `json:"late_starts"`
	LeaseRefusals int64 `json:"lease_refused"`
	Syncs         int64 `json:"syncs"`
}

// FleetStats answers GET /admin/stats of workers.
type FleetStats struct {
	Workers map[model.WorkerID]WorkerStats `json:"workers"`
	// StartsPerKey counts the starts of each task ID by key over all workers
	// and lifetimes in the process.
	StartsPerKey map[string]map[string]int `json:"starts_per_key"`
	// ConcurrentRuns counts starts of a task while it ran on any worker of the
	// process, including another attempt on the same worker.
	ConcurrentRuns int64 `json:"concurrent_runs"`
}

// OldStats answers GET /admin/stats of the old system.
type OldStats struct {
	RunsPerKey map[string]int `json:"runs_per_key"`
	Running    int            `json:"running"`
	// Shared counts the running keys that use a slot on shared workers.
	SharedSlotsInUse int    `json:"shared"`
	Revision         uint64 `json:"revision"`
	SharedSlotLimit  int64  `json:"slots"`
}

// Directive is an optional JSON payload that directs how a stand-in runs a task.
type Directive struct {
	SleepMS       int64  `json:"sleep_ms,omitempty"`
	Fail          bool   `json:"fail,omitempty"`
	Answer        string `json:"answer,omitempty"`
	UsageMilliCPU int64  `json:"usage_milli_cpu,omitempty"`
	UsageMemMB    int64  `json:"usage_mem_mb,omitempty"`
}

// ParseDirective returns the zero Directive for any other payload.
func ParseDirective(payload []byte) Directive {
	var d Directive
	if len(payload) == 0 || payload[0] != '{' || json.Unmarshal(payload, &d) != nil {
		return Directive{}
	}
	return d
}

// AnswerFor returns the answer of a task: the one directed, else the payload
// with the prefix "<id>:".
func (d Directive) AnswerFor(id string, payload []byte) []byte {
	if d.Answer != "" {
		return []byte(d.Answer)
	}
	return append([]byte(id+":"), payload...)
}
