package jobs

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// silenceRecorded is the time without an answer after which it is stored what may
// run on a worker.
const silenceRecorded = 300 * time.Millisecond

// enroll puts a worker's record into the next batch; before that is stored the
// worker gets no work.
func (c *Core) enroll(w *worker) {
	if w.roster != rosterNone || !w.listed || w.Draining {
		return
	}
	w.roster = rosterSent
	c.putRecord(w)
	c.batch.drops.DropWorkers = slices.DeleteFunc(c.batch.drops.DropWorkers, func(id model.WorkerID) bool { return id == w.ID })
}

// strike deletes the record of a worker that can run nothing any more.
func (c *Core) strike(w *worker) {
	if w.roster == rosterNone {
		return
	}
	w.roster = rosterNone
	c.batch.workers = slices.DeleteFunc(c.batch.workers, func(o *worker) bool { return o == w })
	c.batch.drops.DropWorkers = append(c.batch.drops.DropWorkers, w.ID)
}

// putRecord puts the record of a worker into the next batch.
func (c *Core) putRecord(w *worker) {
	if !slices.Contains(c.batch.workers, w) {
		c.batch.workers = append(c.batch.workers, w)
	}
}

// record returns the stored form of a worker.
func (w *worker) record() WorkerRecord {
	r := WorkerRecord{ID: w.ID, Address: w.Address, Service: w.Service, Silent: w.roster == rosterSilent}
	if !r.Silent {
		return r
	}
	for _, run := range w.runs {
		if !slices.Contains(r.Jobs, run.ref.Job) {
			r.Jobs = append(r.Jobs, run.ref.Job)
		}
	}
	return r
}

// checkRoster keeps the record of a worker such that a next leader has to wait
// for as little as possible, should the worker not answer it.
func (c *Core) checkRoster(now time.Time, w *worker) {
	if !w.answered || w.lapsed || c.gate.waitsFor(w.ID) {
		return
	}
	switch {
	case w.misses == 0 && w.Draining && len(w.runs) == 0:
		c.strike(w)
	case w.misses > 0 && w.roster == rosterStored && !c.stalled && now.Sub(w.contact) >= silenceRecorded:
		w.roster = rosterSilent
		c.poolStale = true
		c.putRecord(w)
	}
}

// heardAgain enrols a worker that answers. A record of its silence has to be
// replaced first.
func (c *Core) heardAgain(w *worker) {
	if w.roster == rosterSilent && !w.Draining {
		w.roster = rosterNone
	}
	c.enroll(w)
}
