package jobs

import (
	"time"

	"catkinvalve/internal/core/model"
)

// Outcome is the final state of a job, or OutcomeUnfinished.
type Outcome uint8

// Outcomes.
const (
	OutcomeUnfinished Outcome = iota
	OutcomeCompleted
	OutcomeFailed
	OutcomeCancelled
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"unfinished", "completed", "failed", "cancelled"}[o]
}

// AcceptedRecord is the stored form of a job when it is accepted.
type AcceptedRecord struct {
	Spec Spec
	// Queue is the queue's configuration at the time; the current one takes
	// precedence.
	Queue Queue
	// Token is the fencing token of the leader that accepted the job. The number
	// of a run is derived from the difference between the token of the leader
	// that starts it and this one.
	Token uint64
	// Accepted is when the job was accepted, in wall-clock time.
	Accepted time.Time
	// Excess is set if the job exceeded the rate of its tenant, and TenantLimit is the tenant's
	// limit at the time; 0 in a dimension is no limit. It applies while the tenant is not configured.
	Excess      bool
	TenantLimit model.Size
}

// ProgressRecord is the stored form of everything final about a job, and of the crashes
// of workers under its tasks. Each record replaces the previous one.
type ProgressRecord struct {
	Job   string
	Queue string
	// Tenant is the tenant that the job belongs to; empty if none.
	Tenant  string
	Outcome Outcome
	// Occurrences lists the occurrences in which any task has ended or a worker
	// crashed; empty once the job has ended.
	Occurrences []OccurrenceProgress
	// RunLimit is the highest run number that the leader may assign. With 0 it is that which
	// follows from its token.
	RunLimit int64
}

// OccurrenceProgress describes what has ended in one occurrence.
type OccurrenceProgress struct {
	Occurrence int32
	// Finished means that all steps have ended; Steps is empty then.
	Finished bool
	Steps    []StepProgress
}

// StepProgress describes what has ended in one step.
type StepProgress struct {
	Step int32
	// Finished means that all tasks succeeded.
	Finished bool
	// Done is a bit set of the tasks that succeeded; empty if Finished.
	Done     []byte
	Failures []TaskFailures
	Crashes  []TaskCrashes
}

// TaskFailures lists the numbers of the failed runs of one task, so that an end
// that a worker reports again is not counted twice. The failed runs of a gang
// are listed under task 0.
type TaskFailures struct {
	Index int32
	Runs  []int64
}

// TaskCrashes lists the numbers of the runs of one task that ended with a crash of their
// worker. AtStart counts those that had just started, and Alone those of them on whose worker
// no other job had just started a run.
type TaskCrashes struct {
	Index          int32
	Runs           []int64
	AtStart, Alone int
}

// WorkerRecord tells later leaders that tasks of the cell may run on a worker.
type WorkerRecord struct {
	ID      model.WorkerID
	Address string
	Service string
	// Silent means that the worker stopped answering or drains, and that Jobs and
	// Tasks list all jobs and tasks that may have runs on it.
	Silent bool
	Jobs   []string
	// Tasks is empty in records of earlier versions.
	Tasks []TaskRef
	// Incarnation is that of the process on which the tasks may have runs, and Runs are
	// these runs. Both are empty for a draining worker and in records of earlier versions.
	Incarnation int64
	Runs        []InterruptedRun
	// Capacity is the worker's capacity; the zero size in records of earlier versions.
	Capacity model.Size
}

// Batch is what has to be stored in one append before its effects become
// visible.
type Batch struct {
	Seq      uint64
	Accepted []AcceptedRecord
	Progress []ProgressRecord
	Workers  []WorkerRecord
	// RunTimes and DropRunTimes are only part of batches that are not empty without them.
	RunTimes     []RunTimeRecord
	DropRunTimes []string
	// DropAccepted, DropProgress and DropWorkers name records to delete.
	DropAccepted []string
	DropProgress []string
	DropWorkers  []model.WorkerID
	// RecoveredToken is the token of a leader that has finished its recovery,
	// or 0.
	RecoveredToken uint64
}

// Empty reports whether there is nothing to store.
func (b *Batch) Empty() bool {
	return b.RecoveredToken == 0 && len(b.Accepted)+len(b.Progress)+len(b.Workers)+len(b.DropAccepted)+len(b.DropProgress)+len(b.DropWorkers) == 0
}

// Snapshot is what a new leader reads from the store.
type Snapshot struct {
	Accepted []AcceptedRecord
	Progress []ProgressRecord
	Workers  []WorkerRecord
	RunTimes []RunTimeRecord
}
