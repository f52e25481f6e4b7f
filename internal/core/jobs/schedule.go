package jobs

import (
	"cmp"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// Schedule sends due syncs, starts the tasks that can start now and requests
// advice where it is missing.
func (c *Core) Schedule(now time.Time) {
	c.sendSyncs(now)
	if !c.placementsStale && now.Before(c.nextScheduleAt) {
		return
	}
	c.placementsStale = false
	c.nextScheduleAt = now.Add(scheduleInterval)
	if c.poolsStale {
		c.refreshPools(now)
	}
	c.capacity = model.Size{}
	for _, p := range c.pools {
		p.startRound()
		c.capacity = c.capacity.Add(p.total)
	}
	c.startLimitRound()
	c.updateGangFits(now)
	if c.reservationsStale {
		c.reservationsStale = false
		c.updateOrder(now)
		c.refreshReservations(now)
	}
	c.admitGangs()
	kept := c.ready[:0]
	for _, s := range c.ready {
		if c.yields(now, s) {
			s.wait.reason = waitForGang
		} else {
			s.wait.reason = c.place(now, s)
			c.noteWaiting(s)
		}
		s.updateWait(now)
		s.queued = s.canStart() && s.pending > 0
		if s.queued {
			kept = append(kept, s)
		}
	}
	clear(c.ready[len(kept):])
	c.ready = kept
}

// scheduleInterval is the time between two attempts at placement when nothing has
// changed, for conditions that depend on time alone.
const scheduleInterval = 100 * time.Millisecond

// compareSteps orders steps by the priority of their queues, then by the time
// by which they have to start. Steps that are late already come after those
// that can still be on time; otherwise every job would be late under overload.
// Starving steps come before all others, in the order in which they wait. Within a
// priority, jobs that exceed the rate of their tenant come last, and of the others those
// of tenants that use more than their share come after the rest.
func compareSteps(a, b *step) int {
	if a.starving && b.starving {
		return cmp.Or(a.wait.since.Compare(b.wait.since), cmp.Compare(a.seq, b.seq))
	}
	return cmp.Or(compareBool(!a.starving, !b.starving), cmp.Compare(a.job().queue.Priority, b.job().queue.Priority), compareBool(a.excess(), b.excess()), compareBool(a.late, b.late),
		compareBool(a.overShare(), b.overShare()), a.startBy.Compare(b.startBy), cmp.Compare(a.seq, b.seq))
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

// lateGrace is how long after its latest start a step still counts as on time,
// as a fraction of its expected duration: durations are only estimates.
const lateGrace = 1.0

// starvationTime is how long a step may have no run in a pool with much free
// capacity before it comes first.
const starvationTime = 1500 * time.Millisecond

// updateOrder updates which steps are late or starving and restores the order of the
// ready list. A lasting task has no time to be late for: it is needed again at once. In a
// pool with much free capacity steps wait for advice, of which those before them may use
// up all.
func (c *Core) updateOrder(now time.Time) {
	changed := false
	for _, s := range c.ready {
		starving := !s.wait.since.IsZero() && now.Sub(s.wait.since) >= starvationTime && c.pool(s).usedShare < idleShare && s.fit.fit != fitsNever
		if starving != s.starving {
			s.starving, changed = starving, true
			s.fit.checkAt = time.Time{}
		}
		grace := time.Duration(lateGrace * float64(c.runTime(s, usualRunTime)))
		if c.updateShare(s.job().account, c.pool(s)) {
			changed = true
		}
		if late := !s.def.LongRunning && now.After(s.startBy.Add(grace)); late != s.late {
			s.late, changed = late, true
		}
	}
	if changed {
		slices.SortFunc(c.ready, compareSteps)
	}
}

// place starts as many tasks of a step as possible and returns why others were not
// started, if there are any.
func (c *Core) place(now time.Time, s *step) model.Reason {
	switch {
	case !s.canStart() || s.pending == 0:
		return ""
	case now.Before(s.backoffUntil):
		return waitForBackoff
	case !c.runsKnown(s):
		return waitForRecovery
	case s.def.Gang && s.pending != s.unfinished:
		return waitForStops
	case s.def.Gang && s.fit.fit == fitsNever:
		return waitForWorkers
	case !c.limitAllows(s):
		return waitForLimit
	case !s.def.Size.Fits(c.pool(s).largest):
		return waitForCapacity
	case s.def.Gang:
		return c.placeGang(now, s)
	}
	return c.placeTasks(now, s)
}

// placeTasks starts tasks one by one, each on the best worker.
func (c *Core) placeTasks(now time.Time, s *step) (reason model.Reason) {
	options := c.options(now, s)
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != taskPending || c.recovery.blocksTask(t) {
			continue
		}
		if !c.crashesStored(t) {
			reason = waitForCrashRecord
			continue
		}
		if c.limitCopies(s) == 0 {
			return waitForLimit
		}
		options = c.withCapacity(now, s, options)
		if len(options) == 0 {
			return c.requestAdvice(now, s)
		}
		w := c.chooseWorker(now, t, options)
		if w == nil {
			reason = waitForIsolation
			continue
		}
		if t.awaitsSoundWorker(now, w) {
			reason = waitForSoundWorker
			continue
		}
		number, ok := c.nextRunNumber(s.job(), &t.record().runCount)
		if !ok {
			reason = waitForRunNumbers
			continue
		}
		c.start(now, t, w, number, s.advice.ticketFor(w))
	}
	if reason == waitForSoundWorker {
		c.requestAdvice(now, s)
	}
	return reason
}

// placeGang starts all tasks of a gang or none.
func (c *Core) placeGang(now time.Time, s *step) model.Reason {
	if s.job().queue.Advice != nil && !s.admitted {
		if reason := c.requestAdvice(now, s); reason != waitForCandidate {
			return reason
		}
		return waitForTurn
	}
	chosen := c.gangWorkers(now, s, c.options(now, s))
	if len(chosen) < len(s.tasks) {
		return c.requestAdvice(now, s)
	}
	if slices.ContainsFunc(s.tasks, func(t task) bool { return !c.crashesStored(&t) }) {
		return waitForCrashRecord
	}
	if chosen = s.isolateSuspects(now, chosen); chosen == nil {
		return waitForIsolation
	}
	number, ok := c.nextRunNumber(s.job(), &s.gang.runCount)
	if !ok {
		return waitForRunNumbers
	}
	c.release(s)
	for i := range s.tasks {
		c.start(now, &s.tasks[i], chosen[i], number, s.advice.ticketFor(chosen[i]))
	}
	return ""
}

// gangWorkers returns a worker for each member of a gang, or for fewer if they do not all fit. It
// changes the order of the options.
func (c *Core) gangWorkers(now time.Time, s *step, options []*worker) []*worker {
	slices.SortStableFunc(options, func(a, b *worker) int { return compareWorkers(now, s, a, b) })
	chosen := make([]*worker, 0, len(s.tasks))
	for _, w := range options {
		n := min(c.availableCopies(now, s, w), w.remainingPerWorker(s))
		for ; n > 0 && len(chosen) < len(s.tasks); n-- {
			chosen = append(chosen, w)
		}
	}
	return chosen
}

// options returns the workers on which a task of the step could start now.
func (c *Core) options(now time.Time, s *step) []*worker {
	var out []*worker
	if s.job().queue.Advice == nil {
		for _, w := range c.pool(s).workers {
			if c.eligible(now, s, w) && c.availableCopies(now, s, w) > 0 {
				out = append(out, w)
			}
		}
		return out
	}
	for _, t := range s.advice.allowed {
		if w := t.worker; t.valid(now) && c.eligible(now, s, w) && c.availableCopies(now, s, w) > 0 {
			out = append(out, w)
		}
	}
	return out
}

// eligible reports whether the constraints of the step, except its size, allow
// the worker.
func (c *Core) eligible(now time.Time, s *step, w *worker) bool {
	return w.state == WorkerUsable && w.hasLabel(s.def.Label) && w.remainingPerWorker(s) > 0 && !w.isolatedFrom(now, s.job()) && !w.onProbation(now) &&
		!(s.def.Filler && now.Before(w.noFillersUntil))
}

// chooseWorker returns the worker on which a task starts, or nil if it may crash its worker and none
// of the options can take it apart from other jobs yet. options must not be empty.
func (c *Core) chooseWorker(now time.Time, t *task, options []*worker) *worker {
	if t.crashes().suspect() && !t.crashes().overdue(now) {
		return c.isolatedWorker(now, t.step, options)
	}
	return bestWorker(now, t.step, options)
}

// bestWorker returns the option with the lowest score, if possible one on which the last run has not
// failed. options must not be empty.
func bestWorker(now time.Time, s *step, options []*worker) *worker {
	return slices.MinFunc(options, func(a, b *worker) int { return compareWorkers(now, s, a, b) })
}

const (
	// remotePenalty keeps tasks in the rack of their data. It outweighs every
	// difference in utilization.
	remotePenalty = 2.0
	// reservedPenalty keeps more urgent tasks off capacity that is reserved for
	// a gang.
	reservedPenalty = 0.3
)

// score ranks a worker for a step; lower is better. It prefers full workers, so
// that large tasks find empty ones, and avoids slow workers.
func score(s *step, w *worker) float64 {
	sc := 1 - w.resources.used.Add(s.def.Size).DominantShare(w.resources.capacity)
	sc += slowdownWeight(s)*(w.slowdownFactor()-1) + interferencePenalty(s, w)
	if len(w.reservations) > 0 {
		sc += reservedPenalty
	}
	if s.remote(w) {
		sc += remotePenalty
	}
	return sc
}

// slowdownWeight returns the weight of a worker's slowdown in its score. Urgent
// tasks need fast workers most, and so do gangs, which wait for their slowest
// member.
func slowdownWeight(s *step) float64 {
	if s.job().queue.Priority == 0 || s.def.Gang {
		return 1
	}
	return 0.3
}
