package jobs

import (
	"time"

	"catkinvalve/internal/core/model"
)

// Outcome is the final state of a job, or none.
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
	// Queue is the queue's configuration at the time; a newer one replaces it.
	Queue Queue
	// Token is the fencing token of the leader that accepted the job. Run
	// numbers are counted from it.
	Token uint64
	// Accepted is wall-clock time.
	Accepted time.Time
}

// ProgressRecord is the stored form of everything final about a job. It
// replaces the earlier one.
type ProgressRecord struct {
	Job     string
	Queue   string
	Outcome Outcome
	// Occurrences lists those of which any task ended; empty once the job ended.
	Occurrences []OccurrenceProgress
}

// OccurrenceProgress lists what ended in one occurrence.
type OccurrenceProgress struct {
	Occurrence int32
	// Finished means that all steps ended; Steps is empty then.
	Finished bool
	Steps    []StepProgress
}

// StepProgress lists what ended in one step.
type StepProgress struct {
	Step int32
	// Finished means that all tasks ended as done.
	Finished bool
	// Done is a bit set of the tasks that ended as done, unless Finished.
	Done     []byte
	Failures []TaskFailures
}

// TaskFailures lists the failed runs of one task, so that an end that a worker
// lists again is not counted twice. A gang counts on task 0.
type TaskFailures struct {
	Index int32
	Runs  []int64
}

// WorkerRecord tells that a worker may run tasks of the cell.
type WorkerRecord struct {
	ID      model.WorkerID
	Address string
	Service string
	// Silent tells that the worker stopped answering and that Jobs lists all jobs
	// that may have runs on it.
	Silent bool
	Jobs   []string
}

// Batch is what has to be stored in one append before its effects are told.
type Batch struct {
	Seq      uint64
	Accepted []AcceptedRecord
	Progress []ProgressRecord
	Workers  []WorkerRecord
	// DropAccepted, DropProgress and DropWorkers name records to delete.
	DropAccepted []string
	DropProgress []string
	DropWorkers  []model.WorkerID
	// Recovered is the token of a leader that has come to know what every worker
	// runs, or 0.
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
}
