package jobs

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

const (
	// holdRetry is the first delay after a call without an answer; it doubles up
	// to maxHoldRetry.
	syncRetryDelay    = 150 * time.Millisecond
	maxSyncRetryDelay = time.Second
	// unstoredPoll is the delay between calls while ends cannot be stored: the
	// worker answers such calls at once.
	unstoredPollInterval = 300 * time.Millisecond
)

// EndKind is how a run ended.
type EndKind uint8

// Ends.
const (
	EndDone EndKind = iota
	// EndFailed: through the task's own fault or the worker's.
	EndFailed
	EndStopped
	// EndLapsed: the worker's lease ended.
	EndLeaseExpired
	// EndBroken: another member of the gang ended.
	EndGangAborted
	// EndAlone: other members of the gang did not come.
	EndGangIncomplete
)

// String returns the kind's name.
func (e EndKind) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}[e]
}

// Listed is a run that a worker has.
type RunReport struct {
	Task       TaskRef
	Run        int64
	Checkpoint string
	// Percent is how far the run is.
	Percent int
	// Load is the tail of the response times in ms of a task that serves users, and
	// the processors in use, in thousandths, of any other one.
	Load int64
}

// Ended is a run that ended on a worker. Seq counts the ends of one life.
type RunEnd struct {
	Seq        int64
	Task       TaskRef
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// HoldStatus is the outcome of a call to a worker.
type CallStatus uint8

// Outcomes of calls.
const (
	CallOK CallStatus = iota
	// CallNoAnswer: it may have been executed, now or later.
	CallNoAnswer
	// CallNotSent: it was certainly not executed.
	CallNotSent
	// CallFenced: the worker has seen a higher token.
	CallFenced
	// CallWrongLife: another incarnation answered.
	CallWrongIncarnation
	// CallUnhealthy: the worker refused and did nothing.
	CallUnhealthy
	// CallOld: the run is not higher than one that the worker has seen.
	CallStaleRun
	// CallLate: the deadline had passed when the call arrived.
	CallDeadlinePassed
	// CallNoRoom: the worker guards its capacity and has none.
	CallNoCapacity
	// CallNoTicket: the ticket does not allow the run.
	CallTicketInvalid
	// CallMalformed: the worker could not read the call.
	CallMalformed
)

// String returns the status's name.
func (s CallStatus) String() string {
	return [...]string{"ok", "no_answer", "not_sent", "fenced", "wrong_life", "unhealthy", "old", "late", "no_room", "no_ticket", "malformed"}[s]
}

// HoldResult is a worker's answer to a HoldOrder, or that there was none.
type SyncResult struct {
	Worker      model.WorkerID
	Status      CallStatus
	SentAt      time.Time
	ClockMs     int64
	Incarnation int64
	Running     []RunReport
	Ends        []RunEnd
	// Problems tells of rows that could not be read.
	RowErrors []string
}

// Held takes the result of a HoldOrder. Received is when the answer came.
func (c *Core) HandleSyncResult(received time.Time, h *SyncResult) {
	w := c.workers[h.Worker]
	if w == nil || !w.syncing {
		return
	}
	w.syncing = false
	c.uncountProbe(w)
	if h.Status != CallOK {
		c.handleSyncFailure(received, w, h.Status)
		return
	}
	c.poolsStale = c.poolsStale || w.missedSyncs > 0 || w.leaseExpired || !w.answered || h.Incarnation != w.incarnation
	w.missedSyncs = 0
	if w.answered && h.Incarnation != w.incarnation {
		c.handleWorkerRestart(received, w, h)
	}
	if !w.answered {
		// An earlier leader may have granted as much as this one would.
		w.answered, w.incarnation, w.clockMs, w.clockReadAt = true, h.Incarnation, h.ClockMs, received
		w.maxDeadlineMs = h.ClockMs + c.cfg.LeaseDuration.Milliseconds()
	}
	c.recordContact(received, w, h.ClockMs)
	w.leaseExpired = false
	c.registerAgain(w)
	c.processEnds(received, w, h)
	c.reconcileRuns(received, w, h)
	c.workerReported(received, w, h)
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

// heard takes a reading of the worker's clock that is at most as old as its
// arrival.
func (c *Core) recordContact(received time.Time, w *worker, clockMs int64) {
	w.lastContact = received
	// A reading that took long to arrive would lower the estimate.
	if clockMs >= w.estimatedClockMs(received) || received.Sub(w.clockReadAt) > time.Second {
		w.clockMs, w.clockReadAt = clockMs, received
	}
}

func (c *Core) handleSyncFailure(now time.Time, w *worker, status CallStatus) {
	if status == CallFenced {
		c.recordFenced(w)
	}
	if w.missedSyncs == 0 && w.answered {
		c.event(Event{Name: EventWorkerState, Worker: w.ID, Detail: WorkerSilent.String(), Reason: model.Reason(status.String()), Age: now.Sub(w.lastContact)})
	}
	w.missedSyncs++
	c.poolsStale = true
	w.nextSync = now.Add(min(syncRetryDelay<<min(w.missedSyncs-1, 4), maxSyncRetryDelay))
	if status == CallWrongIncarnation {
		c.handleReplacedWorker(now, w)
		return
	}
	c.abortUnclearGangs(now, w)
}

// breakUnclearGangs stops the members of gangs that wait for one on a silent
// worker, so that they do not occupy their room until they give up.
func (c *Core) abortUnclearGangs(now time.Time, w *worker) {
	for _, r := range slices.Clone(w.runs) {
		if r.state == runUnclear && r.task != nil && r.task.step.def.Gang && !r.task.step.gang.aborting {
			c.abortGang(now, r.task.step)
		}
	}
}

// endLife drops everything on a worker whose address now belongs to another
// one. Calls that name the former worker have no effect there.
func (c *Core) handleReplacedWorker(now time.Time, w *worker) {
	c.event(Event{Name: EventWorkerRestarted, Worker: w.ID, Count: len(w.runs), Age: now.Sub(w.lastContact), Detail: "another worker has its address"})
	for _, r := range slices.Clone(w.runs) {
		c.loseRun(now, r, "another worker has the address")
	}
	w.answered, w.processedEnd, w.ackedEnd, w.ackAfterBatch = false, 0, 0, 0
	c.poolsStale = true
	c.stopAwaiting(now, w.ID)
}

// loseToken records that another leader holds a worker.
func (c *Core) recordFenced(w *worker) {
	if !c.fenced {
		c.fenced = true
		c.event(Event{Name: EventTokenRefused, Worker: w.ID, Detail: "a worker has seen a higher token"})
	}
}

// newLife drops what an earlier incarnation of the worker ran. Starts without
// an answer may still arrive at the new one, so they have to be stopped there.
func (c *Core) handleWorkerRestart(now time.Time, w *worker, h *SyncResult) {
	c.event(Event{Name: EventWorkerRestarted, Worker: w.ID, Count: len(w.runs), Age: now.Sub(w.lastContact)})
	listed := map[TaskRef]int64{}
	for i := range h.Running {
		listed[h.Running[i].Task] = h.Running[i].Run
	}
	w.incarnation, w.clockMs, w.clockReadAt, w.maxDeadlineMs = h.Incarnation, h.ClockMs, now, h.ClockMs+c.cfg.LeaseDuration.Milliseconds()
	// Calls to the earlier life may still arrive; their deadlines are far ahead
	// of the new life's clock.
	w.lateGrantsUntil = now.Add(c.cfg.MaxCallDelay)
	w.processedEnd, w.ackedEnd, w.ackAfterBatch = 0, 0, 0
	for _, r := range slices.Clone(w.runs) {
		if listed[r.ref] == r.number {
			continue
		}
		if r.state == runActive && r.confirmedAt.Before(h.SentAt) {
			c.loseRun(now, r, "the worker started anew")
			continue
		}
		if r.state == runActive {
			r.state, r.unclearSince = runUnclear, now
		}
		r.stop = stopState{}
		c.requestStop(now, r)
	}
}

// readEnds processes the ends that are new.
func (c *Core) processEnds(now time.Time, w *worker, h *SyncResult) {
	for i := range h.Ends {
		e := &h.Ends[i]
		if e.Seq <= w.processedEnd {
			continue
		}
		w.processedEnd = e.Seq
		c.processEnd(now, w, e)
	}
}

// runEnded processes one end.
func (c *Core) processEnd(now time.Time, w *worker, e *RunEnd) {
	r := w.findRun(e.Task)
	if r != nil && r.number == e.Run {
		c.runEvent(EventRunEnded, r, now.Sub(r.sentAt), e.Kind.String())
		w.removeRun(r)
	} else {
		r = nil
	}
	t := c.task(e.Task)
	if r != nil && r.task != nil {
		t = r.task
	}
	if t == nil {
		return
	}
	t.step.job().started = true
	c.recordCheckpoint(t, e.Checkpoint)
	switch e.Kind {
	case EndDone:
		c.observeRunTime(now, w, r)
		w.lastProgress = now
		c.health.Succeeded(now, w.ID)
		c.taskDone(now, t)
		c.stopOtherRun(now, t, r)
		w.ackAfterBatch = c.batch.next
	case EndFailed:
		c.health.Failed(now, w.ID, e.Task.Job)
		c.recordFailure(now, t, e.Run)
		w.ackAfterBatch = c.batch.next
	}
	if r != nil {
		c.handleRunGone(now, r)
	}
}

// stopOtherRun stops a run of a task that ended elsewhere.
func (c *Core) stopOtherRun(now time.Time, t *task, ended *run) {
	if t.run != nil && t.run != ended {
		c.requestStop(now, t.run)
	}
}

// keepCheckpoint remembers where a task can resume.
func (c *Core) recordCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if t.step.def.Gang {
		t.step.gang.checkpoint = checkpoint
	} else {
		t.checkpoint = checkpoint
	}
}

// readRunning compares the worker's runs with those that the leader knows.
func (c *Core) reconcileRuns(now time.Time, w *worker, h *SyncResult) {
	for i := range h.Running {
		c.reconcileListed(now, w, h, &h.Running[i])
	}
	for _, r := range slices.Clone(w.runs) {
		if !r.lastListedAt.Equal(h.SentAt) {
			c.reconcileMissing(now, r, h)
		}
	}
}

// listed processes one run that the worker has.
func (c *Core) reconcileListed(now time.Time, w *worker, h *SyncResult, l *RunReport) {
	r := w.findRun(l.Task)
	switch {
	case r == nil:
		r = c.adopt(now, w, l)
	case r.number != l.Run:
		c.runEvent(EventAnomaly, r, now.Sub(r.sentAt), "the worker lists another run of the task")
		c.out.Stops = append(c.out.Stops, StopRequest{Worker: w.ID, Address: w.Address, Task: l.Task, Run: l.Run})
		return
	}
	r.lastListedAt = h.SentAt
	if r.state != runActive {
		c.confirm(now, r)
	}
	r.tailLatency = time.Duration(l.Load) * time.Millisecond
	c.updateProgress(now, w, r, l.Percent)
	if r.task != nil {
		c.recordCheckpoint(r.task, l.Checkpoint)
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

// absent processes a run that the worker neither runs nor lists as ended.
func (c *Core) reconcileMissing(now time.Time, r *run, h *SyncResult) {
	switch {
	case !r.stop.answeredAt.IsZero() && r.stop.answeredAt.Before(h.SentAt):
		c.loseRun(now, r, "stopped before it was there")
	case r.state == runActive && r.confirmedAt.Before(h.SentAt):
		c.loseRun(now, r, "no longer listed")
	case r.state == runUnclear && r.unclearSince.Before(h.SentAt):
		c.requestStop(now, r)
	}
}

// adopt takes over a run that an earlier leader started, or stops it when no
// job wants it.
func (c *Core) adopt(now time.Time, w *worker, l *RunReport) *run {
	t := c.task(l.Task)
	r := &run{ref: l.Task, number: l.Run, worker: w, state: runActive, sentAt: now, confirmedAt: now, reportedAt: now, progressAt: now, slowdownSampled: true, pace: paceState{applied: paceUnknown, wanted: fullPace}}
	wanted := t != nil && t.step.job().outcome == OutcomeUnfinished && t.state == taskPending && t.run == nil
	if wanted && t.step.def.Gang {
		g := &t.step.gang
		wanted = !g.aborting && (g.currentRun == 0 || g.currentRun == l.Run)
	}
	if t != nil {
		r.size = t.step.def.Size
	}
	if wanted {
		c.attach(t, r)
		c.runEvent(EventRunAdopted, r, 0, "")
	}
	w.addRun(r)
	if !wanted {
		c.runEvent(EventRunAdopted, r, 0, "not wanted")
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

// lose records that a run is certainly gone without an end.
func (c *Core) loseRun(now time.Time, r *run, why string) {
	c.runEvent(EventRunLost, r, now.Sub(r.sentAt), why)
	r.worker.removeRun(r)
	c.handleRunGone(now, r)
}

// runGone returns the run's task to the pending ones, or breaks its gang.
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

// breakGang stops the members of a gang that lost one; when none is left the
// gang may start again.
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

// lapse drops everything on a worker whose lease has certainly ended.
func (c *Core) expireLease(now time.Time, w *worker) {
	c.event(Event{Name: EventWorkerLeaseEnded, Worker: w.ID, Count: len(w.runs), Age: now.Sub(w.lastContact)})
	w.leaseExpired, c.poolsStale = true, true
	for _, r := range slices.Clone(w.runs) {
		c.loseRun(now, r, "the worker's lease ended")
	}
	c.deregisterWorker(w)
	if !w.listed {
		c.removeWorker(w)
	}
}

// forget drops a worker that left and can run nothing any more.
func (c *Core) removeWorker(w *worker) {
	c.deregisterWorker(w)
	c.uncountProbe(w)
	c.health.Forget(w.ID)
	w.state, w.answered = WorkerUnlisted, false
	c.forgetWorkerAdvice(w)
	delete(c.workers, w.ID)
	c.workerList = slices.DeleteFunc(c.workerList, func(o *worker) bool { return o == w })
	c.poolsStale = true
}
