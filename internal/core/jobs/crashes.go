package jobs

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

const (
	// startCrashWindow is the time after its start within which a run is the likely cause
	// of a crash of its worker.
	startCrashWindow = 500 * time.Millisecond
	// crashBlameWindow is the time after its start from which a run is no longer
	// suspected when its worker crashes.
	crashBlameWindow = 30 * time.Second
	// maxStartCrashes is the number of crashes soon after a start with which a task is
	// given up, if no other job had just started a run on any of the workers.
	maxStartCrashes = 2
	// maxSharedStartCrashes is the same number if that holds for the last worker only.
	maxSharedStartCrashes = 3
	// maxCrashes is the number of crashes at any time with which a task is given up, under
	// the condition of maxSharedStartCrashes. One more is the last without it.
	maxCrashes = 4
	// maxAnswerDelay is how long after the crash of a worker its answer to a start may
	// arrive. A later one is that of another process.
	maxAnswerDelay = 100 * time.Millisecond
	// maxExpiredAge is how long the runs of a worker whose lease has ended are kept, to be
	// counted if another process answers at its address.
	maxExpiredAge = 30 * time.Second
	// otherProcess stands for the unknown incarnation of a process that is not the
	// worker's.
	otherProcess = -1
)

// reasonCrashes is why a job fails one of whose tasks crashes the workers that start it.
const reasonCrashes model.Reason = "task_crashes_workers"

// crashHistory is what is known about the crashes of workers that ran a task.
type crashHistory struct {
	// runs lists the numbers of the runs that ended with a crash of their worker.
	runs []int64
	// atStart counts those of them that had started less than startCrashWindow before.
	atStart int
	// alone counts those of atStart on whose worker no other job had just started a run.
	alone int
	// possible is set when a run of the task may have crashed its worker, but is not
	// known to have been there.
	possible bool
	// since is when the task was last suspected; zero if its history was restored.
	since time.Time
	// batch is the sequence number of the batch with the latest crash.
	batch uint64
}

// suspect reports whether the task may be what crashes its workers.
func (h *crashHistory) suspect() bool {
	return h.possible || h.atStart > 0 || h.nextIsLast()
}

// exhausted reports whether the task is given up after the latest crash. alone and atStart tell
// whether no other job had just started a run on the worker, and whether the task's own had.
func (h *crashHistory) exhausted(alone, atStart bool) bool {
	switch {
	case len(h.runs) > maxCrashes:
		return true
	case !alone:
		return false
	}
	return len(h.runs) >= maxCrashes || atStart && (h.alone >= maxStartCrashes || h.atStart >= maxSharedStartCrashes)
}

// nextIsLast reports whether the task is given up after one more crash.
func (h *crashHistory) nextIsLast() bool { return len(h.runs) >= maxCrashes-1 }

// markPossible makes the task a suspect without counting a crash.
func (h *crashHistory) markPossible(now time.Time) { h.possible, h.since = true, now }

// overdue reports whether a suspect has waited so long for a start apart from other jobs that it starts
// beside them. A task that has crashed workers at its start twice waits on. The wait of a task whose
// history was restored begins with the first call.
func (h *crashHistory) overdue(now time.Time) bool {
	if h.since.IsZero() {
		h.since = now
	}
	return h.atStart < maxStartCrashes && now.Sub(h.since) > maxIsolationWait
}

// InterruptedRun is a run on a worker that has stopped answering. It ended if the worker crashed.
type InterruptedRun struct {
	Task TaskRef
	Run  int64
	// Age is the time from the confirmed start, or else from the sending of the start, until
	// the worker was last known to work.
	Age time.Duration
	// Unclear is set if the worker is not known to have had the run, or if the run's age
	// is not known because an earlier leader started it.
	Unclear bool
}

// interruptedRuns returns the runs of a worker that has stopped answering, at now if it is not known
// when.
func (w *worker) interruptedRuns(now time.Time) []InterruptedRun {
	failedAt, aliveUntil := w.failedAt, w.aliveUntil
	if failedAt.IsZero() {
		failedAt, aliveUntil = now, now
	}
	var out []InterruptedRun
	for _, r := range w.runs {
		if r.sentAt.After(failedAt) || w.endedUnlisted(r) {
			continue
		}
		i := InterruptedRun{Task: r.ref, Run: r.number}
		if r.state == runActive && r.confirmedAt.Sub(failedAt) < maxAnswerDelay {
			i.Age = max(aliveUntil.Sub(r.confirmedAt), 0)
			i.Unclear = r.adopted && i.Age < startCrashWindow
		} else {
			i.Age, i.Unclear = max(aliveUntil.Sub(r.sentAt), 0), true
		}
		out = append(out, i)
	}
	return out
}

// endedUnlisted reports whether a run had ended before the worker's last answer, which did not
// list its end yet.
func (w *worker) endedUnlisted(r *run) bool {
	return r.state == runActive && r.confirmedAt.Before(w.listedAt) && r.lastListedAt.Before(w.listedAt)
}

// recordWorkerCrash counts the crash of a worker whose process was replaced. A worker that left as
// announced did not crash.
func (c *Core) recordWorkerCrash(now time.Time, w *worker, runs []InterruptedRun) {
	if !w.leaving() {
		c.recordCrash(now, w.ID, runs)
	}
}

