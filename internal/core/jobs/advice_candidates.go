package jobs

import (
	"cmp"
	"slices"
	"time"
)

// sampleSize limits the workers among which the candidates for one advice call
// are chosen, so that the cost of a decision does not grow with the number of
// workers.
const sampleSize = 400

// sample returns the next workers of a pool, in rotation.
func (c *Core) sample(p *pool) []*worker {
	n := len(p.workers)
	if n <= sampleSize {
		return p.workers
	}
	c.sampleBuf = c.sampleBuf[:0]
	for i := range sampleSize {
		c.sampleBuf = append(c.sampleBuf, p.workers[(p.next+i)%n])
	}
	p.next = (p.next + sampleSize) % n
	return c.sampleBuf
}

// adviceCandidates chooses the workers to request advice for.
func (c *Core) adviceCandidates(now time.Time, s *step) []*worker {
	if !s.def.Gang {
		return c.taskCandidates(now, s)
	}
	if s.plannedStart.IsZero() {
		return c.gangCandidates(now, s)
	}
	adviceCfg := s.job().queue.Advice
	callTime := adviceCfg.DecisionTime + time.Duration(len(s.tasks))*adviceCfg.TimePerWorker
	if !now.Add(callTime + ticketMargin).Before(s.plannedStart) {
		return c.renewalCandidates(now.Add(callTime+ticketMargin), s)
	}
	if s.plannedStart.Sub(now) > plannedWaitCalls*callTime && s.advice.calls < maxGangAdviceCalls {
		return c.gangCandidates(now, s)
	}
	return nil
}

const (
	// plannedWaitCalls is the planned wait of a gang, as a multiple of the
	// duration of an advice call, above which advice for further workers is
	// requested.
	plannedWaitCalls = 2
	// maxGangAdviceCalls limits the advice calls of a gang after which no
	// further workers are requested.
	maxGangAdviceCalls = 6
)

// renewalCandidates returns the workers with capacity reserved for a gang whose
// tickets expire before a time. All tickets of a gang must be valid at once.
func (c *Core) renewalCandidates(until time.Time, s *step) []*worker {
	var named []*worker
	for _, t := range s.advice.allowed {
		if !t.valid(until) && slices.ContainsFunc(t.worker.reservations, func(r reservation) bool { return r.step == s }) && len(named) < maxAdviceWorkers {
			named = append(named, t.worker)
		}
	}
	return named
}

// taskCandidates chooses the workers with the most free capacity, enough for
// the pending tasks at the usual share of allowed workers.
func (c *Core) taskCandidates(now time.Time, s *step) []*worker {
	var options []*worker
	for _, w := range c.sample(c.pool(s)) {
		if !w.resources.fits(s.def.Size) || !c.eligible(now, s, w) || s.advice.denied[w.ID] || c.availableCopies(now, s, w) == 0 {
			continue
		}
		if t := s.advice.find(w.ID); t == nil || !t.valid(now) {
			options = append(options, w)
		}
	}
	slices.SortStableFunc(options, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(s.permissionUnknown(a), s.permissionUnknown(b)), cmp.Compare(b.resources.copies(s.def.Size), a.resources.copies(s.def.Size)))
	})
	needed := float64(s.pending) * candidateSurplus / c.relays.expectedAllowRate(s.job().queue.Name)
	var named []*worker
	for _, w := range options {
		if needed <= 0 || len(named) == maxAdviceWorkers {
			break
		}
		fits := min(w.resources.copies(s.def.Size), w.remainingPerWorker(s))
		named = append(named, w)
		needed -= float64(fits) * float64(1+9*(1-s.permissionUnknown(w)))
	}
	return named
}

// gangCandidates chooses workers that have free capacity or will have it soon.
// All members start at the same time, so more workers are named than for single
// tasks.
func (c *Core) gangCandidates(now time.Time, s *step) []*worker {
	type option struct {
		worker *worker
		copies float64
	}
	var options []option
	for _, w := range c.sample(c.pool(s)) {
		if !c.eligible(now, s, w) || s.advice.denied[w.ID] || s.advice.find(w.ID) != nil || !s.def.Size.Fits(w.resources.capacity) {
			continue
		}
		soon := copiesIn(w.resources.capacity, s.def.Size)
		options = append(options, option{w, float64(w.resources.copies(s.def.Size)) + soonFreeShare*float64(soon)})
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(b.copies, a.copies), cmp.Compare(a.worker.slowdownFactor(), b.worker.slowdownFactor()))
	})
	needed := float64(len(s.tasks)) * candidateSurplus / c.relays.expectedAllowRate(s.job().queue.Name)
	adviceCfg := s.job().queue.Advice
	minNamed := 0
	if adviceCfg.DecisionTime >= longCallTime && adviceCfg.TimePerWorker > 0 {
		minNamed = int(extraWorkersCostShare * float64(adviceCfg.DecisionTime) / float64(adviceCfg.TimePerWorker))
	}
	var named []*worker
	for _, o := range options {
		if needed <= 0 && len(named) >= minNamed || len(named) == maxAdviceWorkers {
			break
		}
		named = append(named, o.worker)
		needed -= o.copies
	}
	return named
}

// extraWorkersCostShare is the fraction of an advice call's fixed time that may
// be spent on naming additional workers.
const extraWorkersCostShare = 0.4

// soonFreeShare is the fraction of a worker's whole capacity that is assumed to
// become free in time for a gang.
const soonFreeShare = 0.3

// candidateSurplus is the ratio of the capacity requested to the capacity
// needed.
const candidateSurplus = 1.5

// permissionUnknown returns 0 for a worker that is known to be allowed and 1
// for any other.
func (s *step) permissionUnknown(w *worker) int {
	if s.advice.find(w.ID) != nil {
		return 0
	}
	return 1
}
