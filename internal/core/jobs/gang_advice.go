package jobs

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// plannedWaitCalls is the planned wait of a gang, as a multiple of the
	// duration of an advice call, above which advice for further workers is
	// requested.
	plannedWaitCalls = 2
	// maxGangAdviceCalls limits the advice calls of a gang after which no
	// further workers are requested while a start is planned.
	maxGangAdviceCalls = 24
	// maxEarlyCalls limits the advice calls of a gang before its turn to look for capacity.
	maxEarlyCalls = 4
	// soonFreeShare is the fraction of a worker's whole capacity that is assumed to
	// become free in time for a gang.
	soonFreeShare = 0.3
	// lostPlacesDivisor determines how many of the places of a gang are assumed to be taken
	// by more urgent tasks while its calls are in flight: one of this many.
	lostPlacesDivisor = 8
)

// admitGangs determines which gangs may look for capacity: the most urgent ones, until
// together they need all that is free. The others would only ask for advice in vain and
// delay the calls of the more urgent ones. A gang that cannot start does not count, however
// urgent it is.
func (c *Core) admitGangs() {
	for _, s := range c.ready {
		if !s.def.Gang || s.job().queue.Advice == nil || !c.placeable(s) {
			continue
		}
		p := c.pool(s)
		s.admitted = p.hasSpare() && s.fit.fit != fitsNever
		if s.claimsCapacity() {
			p.free = p.free.Sub(s.def.Size.Times(int64(s.pending)))
		}
	}
}

// heldCopies is capacity for a number of members on one worker.
type heldCopies struct {
	worker *worker
	copies int
}

// gangCandidates chooses the workers to request advice for so that all members of a
// gang can start when the calls are answered: all tickets have to be valid at once. It
// holds the capacity on the workers that are known to be allowed.
func (c *Core) gangCandidates(now time.Time, s *step) []*worker {
	if !s.admitted {
		return c.earlyCandidates(now, s)
	}
	known := c.freeOnAllowed(now, s)
	copies := countCopies(known)
	if copies >= len(s.tasks) {
		return c.renew(now, s, known)
	}
	fresh, expected := c.freeOnUnknown(now, s, len(s.tasks)-copies+len(s.tasks)/lostPlacesDivisor)
	if float64(copies)+expected >= float64(len(s.tasks)) {
		return append(c.renew(now, s, known), fresh...)
	}
	return c.waitingGangCandidates(now, s)
}

// earlyCandidates chooses workers for a gang that has to wait, so that it knows enough
// allowed ones when its turn comes.
func (c *Core) earlyCandidates(now time.Time, s *step) []*worker {
	if s.advice.calls >= maxEarlyCalls {
		return nil
	}
	potential := 0
	for _, t := range s.advice.allowed {
		potential += copiesIn(t.worker.resources.capacity, s.def.Size)
	}
	if float64(potential) >= candidateSurplus*float64(len(s.tasks)) {
		return nil
	}
	return c.soonFreeOnUnknown(now, s)
}

// waitingGangCandidates chooses workers for a gang for which there is not enough free
// capacity. Near its planned start it needs new tickets; if that is far away, or cannot
// be planned, it needs further workers.
func (c *Core) waitingGangCandidates(now time.Time, s *step) []*worker {
	callTime := s.job().queue.Advice.callTime(len(s.tasks))
	switch {
	case s.plannedStart.IsZero():
		return c.soonFreeOnUnknown(now, s)
	case !now.Add(callTime + ticketMargin).Before(s.plannedStart):
		return c.renewalCandidates(now.Add(callTime+ticketMargin), s)
	case s.plannedStart.Sub(now) > plannedWaitCalls*callTime && s.advice.calls < maxGangAdviceCalls:
		return c.soonFreeOnUnknown(now, s)
	}
	return nil
}

func countCopies(held []heldCopies) int {
	n := 0
	for _, h := range held {
		n += h.copies
	}
	return n
}

// freeOnAllowed returns the capacity for members of a gang on the workers that are
// known to be allowed, the best first.
func (c *Core) freeOnAllowed(now time.Time, s *step) []heldCopies {
	var out []heldCopies
	for _, t := range s.advice.allowed {
		if !c.eligible(now, s, t.worker) {
			continue
		}
		if n := min(c.availableCopies(now, s, t.worker), t.worker.remainingPerWorker(s)); n > 0 {
			out = append(out, heldCopies{t.worker, n})
		}
	}
	slices.SortStableFunc(out, func(a, b heldCopies) int {
		return cmp.Or(cmp.Compare(b.copies, a.copies), cmp.Compare(a.worker.slowdownFactor(), b.worker.slowdownFactor()))
	})
	return out
}

