package jobs

import (
	"slices"
	"time"
)

// abortUnclearGangs aborts gangs that wait for a member on a silent worker;
// otherwise the other members would occupy their capacity until they time out.
func (c *Core) abortUnclearGangs(now time.Time, w *worker) {
	for _, r := range slices.Clone(w.runs) {
		if r.state == runUnclear && r.task != nil && r.task.step.def.Gang && !r.task.step.gang.aborting {
			c.abortGang(now, r.task.step)
		}
	}
}

// handleReplacedWorker drops all runs on a worker whose confirmed address now belongs to
// another worker. Calls that name the former worker have no effect there. That an address which
// only an entry names belongs to another worker proves nothing.
func (c *Core) handleReplacedWorker(now time.Time, w *worker) {
	c.event(Event{Name: EventWorkerRestarted, Worker: w.ID, Count: len(w.runs), Age: now.Sub(w.lastContact), Detail: "its address now belongs to another worker"})
	c.recordWorkerCrash(now, w, w.interruptedRuns(now))
	c.recordPreviousCrash(now, w.ID)
	c.resolveExpired(now, w, otherProcess)
	for _, r := range slices.Clone(w.runs) {
		c.loseRun(now, r, "the address now belongs to another worker")
	}
	w.workerProcess = workerProcess{}
	c.poolsStale = true
	c.stopAwaiting(now, w.ID)
}

// handleWorkerRestart drops the runs of an earlier incarnation of the worker.
// Starts without an answer may still arrive at the new incarnation, so they
// have to be stopped there.
func (c *Core) handleWorkerRestart(now time.Time, w *worker, res *SyncResult) {
	c.event(Event{Name: EventWorkerRestarted, Worker: w.ID, Count: len(w.runs), Age: now.Sub(w.lastContact)})
	listed := map[TaskRef]int64{}
	for i := range res.Running {
		listed[res.Running[i].Task] = res.Running[i].Run
	}
	if w.failedAt.IsZero() {
		w.failedAt, w.aliveUntil = res.SentAt, res.SentAt
	}
	c.recordWorkerCrash(now, w, slices.DeleteFunc(w.interruptedRuns(now), func(r InterruptedRun) bool { return listed[r.Task] == r.Run }))
	w.workerProcess = c.newWorkerProcess(now, w.syncAddress, res)
	// Calls that the earlier process had received may still be carried out. Their deadlines are
	// times on its clock.
	w.lateGrantsUntil = now.Add(c.cfg.MaxCallDelay)
	for _, r := range slices.Clone(w.runs) {
		if listed[r.ref] == r.number {
			continue
		}
		if r.state == runActive && r.confirmedAt.Before(res.SentAt) {
			c.loseRun(now, r, "the worker restarted")
			continue
		}
		if r.state == runActive {
			r.state, r.unclearSince = runUnclear, now
		}
		r.stop = stopState{}
		c.requestStop(now, r)
	}
}

// loseRun records that a run is certainly gone although no end was reported.
func (c *Core) loseRun(now time.Time, r *run, reason string) {
	c.runEvent(EventRunLost, r, now.Sub(r.sentAt), reason)
	c.observeInterrupted(r)
	r.worker.removeRun(r)
	c.handleRunGone(now, r)
}

// handleRunGone makes the run's task pending again, or aborts its gang.
func (c *Core) handleRunGone(now time.Time, r *run) {
	c.placementsStale = true
	t := r.task
	if t == nil || t.run != r {
		return
	}
	c.requeueTask(t)
	if t.step.def.Gang && t.step.unfinished > 0 {
		c.abortGang(now, t.step)
	}
}

// abortGang stops the remaining members of a gang that lost one. When none is
// left, the gang may start again.
func (c *Core) abortGang(now time.Time, s *step) {
	g := &s.gang
	g.aborting = false
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil {
			g.aborting = true
			c.requestStop(now, r)
		}
	}
	if !g.aborting {
		g.currentRun = 0
		c.queueStep(s)
	}
}

// expireLease drops all runs on a worker whose lease has certainly ended. What the
// worker has not listed until then has ended with the lease.
func (c *Core) expireLease(now time.Time, w *worker) {
	c.event(Event{Name: EventWorkerLeaseEnded, Worker: w.ID, Count: len(w.runs), Age: now.Sub(w.lastContact)})
	w.leaseExpired, c.poolsStale = true, true
	c.keepExpired(now, w, w.incarnation, w.interruptedRuns(now))
	for _, r := range slices.Clone(w.runs) {
		c.loseRun(now, r, "the worker's lease ended")
	}
	c.stopAwaiting(now, w.ID)
	c.deregisterWorker(w)
	if !w.listed {
		c.removeWorker(w)
	}
}

// removeWorker drops a worker that left and can run nothing any more.
func (c *Core) removeWorker(w *worker) {
	c.deregisterWorker(w)
	c.uncountProbe(w)
	c.health.RemoveWorker(w.ID)
	w.state, w.answered = WorkerUnlisted, false
	c.forgetWorkerAdvice(w)
	delete(c.workers, w.ID)
	c.workerList = slices.DeleteFunc(c.workerList, func(o *worker) bool { return o == w })
	c.poolsStale = true
}
