package jobs

import (
	"cmp"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/retry"
)

// Schedule starts what can start now and asks for what it needs.
func (c *Core) Schedule(now time.Time) {
	c.holds(now)
	if !c.changed && now.Before(c.wake) {
		return
	}
	c.changed = false
	c.wake = now.Add(scheduleInterval)
	if c.poolStale {
		c.refreshPools(now)
	}
	for _, p := range c.pools {
		p.measure()
	}
	if c.claimsStale {
		c.claimsStale = false
		c.markLate(now)
		c.refreshClaims(now)
	}
	kept := c.ready[:0]
	for _, s := range c.ready {
		c.place(now, s)
		s.queued = s.live() && s.pending > 0
		if s.queued {
			kept = append(kept, s)
		}
	}
	clear(c.ready[len(kept):])
	c.ready = kept
}

// scheduleInterval is how often placements are tried without a change, for
// what depends on time only.
const scheduleInterval = 100 * time.Millisecond

// compareSteps orders steps by the priority of their queues, then by the time
// at which they have to start. Those that are late anyway come after those that
// can still be in time, or under overload every job would be late.
func compareSteps(a, b *step) int {
	return cmp.Or(cmp.Compare(a.job().queue.Priority, b.job().queue.Priority), compareBool(a.late, b.late),
		a.latest.Compare(b.latest), cmp.Compare(a.order, b.order))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// lateGrace is how long after its latest start a step may still be in time,
// since durations are estimates, as a share of its duration.
const lateGrace = 1.0

// markLate finds the steps that will be late and puts them in their place.
func (c *Core) markLate(now time.Time) {
	moved := false
	for _, s := range c.ready {
		grace := time.Duration(lateGrace * float64(c.speeds.expected(s.job().queue.Name, s.def)))
		if late := now.After(s.latest.Add(grace)); late != s.late {
			s.late, moved = late, true
		}
	}
	if moved {
		slices.SortFunc(c.ready, compareSteps)
	}
}

// pool holds the workers of a service that take tasks, in order of ID.
type pool struct {
	workers []*worker
	// largest is, in each dimension, the most that one worker has left.
	largest model.Size
	// next is where the next sample begins.
	next int
}

// measure recomputes what the workers have left.
func (p *pool) measure() {
	p.largest = model.Size{}
	for _, w := range p.workers {
		p.largest = p.largest.Max(w.room.free())
	}
}

// refreshPools recomputes which workers take tasks.
func (c *Core) refreshPools(now time.Time) {
	c.poolStale = false
	c.health.SetWorkerCount(len(c.workers))
	for _, p := range c.pools {
		p.workers = p.workers[:0]
	}
	for _, w := range c.list {
		if !w.listed {
			continue
		}
		w.state = c.workerState(now, w)
		if w.state == WorkerUsable && c.health.State(now, w.ID) == retry.Quarantined {
			w.state = WorkerQuarantined
		}
		if w.state != WorkerUsable {
			continue
		}
		p := c.pools[w.Service]
		if p == nil {
			p = &pool{}
			c.pools[w.Service] = p
		}
		p.workers = append(p.workers, w)
	}
}

// pool returns the workers of a step's service that take tasks.
func (c *Core) pool(s *step) *pool {
	if p := c.pools[s.job().queue.Service]; p != nil {
		return p
	}
	return &pool{}
}

// place starts as many tasks of a step as possible.
func (c *Core) place(now time.Time, s *step) {
	if !s.live() || s.pending == 0 || now.Before(s.notBefore) || !c.certain(s.job()) {
		return
	}
	if s.def.Gang && s.pending != s.left {
		return // members of an earlier run are not gone yet
	}
	if !s.def.Size.Fits(c.pool(s).largest) {
		return
	}
	if s.def.Gang {
		c.placeGang(now, s)
	} else {
		c.placeTasks(now, s)
	}
}

// placeTasks starts tasks one by one, each on the best worker.
func (c *Core) placeTasks(now time.Time, s *step) {
	options := c.options(now, s)
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != taskPending || now.Before(t.notBefore) {
			continue
		}
		w := c.best(now, s, options)
		if w == nil {
			c.wantAdvice(now, s)
			return
		}
		c.start(now, t, w, c.nextRun(s.job(), &t.starts), s.advice.ticket(w))
	}
}