// renew holds capacity for a gang, at most as much as it needs, and returns the workers
// among these whose tickets expire before the calls are answered.
func (c *Core) renew(now time.Time, s *step, known []heldCopies) []*worker {
	needed := len(s.tasks)
	c.release(s)
	s.heldUntil = now.Add(s.job().queue.Advice.callTime(min(maxAdviceWorkers, len(known))))
	until := s.heldUntil.Add(ticketMargin)
	var expiring []*worker
	for _, h := range known {
		if needed <= 0 {
			break
		}
		h.copies = min(h.copies, needed)
		needed -= h.copies
		s.held = append(s.held, h)
		if t := s.advice.find(h.worker.ID); !t.valid(until) {
			expiring = append(expiring, h.worker)
		}
	}
	c.holdReservations(s.heldUntil, s)
	return expiring
}

// freeOnUnknown returns the workers with the most free capacity whose permission is not
// known, as many as the given number of members needs, and the expected number of
// members for which they have capacity and permission.
func (c *Core) freeOnUnknown(now time.Time, s *step, needed int) ([]*worker, float64) {
	type option struct {
		worker *worker
		copies float64
	}
	rate := c.relays.expectedAllowRate(s.job().queue.Name)
	var options []option
	for _, w := range c.pool(s).workers {
		if !w.resources.fits(s.def.Size) || !c.eligible(now, s, w) || s.advice.denies(w) || s.advice.find(w.ID) != nil {
			continue
		}
		n := min(c.availableCopies(now, s, w), w.remainingPerWorker(s))
		if n > 0 {
			options = append(options, option{w, float64(n) * math.Pow(1-rate/candidateSurplus, float64(w.gangCalls))})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(b.copies, a.copies), cmp.Compare(a.worker.slowdownFactor(), b.worker.slowdownFactor()))
	})
	var out []*worker
	wanted, expected := candidateSurplus*float64(needed), 0.0
	for _, o := range options {
		if expected >= wanted && len(out) >= minCandidates(rate) {
			break
		}
		out = append(out, o.worker)
		expected += rate * o.copies
	}
	return out, expected
}

// minCandidates returns the number of workers of which at least one is allowed with the
// probability candidateConfidence, at a share of allowed workers. The expected capacity says
// little where a few workers would do.
func minCandidates(rate float64) int {
	return int(math.Ceil(math.Log(1-candidateConfidence) / math.Log(1-min(rate, candidateConfidence))))
}

// candidateConfidence is the probability that an advice call for further workers allows one.
const candidateConfidence = 0.95

// soonFreeOnUnknown chooses workers that have free capacity or will have it soon, among
// those whose permission is not known.
func (c *Core) soonFreeOnUnknown(now time.Time, s *step) []*worker {
	type option struct {
		worker *worker
		copies float64
	}
	var options []option
	for _, w := range c.sample(c.pool(s)) {
		if !c.eligible(now, s, w) || s.advice.denies(w) || s.advice.find(w.ID) != nil || !s.def.Size.Fits(w.resources.capacity) {
			continue
		}
		soon := float64(w.resources.copies(s.def.Size)) + soonFreeShare*float64(copiesIn(w.resources.capacity, s.def.Size))
		options = append(options, option{w, min(soon, float64(len(s.tasks)))})
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(b.copies, a.copies), cmp.Compare(a.worker.slowdownFactor(), b.worker.slowdownFactor()))
	})
	rate := c.relays.expectedAllowRate(s.job().queue.Name)
	needed := float64(len(s.tasks)) * candidateSurplus / rate
	var candidates []*worker
	for _, o := range options {
		if needed <= 0 && len(candidates) >= minCandidates(rate) || len(candidates) == maxAdviceWorkers {
			break
		}
		candidates = append(candidates, o.worker)
		needed -= o.copies
	}
	return candidates
}

// renewalCandidates returns the workers that have capacity reserved for a gang
// and whose tickets for it are not valid at the time until.
func (c *Core) renewalCandidates(until time.Time, s *step) []*worker {
	var candidates []*worker
	for _, t := range s.advice.allowed {
		if !t.valid(until) && slices.ContainsFunc(t.worker.reservations, func(r reservation) bool { return r.step == s }) {
			candidates = append(candidates, t.worker)
		}
	}
	return candidates
}

// holdReservations reserves the held capacity of a gang until it is expected to start.
func (c *Core) holdReservations(startAt time.Time, s *step) {
	for _, h := range s.held {
		c.reserve(h.worker, reservation{step: s, copies: h.copies, startAt: startAt, held: true})
	}
}

// release gives up the capacity that a gang holds.
func (c *Core) release(s *step) {
	for _, h := range s.held {
		h.worker.reservations = slices.DeleteFunc(h.worker.reservations, func(r reservation) bool { return r.step == s })
	}
	s.held = s.held[:0]
}
