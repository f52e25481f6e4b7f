package scheduler

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// setDraining starts a drain or ends it.
func (c *Core) setDraining(now time.Time, w *workerState, draining bool) {
	w.draining, w.drainingSince, w.drainEnforced = draining, now, false
	c.updatePlacementState(now, w.worker.ID)
}

// Drain stops new tasks on a worker at an operator's request. It returns the number
// of tasks that still hold capacity there, and false for an unknown worker.
func (c *Core) Drain(now time.Time, id model.WorkerID) (running int, found bool) {
	w := c.workers[id]
	if w == nil {
		return 0, false
	}
	w.drainRequested = true
	if !w.draining {
		c.setDraining(now, w, true)
	}
	return len(c.index.Tasks(id)), true
}

// RequestedDrains lists the workers that operators asked to drain, sorted by ID.
func (c *Core) RequestedDrains() []model.WorkerID {
	var out []model.WorkerID
	for id, w := range c.workers {
		if w.drainRequested {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// SetRequestedDrains replaces the set of workers that operators asked to drain by
// the owner's, so that drains survive a change of the owner. The drain of a worker
// that left the set ends with the next instance list.
func (c *Core) SetRequestedDrains(now time.Time, ids []model.WorkerID) {
	for id, w := range c.workers {
		drainRequested := slices.Contains(ids, id)
		if drainRequested == w.drainRequested {
			continue
		}
		w.drainRequested = drainRequested
		if drainRequested && !w.draining {
			c.setDraining(now, w, true)
		}
	}
}

// drainWorkers moves tasks off workers whose drain time, set by the limit DrainMS,
// is over.
func (c *Core) drainWorkers(now time.Time) {
	wait := time.Duration(c.text.Limits.DrainMS) * time.Millisecond
	for id, w := range c.workers {
		if !w.draining || w.drainEnforced || now.Sub(w.drainingSince) < wait {
			continue
		}
		w.drainEnforced = true
		for _, task := range c.index.Tasks(id) {
			c.moveIfIdempotent(task)
		}
	}
}

// moveIfIdempotent stops a running idempotent task with a checkpoint, so that it is
// placed on another worker. A non-idempotent task runs to its end, because it must
// not start a second time.
func (c *Core) moveIfIdempotent(id model.TaskID) {
	e := c.entries[id.Key]
	if e == nil || id.Index >= len(e.rec.Tasks) || e.rec.CancelRequested {
		return
	}
	if e.rec.Tasks[id.Index].State == model.TaskRunning && (e.rec.Request.Idempotent || e.serviceInstance) {
		c.stopTask(e, id.Index, StopCheckpoint)
	}
}
