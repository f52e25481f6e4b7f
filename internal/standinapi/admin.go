package standinapi

import (
	"encoding/json"

	"catkinvalve/internal/core/model"
)

// Partition describes callers whose requests a stand-in does not answer. Addrs
// lists source addresses or CIDR prefixes, Daemons lists values of DaemonHeader;
// a caller in either list is affected. Empty lists end the partition.
type Partition struct {
	Addrs   []string `json:"addrs,omitempty"`
	Daemons []string `json:"daemons,omitempty"`
	// DropAnswers executes the requests of these callers and never answers them.
	// Otherwise the connection is closed before the request is executed.
	DropAnswers bool `json:"drop_answers,omitempty"`
}

// CommonFault holds the faults that every stand-in supports. Absent fields keep
// the current setting.
type CommonFault struct {
	Outage  *bool  `json:"outage,omitempty"`
	DelayMS *int64 `json:"delay_ms,omitempty"`
	// LoseNextAnswers is the number of successful POST and PUT requests whose
	// connection is closed instead of answered, starting with the next one.
	LoseNextAnswers *int `json:"lose_next_answers,omitempty"`
	// LosePathPrefix limits LoseNextAnswers to paths with this prefix. The
	// default is /v1/tasks on workers and every path on the other stand-ins.
	LosePathPrefix string     `json:"lose_path,omitempty"`
	Partition      *Partition `json:"partition,omitempty"`
}

// Truncation removes the records of a stream before an offset.
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
// selects all workers of the process. Crash restarts a worker: it loses its
// lease, tasks and events and gets a new boot ID.
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

// StreamStats holds the offset of the first retained record of a stream and the
// offset that the next record will get.
type StreamStats struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

// LogStats is the reply to GET /admin/stats of the log. RefusedAppends counts
// appends above the rate limit.
type LogStats struct {
	Appends        int64                  `json:"appends"`
	AppendedBytes  int64                  `json:"appended_bytes"`
	RefusedAppends int64                  `json:"refused"`
	Reads          int64                  `json:"reads"`
	Streams        map[string]StreamStats `json:"streams"`
}

// ListStats is the reply to GET /admin/stats of the instance list. Pending is
// the number of changes that are not visible yet.
type ListStats struct {
	Version   int64 `json:"version"`
	Pending   int   `json:"pending"`
	Instances int   `json:"instances"`
	Reads     int64 `json:"reads"`
}

// WorkerStats holds the counters of one worker. A simulated crash does not reset
// them.
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
	// OverCapacityStarts counts starts after which the sizes of the running
	// tasks summed up to more than the capacity.
	OverCapacityStarts int64 `json:"overloads"`
	// DoubleStarts counts starts of a task while another attempt of it was
	// running on the same worker.
	DoubleStarts int64 `json:"double_starts"`
	// LateStarts counts starts that were refused because their time limit had
	// passed before the worker processed them.
	LateStarts int64 `json:"late_starts"`
	// LeaseRefusals counts refused lease requests and refused requests of callers
	// that did not hold the lease.
	LeaseRefusals int64 `json:"lease_refused"`
	Syncs         int64 `json:"syncs"`
}

// FleetStats is the reply to GET /admin/stats of workers.
type FleetStats struct {
	Workers map[model.WorkerID]WorkerStats `json:"workers"`
	// StartsPerKey maps a key and a task ID to the number of starts on all
	// workers of the process, including those before a simulated crash.
	StartsPerKey map[string]map[string]int `json:"starts_per_key"`
	// ConcurrentRuns counts starts of a task while an attempt of it was running
	// on any worker of the process, including the same worker.
	ConcurrentRuns int64 `json:"concurrent_runs"`
}

// OldStats is the reply to GET /admin/stats of the old system.
type OldStats struct {
	RunsPerKey map[string]int `json:"runs_per_key"`
	Running    int            `json:"running"`
	// SharedSlotsInUse is the number of running keys on shared workers; each
	// uses one slot.
	SharedSlotsInUse int    `json:"shared"`
	Revision         uint64 `json:"revision"`
	SharedSlotLimit  int64  `json:"slots"`
}

// Directive is an optional JSON payload that sets the run time, outcome, answer
// and resource usage of a task on a stand-in.
type Directive struct {
	SleepMS       int64  `json:"sleep_ms,omitempty"`
	Fail          bool   `json:"fail,omitempty"`
	Answer        string `json:"answer,omitempty"`
	UsageMilliCPU int64  `json:"usage_milli_cpu,omitempty"`
	UsageMemMB    int64  `json:"usage_mem_mb,omitempty"`
}

// ParseDirective decodes a payload. It returns the zero Directive if the payload
// is not a JSON object of this form.
func ParseDirective(payload []byte) Directive {
	var d Directive
	if len(payload) == 0 || payload[0] != '{' || json.Unmarshal(payload, &d) != nil {
		return Directive{}
	}
	return d
}

// AnswerFor returns the answer of a task: the answer in the directive or, if it
// is empty, the payload with the prefix "<id>:".
func (d Directive) AnswerFor(id string, payload []byte) []byte {
	if d.Answer != "" {
		return []byte(d.Answer)
	}
	return append([]byte(id+":"), payload...)
}
