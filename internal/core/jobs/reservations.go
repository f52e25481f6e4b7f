package jobs

import (
	"cmp"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// maxReservingGangs limits the waiting gangs that get reservations.
const maxReservingGangs = 16

// maxIdleReservation is the longest planned wait for which a gang reserves capacity in a
// pool that is mostly idle.
const maxIdleReservation = 1500 * time.Millisecond

// reservation is capacity of a worker that is reserved for a waiting gang. Less
// urgent tasks may use it only if they end before the gang starts.
type reservation struct {
	step   *step
	copies int
	// startAt is when all members of the gang are expected to have capacity.
	startAt time.Time
	// held is set while the gang waits only for its tickets. No other step of the same
	// or a lower priority takes the capacity, however urgent it is.
	held bool
}

// taskSlot is capacity for one task that a worker has from the time at on.
type taskSlot struct {
	at     time.Time
	worker *worker
	// ticketExpires is when the step's ticket for the worker expires; zero
	// without tickets.
	ticketExpires time.Time
}

// refreshReservations chooses, for the most urgent waiting gangs that can start, the workers
// on which they have capacity first. Without reservations, less urgent tasks
// take each piece of capacity as it becomes free, and a large gang never
// starts.
func (c *Core) refreshReservations(now time.Time) {
	for _, w := range c.reservedWorkers {
		w.reservations = w.reservations[:0]
	}
	c.reservedWorkers = c.reservedWorkers[:0]
	for _, s := range c.ready {
		if s.advice.callsInFlight > 0 {
			c.holdReservations(s.heldUntil, s)
		} else {
			s.held = s.held[:0]
		}
	}
	remaining := maxReservingGangs
	for _, s := range c.ready {
		if !s.def.Gang || !c.placeable(s) || s.fit.fit == fitsNever || len(s.held) > 0 {
			continue
		}
		if remaining--; remaining < 0 {
			return
		}
		c.reserveForGang(now, s)
	}
}

// placeable reports whether a step has tasks that could be placed if there were capacity.
func (c *Core) placeable(s *step) bool {
	return s.canStart() && s.pending > 0 && c.runsKnown(s) && (!s.def.Gang || s.pending == s.unfinished) && c.limitAllows(s)
}

// reserveForGang reserves the capacity with which a gang can start earliest and
// sets its planned start. It reserves nothing if the workers that the gang may
// use do not suffice, or if the start is far off and the pool mostly idle.
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
	if c.pool(s).usedShare < idleShare && s.plannedStart.Sub(now) > maxIdleReservation {
		return
	}
	for _, slot := range slots {
		w := slot.worker
		if n := len(w.reservations); n > 0 && w.reservations[n-1].step == s {
			w.reservations[n-1].copies++
			continue
		}
		c.reserve(w, reservation{step: s, copies: 1, startAt: s.plannedStart})
	}
}

// reserve adds a reservation to a worker.
func (c *Core) reserve(w *worker, r reservation) {
	if len(w.reservations) == 0 {
		c.reservedWorkers = append(c.reservedWorkers, w)
	}
	w.reservations = append(w.reservations, r)
}

// blocks reports whether a step may not use the reserved capacity for tasks that end at
// the given time.
func (r *reservation) blocks(s *step, end time.Time) bool {
	if r.step == s || !r.startAt.Before(end) {
		return false
	}
	return compareSteps(r.step, s) < 0 || r.held && r.step.job().queue.Priority <= s.job().queue.Priority
}

// futureSlots returns when the workers that the step may use have capacity for
// its tasks.
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

// futureSlotsOn appends the slots of one worker to out: those that are free now
// and those that become free when its runs end. Lasting tasks do not end.
func (c *Core) futureSlotsOn(now time.Time, s *step, w *worker, ticketExpires time.Time, out []taskSlot) []taskSlot {
	if !c.eligible(now, s, w) {
		return out
	}
	limit := min(len(s.tasks), w.remainingPerWorker(s))
	free := w.resources.free().Sub(w.reservedBefore(s))
	n := min(copiesIn(free, s.def.Size), limit)
	for range n {
		out = append(out, taskSlot{now, w, ticketExpires})
	}
	if n == limit {
		return out
	}
	ends := make([]expectedEnd, 0, len(w.runs))
	for _, r := range w.runs {
		if !r.lasting() {
			ends = append(ends, expectedEnd{now.Add(c.remainingTime(now, r)), r.size})
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return a.at.Compare(b.at) })
	for _, e := range ends {
		free = free.Add(e.size)
		for ; n < min(copiesIn(free, s.def.Size), limit); n++ {
			out = append(out, taskSlot{e.at, w, ticketExpires})
		}
		if n == limit {
			break
		}
	}
	return out
}

// expectedEnd is the expected end of a run.
type expectedEnd struct {
	at   time.Time
	size model.Size
}

// reservedBefore returns the capacity of a worker that is reserved for gangs
// more urgent than step s.
func (w *worker) reservedBefore(s *step) model.Size {
	var sum model.Size
	for i := range w.reservations {
		if r := &w.reservations[i]; r.step != s && compareSteps(r.step, s) < 0 {
			sum = sum.Add(r.step.def.Size.Times(int64(r.copies)))
		}
	}
	return sum
}

// availableCopies returns how many tasks of a step fit on the worker now.
// Capacity reserved for a more urgent gang counts as used if the tasks are not
// expected to end before that gang starts.
func (c *Core) availableCopies(now time.Time, s *step, w *worker) int {
	if len(w.reservations) == 0 {
		return w.resources.copies(s.def.Size)
	}
	free := w.resources.free()
	end := now.Add(c.runTime(s, backfillRunTime))
	for i := range w.reservations {
		if r := &w.reservations[i]; r.blocks(s, end) {
			free = free.Sub(r.step.def.Size.Times(int64(r.copies)))
		}
	}
	return copiesIn(free, s.def.Size)
}

// copiesIn returns how many tasks of a size fit into free capacity.
func copiesIn(free, size model.Size) int {
	r := resources{capacity: free}
	return r.copies(size)
}

// minProgressPercent is the progress from which the end of a run is
// extrapolated from its own progress.
const minProgressPercent = 3

// remainingTime estimates how long a run will continue. The members of a gang
// end together.
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

// ownRemainingTime estimates how long a run will continue, not considering the
// other members of its gang.
func (c *Core) ownRemainingTime(now time.Time, r *run) time.Duration {
	if r.percent >= minProgressPercent {
		total := r.reportedAt.Sub(r.confirmedAt) * 100 / time.Duration(r.percent)
		return max(total-now.Sub(r.confirmedAt), 0)
	}
	if r.task == nil {
		return stopRetryInterval
	}
	return c.runTimes.remaining(r.task.step, now.Sub(r.sentAt))
}
