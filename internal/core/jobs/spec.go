package jobs

import (
	"fmt"
	"time"

	"catkinvalve/internal/core/model"
)

// Limits of a job, so that one request cannot exhaust a leader's memory.
const (
	MaxSteps        = 64
	MaxTasksPerStep = 10_000
	MaxPayloadBytes = 16 << 10
	MaxOccurrences  = 100_000
)

// TaskRef identifies a task: one index of one step in one occurrence of a job.
type TaskRef struct {
	Job        string
	Occurrence int32
	Step       int32
	Index      int32
}

// String returns "job.occurrence.step.index".
func (t TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// StepRef identifies a step in one occurrence of a job.
type StepRef struct {
	Job        string
	Occurrence int32
	Step       int32
}

// String returns "job.occurrence.step".
func (s StepRef) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step) }

// Queue is the configuration of one queue.
type Queue struct {
	Name    string
	Service string
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failed runs of one task with which its job
	// has failed; 0 counts as 1.
	MaxAttempts int
	// Slack times the duration of the longest chain of dependent steps, plus
	// Target, is the objective for the time from submission to completion.
	Slack  float64
	Target time.Duration
	// Advice is nil when the queue's tasks may run on any worker of the service.
	Advice *AdviceConfig
	// Anonymous means that callers need no key, and that all of them may see the queue's jobs.
	Anonymous bool
}

// AdviceConfig describes the advice service of a queue. A call takes
// DecisionTime plus TimePerWorker for each worker in it.
type AdviceConfig struct {
	DecisionTime  time.Duration
	TimePerWorker time.Duration
	// Validity is how long a returned ticket can be used.
	Validity time.Duration
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count int
	// Size is the capacity that each task needs.
	Size model.Size
	// Estimate is the submitter's estimate of a task's run time; 0 if there is
	// none.
	Estimate time.Duration
	// After lists the indexes of earlier steps all of whose tasks must have
	// succeeded.
	After []int
	// Gang tasks run only all together and end together.
	Gang bool
	// SameRack means that a gang runs more slowly when it is spread over
	// several racks.
	SameRack bool
	// Label must be among the worker's labels, if not empty.
	Label string
	// DataRack is the rack where the data is stored; tasks elsewhere take
	// longer.
	DataRack string
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int
	// Checkpointing tasks resume from their latest checkpoint.
	Checkpointing bool
	// Speculative tasks may run as several copies.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	// Image groups tasks with similar behaviour.
	Image string
	// TailLatencyTarget is the response time that a task which serves users
	// must meet; 0 for any other task.
	TailLatencyTarget time.Duration
	// Filler tasks use only capacity that other tasks leave idle.
	Filler bool
	// MaxUnavailable is the number of tasks of a long-running step that the
	// scheduler may take down at a time.
	MaxUnavailable int
}

// Spec is a job as submitted.
type Spec struct {
	ID    string
	Queue string
	// Tenant is the tenant that the job belongs to; empty if none.
	Tenant  string
	Payload string
	Steps   []Step
	// Repeat is the number of occurrences: occurrence k is due at FirstDue + k
	// x Interval in wall-clock time. 0 means one occurrence, due immediately.
	Repeat   int
	FirstDue time.Time
	Interval time.Duration
}

// OccurrenceCount returns the number of occurrences, at least 1.
func (s *Spec) OccurrenceCount() int { return max(1, s.Repeat) }

// SpecError describes an invalid field of a submitted job.
type SpecError struct {
	Field  string
	Detail string
}

// Error implements the error interface.
func (e *SpecError) Error() string {
	return fmt.Sprintf("malformed job: %s %s; correct the field and submit again", e.Field, e.Detail)
}

// Validate checks the limits and references that Core relies on. Its errors are
// *SpecError.
func (s *Spec) Validate() error {
	switch {
	case s.ID == "":
		return &SpecError{"id", "is empty"}
	case len(s.Payload) > MaxPayloadBytes:
		return &SpecError{"payload", "is too long"}
	case len(s.Steps) == 0:
		return &SpecError{"steps", "is empty"}
	case len(s.Steps) > MaxSteps:
		return &SpecError{"steps", "has too many entries"}
	case s.Repeat < 0 || s.Repeat > MaxOccurrences:
		return &SpecError{"repeat count", "is out of range"}
	case s.Repeat > 1 && s.Interval < 0:
		return &SpecError{"interval", "is negative"}
	}
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

// validate checks step i of a job. Its errors are *SpecError.
func (s *Step) validate(i int) error {
	field := fmt.Sprintf("steps[%d]", i)
	size := s.Size
	switch {
	case s.Count < 1 || s.Count > MaxTasksPerStep:
		return &SpecError{field + " count", "is out of range"}
	case size.MilliCPU < 0 || size.MemMB < 0 || size.Accel < 0:
		return &SpecError{field + " size", "is negative"}
	case s.MaxPerWorker < 0 || s.Estimate < 0:
		return &SpecError{field, "has a negative number"}
	}
	for _, dep := range s.After {
		if dep < 0 || dep >= i {
			return &SpecError{field + " dependency", "does not name an earlier step"}
		}
	}
	return nil
}