// leaving reports whether the process that last answered has announced that it leaves. The entry of
// the worker may be that of a later process already.
func (w *worker) leaving() bool {
	return w.Draining && w.WorkerEntry.Incarnation == w.incarnation || w.drainedIncarnation != 0 && w.drainedIncarnation == w.incarnation
}

// recordCrash counts a crash of a worker for the tasks that ran on it.
func (c *Core) recordCrash(now time.Time, id model.WorkerID, runs []InterruptedRun) {
	starting := startingJobs(runs)
	for i := range runs {
		r := &runs[i]
		t := c.task(r.Task)
		switch {
		case t == nil || t.state == taskDone || t.step.job().outcome != OutcomeUnfinished:
		case r.Unclear && (len(starting) > 1 || !r.starting()):
			t.record().crashes.markPossible(now)
		case r.Unclear || r.Age < crashBlameWindow:
			c.countCrash(now, id, t, r, starting)
		case t.crashes().suspect():
			t.clearCrashes()
			c.markDirty(t.step.job())
		}
	}
}

// starting reports whether the run may have started just before the crash.
func (r *InterruptedRun) starting() bool {
	if r.Unclear {
		return r.Age < unclearRunWindow
	}
	return r.Age < startCrashWindow
}

// startingJobs returns the jobs of which a run may have started just before the crash.
func startingJobs(runs []InterruptedRun) []string {
	var jobs []string
	for i := range runs {
		if r := &runs[i]; r.starting() && !slices.Contains(jobs, r.Task.Job) {
			jobs = append(jobs, r.Task.Job)
		}
	}
	return jobs
}

// countCrash counts a crash for one task, once for each run, and fails the job when the task has
// crashed too many workers. starting lists the jobs that had just started runs on the worker.
func (c *Core) countCrash(now time.Time, id model.WorkerID, t *task, r *InterruptedRun, starting []string) {
	h, j := &t.record().crashes, t.step.job()
	if slices.Contains(h.runs, r.Run) {
		return
	}
	h.runs = append(h.runs, r.Run)
	h.batch = c.batch.next
	alone := !slices.ContainsFunc(starting, func(job string) bool { return job != r.Task.Job })
	atStart := !r.Unclear && r.starting()
	if atStart {
		h.atStart++
		if alone {
			h.alone++
		}
	}
	if r.Unclear {
		h.markPossible(now)
	}
	h.since = now
	detail := "runs of other jobs had just started"
	if alone {
		detail = "no run of another job had just started"
	}
	ref := r.Task
	c.event(Event{Name: EventWorkerCrashed, Job: ref.Job, Task: &ref, Run: r.Run, Worker: id, Age: r.Age, Count: len(h.runs), Detail: detail})
	c.markDirty(j)
	if h.exhausted(alone, atStart) {
		j.endReason = reasonCrashes
		c.endJob(now, j, OutcomeFailed)
	}
}

// recordPreviousCrash counts the crash of a worker that stopped answering an earlier leader and was
// replaced before it answered this one.
func (c *Core) recordPreviousCrash(now time.Time, id model.WorkerID) {
	if previous := c.recovery.workers[id]; previous.incarnation != 0 {
		c.recordCrash(now, id, previous.runs)
	}
}

// expiredWorker holds the runs of a worker whose lease ended: it has crashed if another process answers
// at its address.
type expiredWorker struct {
	id          model.WorkerID
	incarnation int64
	runs        []InterruptedRun
	at          time.Time
}

// keepExpired keeps the runs of a worker whose lease has ended. Tasks that had just started may be
// to blame, unless the worker has not refused connections and may only be cut off.
func (c *Core) keepExpired(now time.Time, w *worker, incarnation int64, runs []InterruptedRun) {
	if w.leaving() || len(runs) == 0 {
		return
	}
	for i := range runs {
		if t := c.task(runs[i].Task); t != nil && w.refused && (runs[i].Unclear || runs[i].Age < startCrashWindow) {
			t.record().crashes.markPossible(now)
		}
	}
	c.expired[w.address()] = expiredWorker{id: w.ID, incarnation: incarnation, runs: runs, at: now}
}

// resolveExpired counts the crash of the worker that had an address before, unless that is the process
// that answers there now.
func (c *Core) resolveExpired(now time.Time, w *worker, incarnation int64) {
	e, ok := c.expired[w.address()]
	if !ok {
		return
	}
	delete(c.expired, w.address())
	if e.id != w.ID || e.incarnation != incarnation {
		c.recordCrash(now, e.id, e.runs)
	}
}

// dropOldExpired drops what was kept of workers that did not return.
func (c *Core) dropOldExpired(now time.Time) {
	for address, e := range c.expired {
		if now.Sub(e.at) > maxExpiredAge {
			delete(c.expired, address)
		}
	}
}

// crashesStored reports whether the crashes under a suspect task are stored, so that a later leader knows
// them before the task starts again.
func (c *Core) crashesStored(t *task) bool {
	return !t.crashes().suspect() || t.crashes().batch < c.batch.oldestUnstored()
}
