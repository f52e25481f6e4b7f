package jobs

import (
	"slices"
	"time"
)

// reconcileRuns compares the runs that the worker reports with those that the
// leader knows.
func (c *Core) reconcileRuns(now time.Time, w *worker, res *SyncResult) {
	for i := range res.Running {
		c.reconcileListed(now, w, res, &res.Running[i])
	}
	if c.listsIncomplete(res) {
		return
	}
	for _, r := range slices.Clone(w.runs) {
		if !r.lastListedAt.Equal(res.SentAt) {
			c.reconcileMissing(now, r, res)
		}
	}
}

// listsIncomplete reports whether the worker may have runs or ends that its answer does not
// list, so that nothing follows from a run that is in neither list: a row that could not be
// read may be about it, or its end is still to come.
func (c *Core) listsIncomplete(res *SyncResult) bool {
	return len(res.RowErrors) > 0 || c.moreEnds(res)
}

// moreEnds reports whether the worker may have more ends than its answer lists. While the
// store takes no records, ends are not acknowledged, so the further ones do not come.
func (c *Core) moreEnds(res *SyncResult) bool {
	return len(res.Ends)+len(res.RowErrors) >= c.cfg.EndsPerPage
}

// reconcileListed processes one run that the worker reports.
func (c *Core) reconcileListed(now time.Time, w *worker, res *SyncResult, report *RunReport) {
	r := w.findRun(report.Task)
	switch {
	case r == nil:
		r = c.adopt(now, w, report)
	case r.number != report.Run:
		c.runEvent(EventAnomaly, r, now.Sub(r.sentAt), "the worker reports another run of the task")
		c.out.Stops = append(c.out.Stops, StopRequest{Worker: w.ID, Address: w.address(), Incarnation: w.incarnation, Task: report.Task, Run: report.Run})
		return
	}
	r.lastListedAt = res.SentAt
	if r.state != runActive {
		c.confirm(now, r)
	}
	r.tailLatency = time.Duration(report.Load) * time.Millisecond
	c.updateProgress(now, w, r, report.Percent)
	if r.task != nil {
		c.recordCheckpoint(r.task, report.Checkpoint)
	}
}

// confirm records that the worker has a run.
func (c *Core) confirm(now time.Time, r *run) {
	r.state = runActive
	r.confirmedAt, r.reportedAt, r.progressAt = now, now, now
	if r.task != nil {
		r.task.step.job().started = true
	}
}

// reconcileMissing processes a run that the worker reports neither as running
// nor as ended.
func (c *Core) reconcileMissing(now time.Time, r *run, res *SyncResult) {
	switch {
	case !r.stop.answeredAt.IsZero() && r.stop.answeredAt.Before(res.SentAt):
		c.loseRun(now, r, "stopped before it arrived")
	case r.state == runActive && r.confirmedAt.Before(res.SentAt):
		c.loseRun(now, r, "no longer reported by the worker")
	case r.state == runUnclear && r.unclearSince.Before(res.SentAt) && r.rejected:
		c.skipRunNumbers(r)
		c.loseRun(now, r, "the worker has seen its number or a higher one")
	case r.state == runUnclear && r.unclearSince.Before(res.SentAt):
		c.requestStop(now, r)
	}
}

// adopt adds a run that the worker reports and this leader does not know. An
// earlier leader started it; it is stopped if its task does not need it.
func (c *Core) adopt(now time.Time, w *worker, report *RunReport) *run {
	t := c.reportedTask(report.Task)
	r := &run{ref: report.Task, number: report.Run, worker: w, state: runActive, sentAt: now, confirmedAt: now, reportedAt: now, progressAt: now, slowdownSampled: true, adopted: true, pace: paceState{applied: paceUnknown, wanted: fullPace}}
	wanted := t != nil && t.step.job().outcome == OutcomeUnfinished && t.state == taskPending && t.run == nil
	if wanted && t.step.def.Gang {
		g := &t.step.gang
		wanted = !g.aborting && (g.currentRun == 0 || g.currentRun == report.Run)
	}
	if t != nil {
		r.size = t.step.def.Size
	}
	if j := c.jobs[report.Task.Job]; j != nil {
		// The account that the job began with may have been removed and created again.
		r.account = c.accountOf(now, j.spec)
	}
	if wanted {
		c.attach(t, r)
		c.runEvent(EventRunAdopted, r, 0, "")
	}
	w.addRun(r)
	if !wanted {
		c.runEvent(EventRunAdopted, r, 0, "no job wants this run")
		c.requestStop(now, r)
	}
	return r
}

// attach makes r the current run of t.
func (c *Core) attach(t *task, r *run) {
	r.task = t
	t.run = r
	t.state = taskActive
	t.step.pending--
	t.step.job().started = t.step.job().started || r.state == runActive
	if t.step.def.Gang {
		t.step.gang.currentRun = r.number
	}
}
