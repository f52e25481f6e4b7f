package jobs

import (
	"time"

	"catkinvalve/internal/core/model"
)

// gangFit says whether the usable workers that may run a waiting gang have enough capacity
// for all its members.
type gangFit uint8

const (
	// fitsWorkers means that there is enough capacity, now or once runs have ended.
	fitsWorkers gangFit = iota
	// lacksFreeCapacity means the same, but the gang starves, and too little capacity is free.
	lacksFreeCapacity
	// fitsNever means that there is not enough capacity even once runs have ended. That changes
	// only with the workers or with the lasting tasks on them.
	fitsNever
)

// gangFitInterval is the time after which the fit of a gang is determined again if nothing has
// changed that is known to matter: lasting tasks come and go.
const gangFitInterval = 500 * time.Millisecond

// updateGangFits updates the fits of the waiting gangs.
func (c *Core) updateGangFits(now time.Time) {
	for _, s := range c.ready {
		if !s.def.Gang {
			continue
		}
		workers := len(c.pool(s).workers)
		if workers == s.fit.workers && now.Before(s.fit.checkAt) {
			continue
		}
		s.fit = fitState{fit: c.gangFit(s), workers: workers, checkAt: now.Add(gangFitInterval)}
	}
}

// fitState is the last known fit of a gang.
type fitState struct {
	fit gangFit
	// workers is the number of usable workers for which the fit was determined.
	workers int
	// checkAt is when the fit is determined again, even if the number has not changed. It is zero
	// to do so in the next round.
	checkAt time.Time
}

// gangFit determines the fit of a gang.
func (c *Core) gangFit(s *step) gangFit {
	switch {
	case !c.gangFitsInto(s, (*worker).freeOnceIdle):
		return fitsNever
	case s.starving && !c.gangFitsInto(s, (*worker).free):
		return lacksFreeCapacity
	}
	return fitsWorkers
}

// gangFitsInto reports whether all members of a gang fit into the capacity that room returns of
// each worker. Workers that advice has denied do not count, those whose permission is not known do.
func (c *Core) gangFitsInto(s *step, room func(*worker) model.Size) bool {
	missing := len(s.tasks)
	for _, w := range c.pool(s).workers {
		if missing <= 0 {
			break
		}
		if w.hasLabel(s.def.Label) && !s.advice.denies(w) {
			missing -= max(0, min(copiesIn(room(w), s.def.Size), w.remainingPerWorker(s)))
		}
	}
	return missing <= 0
}

// free returns the free capacity of the worker.
func (w *worker) free() model.Size { return w.resources.free() }

// freeOnceIdle returns the capacity that is free when all runs that end by themselves, or are
// being stopped, have ended.
func (w *worker) freeOnceIdle() model.Size {
	free := w.resources.capacity
	for _, r := range w.runs {
		if r.lasting() {
			free = free.Sub(r.size)
		}
	}
	return free
}

// lasting reports whether the run does not end by itself.
func (r *run) lasting() bool {
	return r.task != nil && r.task.step.def.LongRunning && !r.stop.wanted
}

// claimsCapacity reports whether free capacity is kept for a gang by admitting fewer of the
// gangs after it. In a pool that is mostly idle the others do not wait for long until runs have
// ended: no step should lack a run for long there.
func (s *step) claimsCapacity() bool { return s.fit.fit == fitsWorkers }
