package scheduler

import (
	"strconv"
	"strings"

	"catkinvalve/internal/core/model"
)

// orphanSeparator separates the parts of the key of an orphan, which is an attempt that
// the records no longer refer to but that still runs on its worker. Keys of requests
// have no spaces.
const orphanSeparator = " "

// orphanID returns the ID of an orphan's reservation. It differs from the task's own
// ID, because a later attempt may hold capacity of another worker at the same time.
func orphanID(w model.WorkerID, id model.TaskID, attempt int) model.TaskID {
	id.Key += orphanSeparator + string(w) + orphanSeparator + strconv.Itoa(attempt)
	return id
}

// stopOrphan stops an orphan. It holds capacity of its worker until the worker
// reports its end.
func (c *Core) stopOrphan(e *entry, w model.WorkerID, t model.RunningTask) {
	spec := taskSpec(&e.rec.Request, t.Size)
	c.index.Reserve(w, orphanID(w, t.ID, t.Attempt), spec)
	c.actions.addStop(w, Stop{ID: t.ID, Attempt: t.Attempt, Mode: StopNow})
}

// releaseOrphan frees the reservation of an orphan. Other attempts are ignored.
func (c *Core) releaseOrphan(w model.WorkerID, id model.TaskID, attempt int) {
	c.index.Release(orphanID(w, id, attempt))
	c.dirty = true
}

// releaseOrphans frees the reservations of all orphans of a worker, before its new
// inventory shows which of them still run.
func (c *Core) releaseOrphans(w model.WorkerID) {
	for _, id := range c.index.Tasks(w) {
		if strings.Contains(id.Key, orphanSeparator) {
			c.index.Release(id)
		}
	}
}
