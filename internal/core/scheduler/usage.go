package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
)

// HandleUsageReport corrects size estimates and reservations from the usage that a worker
// reports.
func (c *Core) HandleUsageReport(now time.Time, w model.WorkerID, usage []model.Usage) {
	if !c.serving {
		return
	}
	for _, u := range usage {
		e := c.entries[u.ID.Key]
		if e == nil || u.ID.Index >= len(e.rec.Tasks) || e.rec.Tasks[u.ID.Index].Worker != w {
			continue
		}
		r := &e.rec.Request
		c.estimator.Observe(r.Service, r.Size, u.Size)
		c.resize(e, u)
	}
}

// resize adjusts a running task's reservation to the current estimate. If the
// worker lacks the capacity and a batch task uses more than it has reserved, the task
// is throttled, so that the worker is not overloaded.
func (c *Core) resize(e *entry, u model.Usage) {
	t := &e.rec.Tasks[u.ID.Index]
	if t.State != model.TaskRunning {
		return
	}
	plannedSize := c.plannedSize(&e.rec.Request)
	if plannedSize == t.Planned {
		return
	}
	if c.index.Resize(u.ID, plannedSize) {
		t.Planned = plannedSize
		c.dirty = true
		return
	}
	if e.rec.Request.Class == model.Batch && !u.Size.Fits(t.Planned) {
		c.actions.addStop(t.Worker, Stop{ID: u.ID, Attempt: t.Attempt, Mode: StopThrottle})
	}
}