// placeGang starts all tasks of a gang or none.
func (c *Core) placeGang(now time.Time, s *step) {
	options := c.options(now, s)
	slices.SortStableFunc(options, func(a, b *worker) int { return cmp.Compare(score(s, a), score(s, b)) })
	chosen := make([]*worker, 0, len(s.tasks))
	for _, w := range options {
		n := min(c.roomFor(now, s, w), w.allowance(s))
		for ; n > 0 && len(chosen) < len(s.tasks); n-- {
			chosen = append(chosen, w)
		}
	}
	if len(chosen) < len(s.tasks) {
		c.wantAdvice(now, s)
		return
	}
	number := c.nextRun(s.job(), &s.gang.runs)
	for i := range s.tasks {
		c.start(now, &s.tasks[i], chosen[i], number, s.advice.ticket(chosen[i]))
	}
}

// options returns the workers on which a task of the step could start now.
func (c *Core) options(now time.Time, s *step) []*worker {
	var out []*worker
	if s.job().queue.Advice == nil {
		for _, w := range c.pool(s).workers {
			if c.eligible(now, s, w) && c.roomFor(now, s, w) > 0 {
				out = append(out, w)
			}
		}
		return out
	}
	for _, t := range s.advice.allowed {
		if w := t.worker; t.valid(now) && c.eligible(now, s, w) && c.roomFor(now, s, w) > 0 {
			out = append(out, w)
		}
	}
	return out
}

// eligible reports whether the step's fixed constraints allow the worker.
func (c *Core) eligible(now time.Time, s *step, w *worker) bool {
	return w.state == WorkerUsable && w.hasLabel(s.def.Label) && w.allowance(s) > 0 && !(s.def.Filler && now.Before(w.strained))
}

// best returns the option with the lowest score that still has room, or nil.
func (c *Core) best(now time.Time, s *step, options []*worker) *worker {
	var chosen *worker
	lowest := 0.0
	for _, w := range options {
		if c.roomFor(now, s, w) == 0 || w.allowance(s) <= 0 {
			continue
		}
		if sc := score(s, w); chosen == nil || sc < lowest {
			chosen, lowest = w, sc
		}
	}
	return chosen
}

const (
	// remoteScore outweighs every difference in load.
	remoteScore = 2.0
	// claimScore keeps urgent work off room that a gang waits for.
	claimScore = 0.3
)

// score ranks a worker for a step; lower is better. Full workers come first, so
// that large tasks find whole ones, and slow ones last.
func score(s *step, w *worker) float64 {
	sc := 1 - w.room.used.Add(s.def.Size).DominantShare(w.room.capacity)
	sc += paceScore(s)*(w.pace()-1) + sharingScore(s, w)
	if len(w.claims) > 0 {
		sc += claimScore
	}
	if s.def.DataRack != "" && !w.hasLabel(s.def.DataRack) {
		sc += remoteScore
	}
	return sc
}

// paceScore weighs a worker's slowness against its fit. Urgent work and gangs,
// which wait for their slowest member, need fast workers most.
func paceScore(s *step) float64 {
	if s.job().queue.Priority == 0 || s.def.Gang {
		return 1
	}
	return 0.3
}

// SetEntries replaces the instance list.
func (c *Core) SetWorkers(now time.Time, entries []WorkerEntry) {
	for _, w := range c.list {
		w.listed = false
	}
	c.poolStale = true
	for i := range entries {
		c.setEntry(now, &entries[i])
	}
	c.changed, c.listRead = true, true
	c.judgeWaiting(now)
}

func (c *Core) setEntry(now time.Time, e *WorkerEntry) {
	w := c.worker(e.ID)
	if e.Draining && !w.Draining {
		c.event(Event{Name: EventWorkerState, Worker: e.ID, Detail: WorkerDraining.String(), Age: e.RemainingTime})
	}
	if w.answered && w.life > e.Incarnation && w.WorkerEntry.Incarnation == w.life {
		// The list is behind the worker's own answer.
		w.listed = true
		return
	}
	w.WorkerEntry, w.listed = *e, true
	w.room.capacity = e.Capacity
	if w.answered && !w.lapsed {
		c.enroll(w)
	}
}
