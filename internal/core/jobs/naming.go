package jobs

import (
	"cmp"
	"slices"
	"time"
)

// sampledWorkers bounds the workers that one call for advice is chosen from, so
// that a decision does not grow with the cell.
const sampledWorkers = 400

// sample returns the next workers of a pool to choose from, in turn.
func (c *Core) sample(p *pool) []*worker {
	n := len(p.workers)
	if n <= sampledWorkers {
		return p.workers
	}
	c.sampled = c.sampled[:0]
	for i := range sampledWorkers {
		c.sampled = append(c.sampled, p.workers[(p.next+i)%n])
	}
	p.next = (p.next + sampledWorkers) % n
	return c.sampled
}

// nameWorkers chooses the workers to ask for.
func (c *Core) nameWorkers(now time.Time, s *step) []*worker {
	if !s.def.Gang {
		return c.nameForTasks(now, s)
	}
	if s.planned.IsZero() {
		return c.nameForGang(now, s)
	}
	terms := s.job().queue.Advice
	call := terms.DecisionTime + time.Duration(len(s.tasks))*terms.TimePerWorker
	if !now.Add(call + ticketMargin).Before(s.planned) {
		return c.nameClaimed(now.Add(call+ticketMargin), s)
	}
	if s.planned.Sub(now) > gangPatience*call && s.advice.calls < maxGangCalls {
		return c.nameForGang(now, s)
	}
	return nil
}

const (
	// gangPatience is the planned wait, in calls, from which further workers are
	// asked for.
	gangPatience = 2
	// maxGangCalls bounds the calls for further workers.
	maxGangCalls = 6
)

// nameClaimed returns the workers on which room is kept for a gang and whose
// tickets end before a time. All tickets of a gang must be valid at once.
func (c *Core) nameClaimed(until time.Time, s *step) []*worker {
	var named []*worker
	for _, t := range s.advice.allowed {
		if !t.valid(until) && slices.ContainsFunc(t.worker.claims, func(k claim) bool { return k.step == s }) && len(named) < maxAdviceWorkers {
			named = append(named, t.worker)
		}
	}
	return named
}

// nameForTasks chooses the workers with most room, enough that the tasks find a
// place on the share that is usually allowed.
func (c *Core) nameForTasks(now time.Time, s *step) []*worker {
	var options []*worker
	for _, w := range c.sample(c.pool(s)) {
		if !w.room.fits(s.def.Size) || !c.eligible(now, s, w) || s.advice.denied[w.ID] || c.roomFor(now, s, w) == 0 {
			continue
		}
		if t := s.advice.find(w.ID); t == nil || !t.valid(now) {
			options = append(options, w)
		}
	}
	slices.SortStableFunc(options, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(s.unknown(a), s.unknown(b)), cmp.Compare(b.room.copies(s.def.Size), a.room.copies(s.def.Size)))
	})
	want := float64(s.pending) * adviceSurplus / c.advisers.expectedShare(s.job().queue.Name)
	var named []*worker
	for _, w := range options {
		if want <= 0 || len(named) == maxAdviceWorkers {
			break
		}
		room := min(w.room.copies(s.def.Size), w.allowance(s))
		named = append(named, w)
		want -= float64(room) * float64(1+9*(1-s.unknown(w)))
	}
	return named
}

// nameForGang chooses workers that have room or will have it soon. All members
// need a place at the same time, so more are named than for single tasks.
func (c *Core) nameForGang(now time.Time, s *step) []*worker {
	type option struct {
		worker *worker
		copies float64
	}
	var options []option
	for _, w := range c.sample(c.pool(s)) {
		if !c.eligible(now, s, w) || s.advice.denied[w.ID] || s.advice.find(w.ID) != nil || !s.def.Size.Fits(w.room.capacity) {
			continue
		}
		soon := copiesIn(w.room.capacity, s.def.Size)
		options = append(options, option{w, float64(w.room.copies(s.def.Size)) + soonShare*float64(soon)})
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(b.copies, a.copies), cmp.Compare(a.worker.pace(), b.worker.pace()))
	})
	want := float64(len(s.tasks)) * adviceSurplus / c.advisers.expectedShare(s.job().queue.Name)
	terms := s.job().queue.Advice
	least := 0
	if terms.DecisionTime >= longCall && terms.TimePerWorker > 0 {
		least = int(cheapShare * float64(terms.DecisionTime) / float64(terms.TimePerWorker))
	}
	var named []*worker
	for _, o := range options {
		if want <= 0 && len(named) >= least || len(named) == maxAdviceWorkers {
			break
		}
		named = append(named, o.worker)
		want -= o.copies
	}
	return named
}

// cheapShare is the part of a call's fixed time for which workers can be named
// at little extra cost.
const cheapShare = 0.4

// soonShare is the part of a worker's whole capacity that counts as room that a
// gang will find in time.
const soonShare = 0.3

// adviceSurplus is how much more room is asked for than is needed.
const adviceSurplus = 1.5

// unknown is 0 for workers that are known to be allowed and 1 for others.
func (s *step) unknown(w *worker) int {
	if s.advice.find(w.ID) != nil {
		return 0
	}
	return 1
}
