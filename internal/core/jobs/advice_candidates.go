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
	if s.def.Gang {
		return c.gangCandidates(now, s)
	}
	return c.taskCandidates(now, s)
}

// taskCandidates chooses the workers with the most free capacity, as many as the
// pending tasks need at the usual share of allowed workers. Workers that are
// known to be allowed and need a new ticket come first; the capacity of each
// counts ten times. A worker is allowed or denied as a whole, so its capacity counts
// for no more tasks than are pending.
func (c *Core) taskCandidates(now time.Time, s *step) []*worker {
	var options []*worker
	for _, w := range c.sample(c.pool(s)) {
		if !w.resources.fits(s.def.Size) || !c.eligible(now, s, w) || s.advice.denies(w) || c.availableCopies(now, s, w) == 0 {
			continue
		}
		if t := s.advice.find(w.ID); t == nil || !t.valid(now) {
			options = append(options, w)
		}
	}
	slices.SortStableFunc(options, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(s.permissionUnknown(a), s.permissionUnknown(b)), cmp.Compare(score(s, a), score(s, b)))
	})
	needed := float64(s.pending) * candidateSurplus / c.relays.expectedAllowRate(s.job().queue.Name)
	var candidates []*worker
	for _, w := range options {
		if needed <= 0 || len(candidates) == maxAdviceWorkers {
			break
		}
		n := min(w.resources.copies(s.def.Size), w.remainingPerWorker(s), s.pending)
		candidates = append(candidates, w)
		needed -= float64(n) * float64(1+9*(1-s.permissionUnknown(w)))
	}
	return candidates
}

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
