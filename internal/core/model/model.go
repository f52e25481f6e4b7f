// Package model defines the types that the core packages share: sizes, classes,
// workers, tasks, requests, records and fates. It does no I/O.
package model

import (
	"strconv"
	"time"
)

// Class is the kind of workload of a request. It selects the placement policy.
type Class string

// Classes, from the most to the least urgent. The tasks of class AllAtOnce, a gang,
// start together or not at all.
const (
	Interactive Class = "interactive"
	Service     Class = "service"
	AllAtOnce   Class = "all_at_once"
	Batch       Class = "batch"
)

// Classes lists all classes from the most to the least urgent.
var Classes = []Class{Interactive, Service, AllAtOnce, Batch}

// Rank returns the position of a class in Classes; 0 is the most urgent. An unknown
// class ranks after all others.
func (c Class) Rank() int {
	for i, k := range Classes {
		if k == c {
			return i
		}
	}
	return len(Classes)
}

// Dims is the number of dimensions of a Size.
const Dims = 5

// Size is an amount of resources, requested by a task or available on a worker.
type Size struct {
	// MilliCPU is CPU time in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu"`
	// MemMB is memory in MiB.
	MemMB int64 `json:"mem_mb"`
	// Accel is the number of accelerators.
	Accel int64 `json:"accel,omitempty"`
	// Slots is the number of task slots.
	Slots int64 `json:"slots"`
	// Conns is the number of connections.
	Conns int64 `json:"conns,omitempty"`
}

// Vector returns the dimensions in the order of the fields.
func (s Size) Vector() [Dims]int64 {
	return [Dims]int64{s.MilliCPU, s.MemMB, s.Accel, s.Slots, s.Conns}
}

// Add returns s + o.
func (s Size) Add(o Size) Size {
	return Size{s.MilliCPU + o.MilliCPU, s.MemMB + o.MemMB, s.Accel + o.Accel, s.Slots + o.Slots, s.Conns + o.Conns}
}

// Sub returns s - o; a dimension may become negative.
func (s Size) Sub(o Size) Size {
	return Size{s.MilliCPU - o.MilliCPU, s.MemMB - o.MemMB, s.Accel - o.Accel, s.Slots - o.Slots, s.Conns - o.Conns}
}

// Max returns the larger of s and o in each dimension.
func (s Size) Max(o Size) Size {
	return Size{max(s.MilliCPU, o.MilliCPU), max(s.MemMB, o.MemMB), max(s.Accel, o.Accel), max(s.Slots, o.Slots), max(s.Conns, o.Conns)}
}

// Min returns the smaller of s and o in each dimension.
func (s Size) Min(o Size) Size {
	return Size{min(s.MilliCPU, o.MilliCPU), min(s.MemMB, o.MemMB), min(s.Accel, o.Accel), min(s.Slots, o.Slots), min(s.Conns, o.Conns)}
}

// Times returns s multiplied by n.
func (s Size) Times(n int64) Size {
	return Size{s.MilliCPU * n, s.MemMB * n, s.Accel * n, s.Slots * n, s.Conns * n}
}

// Fits reports whether s fits into free in every dimension.
func (s Size) Fits(free Size) bool {
	return s.MilliCPU <= free.MilliCPU && s.MemMB <= free.MemMB && s.Accel <= free.Accel &&
		s.Slots <= free.Slots && s.Conns <= free.Conns
}

// DominantShare returns the largest share of capacity that s uses in any dimension.
// It is 1 when s needs a dimension of which capacity has none.
func (s Size) DominantShare(capacity Size) float64 {
	sv, cv := s.Vector(), capacity.Vector()
	share := 0.0
	for i, amount := range sv {
		if amount <= 0 {
			continue
		}
		if cv[i] <= 0 {
			return 1
		}
		share = max(share, float64(amount)/float64(cv[i]))
	}
	return share
}

// WorkerID identifies a worker among the workers of all data centres.
type WorkerID string

// DataCentre names a data centre.
type DataCentre string

