package cellsoak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
)

// maxAttempts is the number of failures of a task after which its job fails.
const maxAttempts = 3

const (
	// minCrashes is the number of workers that crashed under a deadly task after which
	// its job may be shown as failed.
	minCrashes = 2
	// maxCrashes is the number of such workers after which the starts of the task are
	// limited to fewer than startsAfterCrashes.
	maxCrashes = 3
	// startsAfterCrashes is the number of starts after maxCrashes that is a violation.
	startsAfterCrashes = 3
)

// checker records what callers and workers observe, and the violations of the platform's
// rules that follow from it. The caller of its methods holds mu.
type checker struct {
	mu         sync.Mutex
	startTime  time.Time
	jobs       map[string]*trackedJob
	tasks      map[jobs.TaskRef]*trackedTask
	violations []string
	starts     int
	// crashes counts the workers that crashed under deadly tasks.
	crashes int
	// limits lists the limits that each tenant has had, and used holds what it has running.
	limits map[string][]limitPeriod
	used   map[string]model.Size
}

// trackedJob is a job as its caller observes it.
type trackedJob struct {
	spec *jobs.Spec
	// tenant is the tenant whose key its caller sends; empty in a run without tenants.
	tenant string
	// accepted and uncertain are set once a submission was accepted or had an unknown
	// outcome; refused counts the refused submissions.
	accepted, uncertain bool
	refused             int
	// unanswered counts the submissions without an answer so far.
	unanswered int
	cancelled  bool
	// finalState is the final state that a caller received first; empty before.
	finalState jobs.View
	started    bool
}

// trackedTask is a task as the workers observe it.
type trackedTask struct {
	// running holds the number of the current run on each worker.
	running map[*worker]int64
	// done is set once a run of the task has ended as done; acknowledged is set once
	// the cell has acknowledged such an end.
	done         bool
	acknowledged bool
	// restarts counts the starts after the task was done.
	restarts int
	// mayRestart is set once the lease or the incarnation of a worker ended before the
	// cell had acknowledged the end of the task. The cell may start it again then.
	mayRestart bool
	// failures counts the failed runs whose ends the cell has acknowledged,
	// reportedFailures those whose ends were in a response to the cell.
	failures, reportedFailures int
	// crashes counts the workers that crashed while they ran the task, and
	// startsAfterCrashes its starts after maxCrashes of them.
	crashes, startsAfterCrashes int
}

