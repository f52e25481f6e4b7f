package jobs

import (
	"cmp"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// maxClaims bounds the waiting gangs that room is kept for.
const maxClaims = 16

// claim is room on a worker that is kept for a waiting gang. Less urgent work
// may use it only if it ends before the gang starts.
type claim struct {
	step   *step
	copies int
	// at is when all members of the gang should have room.
	at time.Time
}

// slot is room for one task that a worker has at a time.
type slot struct {
	at     time.Time
	worker *worker
	// until is when the step's ticket for the worker ends.
	until time.Time
}

// refreshClaims chooses, for the most urgent waiting gangs, the workers on which
// they have room first. Without that, less urgent work takes each piece of room
// as it comes free, and a large gang waits for ever.
func (c *Core) refreshClaims(now time.Time) {
	for _, w := range c.claimed {
		w.claims = w.claims[:0]
	}
	c.claimed = c.claimed[:0]
	left := maxClaims
	for _, s := range c.ready {
		if !s.def.Gang || !c.waits(s) {
			continue
		}
		if left--; left < 0 {
			return
		}
		c.claim(now, s)
	}
}

// waits reports whether a step has tasks that could be placed.
func (c *Core) waits(s *step) bool {
	return s.live() && s.pending > 0 && c.certain(s.job()) && (!s.def.Gang || s.pending == s.left)
}

// claim keeps room for one gang.
func (c *Core) claim(now time.Time, s *step) {
	slots := c.slots(now, s)
	s.planned = time.Time{}
	if len(slots) < len(s.tasks) {
		return
	}
	slices.SortStableFunc(slots, func(a, b slot) int {
		return cmp.Or(a.at.Compare(b.at), -a.until.Compare(b.until), cmp.Compare(a.worker.pace(), b.worker.pace()))
	})
	slots = slots[:len(s.tasks)]
	s.planned = slots[len(slots)-1].at
	for _, sl := range slots {
		w := sl.worker
		if n := len(w.claims); n > 0 && w.claims[n-1].step == s {
			w.claims[n-1].copies++
			continue
		}
		if len(w.claims) == 0 {
			c.claimed = append(c.claimed, w)
		}
		w.claims = append(w.claims, claim{step: s, copies: 1, at: s.planned})
	}
}

// slots returns when the workers that the step may use have room for its tasks.
func (c *Core) slots(now time.Time, s *step) []slot {
	var out []slot
	if s.job().queue.Advice == nil {
		for _, w := range c.pool(s).workers {
			out = c.slotsOn(now, s, w, time.Time{}, out)
		}
		return out
	}
	for _, t := range s.advice.allowed {
		out = c.slotsOn(now, s, t.worker, t.until, out)
	}
	return out
}

// slotsOn appends the slots of one worker.
func (c *Core) slotsOn(now time.Time, s *step, w *worker, ticket time.Time, out []slot) []slot {
	if !c.eligible(now, s, w) {
		return out
	}
	most := min(len(s.tasks), w.allowance(s))
	free := w.room.free().Sub(w.claimedBefore(s))
	n := min(copiesIn(free, s.def.Size), most)
	for range n {
		out = append(out, slot{now, w, ticket})
	}
	if n == most {
		return out
	}
	ends := make([]runEnd, 0, len(w.runs))
	for _, r := range w.runs {
		ends = append(ends, runEnd{now.Add(c.remaining(now, r)), r.size})
	}
	slices.SortFunc(ends, func(a, b runEnd) int { return a.at.Compare(b.at) })
	for _, e := range ends {
		free = free.Add(e.size)
		for ; n < min(copiesIn(free, s.def.Size), most); n++ {
			out = append(out, slot{e.at, w, ticket})
		}
		if n == most {
			break
		}
	}
	return out
}

// runEnd is the expected end of a run.
type runEnd struct {
	at   time.Time
	size model.Size
}

// claimedBefore returns the room that more urgent gangs keep on a worker.
func (w *worker) claimedBefore(s *step) model.Size {
	var sum model.Size
	for i := range w.claims {
		if k := &w.claims[i]; k.step != s && compareSteps(k.step, s) < 0 {
			sum = sum.Add(k.step.def.Size.Times(int64(k.copies)))
		}
	}
	return sum
}

// roomFor returns how many tasks of a step the worker has room for now, beside
// what more urgent gangs keep and the step's tasks would not give back in time.
func (c *Core) roomFor(now time.Time, s *step, w *worker) int {
	if len(w.claims) == 0 {
		return w.room.copies(s.def.Size)
	}
	free := w.room.free()
	end := now.Add(c.speeds.expected(s.job().queue.Name, s.def))
	for i := range w.claims {
		k := &w.claims[i]
		if k.step != s && k.at.Before(end) && compareSteps(k.step, s) < 0 {
			free = free.Sub(k.step.def.Size.Times(int64(k.copies)))
		}
	}
	return copiesIn(free, s.def.Size)
}

// copiesIn returns how many tasks of a size fit into free room.
func copiesIn(free, size model.Size) int {
	r := room{capacity: free}
	return r.copies(size)
}

// minProgress is the percentage from which a run's own progress tells when it
// ends.
const minProgress = 3

// remaining estimates how long a run will go on. Members of a gang end together.
func (c *Core) remaining(now time.Time, r *run) time.Duration {
	if r.stop.wanted {
		return stopRetry
	}
	if r.task == nil || !r.task.step.def.Gang {
		return c.ownRemaining(now, r)
	}
	longest := time.Duration(0)
	for i := range r.task.step.tasks {
		if o := r.task.step.tasks[i].run; o != nil {
			longest = max(longest, c.ownRemaining(now, o))
		}
	}
	return longest
}

// ownRemaining estimates how long a run has work to do.
func (c *Core) ownRemaining(now time.Time, r *run) time.Duration {
	if r.percent >= minProgress {
		total := r.percentAt.Sub(r.confirmed) * 100 / time.Duration(r.percent)
		return max(total-now.Sub(r.confirmed), 0)
	}
	if r.task == nil {
		return stopRetry
	}
	expected := c.speeds.expected(r.task.step.job().queue.Name, r.task.step.def)
	return max(expected-now.Sub(r.sent), expected/3)
}
