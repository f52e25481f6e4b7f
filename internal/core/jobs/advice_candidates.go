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

// adviceCandidates chooses the workers to request advice for. A gang with a
// planned start needs new tickets shortly before it, and further workers only if
// it has long to wait.
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

// renewalCandidates returns the workers that have capacity reserved for a gang
// and whose tickets for it are not valid at the time until. All tickets of a
// gang must be valid at once.
func (c *Core) renewalCandidates(until time.Time, s *step) []*worker {
	var candidates []*worker
	for _, t := range s.advice.allowed {
		if !t.valid(until) && slices.ContainsFunc(t.worker.reservations, func(r reservation) bool { return r.step == s }) && len(candidates) < maxAdviceWorkers {
			candidates = append(candidates, t.worker)
		}
	}
	return candidates
}

// taskCandidates chooses the workers with the most free capacity, as many as the
// pending tasks need at the usual share of allowed workers. Workers that are
// known to be allowed and need a new ticket come first; the capacity of each
// counts ten times.
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
	var candidates []*worker
	for _, w := range options {
		if needed <= 0 || len(candidates) == maxAdviceWorkers {
			break
		}
		n := min(w.resources.copies(s.def.Size), w.remainingPerWorker(s))
		candidates = append(candidates, w)
		needed -= float64(n) * float64(1+9*(1-s.permissionUnknown(w)))
	}
	return candidates
}

// gangCandidates chooses workers that have free capacity or will have it soon.
// All members start at the same time, so a call contains more workers than one
// for single tasks.
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
	minCandidates := 0
	if adviceCfg.DecisionTime >= longCallTime && adviceCfg.TimePerWorker > 0 {
		minCandidates = int(extraWorkersCostShare * float64(adviceCfg.DecisionTime) / float64(adviceCfg.TimePerWorker))
	}
	var candidates []*worker
	for _, o := range options {
		if needed <= 0 && len(candidates) >= minCandidates || len(candidates) == maxAdviceWorkers {
			break
		}
		candidates = append(candidates, o.worker)
		needed -= o.copies
	}
	return candidates
}

// extraWorkersCostShare is the fraction of an advice call's fixed time that
// additional workers in the call may cost.
const extraWorkersCostShare = 0.4

// soonFreeShare is the fraction of a worker's whole capacity that is assumed to
// become free in time for a gang.
const soonFreeShare = 0.3

// candidateSurplus is the ratio of the capacity for which advice is requested to
// the capacity that is needed.
const candidateSurplus = 1.5

// permissionUnknown returns 0 for a worker that is known to be allowed and 1
// for any other.
func (s *step) permissionUnknown(w *worker) int {
	if s.advice.find(w.ID) != nil {
		return 0
	}
	return 1
}
