package jobs

import (
	"time"

	"catkinvalve/internal/core/model"
)

const (
	// firstSyncRetryDelay is the delay after the first sync without an answer: often
	// only the connection broke, and the worker gets no tasks until it answers.
	firstSyncRetryDelay = 20 * time.Millisecond
	// syncRetryDelay is the delay after the second one; it doubles up to
	// maxSyncRetryDelay.
	syncRetryDelay    = 150 * time.Millisecond
	maxSyncRetryDelay = time.Second
	// unstoredPollInterval is the delay between syncs while processed ends are
	// not stored yet: they are not acknowledged, so the worker answers such
	// syncs immediately.
	unstoredPollInterval = 300 * time.Millisecond
)

// EndKind is how a run ended.
type EndKind uint8

// End kinds.
const (
	EndDone EndKind = iota
	// EndFailed means that the task or the worker failed.
	EndFailed
	EndStopped
	// EndLeaseExpired means that the worker's lease ended.
	EndLeaseExpired
	// EndGangAborted means that another member of the gang ended.
	EndGangAborted
	// EndGangIncomplete means that other members of the gang did not start in
	// time.
	EndGangIncomplete
)

// String returns the kind's name.
func (e EndKind) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}[e]
}

// RunReport is a worker's report on a run that it has.
type RunReport struct {
	Task       TaskRef
	Run        int64
	Checkpoint string
	// Percent is the progress of the run.
	Percent int
	// Load is the tail latency in ms for a task with a latency target, and the
	// CPU use in millicores for any other task.
	Load int64
}

