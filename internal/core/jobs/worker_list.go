package jobs

import (
	"time"
)

// SetWorkers replaces the list of workers. Workers that are no longer listed
// get no new tasks.
func (c *Core) SetWorkers(now time.Time, entries []WorkerEntry) {
	var previous []*worker
	for _, w := range c.workerList {
		if w.listed {
			previous = append(previous, w)
		}
		w.listed = false
	}
	c.poolsStale = true
	for i := range entries {
		c.setWorker(now, &entries[i])
	}
	c.recordAbsences(now, previous)
	if !c.workerListRead {
		c.listFirstReadAt = now
	}
	c.placementsStale, c.workerListRead = true, true
	c.decideDeferred(now)
}

// setWorker applies one entry of the instance list.
func (c *Core) setWorker(now time.Time, e *WorkerEntry) {
	w := c.worker(e.ID)
	if w.answered && w.incarnation == e.Incarnation && w.confirmedAddress != e.Address {
		// A process does not move: another writer made the entry, which says nothing.
		c.event(Event{Name: EventAnomaly, Worker: e.ID, Detail: "the entry names another address than that at which the process answers"})
		w.listed = true
		return
	}
	if e.Draining && !w.Draining {
		c.event(Event{Name: EventWorkerState, Worker: e.ID, Detail: WorkerDraining.String(), Age: e.RemainingTime})
	}
	if w.answered && w.incarnation > e.Incarnation && w.WorkerEntry.Incarnation == w.incarnation {
		// The entry is older than the worker's own answer.
		w.listed = true
		return
	}
	w.WorkerEntry, w.listed = *e, true
	if e.Draining {
		w.drainedIncarnation = e.Incarnation
	}
	w.resources.capacity = e.Capacity
	if w.answered && !w.leaseExpired {
		c.registerWorker(w)
	}
}