// Worker describes a worker as known to the owner, the daemon that schedules its data
// centre.
type Worker struct {
	ID         WorkerID
	DataCentre DataCentre
	Rack       string
	Capacity   Size
}

// TaskID identifies one task of a request by the key of the request and the index of
// the task.
type TaskID struct {
	Key   string `json:"key"`
	Index int    `json:"index"`
}

// String returns "key/index".
func (t TaskID) String() string { return t.Key + "/" + strconv.Itoa(t.Index) }

// Side tells which of the two systems runs a key during the migration from the old to
// the new one.
type Side string

// Sides.
const (
	NewSide Side = "new"
	OldSide Side = "old"
)

// Fate is the state of a request as reported to callers.
type Fate string

// Fates. Queued and Running can change; the others are final.
const (
	Queued    Fate = "queued"
	Running   Fate = "running"
	Done      Fate = "done"
	NotRun    Fate = "not_run"
	Cancelled Fate = "cancelled"
	// Unknown means that the request may have run, for example on a worker that was
	// lost, and is not started again, because it is not idempotent or may not be
	// retried any more.
	Unknown Fate = "unknown"
)

// Terminal reports whether the fate is final. It is false for the empty fate.
func (f Fate) Terminal() bool { return f != Queued && f != Running && f != "" }

// Reason tells why a request waits, was refused or did not run.
type Reason string

// Reasons. They are also the keys of Counts in explanations.
const (
	ReasonNoFit          Reason = "no_fit"
	ReasonSlots          Reason = "slots"
	ReasonCPU            Reason = "cpu"
	ReasonMemory         Reason = "memory"
	ReasonAccel          Reason = "accelerators"
	ReasonConns          Reason = "connections"
	ReasonQuarantined    Reason = "worker_set_aside"
	ReasonDraining       Reason = "worker_draining"
	ReasonNoLease        Reason = "worker_not_leased"
	ReasonQuota          Reason = "team_quota"
	ReasonHeadroom       Reason = "reserved_headroom"
	ReasonQueueFull      Reason = "queue_full"
	ReasonDeadline       Reason = "deadline_passed"
	ReasonCancelled      Reason = "cancelled_before_start"
	ReasonShed           Reason = "shed"
	ReasonNeverFits      Reason = "can_never_run"
	ReasonExceedsLimit   Reason = "exceeds_tenant_cap"
	ReasonTenantRate     Reason = "tenant_rate"
	ReasonMemoryFull     Reason = "memory_full"
	ReasonBackoff        Reason = "retry_backoff"
	ReasonGang           Reason = "not_all_tasks_fit"
	ReasonAttempts       Reason = "attempts_exhausted"
	ReasonRetryBudget    Reason = "retry_budget_exhausted"
	ReasonWorkerLost     Reason = "worker_lost"
	ReasonPayloadLost    Reason = "payload_lost"
	ReasonOldUnavailable Reason = "old_system_unavailable"
)

// Counts explains a decision. It maps each reason to the number of workers, tasks or
// limits to which it applied.
type Counts map[Reason]int

// Request is a caller's request after the defaults of the configuration were applied.
type Request struct {
	Key     string `json:"key"`
	Service string `json:"service"`
	Team    string `json:"team"`
	Class   Class  `json:"class"`
	Size    Size   `json:"size"`
	Tasks   int    `json:"tasks"`
	// Idempotent allows tasks that may have run to be started again.
	Idempotent bool `json:"idempotent"`
	// RunTime is the expected run time of a task; zero if it is not known.
	RunTime time.Duration `json:"run_time"`
	// Deadline is the latest start; zero means no deadline.
	Deadline time.Time `json:"deadline"`
	// IssuedAt is when the caller created the request; zero if it did not say.
	IssuedAt time.Time `json:"issued_at"`
	Payload  []byte    `json:"payload,omitempty"`
	// Fingerprint is a hash of the fields that must be equal when a request is
	// submitted again under the same key.
	Fingerprint uint64 `json:"fingerprint"`
}

