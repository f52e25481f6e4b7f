package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
)

// restorePayload completes a record without payload, rebuilt from an inventory or the
// journal, with the payload of a repeated submission.
func (c *Core) restorePayload(e *entry, r model.Request) {
	if !e.rec.PayloadMissing || e.rec.Fate.Terminal() {
		return
	}
	e.rec.PayloadMissing = false
	e.rec.Request.Payload, e.rec.Request.Fingerprint = r.Payload, r.Fingerprint
	c.accountPayload(e)
	c.replicate(e)
}

// endRebuiltTask ends a task that would have to start again but whose payload is
// missing, and the waiting tasks of its request with it.
func (c *Core) endRebuiltTask(now time.Time, e *entry, index int) {
	t := &e.rec.Tasks[index]
	t.State, t.Worker = model.TaskLost, ""
	if e.rec.Started.IsZero() {
		t.State = model.TaskStopped
	}
	c.dropWaitingTasks(now, e, model.ReasonPayloadLost)
}

// resolveRebuilt ends the tasks of rebuilt requests that no inventory lists, once
// the inventories of all workers are known.
func (c *Core) resolveRebuilt(now time.Time) {
	if !c.serving || c.mergingInventories || c.hasUnleasedWorker() {
		return
	}
	for _, e := range c.entries {
		if !e.rec.PayloadMissing || e.rec.Fate.Terminal() || e.rec.DelegatedTo != "" || e.rec.Side == model.OldSide {
			continue
		}
		for i := range e.rec.Tasks {
			if e.rec.Tasks[i].State == model.TaskQueued && !e.rec.Fate.Terminal() {
				c.endRebuiltTask(now, e, i)
			}
		}
	}
}
