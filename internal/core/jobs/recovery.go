package jobs

import (
	"maps"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// recovery tracks, after a change of leader, the workers on which runs of an
// earlier leader may exist that this leader does not know yet. Tasks of a
// restored job are not started while such a run of the job may exist.
type recovery struct {
	// workers holds the workers that have not reported yet, and for each the
	// jobs that may have runs there.
	workers map[model.WorkerID]previousRuns
	// unknownWorkers counts the workers on which any job may have runs.
	unknownWorkers int
	// jobs counts, for each job, the workers with a known list of jobs on which
	// it may have runs.
	jobs map[string]int
	// complete is set once each worker has reported or its lease has ended.
	complete bool
}

// previousRuns is what an earlier leader may have started on a worker.
type previousRuns struct {
	// known is set when jobs lists every job that may have runs there.
	known bool
	jobs  []string
}

func newRecovery() recovery {
	return recovery{workers: map[model.WorkerID]previousRuns{}, jobs: map[string]int{}}
}

// add makes recovery wait for the worker of a record.
func (rec *recovery) add(r *WorkerRecord) {
	rec.workers[r.ID] = previousRuns{known: r.Silent, jobs: r.Jobs}
	if !r.Silent {
		rec.unknownWorkers++
		return
	}
	for _, id := range r.Jobs {
		rec.jobs[id]++
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
	if !previous.known {
		rec.unknownWorkers--
		return previous
	}
	for _, job := range previous.jobs {
		if rec.jobs[job]--; rec.jobs[job] == 0 {
			delete(rec.jobs, job)
		}
	}
	return previous
}

// blocks reports whether a restored job may have runs that are not known.
func (rec *recovery) blocks(job string) bool { return rec.unknownWorkers > 0 || rec.jobs[job] > 0 }

// runsKnown reports whether the leader knows every run of the job's tasks.
func (c *Core) runsKnown(j *job) bool { return !j.restored || !c.recovery.blocks(j.spec.ID) }

// handleWorkerReport stops waiting for a worker that has reported all its ends:
// a full page of ends may be followed by more.
func (c *Core) handleWorkerReport(now time.Time, w *worker, res *SyncResult) {
	if len(res.Ends) < c.cfg.EndsPerPage {
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
		if j == nil || !c.runsKnown(j) {
			continue
		}
		for _, o := range j.sortedOccurrences() {
			for _, s := range o.steps {
				if s.def.Gang && s.gang.currentRun != 0 && s.pending > 0 && s.pending < len(s.tasks) {
					c.abortGang(now, s)
				}
			}
		}
	}
}

// expirePreviousLeases stops waiting for the workers that have not answered,
// once the last lease that an earlier leader granted has certainly ended. This
// leader started nothing there, so the next leader need not wait for them
// either.
func (c *Core) expirePreviousLeases(now time.Time) {
	if len(c.recovery.workers) == 0 || !now.After(c.previousLeaseEnd()) {
		return
	}
	c.event(Event{Name: EventWorkerLeaseEnded, Detail: "leases of an earlier leader", Count: len(c.recovery.workers)})
	for id := range c.recovery.workers {
		if w := c.workers[id]; w != nil && !w.answered {
			c.deregisterWorker(w)
		}
	}
	c.recovery = newRecovery()
	c.completeRecovery(now)
}

// previousLeaseEnd returns when the last lease that an earlier leader granted
// has certainly ended.
func (c *Core) previousLeaseEnd() time.Time {
	return c.previousLeaderEnd.Add(time.Duration(float64(c.cfg.LeaseDuration)/(1-c.cfg.ClockDrift)) + leaseMargin)
}
