package jobs

import (
	"cmp"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// maxClaims bounds the waiting gangs that room is kept for.
const maxReservingGangs = 16

// claim is room on a worker that is kept for a waiting gang. Less urgent work
// may use it only if it ends before the gang starts.
type reservation struct {
	step   *step
	copies int
	// at is when all members of the gang should have room.
	startAt time.Time
}

// slot is room for one task that a worker has at a time.
type taskSlot struct {
	at     time.Time
	worker *worker
	// until is when the step's ticket for the worker ends.
	ticketExpires time.Time
}

// refreshClaims chooses, for the most urgent waiting gangs, the workers on which
// they have room first. Without that, less urgent work takes each piece of room
// as it comes free, and a large gang waits for ever.
func (c *Core) refreshReservations(now time.Time) {
	for _, w := range c.reservedWorkers {
		w.reservations = w.reservations[:0]
	}
	c.reservedWorkers = c.reservedWorkers[:0]
	left := maxReservingGangs
	for _, s := range c.ready {
		if !s.def.Gang || !c.placeable(s) {
			continue
		}
		if left--; left < 0 {
			return
		}
		c.reserveForGang(now, s)
	}
}

// waits reports whether a step has tasks that could be placed.
func (c *Core) placeable(s *step) bool {
	return s.canStart() && s.pending > 0 && c.runsKnown(s.job()) && (!s.def.Gang || s.pending == s.unfinished)
}

// claim keeps room for one gang.
func (c *Core) reserveForGang(now time.Time, s *step) {
	slots := c.futureSlots(now, s)
	s.plannedStart = time.Time{}
	if len(slots) < len(s.tasks) {
		return
	}
	slices.SortStableFunc(slots, func(a, b taskSlot) int {
		return cmp.Or(a.at.Compare(b.at), -a.ticketExpires.Compare(b.ticketExpires), cmp.Compare(a.worker.slowdownFactor(), b.worker.slowdownFactor()))
	})
	slots = slots[:len(s.tasks)]
	s.plannedStart = slots[len(slots)-1].at
	for _, sl := range slots {
		w := sl.worker
		if n := len(w.reservations); n > 0 && w.reservations[n-1].step == s {
			w.reservations[n-1].copies++
			continue
		}
		if len(w.reservations) == 0 {
			c.reservedWorkers = append(c.reservedWorkers, w)
		}
		w.reservations = append(w.reservations, reservation{step: s, copies: 1, startAt: s.plannedStart})
	}
}

// slots returns when the workers that the step may use have room for its tasks.
func (c *Core) futureSlots(now time.Time, s *step) []taskSlot {
	var out []taskSlot
	if s.job().queue.Advice == nil {
		for _, w := range c.pool(s).workers {
			out = c.futureSlotsOn(now, s, w, time.Time{}, out)
		}
		return out
	}
	for _, t := range s.advice.allowed {
		out = c.futureSlotsOn(now, s, t.worker, t.expires, out)
	}
	return out
}

// slotsOn appends the slots of one worker.
func (c *Core) futureSlotsOn(now time.Time, s *step, w *worker, ticket time.Time, out []taskSlot) []taskSlot {
	if !c.eligible(now, s, w) {
		return out
	}
	most := min(len(s.tasks), w.remainingPerWorker(s))
	free := w.resources.free().Sub(w.reservedBefore(s))
	n := min(copiesIn(free, s.def.Size), most)
	for range n {
		out = append(out, taskSlot{now, w, ticket})
	}
	if n == most {
		return out
	}
	ends := make([]expectedEnd, 0, len(w.runs))
	for _, r := range w.runs {
		ends = append(ends, expectedEnd{now.Add(c.remainingTime(now, r)), r.size})
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return a.at.Compare(b.at) })
	for _, e := range ends {
		free = free.Add(e.size)
		for ; n < min(copiesIn(free, s.def.Size), most); n++ {
			out = append(out, taskSlot{e.at, w, ticket})
		}
		if n == most {
			break
		}
	}
	return out
}

// runEnd is the expected end of a run.
type expectedEnd struct {
	at   time.Time
	size model.Size
}

// claimedBefore returns the room that more urgent gangs keep on a worker.
func (w *worker) reservedBefore(s *step) model.Size {
	var sum model.Size
	for i := range w.reservations {
		if k := &w.reservations[i]; k.step != s && compareSteps(k.step, s) < 0 {
			sum = sum.Add(k.step.def.Size.Times(int64(k.copies)))
		}
	}
	return sum
}

// roomFor returns how many tasks of a step the worker has room for now, beside
// what more urgent gangs keep and the step's tasks would not give back in time.
func (c *Core) availableCopies(now time.Time, s *step, w *worker) int {
	if len(w.reservations) == 0 {
		return w.resources.copies(s.def.Size)
	}
	free := w.resources.free()
	end := now.Add(c.estimator.expected(s.job().queue.Name, s.def))
	for i := range w.reservations {
		k := &w.reservations[i]
		if k.step != s && k.startAt.Before(end) && compareSteps(k.step, s) < 0 {
			free = free.Sub(k.step.def.Size.Times(int64(k.copies)))
		}
	}
	return copiesIn(free, s.def.Size)
}

// copiesIn returns how many tasks of a size fit into free room.
func copiesIn(free, size model.Size) int {
	r := resources{capacity: free}
	return r.copies(size)
}

// minProgress is the percentage from which a run's own progress tells when it
// ends.
const minProgressPercent = 3

// remaining estimates how long a run will go on. Members of a gang end together.
func (c *Core) remainingTime(now time.Time, r *run) time.Duration {
	if r.stop.wanted {
		return stopRetryInterval
	}
	if r.task == nil || !r.task.step.def.Gang {
		return c.ownRemainingTime(now, r)
	}
	longest := time.Duration(0)
	for i := range r.task.step.tasks {
		if o := r.task.step.tasks[i].run; o != nil {
			longest = max(longest, c.ownRemainingTime(now, o))
		}
	}
	return longest
}

// ownRemaining estimates how long a run has work to do.
func (c *Core) ownRemainingTime(now time.Time, r *run) time.Duration {
	if r.percent >= minProgressPercent {
		total := r.reportedAt.Sub(r.confirmedAt) * 100 / time.Duration(r.percent)
		return max(total-now.Sub(r.confirmedAt), 0)
	}
	if r.task == nil {
		return stopRetryInterval
	}
	expected := c.estimator.expected(r.task.step.job().queue.Name, r.task.step.def)
	return max(expected-now.Sub(r.sentAt), expected/3)
}
