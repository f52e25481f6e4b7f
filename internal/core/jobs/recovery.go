package jobs

import (
	"maps"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// gate holds restored jobs back while their tasks may run on workers that a new
// leader has not heard yet.
type recovery struct {
	// workers lists these workers, and for each the jobs that may have runs there.
	workers map[model.WorkerID]previousRuns
	// unknown counts the workers on which any job may run.
	unknownWorkers int
	// jobs counts, for each job, the other workers on which it may run.
	jobs map[string]int
	// open is set once every worker was heard or its lease has ended.
	complete bool
}

// formerRuns is what an earlier leader may have started on a worker.
type previousRuns struct {
	// known is set when jobs lists all that may run there.
	known bool
	jobs  []string
}

func newRecovery() recovery {
	return recovery{workers: map[model.WorkerID]previousRuns{}, jobs: map[string]int{}}
}

// add makes the gate wait for the worker of a record.
func (g *recovery) add(r *WorkerRecord) {
	g.workers[r.ID] = previousRuns{known: r.Silent, jobs: r.Jobs}
	if !r.Silent {
		g.unknownWorkers++
		return
	}
	for _, id := range r.Jobs {
		g.jobs[id]++
	}
}

func (g *recovery) awaits(id model.WorkerID) bool {
	_, waits := g.workers[id]
	return waits
}

// remove stops waiting for a worker and returns what may have run there.
func (g *recovery) remove(id model.WorkerID) previousRuns {
	f := g.workers[id]
	delete(g.workers, id)
	if !f.known {
		g.unknownWorkers--
		return f
	}
	for _, job := range f.jobs {
		if g.jobs[job]--; g.jobs[job] == 0 {
			delete(g.jobs, job)
		}
	}
	return f
}

// holds reports whether a restored job may have runs that are not known.
func (g *recovery) blocks(job string) bool { return g.unknownWorkers > 0 || g.jobs[job] > 0 }

// certain reports whether the leader knows of every run of the job's tasks.
func (c *Core) runsKnown(j *job) bool { return !j.restored || !c.recovery.blocks(j.spec.ID) }

// passGate counts a worker as heard after a takeover once its list is complete.
func (c *Core) workerReported(now time.Time, w *worker, h *SyncResult) {
	if len(h.Ends) < c.cfg.EndsPerPage {
		c.stopAwaiting(now, w.ID)
	}
}

// leaveGate stops waiting for a worker and releases the jobs that waited for it
// only.
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

// openGate releases all restored jobs once every worker was heard.
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

// settleGangs breaks gangs of which an earlier leader started only some members.
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

// endFormerLeases gives up waiting for the workers that have not answered, once
// the last lease that an earlier leader granted has certainly ended. This leader
// started nothing there, so a next leader need not wait for them either.
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

// formerLeases returns when the last lease that an earlier leader granted has
// certainly ended.
func (c *Core) previousLeaseEnd() time.Time {
	return c.previousLeaderEnd.Add(time.Duration(float64(c.cfg.LeaseDuration)/(1-c.cfg.ClockDrift)) + leaseMargin)
}