// RunEnd is the end of a run on a worker. Seq counts the ends of one
// incarnation.
type RunEnd struct {
	Seq        int64
	Task       TaskRef
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// CallStatus is the outcome of a call to a worker.
type CallStatus uint8

// Call statuses.
const (
	CallOK CallStatus = iota
	// CallNoAnswer means that the call may have been executed, or may be
	// executed later.
	CallNoAnswer
	// CallNotSent means that the call was certainly not executed.
	CallNotSent
	// CallFenced means that the worker has seen a higher token.
	CallFenced
	// CallWrongIncarnation means that another incarnation answered.
	CallWrongIncarnation
	// CallUnhealthy means that the worker refused the call and did nothing.
	CallUnhealthy
	// CallStaleRun means that the run number is not higher than one that the
	// worker has seen.
	CallStaleRun
	// CallDeadlinePassed means that the lease deadline in the call had passed
	// on arrival.
	CallDeadlinePassed
	// CallNoCapacity means that the worker checked its capacity and the run
	// does not fit.
	CallNoCapacity
	// CallTicketInvalid means that the ticket does not allow the run.
	CallTicketInvalid
	// CallMalformed means that the worker could not decode the call.
	CallMalformed
	// CallRestarted means that the worker is another incarnation than the one that the call
	// was meant for. The call was not sent.
	CallRestarted
)

// String returns the status's name.
func (s CallStatus) String() string {
	return [...]string{"ok", "no_answer", "not_sent", "fenced", "wrong_life", "unhealthy", "old", "late", "no_room", "no_ticket", "malformed", "restarted"}[s]
}

// SyncResult is the result of a SyncRequest. The fields after SentAt are set
// only if Status is CallOK.
type SyncResult struct {
	Worker      model.WorkerID
	Status      CallStatus
	SentAt      time.Time
	ClockMs     int64 // reading of the worker's clock
	Incarnation int64
	Running     []RunReport
	Ends        []RunEnd
	// RowErrors describes the rows of the answer that could not be read.
	RowErrors []string
}

// HandleSyncResult processes the result of a SyncRequest, which arrived at the
// time received.
func (c *Core) HandleSyncResult(received time.Time, res *SyncResult) {
	w := c.workers[res.Worker]
	if w == nil || !w.syncing {
		return
	}
	w.syncing = false
	c.uncountProbe(w)
	if res.Status != CallOK {
		c.handleSyncFailure(received, w, res)
		return
	}
	c.poolsStale = c.poolsStale || w.missedSyncs > 0 || w.leaseExpired || !w.answered || res.Incarnation != w.incarnation
	w.confirmedAddress = w.syncAddress
	if w.answered && res.Incarnation != w.incarnation {
		c.handleWorkerRestart(received, w, res)
	}
	w.missedSyncs, w.failedAt, w.aliveUntil, w.refused = 0, time.Time{}, time.Time{}, false
	c.resolveExpired(received, w, res.Incarnation)
	if !w.answered {
		if known := c.recovery.workers[w.ID].incarnation; known != 0 && known != res.Incarnation {
			c.recordPreviousCrash(received, w.ID)
		}
		w.workerProcess = c.newWorkerProcess(received, w.syncAddress, res)
	}
	c.recordContact(received, w, res.ClockMs)
	w.leaseExpired = false
	c.registerAgain(w)
	c.processEnds(received, w, res)
	c.reconcileRuns(received, w, res)
	w.moreEnds = c.moreEnds(res)
	if len(res.RowErrors) == 0 {
		w.listedAt = res.SentAt
	}
	c.handleWorkerReport(received, w, res)
	switch {
	case w.processedEnd != w.ackedEnd:
		w.nextSync = received.Add(unstoredPollInterval)
	case w.idle():
		w.nextSync = received.Add(c.idleInterval())
	default:
		c.scheduleSync(received, w)
	}
	c.advanceAck(received, w)
	c.placementsStale = true
}

// recordContact records that a worker answered, and the reading of its clock in
// the answer, which was taken at the time received or earlier.
func (c *Core) recordContact(received time.Time, w *worker, clockMs int64) {
	w.lastContact = received
	// A reading that was delayed in transit would set the estimate back.
	if clockMs >= w.estimatedClockMs(received) || received.Sub(w.clockReadAt) > time.Second {
		w.clockMs, w.clockReadAt = clockMs, received
	}
}

// handleSyncFailure handles a sync that failed, and schedules the next attempt.
func (c *Core) handleSyncFailure(now time.Time, w *worker, res *SyncResult) {
	status := res.Status
	if status == CallFenced {
		c.recordFenced(w)
	}
	if w.missedSyncs == 0 && w.answered {
		c.event(Event{Name: EventWorkerState, Worker: w.ID, Detail: WorkerSilent.String(), Reason: model.Reason(status.String()), Age: now.Sub(w.lastContact)})
	}
	if w.missedSyncs == 0 {
		w.failedAt, w.aliveUntil = now, now
		if now.Sub(res.SentAt) > w.syncWait {
			// The connection did not break, so it is not known when the worker failed.
			w.aliveUntil = w.lastContact
		}
	}
	w.missedSyncs++
	w.refused = w.refused || status == CallNotSent
	c.poolsStale = true
	w.nextSync = now.Add(retryDelay(w.missedSyncs))
	if status == CallWrongIncarnation && w.syncAddress == w.address() {
		c.handleReplacedWorker(now, w)
		return
	}
	c.abortUnclearGangs(now, w)
}

// retryDelay returns the delay after a number of successive syncs without an answer.
func retryDelay(missedSyncs int) time.Duration {
	if missedSyncs == 1 {
		return firstSyncRetryDelay
	}
	return min(syncRetryDelay<<min(missedSyncs-2, 4), maxSyncRetryDelay)
}

// recordFenced records that a worker has seen the token of a newer leader.
func (c *Core) recordFenced(w *worker) {
	if !c.fenced {
		c.fenced = true
		c.event(Event{Name: EventTokenRefused, Worker: w.ID, Detail: "a worker has seen a higher token"})
	}
}

// processEnds processes the ends that this leader has not seen yet.
func (c *Core) processEnds(now time.Time, w *worker, res *SyncResult) {
	for i := range res.Ends {
		e := &res.Ends[i]
		if e.Seq <= w.processedEnd {
			continue
		}
		w.processedEnd = e.Seq
		c.processEnd(now, w, e)
	}
}

// processEnd processes one end. Its acknowledgement waits for the latest progress of its job, if
// that is not stored yet; otherwise the end has changed nothing. Ends of lasting tasks change none.
func (c *Core) processEnd(now time.Time, w *worker, e *RunEnd) {
	r := w.findRun(e.Task)
	if r != nil && r.number == e.Run {
		c.runEvent(EventRunEnded, r, now.Sub(r.sentAt), e.Kind.String())
		w.removeRun(r)
	} else {
		r = nil
	}
	t := c.reportedTask(e.Task)
	if r != nil && r.task != nil {
		t = r.task
	}
	if t != nil {
		c.applyEnd(now, w, t, r, e)
	}
	if j := c.jobs[e.Task.Job]; j != nil && (e.Kind == EndDone || e.Kind == EndFailed) {
		w.ackAfterBatch = max(w.ackAfterBatch, j.progressBatch)
	}
}

// applyEnd applies an end to its task. r is the run that ended; nil if it is not known.
func (c *Core) applyEnd(now time.Time, w *worker, t *task, r *run, e *RunEnd) {
	t.step.job().started = true
	c.recordCheckpoint(t, e.Checkpoint)
	switch {
	case e.Kind == EndDone && t.step.def.LongRunning:
		// The task is started again however its run ends.
		w.lastProgress = now
		c.health.RecordSuccess(now, w.ID)
		w.quality.recordSuccess(now)
	case e.Kind == EndDone:
		c.observeCompleted(now, w, r)
		w.lastProgress = now
		c.health.RecordSuccess(now, w.ID)
		w.quality.recordSuccess(now)
		c.taskDone(now, t)
		c.stopOtherRun(now, t, r)
	case e.Kind == EndFailed:
		c.health.RecordFailure(now, w.ID, e.Task.Job)
		w.quality.recordFailure(now)
		// The run has not crashed its worker.
		t.clearCrashes()
		c.recordFailure(now, t, e.Run)
	}
	if r != nil {
		if e.Kind != EndDone {
			c.observeInterrupted(r)
		}
		c.handleRunGone(now, r)
	}
}

// stopOtherRun stops the current run of a task that succeeded in another run,
// endedRun.
func (c *Core) stopOtherRun(now time.Time, t *task, endedRun *run) {
	if t.run != nil && t.run != endedRun {
		c.requestStop(now, t.run)
	}
}

// recordCheckpoint records the checkpoint from which a task can resume.
func (c *Core) recordCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if t.step.def.Gang {
		t.step.gang.checkpoint = checkpoint
	} else {
		t.record().checkpoint = checkpoint
	}
}