func newChecker() *checker {
	return &checker{startTime: time.Now(), jobs: map[string]*trackedJob{}, tasks: map[jobs.TaskRef]*trackedTask{},
		limits: map[string][]limitPeriod{}, used: map[string]model.Size{}}
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

// step returns the step of a task; nil if no caller submitted it.
func (c *checker) step(ref jobs.TaskRef) *jobs.Step {
	j := c.jobs[ref.Job]
	if j == nil || int(ref.Step) >= len(j.spec.Steps) {
		return nil
	}
	return &j.spec.Steps[ref.Step]
}

// started records a start on a worker whose other runs use the given size, and checks
// that it was allowed.
func (c *checker) started(w *worker, req *jobs.StartRequest, used model.Size) {
	c.starts++
	step := c.step(req.Task)
	if step == nil {
		c.addViolation("UNASKED: %s starts %s, which no caller submitted", w.id, req.Task)
		return
	}
	j := c.jobs[req.Task.Job]
	j.started = true
	if j.spec.Payload != req.Payload {
		c.addViolation("UNASKED: %s starts %s with another payload", w.id, req.Task)
	}
	c.checkRefused(j)
	if !step.Size.Fits(w.capacity.Sub(used)) {
		c.addViolation("LIMIT: %s starts %s over its capacity", w.id, req.Task)
	}
	t := c.task(req.Task)
	for other, run := range t.running {
		c.addViolation("TWICE: %s starts run %d of %s, whose run %d is on %s", w.id, req.Run, req.Task, run, other.id)
	}
	if t.done && t.acknowledged {
		c.addViolation("TWICE: %s starts run %d of %s, which is done", w.id, req.Run, req.Task)
	}
	if t.done {
		t.restarts++
	}
	if t.failures >= maxAttempts {
		c.addViolation("BUDGET: %s starts run %d of %s, which failed %d times", w.id, req.Run, req.Task, t.failures)
	}
	if c.deadly(req.Task) && t.crashes >= maxCrashes {
		if t.startsAfterCrashes++; t.startsAfterCrashes == startsAfterCrashes {
			c.addViolation("BUDGET: %s starts run %d of %s, start %d after %d workers crashed under it", w.id, req.Run, req.Task, startsAfterCrashes, maxCrashes)
		}
	}
	for _, dependency := range step.After {
		if !c.stepDone(req.Task, dependency) {
			c.addViolation("ORDER: %s starts %s before step %d is done", w.id, req.Task, dependency)
		}
	}
	if _, again := t.running[w]; !again {
		c.used[j.tenant] = c.used[j.tenant].Add(step.Size)
	}
	t.running[w] = req.Run
	c.checkQuota(w, j, req.Task)
}

// checkRefused adds a violation if a job was started although all its submissions were
// refused.
func (c *checker) checkRefused(j *trackedJob) {
	if j.started && j.refused > 0 && j.unanswered == 0 && !j.accepted && !j.uncertain {
		c.addViolation("REFUSED: job %s was started, but all its submissions were refused", j.spec.ID)
	}
}

// stepDone reports whether all tasks of a step have ended as done. For a gang the end of
// one member is enough.
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

// deadly reports whether a task crashes the workers that start it.
func (c *checker) deadly(ref jobs.TaskRef) bool {
	j := c.jobs[ref.Job]
	if j == nil || int(ref.Step) != len(j.spec.Steps)-1 {
		return false
	}
	return strings.HasPrefix(j.spec.Payload, allDeadlyMark) || ref.Index == 0 && strings.HasPrefix(j.spec.Payload, firstDeadlyMark)
}

// workerCrashed records that a deadly task crashed a worker. None of the runs on it counts
// as a failed attempt.
func (c *checker) workerCrashed(w *worker) {
	c.crashes++
	for ref := range w.runs {
		c.task(ref).crashes++
	}
}

// crashedRepeatedly reports whether minCrashes workers crashed under a deadly task of the
// job.
func (c *checker) crashedRepeatedly(j *trackedJob) bool {
	last := len(j.spec.Steps) - 1
	for i := range j.spec.Steps[last].Count {
		ref := jobs.TaskRef{Job: j.spec.ID, Step: int32(last), Index: int32(i)}
		if c.deadly(ref) && c.task(ref).crashes >= minCrashes {
			return true
		}
	}
	return false
}

// recordEnd records the end of a run on a worker.
func (c *checker) recordEnd(w *worker, ref jobs.TaskRef, kind jobs.EndKind) {
	t := c.task(ref)
	if _, running := t.running[w]; running {
		name := c.jobs[ref.Job].tenant
		c.used[name] = c.used[name].Sub(c.step(ref).Size)
	}
	delete(t.running, w)
	if kind == jobs.EndDone {
		t.done = true
	}
}

// reported records that the end of a run was in a response to the cell for the first time.
func (c *checker) reported(e *jobs.RunEnd) {
	if e.Kind == jobs.EndFailed {
		c.task(e.Task).reportedFailures++
	}
}

// acknowledged records that the cell has acknowledged the end of a run.
func (c *checker) acknowledged(e *jobs.RunEnd) {
	t := c.task(e.Task)
	switch e.Kind {
	case jobs.EndDone:
		t.done, t.acknowledged = true, true
		if t.restarts > 0 && !t.mayRestart {
			c.addViolation("TWICE: %s was started again although its end was acknowledged", e.Task)
		}
	case jobs.EndFailed:
		t.failures++
	}
}

// recordLostEnd records that a worker's lease or incarnation ended before the cell had
// acknowledged the end of a run.
func (c *checker) recordLostEnd(e *jobs.RunEnd) { c.task(e.Task).mayRestart = true }

// checkReported checks and records a job state that a caller received.
func (c *checker) checkReported(j *trackedJob, v jobs.View) {
	if j.finalState != "" && v != j.finalState {
		c.addViolation("LOST: job %s was %s and is %s", j.spec.ID, j.finalState, v)
	}
	switch v {
	case jobs.ViewCompleted:
		for i := range j.spec.Steps {
			if !c.stepDone(jobs.TaskRef{Job: j.spec.ID}, i) {
				c.addViolation("MIXED: job %s was reported as completed, but step %d is not done", j.spec.ID, i)
			}
		}
	case jobs.ViewCancelled:
		if !j.cancelled {
			c.addViolation("LOST: job %s was reported as cancelled, but no caller cancelled it", j.spec.ID)
		}
	case jobs.ViewFailed:
		if !c.attemptsExhausted(j) && !c.crashedRepeatedly(j) {
			c.addViolation("LOST: job %s was reported as failed, but no task failed %d times or crashed %d workers", j.spec.ID, maxAttempts, minCrashes)
		}
	default:
		return
	}
	j.finalState = v
}

// checkUnfinished adds a violation for each of the given jobs, which have no final state
// at the end of a run.
func (c *checker) checkUnfinished(unfinished []*trackedJob) {
	for _, j := range unfinished {
		c.addViolation("LOST: job %s with payload %q was accepted and has no final state", j.spec.ID, j.spec.Payload)
	}
}

// unfinished returns the accepted jobs without a final state.
func (c *checker) unfinished() []*trackedJob {
	var out []*trackedJob
	for _, j := range c.jobs {
		if j.accepted && j.finalState == "" {
			out = append(out, j)
		}
	}
	return out
}

// attemptsExhausted reports whether a task of the job, or the tasks of a gang together,
// were reported to the cell as failed maxAttempts times.
func (c *checker) attemptsExhausted(j *trackedJob) bool {
	for s := range j.spec.Steps {
		sum := 0
		for i := range j.spec.Steps[s].Count {
			t := c.tasks[jobs.TaskRef{Job: j.spec.ID, Step: int32(s), Index: int32(i)}]
			if t == nil {
				continue
			}
			if t.reportedFailures >= maxAttempts {
				return true
			}
			sum += t.reportedFailures
		}
		if j.spec.Steps[s].Gang && sum >= maxAttempts {
			return true
		}
	}
	return false
}
