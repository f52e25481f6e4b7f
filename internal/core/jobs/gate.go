package jobs

import (
	"maps"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// gate holds restored jobs back while their tasks may run on workers that a new
// leader has not heard yet.
type gate struct {
	// workers lists these workers, and for each the jobs that may have runs there.
	workers map[model.WorkerID]formerRuns
	// unknown counts the workers on which any job may run.
	unknown int
	// jobs counts, for each job, the other workers on which it may run.
	jobs map[string]int
	// open is set once every worker was heard or its lease has ended.
	open bool
}

// formerRuns is what an earlier leader may have started on a worker.
type formerRuns struct {
	// known is set when jobs lists all that may run there.
	known bool
	jobs  []string
}

func newGate() gate {
	return gate{workers: map[model.WorkerID]formerRuns{}, jobs: map[string]int{}}
}

// add makes the gate wait for the worker of a record.
func (g *gate) add(r *WorkerRecord) {
	g.workers[r.ID] = formerRuns{known: r.Silent, jobs: r.Jobs}
	if !r.Silent {
		g.unknown++
		return
	}
	for _, id := range r.Jobs {
		g.jobs[id]++
	}
}

func (g *gate) waitsFor(id model.WorkerID) bool {
	_, waits := g.workers[id]
	return waits
}

// remove stops waiting for a worker and returns what may have run there.
func (g *gate) remove(id model.WorkerID) formerRuns {
	f := g.workers[id]
	delete(g.workers, id)
	if !f.known {
		g.unknown--
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
func (g *gate) holds(job string) bool { return g.unknown > 0 || g.jobs[job] > 0 }

// certain reports whether the leader knows of every run of the job's tasks.
func (c *Core) certain(j *job) bool { return !j.restored || !c.gate.holds(j.spec.ID) }

// passGate counts a worker as heard after a takeover once its list is complete.
func (c *Core) passGate(now time.Time, w *worker, h *SyncResult) {
	if len(h.Ends) < c.cfg.EndsPerPage {
		c.leaveGate(now, w.ID)
	}
}

// leaveGate stops waiting for a worker and releases the jobs that waited for it
// only.
func (c *Core) leaveGate(now time.Time, id model.WorkerID) {
	if !c.gate.waitsFor(id) {
		return
	}
	former := c.gate.remove(id)
	c.changed = true
	switch {
	case len(c.gate.workers) == 0:
		c.openGate(now)
	case former.known:
		c.settleGangs(now, former.jobs)
	case c.gate.unknown == 0:
		c.settleGangs(now, slices.Sorted(maps.Keys(c.jobs)))
	}
}

// openGate releases all restored jobs once every worker was heard.
func (c *Core) openGate(now time.Time) {
	if len(c.gate.workers) > 0 || c.gate.open {
		return
	}
	c.gate.open = true
	c.batch.drops.RecoveredToken = c.cfg.Token
	c.event(Event{Name: EventRecoveryComplete, Count: len(c.jobs)})
	c.settleGangs(now, slices.Sorted(maps.Keys(c.jobs)))
	c.changed = true
}

// settleGangs breaks gangs of which an earlier leader started only some members.
func (c *Core) settleGangs(now time.Time, ids []string) {
	for _, id := range ids {
		j := c.jobs[id]
		if j == nil || !c.certain(j) {
			continue
		}
		for _, o := range j.sortedOccurrences() {
			for _, s := range o.steps {
				if s.def.Gang && s.gang.current != 0 && s.pending > 0 && s.pending < len(s.tasks) {
					c.breakGang(now, s)
				}
			}
		}
	}
}

// endFormerLeases gives up waiting for the workers that have not answered, once
// the last lease that an earlier leader granted has certainly ended. This leader
// started nothing there, so a next leader need not wait for them either.
func (c *Core) endFormerLeases(now time.Time) {
	if len(c.gate.workers) == 0 || !now.After(c.formerLeases()) {
		return
	}
	c.event(Event{Name: EventWorkerLeaseEnded, Detail: "leases of an earlier leader", Count: len(c.gate.workers)})
	for id := range c.gate.workers {
		if w := c.workers[id]; w != nil && !w.answered {
			c.strike(w)
		}
	}
	c.gate = newGate()
	c.openGate(now)
}

// formerLeases returns when the last lease that an earlier leader granted has
// certainly ended.
func (c *Core) formerLeases() time.Time {
	return c.formerEnd.Add(time.Duration(float64(c.cfg.LeaseDuration)/(1-c.cfg.ClockDrift)) + leaseMargin)
}
