package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
)

// taskCounts counts the tasks of a request that are not done, by state.
type taskCounts struct {
	failed, lost, stopped int
	// waiting tasks are queued, assigned ones are with a worker.
	waiting, assigned int
	// answerBytes is the size of the answers of all tasks.
	answerBytes int
}

// countTasks returns the counts of the tasks of a request.
func countTasks(tasks []model.TaskRecord) taskCounts {
	var n taskCounts
	for i := range tasks {
		switch tasks[i].State {
		case model.TaskDone:
		case model.TaskFailed:
			n.failed++
		case model.TaskLost:
			n.lost++
		case model.TaskStopped:
			n.stopped++
		case model.TaskQueued:
			n.waiting++
		default:
			n.assigned++
		}
		n.answerBytes += len(tasks[i].Answer)
	}
	return n
}

// finalizeIfEnded gives the request its final fate once all tasks have ended. A
// gang of which a task has to run again is requeued instead.
func (c *Core) finalizeIfEnded(now time.Time, e *entry) {
	if e.rec.Fate.Terminal() {
		return
	}
	n := countTasks(e.rec.Tasks)
	switch {
	case n.waiting > 0 && (c.mergingInventories || e.rec.PayloadMissing):
		// An inventory that was not merged yet may list the tasks that are recorded as
		// waiting.
	case n.waiting > 0 && n.assigned == 0 && e.rec.Request.Class == model.AllAtOnce:
		c.requeue(now, e, 0, 0)
		if !e.rec.Fate.Terminal() {
			c.replicate(e)
		}
	case n.waiting+n.assigned > 0:
		// Workers forget ended tasks after a while, so the standbys have to know
		// the outcome.
		c.replicate(e)
	default:
		c.finalizeEnded(now, e, n)
	}
}

// finalizeEnded gives a request whose tasks have all ended the fate that follows from
// their outcomes.
func (c *Core) finalizeEnded(now time.Time, e *entry, n taskCounts) {
	e.rec.Answer = joinAnswers(e.rec.Tasks, n.answerBytes)
	switch {
	case n.lost > 0:
		c.finalize(now, e, model.Unknown, e.reasonOr(model.ReasonWorkerLost))
	case e.rec.Started.IsZero():
		c.finalize(now, e, model.NotRun, e.reasonOr(model.ReasonCancelled))
	case n.stopped > 0:
		reason := e.rec.Reason
		if reason == model.ReasonCancelled {
			reason = ""
		}
		c.finalize(now, e, model.Cancelled, reason)
	default:
		e.rec.OK = n.failed == 0
		reason := e.rec.Reason
		if e.rec.OK {
			reason = ""
		}
		c.finalize(now, e, model.Done, reason)
	}
}

// reasonOr returns the reason in the record, or r if there is none.
func (e *entry) reasonOr(r model.Reason) model.Reason {
	if e.rec.Reason != "" {
		return e.rec.Reason
	}
	return r
}

// joinAnswers concatenates the answers of all tasks, of size bytes in total, and
// removes them from the tasks.
func joinAnswers(tasks []model.TaskRecord, size int) []byte {
	if size == 0 {
		return nil
	}
	out := make([]byte, 0, size)
	for i := range tasks {
		out = append(out, tasks[i].Answer...)
		tasks[i].Answer = nil
	}
	return out
}

// finalize gives the request a final fate. Callers are notified once the
// standbys have it.
func (c *Core) finalize(now time.Time, e *entry, f model.Fate, reason model.Reason) {
	if e.rec.Fate.Terminal() {
		return
	}
	c.queue.RemoveKey(e.rec.Request.Key)
	c.health.ForgetKey(e.rec.Request.Key)
	e.rec.Fate, e.rec.Reason, e.rec.Ended = f, reason, now
	c.replicate(e)
	e.finalVersion = e.rec.Version
	c.journal(e)
	c.accountFinalized(e, now)
	if e.serviceInstance {
		c.dirty = true
	}
}

// dropWaitingTasks ends the tasks that have not started, and the request if none
// of its tasks runs. A waiting task that an earlier owner may have started counts as
// lost.
func (c *Core) dropWaitingTasks(now time.Time, e *entry, reason model.Reason) {
	if e.rec.Fate.Terminal() {
		return
	}
	c.queue.RemoveKey(e.rec.Request.Key)
	e.rec.Reason = reason
	for i := range e.rec.Tasks {
		t := &e.rec.Tasks[i]
		unsent := t.State == model.TaskStarting && e.tasks[i].startVersion != 0
		if unsent {
			c.release(e, i)
		}
		switch {
		case t.State == model.TaskQueued && c.mayHaveStarted(e):
			t.State = model.TaskLost
		case unsent, t.State == model.TaskQueued:
			t.State = model.TaskStopped
		}
	}
	c.finalizeIfEnded(now, e)
}
