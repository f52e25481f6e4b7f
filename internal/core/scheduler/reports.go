package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
)

// TaskReport is a worker's report about one attempt of a task.
type TaskReport struct {
	ID      model.TaskID
	Attempt int
	State   model.TaskState
	// OK is true if the task is done and succeeded.
	OK     bool
	Answer []byte
}

// HandleTaskReport handles a report of worker w. Reports about attempts that the
// record no longer refers to are dropped. Before StartServing, reports are buffered.
func (c *Core) HandleTaskReport(now time.Time, w model.WorkerID, report TaskReport) {
	if !c.serving {
		c.pendingReports = append(c.pendingReports, pendingReport{w, report})
		return
	}
	if report.State.Final() {
		c.releaseOrphan(w, report.ID, report.Attempt)
	}
	e := c.entries[report.ID.Key]
	if e == nil || report.ID.Index < 0 || report.ID.Index >= len(e.rec.Tasks) {
		c.counters.StaleReports++
		return
	}
	t := &e.rec.Tasks[report.ID.Index]
	if t.Worker != w || t.Attempt != report.Attempt || t.State.Final() || t.State == model.TaskQueued {
		c.counters.StaleReports++
		return
	}
	c.applyReport(now, e, report)
}

// applyReport handles a report about the current attempt of a task.
func (c *Core) applyReport(now time.Time, e *entry, report TaskReport) {
	switch report.State {
	case model.TaskRunning:
		c.taskStarted(now, e, report.ID.Index)
	case model.TaskDone, model.TaskFailed:
		c.taskEnded(now, e, report)
	case model.TaskStopped:
		c.taskStopped(now, e, report.ID.Index)
	}
}

// taskStarted records that the worker of a task has confirmed its start.
func (c *Core) taskStarted(now time.Time, e *entry, index int) {
	if t := &e.rec.Tasks[index]; t.State == model.TaskStarting {
		t.State = model.TaskRunning
		e.tasks[index].startedAt = now
		c.watchDeadline(e)
	}
	c.markRunning(now, e)
}

// markRunning records that a task of the request has started, or may have.
func (c *Core) markRunning(now time.Time, e *entry) {
	if e.rec.Fate == model.Queued {
		e.rec.Fate = model.Running
	}
	if e.rec.Started.IsZero() {
		e.rec.Started = now
	}
}

// taskEnded handles a task that finished or failed: it is retried if it may be, or
// it ends. A service instance is always started again.
func (c *Core) taskEnded(now time.Time, e *entry, report TaskReport) {
	c.markRunning(now, e)
	t := &e.rec.Tasks[report.ID.Index]
	c.release(e, report.ID.Index)
	if report.State == model.TaskDone && report.OK {
		c.counters.Finished++
		c.health.RecordSuccess(now, t.Worker)
		c.endProbe(now, t.Worker)
		t.State, t.Answer = model.TaskDone, report.Answer
		if e.serviceInstance && !e.rec.CancelRequested {
			c.requeue(now, e, report.ID.Index, c.backoff.Delay(1, c.rng))
			c.replicate(e)
			return
		}
		c.finalizeIfEnded(now, e)
		return
	}
	c.counters.Failed++
	c.health.RecordFailure(now, t.Worker, e.rec.Request.Key)
	c.endProbe(now, t.Worker)
	c.applyHealthChanges(now)
	t.State, t.Answer = model.TaskFailed, report.Answer
	e.tasks[report.ID.Index].failures++
	switch {
	case !c.mayRetry(now, e, e.tasks[report.ID.Index].failures):
		if e.rec.Request.Idempotent {
			e.rec.Reason = model.ReasonAttempts
		}
	case !e.serviceInstance && !c.budget.Allow(e.rec.Request.Team):
		e.rec.Reason = model.ReasonRetryBudget
	default:
		c.retry(now, e, report.ID.Index)
		return
	}
	c.finalizeIfEnded(now, e)
}

// mayRetry reports whether a task that failed or was lost may run again. It does
// not consult the retry budget, which only failed tasks are charged to: tasks lost
// with their worker are not caused by load, and the failure of a rack must not use
// the budget up.
func (c *Core) mayRetry(now time.Time, e *entry, failures int) bool {
	r := &e.rec.Request
	if e.rec.CancelRequested || e.rec.Fate.Terminal() {
		return false
	}
	if e.serviceInstance {
		return true
	}
	if !r.Idempotent || failures >= max(c.text.Retry.MaxAttempts, 1) || c.health.AttemptsExhausted(r.Key) {
		return false
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return false
	}
	return true
}

// retry queues a task again after an exponential backoff.
func (c *Core) retry(now time.Time, e *entry, index int) {
	c.counters.Retried++
	c.requeue(now, e, index, c.backoff.Delay(e.tasks[index].failures, c.rng))
	c.replicate(e)
}

// taskStopped handles a task that its worker has stopped. Without a cancellation or
// an expired deadline, the cause was a preemption or a drain, possibly by an earlier
// owner, or a lease that no owner renewed. Then an idempotent task is queued again
// and another one is lost.
func (c *Core) taskStopped(now time.Time, e *entry, index int) {
	c.markRunning(now, e)
	canRestart := e.serviceInstance || e.rec.Request.Idempotent
	c.endProbe(now, e.rec.Tasks[index].Worker)
	c.release(e, index)
	e.rec.Tasks[index].State = model.TaskStopped
	switch {
	case e.stopIsFinal():
	case canRestart:
		c.requeue(now, e, index, 0)
		c.replicate(e)
		return
	default:
		e.rec.Tasks[index].State = model.TaskLost
	}
	c.finalizeIfEnded(now, e)
}

// HandleTaskNotStarted records that worker w certainly did not start an attempt
// that was sent to it, for example because it refused the start. The task is queued
// again, without counting as a failure.
func (c *Core) HandleTaskNotStarted(now time.Time, w model.WorkerID, id model.TaskID, attempt int) {
	e := c.entries[id.Key]
	if !c.serving || e == nil || id.Index >= len(e.rec.Tasks) {
		return
	}
	t := &e.rec.Tasks[id.Index]
	if t.Worker != w || t.Attempt != attempt || !t.State.HoldsWorker() {
		return
	}
	c.taskNotStarted(now, e, id.Index)
}

// taskNotStarted queues a task again whose start the worker did not accept, or
// marks it as stopped if the request was cancelled.
func (c *Core) taskNotStarted(now time.Time, e *entry, index int) {
	c.counters.NotStarted++
	c.endProbe(now, e.rec.Tasks[index].Worker)
	c.release(e, index)
	t := &e.rec.Tasks[index]
	t.State, t.Worker = model.TaskQueued, ""
	if e.rec.CancelRequested {
		t.State = model.TaskStopped
		c.finalizeIfEnded(now, e)
		return
	}
	c.requeue(now, e, index, 0)
	c.replicate(e)
}

// taskLost handles a task whose worker is gone or restarted, so that its outcome is
// unknown. It is retried if it may be.
func (c *Core) taskLost(now time.Time, e *entry, index int) {
	c.counters.Lost++
	c.markRunning(now, e)
	c.release(e, index)
	t := &e.rec.Tasks[index]
	t.State = model.TaskLost
	e.tasks[index].failures++
	if c.mayRetry(now, e, e.tasks[index].failures) {
		c.retry(now, e, index)
		return
	}
	c.finalizeIfEnded(now, e)
}
