package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
)

// Cancel cancels a request and returns its record. Tasks that have not started never
// will. Running tasks are stopped, and the outcome that their workers report decides
// the fate. The error is a *fault.Error of the kinds that Fate returns.
func (c *Core) Cancel(now time.Time, key string) (model.Record, error) {
	if !c.serving {
		return model.Record{}, c.errNoOwner()
	}
	e := c.entries[key]
	if e == nil {
		return model.Record{}, c.errUnknownKey(key)
	}
	c.cancel(now, e)
	return c.callerView(e), nil
}

// cancel cancels the request of an entry, wherever it waits or runs.
func (c *Core) cancel(now time.Time, e *entry) {
	if e.rec.Fate.Terminal() || e.rec.CancelRequested {
		return
	}
	e.rec.CancelRequested = true
	switch {
	case e.lookupPending:
		// The old system may have run the key, so its answer decides the fate.
	case e.rec.Side == model.OldSide:
		c.cancelOnOldSystem(now, e)
	case e.rec.DelegatedTo != "":
		c.cancelDelegated(now, e)
	default:
		c.cancelTasks(now, e)
	}
	if !e.rec.Fate.Terminal() {
		c.replicate(e)
	}
}

// cancelTasks stops the tasks that may have started and ends the others.
func (c *Core) cancelTasks(now time.Time, e *entry) {
	for i := range e.rec.Tasks {
		t := &e.rec.Tasks[i]
		if t.State.HoldsWorker() && e.tasks[i].startVersion == 0 && t.State != model.TaskStopping {
			c.stopTask(e, i, StopNow)
		}
	}
	c.dropWaitingTasks(now, e, model.ReasonCancelled)
}
