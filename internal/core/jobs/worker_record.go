package jobs

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// recordSilenceAfter is the time after a missed sync after which the jobs that may
// run on a worker are stored in its record, if it has not answered since.
const recordSilenceAfter = 300 * time.Millisecond

// registerWorker puts the record of a listed worker that is not draining into
// the next batch, if it has none; the worker gets no tasks before that is
// stored.
func (c *Core) registerWorker(w *worker) {
	if w.recordState != recordNone || !w.listed || w.Draining {
		return
	}
	w.recordState = recordSent
	c.queueRecord(w)
	c.batch.partial.DropWorkers = slices.DeleteFunc(c.batch.partial.DropWorkers, func(id model.WorkerID) bool { return id == w.ID })
}

// deregisterWorker deletes the stored record of a worker that can run nothing
// any more.
func (c *Core) deregisterWorker(w *worker) {
	if w.recordState == recordNone {
		return
	}
	w.recordState = recordNone
	c.batch.workers = slices.DeleteFunc(c.batch.workers, func(o *worker) bool { return o == w })
	c.batch.partial.DropWorkers = append(c.batch.partial.DropWorkers, w.ID)
}

// queueRecord puts the record of a worker into the next batch.
func (c *Core) queueRecord(w *worker) {
	if !slices.Contains(c.batch.workers, w) {
		c.batch.workers = append(c.batch.workers, w)
	}
}

// record returns the stored form of a worker.
func (w *worker) record() WorkerRecord {
	r := WorkerRecord{ID: w.ID, Address: w.address(), Service: w.Service, Silent: w.recordState == recordSilent, Capacity: w.resources.capacity}
	if !r.Silent {
		return r
	}
	if !w.Draining {
		r.Incarnation, r.Runs = w.incarnation, w.interruptedRuns(w.failedAt)
	}
	for _, run := range w.runs {
		r.Tasks = append(r.Tasks, run.ref)
		if !slices.Contains(r.Jobs, run.ref.Job) {
			r.Jobs = append(r.Jobs, run.ref.Job)
		}
	}
	return r
}

// updateRecord keeps the record of a worker such that the next leader has to
// wait for as few jobs as possible if the worker does not answer it.
func (c *Core) updateRecord(now time.Time, w *worker) {
	if !w.answered || w.leaseExpired || c.recovery.awaits(w.ID) {
		return
	}
	switch {
	case w.missedSyncs == 0 && w.Draining && len(w.runs) == 0:
		c.deregisterWorker(w)
	case w.recordState == recordStored && !c.storeStalled && (w.Draining || w.missedSyncs > 0 && now.Sub(w.failedAt) >= recordSilenceAfter):
		w.recordState = recordSilent
		c.poolsStale = true
		c.queueRecord(w)
	}
}

// registerAgain registers a worker that answers. A record that lists its jobs
// since it became silent has to be replaced first.
func (c *Core) registerAgain(w *worker) {
	if w.recordState == recordSilent && !w.Draining {
		w.recordState = recordNone
	}
	c.registerWorker(w)
}