// Overdue reports whether it is too late at now to start the request.
func (r *Request) Overdue(now time.Time) bool {
	return !r.Deadline.IsZero() && !now.Before(r.Deadline)
}

// TaskState is the state of one task.
type TaskState string

// Task states.
const (
	TaskQueued   TaskState = "queued"
	TaskStarting TaskState = "starting" // assigned to a worker that has not confirmed the start yet
	TaskRunning  TaskState = "running"
	TaskStopping TaskState = "stopping"
	TaskDone     TaskState = "done"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
	TaskLost     TaskState = "lost"
)

// Final reports whether the state cannot change any more in this attempt.
func (s TaskState) Final() bool {
	return s == TaskDone || s == TaskFailed || s == TaskStopped || s == TaskLost
}

// HoldsWorker reports whether the task may be using capacity of its worker.
func (s TaskState) HoldsWorker() bool {
	return s == TaskStarting || s == TaskRunning || s == TaskStopping
}

// TaskRecord is the state of one task within a Record.
type TaskRecord struct {
	State  TaskState `json:"state"`
	Worker WorkerID  `json:"worker,omitempty"`
	// Attempt is the number of the latest attempt; 0 before the first assignment.
	Attempt int `json:"attempt"`
	// Boot is the boot ID of the worker when the task was assigned. A worker that
	// has restarted since then cannot tell whether the task ran before.
	Boot string `json:"boot,omitempty"`
	// Planned is the size that is reserved on the worker.
	Planned Size   `json:"planned"`
	Answer  []byte `json:"answer,omitempty"`
}

// Record is the state of a request, kept under its key by the key's home data centre.
type Record struct {
	Request Request `json:"request"`
	Side    Side    `json:"side"`
	Fate    Fate    `json:"fate"`
	// OK is true if the fate is Done and no task has failed.
	OK     bool   `json:"ok"`
	Reason Reason `json:"reason,omitempty"`
	Answer []byte `json:"answer,omitempty"`
	// AnswerDropped is set when the answer was deleted to make room for later ones.
	AnswerDropped bool         `json:"answer_dropped,omitempty"`
	Tasks         []TaskRecord `json:"tasks"`
	// Term is the term of the owner that last changed the record.
	Term uint64 `json:"term"`
	// Version increases with each change of the record and is never reset, not
	// even by a new term.
	Version uint64 `json:"version"`
	// Accepted, Started and Ended are times of the owner's clock. Started is zero
	// until the first task has started, Ended until the fate is final.
	Accepted time.Time `json:"accepted"`
	Started  time.Time `json:"started"`
	Ended    time.Time `json:"ended"`
	// CancelRequested is set when a caller has asked to cancel the request.
	CancelRequested bool `json:"cancel_requested,omitempty"`
	// PayloadMissing is set on a record that was rebuilt from a worker's inventory
	// or from the journal, which do not contain payloads. Such a request cannot be
	// started again.
	PayloadMissing bool `json:"payload_missing,omitempty"`
	// DelegatedTo is the data centre that runs the request for its home data
	// centre; empty if it is not delegated.
	DelegatedTo DataCentre `json:"delegated_to,omitempty"`
}

// Newer reports whether r is a later state of the same key than o. A record with a
// final fate is newer than one without; otherwise the term decides, then the version.
func (r *Record) Newer(o *Record) bool {
	if r.Fate.Terminal() != o.Fate.Terminal() {
		return r.Fate.Terminal()
	}
	if r.Term != o.Term {
		return r.Term > o.Term
	}
	return r.Version > o.Version
}

// RunningTask is an entry of a worker's inventory, the list of tasks that it reports. It
// includes ended tasks that the worker has not forgotten yet.
type RunningTask struct {
	ID      TaskID
	Attempt int
	Service string
	Size    Size
	State   TaskState
	OK      bool
	Answer  []byte
}

// Usage is a measurement of the resources that a running task uses. It arrives with
// a delay.
type Usage struct {
	ID   TaskID
	Size Size
}
