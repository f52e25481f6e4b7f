package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
)

// lostMargin is added to the lease TTL and the task grace before the tasks of an
// unreachable worker count as stopped. It covers differences between the clock
// rates of the worker and the owner.
const lostMargin = 2 * time.Second

// ListedWorker is a worker of the data centre as the instance list shows it.
// Leaving is set while the list marks it for removal.
type ListedWorker struct {
	Worker  model.Worker
	Leaving bool
}

// SetWorkerList applies a new instance list. Workers that are not listed any more
// and whose lease is not held are removed, and their tasks count as lost.
func (c *Core) SetWorkerList(now time.Time, listed []ListedWorker) {
	seen := make(map[model.WorkerID]bool, len(listed))
	for _, l := range listed {
		seen[l.Worker.ID] = true
		c.upsertWorker(now, l)
	}
	for id, w := range c.workers {
		if !seen[id] && !w.leased {
			c.removeWorker(now, id)
		}
	}
	c.health.SetWorkerCount(len(c.workers))
	c.updateLargestWorker(now)
	c.resolveRebuilt(now)
	c.endDoubtIfResolved(now)
}

// upsertWorker adds a listed worker, or updates the drain state of a known one. The
// capacity and rack of a known worker are taken from its lease grants only.
func (c *Core) upsertWorker(now time.Time, l ListedWorker) {
	w := c.workers[l.Worker.ID]
	if w == nil {
		w = &workerState{worker: l.Worker, lastContact: now}
		c.workers[l.Worker.ID] = w
		c.index.Upsert(c.withoutOldSystemSlots(l.Worker))
		c.updatePlacementState(now, l.Worker.ID)
	}
	if draining := l.Leaving || w.drainRequested; draining != w.draining {
		c.setDraining(now, w, draining)
	}
}

// withoutOldSystemSlots subtracts the slots of the old system from a worker's
// capacity.
func (c *Core) withoutOldSystemSlots(w model.Worker) model.Worker {
	w.Capacity.Slots = max(0, w.Capacity.Slots-c.oldSystemSlots)
	return w
}

// updateLargestWorker updates largestWorker and capacityKnown. A request can only
// be refused as fitting no worker once all capacities are known.
func (c *Core) updateLargestWorker(now time.Time) {
	knownBefore := c.capacityKnown
	c.capacityKnown = len(c.workers) > 0
	var largestWorker model.Size
	for _, w := range c.workers {
		if w.bootID == "" {
			c.capacityKnown = false
		}
		largestWorker = largestWorker.Max(w.worker.Capacity)
	}
	c.largestWorker = largestWorker
	if c.capacityKnown && !knownBefore && c.serving {
		c.endUnplaceable(now)
	}
}

// endUnplaceable ends requests as not run that were accepted before all capacities
// were known and that fit no worker.
func (c *Core) endUnplaceable(now time.Time) {
	for _, e := range c.entries {
		if e.rec.Fate != model.Queued || e.rec.Side != model.NewSide || e.rec.DelegatedTo != "" ||
			e.lookupPending || e.serviceInstance || !e.neverAssigned() || c.mayHaveStarted(e) {
			continue
		}
		r := &e.rec.Request
		if _, never := c.index.NeverFits(c.plannedSpec(r), gangTasks(r)); never {
			c.finalize(now, e, model.NotRun, model.ReasonNeverFits)
		}
	}
}

// assignedTasks returns the tasks that the records assign to a worker.
func (c *Core) assignedTasks(w model.WorkerID) []model.TaskID {
	var ids []model.TaskID
	for _, id := range c.index.Tasks(w) {
		e := c.entries[id.Key]
		if e == nil || id.Index >= len(e.rec.Tasks) {
			continue
		}
		if t := &e.rec.Tasks[id.Index]; t.Worker == w && t.State.HoldsWorker() {
			ids = append(ids, id)
		}
	}
	return ids
}

// HandleLeaseRenewed records that a worker's lease was renewed.
func (c *Core) HandleLeaseRenewed(now time.Time, id model.WorkerID) {
	if w := c.workers[id]; w != nil {
		w.lastContact = now
	}
}

// HandleLeaseLost records that the lease on a worker is no longer held. Its tasks
// stay assigned until the worker grants a lease again or must have stopped them.
func (c *Core) HandleLeaseLost(now time.Time, id model.WorkerID) {
	if w := c.workers[id]; w != nil && w.leased {
		w.leased = false
		c.updatePlacementState(now, id)
	}
}

// loseTasksOfUnreachable marks tasks as lost whose workers were unreachable for so
// long that they have stopped them by their own clock.
func (c *Core) loseTasksOfUnreachable(now time.Time) {
	limit := c.taskStopTimeout()
	for id, w := range c.workers {
		if !w.leased && now.Sub(w.lastContact) > limit {
			c.loseTasks(now, id)
		}
	}
}

// loseTasks handles all tasks assigned to a worker as lost.
func (c *Core) loseTasks(now time.Time, w model.WorkerID) {
	for _, id := range c.assignedTasks(w) {
		c.taskLost(now, c.entries[id.Key], id.Index)
	}
}

// removeWorker forgets a worker. Its tasks count as lost.
func (c *Core) removeWorker(now time.Time, id model.WorkerID) {
	c.loseTasks(now, id)
	for _, t := range c.index.Tasks(id) {
		c.index.Release(t)
	}
	c.index.Remove(id)
	c.health.RemoveWorker(id)
	delete(c.workers, id)
	c.dirty = true
}
