package cellsoak

import (
	"fmt"
	"sync"
	"time"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
)

// maxAttempts is how often a task may fail before its job has failed.
const maxAttempts = 3

// world is what callers and workers have seen, and the promises that it breaks.
type checker struct {
	mu         sync.Mutex
	startTime  time.Time
	jobs       map[string]*trackedJob
	tasks      map[jobs.TaskRef]*trackedTask
	violations []string
	starts     int
}

// seenJob is a job as its caller knows it.
type trackedJob struct {
	spec *jobs.Spec
	// accepted, refused and unclear tell how the submissions were answered.
	accepted, uncertain bool
	refused             int
	// pending counts the submissions that have no answer yet.
	unanswered int
	cancelled  bool
	finalState jobs.View
	started    bool
}

// seenTask is a task as the workers know it.
type trackedTask struct {
	running      map[*worker]int64
	done         bool
	acknowledged bool
	restarts     int
	// excused is set when the worker's lease or life ended before the end was noted:
	// the cell may start the task again.
	mayRestart bool
	failures   int
}

func newChecker() *checker {
	return &checker{startTime: time.Now(), jobs: map[string]*trackedJob{}, tasks: map[jobs.TaskRef]*trackedTask{}}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%7.3f s  ", time.Since(c.startTime).Seconds())+fmt.Sprintf(format, args...))
}

func (c *checker) task(ref jobs.TaskRef) *trackedTask {
	t := c.tasks[ref]
	if t == nil {
		t = &trackedTask{running: map[*worker]int64{}}
		c.tasks[ref] = t
	}
	return t
}

// step returns the step of a task; nil when no caller submitted it.
func (c *checker) step(ref jobs.TaskRef) *jobs.Step {
	j := c.jobs[ref.Job]
	if j == nil || int(ref.Step) >= len(j.spec.Steps) {
		return nil
	}
	return &j.spec.Steps[ref.Step]
}

// started checks a start on a worker that has room used before it.
func (c *checker) started(on *worker, o *jobs.StartRequest, used model.Size) {
	c.starts++
	step := c.step(o.Task)
	if step == nil {
		c.addViolation("UNASKED: %s starts %s, which no caller submitted", on.id, o.Task)
		return
	}
	j := c.jobs[o.Task.Job]
	j.started = true
	if j.spec.Payload != o.Payload {
		c.addViolation("UNASKED: %s starts %s with another payload", on.id, o.Task)
	}
	c.checkRefused(j)
	if !step.Size.Fits(on.capacity.Sub(used)) {
		c.addViolation("LIMIT: %s starts %s over its capacity", on.id, o.Task)
	}
	t := c.task(o.Task)
	for other, run := range t.running {
		c.addViolation("TWICE: %s starts run %d of %s, whose run %d is on %s", on.id, o.Run, o.Task, run, other.id)
	}
	if t.done && t.acknowledged {
		c.addViolation("TWICE: %s starts run %d of %s, which is done", on.id, o.Run, o.Task)
	}
	if t.done {
		t.restarts++
	}
	if t.failures >= maxAttempts {
		c.addViolation("BUDGET: %s starts run %d of %s, which failed %d times", on.id, o.Run, o.Task, t.failures)
	}
	for _, before := range step.After {
		if !c.stepDone(o.Task, before) {
			c.addViolation("ORDER: %s starts %s before step %d is done", on.id, o.Task, before)
		}
	}
	t.running[on] = o.Run
}

// checkRefused checks that a job runs only if a submission was not refused.
func (c *checker) checkRefused(j *trackedJob) {
	if j.started && j.refused > 0 && j.unanswered == 0 && !j.accepted && !j.uncertain {
		c.addViolation("REFUSED: job %s runs, each of its submissions was refused", j.spec.ID)
	}
}

// stepDone reports whether all tasks of a step have ended as done. One end
// represents a gang.
func (c *checker) stepDone(ref jobs.TaskRef, index int) bool {
	step := &c.jobs[ref.Job].spec.Steps[index]
	done := 0
	for i := range step.Count {
		if t := c.tasks[jobs.TaskRef{Job: ref.Job, Occurrence: ref.Occurrence, Step: int32(index), Index: int32(i)}]; t != nil && t.done {
			done++
		}
	}
	return done == step.Count || step.Gang && done > 0
}

// ended records that a run is over on a worker.
func (c *checker) recordEnd(on *worker, ref jobs.TaskRef, how jobs.EndKind) {
	t := c.task(ref)
	delete(t.running, on)
	if how == jobs.EndDone {
		t.done = true
	}
}

// noted records that the cell has taken note of an end.
func (c *checker) acknowledged(e *jobs.RunEnd) {
	t := c.task(e.Task)
	switch e.Kind {
	case jobs.EndDone:
		t.done, t.acknowledged = true, true
		if t.restarts > 0 && !t.mayRestart {
			c.addViolation("TWICE: %s was started again after an end that is taken note of", e.Task)
		}
	case jobs.EndFailed:
		t.failures++
	}
}

// lost records that a worker's lease or life ended before the cell took note of
// an end.
func (c *checker) recordLostEnd(e *jobs.RunEnd) { c.task(e.Task).mayRestart = true }

// told checks a job's state as a caller was told.
func (c *checker) checkReported(j *trackedJob, v jobs.View) {
	if j.finalState != "" && v != j.finalState {
		c.addViolation("LOST: job %s was %s and is %s", j.spec.ID, j.finalState, v)
	}
	switch v {
	case jobs.ViewCompleted:
		for i := range j.spec.Steps {
			if !c.stepDone(jobs.TaskRef{Job: j.spec.ID}, i) {
				c.addViolation("MIXED: job %s is shown as completed, step %d is not", j.spec.ID, i)
			}
		}
	case jobs.ViewCancelled:
		if !j.cancelled {
			c.addViolation("LOST: job %s is shown as cancelled, nobody cancelled it", j.spec.ID)
		}
	case jobs.ViewFailed:
		if !c.attemptsExhausted(j) {
			c.addViolation("LOST: job %s is shown as failed, no task failed %d times", j.spec.ID, maxAttempts)
		}
	default:
		return
	}
	j.finalState = v
}

// exhausted reports whether a task of the job, or a gang, failed as often as it
// may.
func (c *checker) attemptsExhausted(j *trackedJob) bool {
	for s := range j.spec.Steps {
		sum := 0
		for i := range j.spec.Steps[s].Count {
			t := c.tasks[jobs.TaskRef{Job: j.spec.ID, Step: int32(s), Index: int32(i)}]
			if t == nil {
				continue
			}
			if t.failures >= maxAttempts {
				return true
			}
			sum += t.failures
		}
		if j.spec.Steps[s].Gang && sum >= maxAttempts {
			return true
		}
	}
	return false
}
