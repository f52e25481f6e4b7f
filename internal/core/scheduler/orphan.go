package scheduler

import (
	"strconv"
	"strings"

	"catkinvalve/internal/core/model"
)

// leftoverMark separates the parts of a leftover's key. Keys of requests have
// no spaces.
const orphanSeparator = " "

// leftoverID names the reservation of an attempt that was given up but still
// runs. It differs from the task's own ID, because a later attempt may hold
// another worker at the same time.
func orphanID(w model.WorkerID, id model.TaskID, attempt int) model.TaskID {
	id.Key += orphanSeparator + string(w) + orphanSeparator + strconv.Itoa(attempt)
	return id
}

// stopLeftover stops an attempt that the record no longer refers to. It holds
// capacity of its worker until the worker reports its end.
func (c *Core) stopOrphan(e *entry, w model.WorkerID, t model.RunningTask) {
	need := needOf(&e.rec.Request, t.Size)
	c.index.Reserve(w, orphanID(w, t.ID, t.Attempt), need)
	c.actions.addStop(w, TaskStop{ID: t.ID, Attempt: t.Attempt, Mode: StopNow})
}

func (c *Core) releaseOrphan(w model.WorkerID, id model.TaskID, attempt int) {
	c.index.Release(orphanID(w, id, attempt))
	c.dirty = true
}

// forgetLeftovers drops the leftovers of a worker before its inventory tells
// which of them still run.
func (c *Core) releaseOrphans(w model.WorkerID) {
	for _, id := range c.index.Tasks(w) {
		if strings.Contains(id.Key, orphanSeparator) {
			c.index.Release(id)
		}
	}
}
