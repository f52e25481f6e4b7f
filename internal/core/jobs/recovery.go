package jobs

import (
	"maps"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// recovery tracks, after a change of leader, the workers on which runs of an
// earlier leader may exist that this leader does not know yet. Tasks of a
// restored job are not started while such a run of them may exist.
type recovery struct {
	// workers holds the workers that have not reported yet, and for each what may
	// run there.
	workers map[model.WorkerID]previousRuns
	// unknownWorkers counts the workers on which any task may have runs.
	unknownWorkers int
	// jobs and tasks count, for each job and task, the workers on which it may have
	// runs. A job is counted only where its tasks are not listed.
	jobs  map[string]int
	tasks map[TaskRef]int
	// complete is set once each worker has reported or its lease has ended.
	complete bool
	// delayReportedAt is when a recovery that takes longer than the leases was last reported.
	delayReportedAt time.Time
}

// previousRuns is what an earlier leader may have started on a worker.
type previousRuns struct {
	// known is set when jobs and tasks list everything that may run there.
	known bool
	jobs  []string
	tasks []TaskRef
	// incarnation and runs are those of the worker's record.
	incarnation int64
	runs        []InterruptedRun
	// capacity is that of the worker's record, and uses lists what tenants may have running
	// there. sizesKnown is set if uses is complete.
	capacity   model.Size
	uses       []previousUse
	sizesKnown bool
}

func newRecovery() recovery {
	return recovery{workers: map[model.WorkerID]previousRuns{}, jobs: map[string]int{}, tasks: map[TaskRef]int{}}
}

// add makes recovery wait for the worker of a record.
func (rec *recovery) add(r *WorkerRecord) {
	previous := previousRuns{known: r.Silent, jobs: r.Jobs, tasks: r.Tasks, incarnation: r.Incarnation, runs: r.Runs}
	rec.workers[r.ID] = previous
	rec.count(&previous, 1)
}

// count adds n for everything that may run on a worker.
func (rec *recovery) count(previous *previousRuns, n int) {
	switch {
	case !previous.known:
		rec.unknownWorkers += n
	case len(previous.tasks) > 0:
		for _, ref := range previous.tasks {
			rec.tasks[ref] += n
		}
	default:
		for _, job := range previous.jobs {
			rec.jobs[job] += n
		}
	}
}

// awaits reports whether the worker has not reported its runs yet.
func (rec *recovery) awaits(id model.WorkerID) bool {
	_, awaited := rec.workers[id]
	return awaited
}

// remove stops waiting for an awaited worker and returns what an earlier leader
// may have started there.
func (rec *recovery) remove(id model.WorkerID) previousRuns {
	previous := rec.workers[id]
	delete(rec.workers, id)
	rec.count(&previous, -1)
	previous.releaseUses()
	return previous
}

// blocks reports whether a restored job may have runs that are not known of any of
// its tasks.
func (rec *recovery) blocks(job string) bool { return rec.unknownWorkers > 0 || rec.jobs[job] > 0 }

// blocksTask reports whether a task is among those that may run on a worker which has
// not reported.
func (rec *recovery) blocksTask(t *task) bool { return len(rec.tasks) > 0 && rec.tasks[t.ref()] > 0 }

// blocksAny reports whether any task of a step is blocked.
func (rec *recovery) blocksAny(s *step) bool {
	return len(rec.tasks) > 0 && slices.ContainsFunc(s.tasks, func(t task) bool { return rec.blocksTask(&t) })
}

// runsKnown reports whether the leader knows every run of a step that matters for what it
// may start next: of all tasks of a gang, and of all tasks that are not listed
// individually.
func (c *Core) runsKnown(s *step) bool {
	if !s.job().restored {
		return true
	}
	return !c.recovery.blocks(s.job().spec.ID) && !(s.def.Gang && c.recovery.blocksAny(s))
}

// handleWorkerReport stops waiting for a worker that has reported all its runs and ends.
func (c *Core) handleWorkerReport(now time.Time, w *worker, res *SyncResult) {
	if !c.listsIncomplete(res) {
		c.stopAwaiting(now, w.ID)
	}
}

// stopAwaiting stops waiting for a worker and unblocks the jobs that waited for
// no other worker.
func (c *Core) stopAwaiting(now time.Time, id model.WorkerID) {
	if !c.recovery.awaits(id) {
		return
	}
	previous := c.recovery.remove(id)
	c.placementsStale = true
	switch {
	case len(c.recovery.workers) == 0:
		c.completeRecovery(now)
	case previous.known:
		c.abortPartialGangs(now, previous.jobs)
	case c.recovery.unknownWorkers == 0:
		c.abortPartialGangs(now, slices.Sorted(maps.Keys(c.jobs)))
	}
}

// completeRecovery unblocks all restored jobs once no worker is awaited.
func (c *Core) completeRecovery(now time.Time) {
	if len(c.recovery.workers) > 0 || c.recovery.complete {
		return
	}
	c.recovery.complete = true
	c.batch.partial.RecoveredToken = c.cfg.Token
	c.event(Event{Name: EventRecoveryComplete, Count: len(c.jobs)})
	c.abortPartialGangs(now, slices.Sorted(maps.Keys(c.jobs)))
	c.placementsStale = true
}

// abortPartialGangs aborts gangs of which an earlier leader started only some
// members.
func (c *Core) abortPartialGangs(now time.Time, ids []string) {
	for _, id := range ids {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		for _, o := range j.sortedOccurrences() {
			for _, s := range o.steps {
				if s.def.Gang && c.runsKnown(s) && s.gang.currentRun != 0 && s.pending > 0 && s.pending < len(s.tasks) {
					c.abortGang(now, s)
				}
			}
		}
	}
}

// expirePreviousLeases stops waiting for the workers that have not answered,
// once the last lease that an earlier leader granted has certainly ended. This
// leader started nothing there, so the next leader need not wait for them
// either. A worker that has more ends to list is still awaited: what ended there as
// done must not start again.
func (c *Core) expirePreviousLeases(now time.Time) {
	if len(c.recovery.workers) == 0 || !now.After(c.previousLeaseEnd()) {
		return
	}
	expired := 0
	for _, id := range slices.Sorted(maps.Keys(c.recovery.workers)) {
		w := c.workers[id]
		if w != nil && w.answered && w.moreEnds {
			continue
		}
		if previous := c.recovery.workers[id]; w != nil && !w.answered {
			c.keepExpired(now, w, previous.incarnation, previous.runs)
			c.deregisterWorker(w)
		}
		c.stopAwaiting(now, id)
		expired++
	}
	if expired > 0 {
		c.event(Event{Name: EventWorkerLeaseEnded, Detail: "leases of an earlier leader", Count: expired})
	}
}

// previousLeaseEnd returns when the last lease that an earlier leader granted
// has certainly ended.
func (c *Core) previousLeaseEnd() time.Time {
	return c.previousLeaderEnd.Add(time.Duration(float64(c.cfg.LeaseDuration)/(1-c.cfg.ClockDrift)) + leaseMargin)
}

// recoveryReportInterval is the time between two reports on a recovery that takes longer than
// the leases of earlier leaders.
const recoveryReportInterval = time.Second

// RecoveryDelay returns by how much the recovery has outlasted the leases of earlier leaders; 0
// if it has not, or is complete.
func (c *Core) RecoveryDelay(now time.Time) time.Duration {
	if c.recovery.complete {
		return 0
	}
	return max(now.Sub(c.previousLeaseEnd()), 0)
}

// reportRecoveryDelay reports a recovery that takes longer than the leases of earlier leaders.
func (c *Core) reportRecoveryDelay(now time.Time) {
	delay := c.RecoveryDelay(now)
	if delay == 0 || now.Sub(c.recovery.delayReportedAt) < recoveryReportInterval {
		return
	}
	c.recovery.delayReportedAt = now
	awaited := slices.Sorted(maps.Keys(c.recovery.workers))
	if len(awaited) == 0 {
		return
	}
	c.event(Event{Name: EventRecoveryDelayed, Worker: awaited[0], Age: delay, Count: len(awaited), Reason: waitForEnds})
}

// waitForEnds: workers have more ends to list than one answer holds, and the store has not taken the
// first ones yet.
const waitForEnds model.Reason = "further_ends"
