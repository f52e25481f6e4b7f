package jobs

import (
	"maps"
	"slices"
	"time"
)

// Restore loads what earlier leaders stored. It must be called once, before any
// other event.
func (c *Core) Restore(now time.Time, wall time.Time, s Snapshot) {
	c.wall = wall
	c.restoreRunTimes(s.RunTimes)
	for i := range s.Accepted {
		c.restoreJob(now, wall, &s.Accepted[i])
	}
	for i := range s.Progress {
		c.restoreProgress(now, &s.Progress[i])
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if j.outcome == OutcomeUnfinished {
			c.countUnfinished(j, 1)
			c.updateMemory(j)
			c.createOccurrences(wall, j)
			c.queueReadySteps(j)
		}
	}
	for i := range s.Workers {
		r := &s.Workers[i]
		w := c.worker(r.ID)
		w.Address, w.confirmedAddress, w.Service, w.recordState = r.Address, r.Address, r.Service, recordStored
		if r.Silent {
			w.recordState = recordSilent
		}
		c.recovery.add(r)
		c.resolvePrevious(r)
	}
	c.placementsStale = true
	c.completeRecovery(now)
}

// restoreJob adds a job that an earlier leader accepted. The age of the job, by
// the wall clock, is limited to the range from 0 to the retention.
func (c *Core) restoreJob(now, wall time.Time, r *AcceptedRecord) {
	q := r.Queue
	if current := c.queues[q.Name]; current != nil {
		q = *current
	}
	spec := r.Spec
	age := min(max(wall.Sub(r.Accepted), 0), c.cfg.Retention)
	j := newJob(&spec, &q, r.Token, now.Add(-age))
	j.stored, j.restored, j.excess = true, true, r.Excess
	j.account = c.accountOf(now, &spec)
	j.account.restoreLimit(r)
	c.notePacingNeeded(j)
	c.jobs[spec.ID] = j
}

// restoreProgress applies the progress of a job and adds the job if it has
// ended.
func (c *Core) restoreProgress(now time.Time, p *ProgressRecord) {
	j := c.jobs[p.Job]
	if j == nil {
		// The accepted record is deleted when a job ends.
		j = newJob(&Spec{ID: p.Job, Queue: p.Queue, Tenant: p.Tenant}, &Queue{Name: p.Queue}, 0, now)
		j.stored, j.restored = true, true
		j.account = c.accountOf(now, j.spec)
		c.jobs[p.Job] = j
	}
	if p.Outcome != OutcomeUnfinished {
		j.outcome, j.outcomeStored, j.endedAt = p.Outcome, true, now
		c.endedJobs = append(c.endedJobs, j)
		return
	}
	if len(j.spec.Steps) == 0 {
		// Progress without a job specification cannot be resumed.
		delete(c.jobs, p.Job)
		return
	}
	j.numbers = runNumbers{base: p.RunLimit, stored: p.RunLimit, proposed: p.RunLimit}
	for i := range p.Occurrences {
		j.restoreOccurrence(&p.Occurrences[i])
	}
}

// restoreOccurrence creates an unfinished occurrence with its stored progress. Whether it is due
// by this leader's clock is determined afterwards.
func (j *job) restoreOccurrence(p *OccurrenceProgress) {
	if p.Finished {
		j.finished[p.Occurrence] = true
		return
	}
	o := j.newOccurrence(p.Occurrence, j.due(p.Occurrence))
	o.early = true
	for i := range p.Steps {
		sp := &p.Steps[i]
		if sp.Step >= 0 && int(sp.Step) < len(o.steps) {
			o.steps[sp.Step].restore(sp)
		}
	}
	for _, s := range o.steps {
		if s.unfinished == 0 {
			o.unblockDependents(s)
		}
	}
}

// restore applies the stored progress of a step. It ignores failures and crashes of
// tasks that the step does not have.
func (s *step) restore(p *StepProgress) {
	for i := range s.tasks {
		done := p.Finished || i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0
		if done {
			s.tasks[i].state = taskDone
			s.unfinished--
			s.pending--
		}
	}
	for _, f := range p.Failures {
		if f.Index < 0 || int(f.Index) >= len(s.tasks) {
			continue
		}
		if s.def.Gang {
			s.gang.failed = f.Runs
		} else {
			s.tasks[f.Index].record().failed = f.Runs
		}
	}
	for _, r := range p.Crashes {
		if r.Index >= 0 && int(r.Index) < len(s.tasks) {
			s.tasks[r.Index].record().crashes = crashHistory{runs: r.Runs, atStart: r.AtStart, alone: r.Alone}
		}
	}
}

// due returns the wall-clock time at which an occurrence is due; the zero time
// means immediately.
func (j *job) due(ordinal int32) time.Time {
	if j.spec.Repeat == 0 {
		return time.Time{}
	}
	return j.spec.FirstDue.Add(time.Duration(ordinal) * j.spec.Interval)
}
