package jobs

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

const (
	// startCrashWindow is the time after its start within which a crash of the worker
	// is most likely caused by the run.
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
	// maxDepartedAge is how long the runs of a removed worker are kept, to be counted
	// if a restarted worker appears at its address.
	maxDepartedAge = 30 * time.Second
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
	// suspected is set when a run of an earlier leader may have crashed its worker.
	suspected bool
	// batch is the sequence number of the batch with the latest crash.
	batch uint64
}

// suspect reports whether the task may be what crashes its workers.
func (h *crashHistory) suspect() bool {
	return h.suspected || h.atStart > 0 || h.repeated()
}

// enough reports whether the latest crash is the last that the task may cause. alone and atStart tell
// whether no other job had just started a run on the worker, and whether the task's own had.
func (h *crashHistory) enough(alone, atStart bool) bool {
	switch {
	case len(h.runs) > maxCrashes:
		return true
	case !alone:
		return false
	}
	return len(h.runs) >= maxCrashes || atStart && (h.alone >= maxStartCrashes || h.atStart >= maxSharedStartCrashes)
}

// repeated reports whether one more crash would be the last.
func (h *crashHistory) repeated() bool { return len(h.runs) >= maxCrashes-1 }

// InterruptedRun is a run on a worker that has stopped answering. It ended if the worker crashed.
type InterruptedRun struct {
	Task TaskRef
	Run  int64
	// Age is the time from the confirmed start until the worker stopped answering.
	Age time.Duration
	// Unclear is set if the worker is not known to have had the run, or if the run's age
	// is not known because an earlier leader started it.
	Unclear bool
}

// interruptedRuns returns the runs of a worker that has stopped answering, at now if it is not known
// when.
func (w *worker) interruptedRuns(now time.Time) []InterruptedRun {
	failedAt := w.failedAt
	if failedAt.IsZero() {
		failedAt = now
	}
	var out []InterruptedRun
	for _, r := range w.runs {
		if r.task == nil || r.sentAt.After(failedAt) {
			continue
		}
		age := failedAt.Sub(r.confirmedAt)
		confirmed := r.state == runActive && -age < maxAnswerDelay
		out = append(out, InterruptedRun{Task: r.ref, Run: r.number, Age: max(age, 0), Unclear: !confirmed || r.adopted && age < startCrashWindow})
	}
	return out
}

// recordWorkerCrash counts the crash of a worker whose process was replaced. A worker that left as
// announced did not crash.
func (c *Core) recordWorkerCrash(now time.Time, w *worker, runs []InterruptedRun) {
	if !w.Draining {
		c.recordCrash(now, w.ID, runs)
	}
}

// recordCrash counts a crash of a worker for the tasks that ran on it.
func (c *Core) recordCrash(now time.Time, id model.WorkerID, runs []InterruptedRun) {
	starting := startingJobs(runs)
	for i := range runs {
		r := &runs[i]
		t := c.task(r.Task)
		switch {
		case t == nil || t.state == taskDone || t.step.job().outcome != OutcomeUnfinished:
		case r.Unclear:
			t.crashes.suspected = true
		case r.Age < crashBlameWindow:
			c.countCrash(now, id, t, r, starting)
		case len(t.crashes.runs) > 0:
			t.crashes = crashHistory{}
			c.markDirty(t.step.job())
		}
	}
}

// startingJobs returns the jobs of which a run may have started less than startCrashWindow before the
// crash.
func startingJobs(runs []InterruptedRun) []string {
	var jobs []string
	for _, r := range runs {
		if (r.Unclear || r.Age < startCrashWindow) && !slices.Contains(jobs, r.Task.Job) {
			jobs = append(jobs, r.Task.Job)
		}
	}
	return jobs
}

// countCrash counts a crash for one task, once for each run, and fails the job when the task has
// crashed too many workers. starting lists the jobs that had just started runs on the worker.
func (c *Core) countCrash(now time.Time, id model.WorkerID, t *task, r *InterruptedRun, starting []string) {
	h, j := &t.crashes, t.step.job()
	if slices.Contains(h.runs, r.Run) {
		return
	}
	h.runs = append(h.runs, r.Run)
	h.batch = c.batch.next
	alone := !slices.ContainsFunc(starting, func(job string) bool { return job != r.Task.Job })
	atStart := r.Age < startCrashWindow
	if atStart {
		h.atStart++
		if alone {
			h.alone++
		}
	}
	detail := "runs of other jobs had just started"
	if alone {
		detail = "no run of another job had just started"
	}
	ref := r.Task
	c.event(Event{Name: EventWorkerCrashed, Job: ref.Job, Task: &ref, Run: r.Run, Worker: id, Age: r.Age, Count: len(h.runs), Detail: detail})
	c.markDirty(j)
	if h.enough(alone, atStart) {
		j.endReason = reasonCrashes
		c.endJob(now, j, OutcomeFailed)
	}
}

// recordPreviousCrash counts the crash of a worker that stopped answering an earlier leader and was
// replaced before it answered this one.
func (c *Core) recordPreviousCrash(now time.Time, id model.WorkerID) {
	previous := c.recovery.workers[id]
	for _, ref := range previous.tasks {
		if t := c.task(ref); t != nil {
			t.crashes.suspected = true
		}
	}
	c.recordCrash(now, id, previous.runs)
}

// departedWorker holds the runs of a worker whose lease ended after it refused connections: it has
// crashed if another process answers at its address.
type departedWorker struct {
	id          model.WorkerID
	incarnation int64
	runs        []InterruptedRun
	at          time.Time
}

// noteDeparture keeps the runs of a worker whose lease has ended, and suspects their tasks. A worker
// that does not refuse connections may be cut off and is not taken for a crashed one.
func (c *Core) noteDeparture(now time.Time, w *worker) {
	if w.lastFailure != CallNotSent || w.Draining {
		return
	}
	d := departedWorker{id: w.ID, incarnation: w.incarnation, runs: w.interruptedRuns(now), at: now}
	for _, r := range d.runs {
		if t := c.task(r.Task); t != nil {
			t.crashes.suspected = true
		}
	}
	c.departed[w.Address] = d
}

// resolveDeparture counts the crash of the worker that had the address before, unless that is the
// process that answers.
func (c *Core) resolveDeparture(now time.Time, w *worker, incarnation int64) {
	d, ok := c.departed[w.Address]
	if !ok {
		return
	}
	delete(c.departed, w.Address)
	if d.id != w.ID || d.incarnation != incarnation {
		c.recordCrash(now, d.id, d.runs)
	}
}

// dropOldDepartures drops what was kept of workers that did not return.
func (c *Core) dropOldDepartures(now time.Time) {
	for address, d := range c.departed {
		if now.Sub(d.at) > maxDepartedAge {
			delete(c.departed, address)
		}
	}
}

// crashesStored reports whether the crashes under a task are stored, so that a later leader knows
// them before the task starts again.
func (c *Core) crashesStored(t *task) bool {
	return len(t.crashes.runs) == 0 || t.crashes.batch < c.batch.oldestUnstored()
}
