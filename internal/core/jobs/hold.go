package jobs

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

const (
	// holdRetry is the first delay after a call without an answer; it doubles up
	// to maxHoldRetry.
	holdRetry    = 150 * time.Millisecond
	maxHoldRetry = time.Second
	// unstoredPoll is the delay between calls while ends cannot be stored: the
	// worker answers such calls at once.
	unstoredPoll = 300 * time.Millisecond
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
	if w == nil || !w.holding {
		return
	}
	w.holding = false
	c.uncount(w)
	if h.Status != CallOK {
		c.holdFailed(received, w, h.Status)
		return
	}
	c.poolStale = c.poolStale || w.misses > 0 || w.lapsed || !w.answered || h.Incarnation != w.life
	w.misses = 0
	if w.answered && h.Incarnation != w.life {
		c.newLife(received, w, h)
	}
	if !w.answered {
		// An earlier leader may have granted as much as this one would.
		w.answered, w.life, w.clock, w.clockAt = true, h.Incarnation, h.ClockMs, received
		w.maxDeadline = h.ClockMs + c.cfg.LeaseDuration.Milliseconds()
	}
	c.heard(received, w, h.ClockMs)
	w.lapsed = false
	c.heardAgain(w)
	c.readEnds(received, w, h)
	c.readRunning(received, w, h)
	c.passGate(received, w, h)
	switch {
	case w.processed != w.acked:
		w.nextHold = received.Add(unstoredPoll)
	case w.idle():
		w.nextHold = received.Add(c.rest())
	default:
		c.holdNow(received, w)
	}
	c.advanceAck(received, w)
	c.changed = true
}

// heard takes a reading of the worker's clock that is at most as old as its
// arrival.
func (c *Core) heard(received time.Time, w *worker, clock int64) {
	w.contact = received
	// A reading that took long to arrive would lower the estimate.
	if clock >= w.workerClock(received) || received.Sub(w.clockAt) > time.Second {
		w.clock, w.clockAt = clock, received
	}
}

func (c *Core) holdFailed(now time.Time, w *worker, status CallStatus) {
	if status == CallFenced {
		c.loseToken(w)
	}
	if w.misses == 0 && w.answered {
		c.event(Event{Name: EventWorkerState, Worker: w.ID, Detail: WorkerSilent.String(), Reason: model.Reason(status.String()), Age: now.Sub(w.contact)})
	}
	w.misses++
	c.poolStale = true
	w.nextHold = now.Add(min(holdRetry<<min(w.misses-1, 4), maxHoldRetry))
	if status == CallWrongIncarnation {
		c.endLife(now, w)
		return
	}
	c.breakUnclearGangs(now, w)
}

// breakUnclearGangs stops the members of gangs that wait for one on a silent
// worker, so that they do not occupy their room until they give up.
func (c *Core) breakUnclearGangs(now time.Time, w *worker) {
	for _, r := range slices.Clone(w.runs) {
		if r.state == runUnclear && r.task != nil && r.task.step.def.Gang && !r.task.step.gang.breaking {
			c.breakGang(now, r.task.step)
		}
	}
}

// endLife drops everything on a worker whose address now belongs to another
// one. Calls that name the former worker have no effect there.
func (c *Core) endLife(now time.Time, w *worker) {
	c.event(Event{Name: EventWorkerRestarted, Worker: w.ID, Count: len(w.runs), Age: now.Sub(w.contact), Detail: "another worker has its address"})
	for _, r := range slices.Clone(w.runs) {
		c.lose(now, r, "another worker has the address")
	}
	w.answered, w.processed, w.acked, w.ackBatch = false, 0, 0, 0
	c.poolStale = true
	c.leaveGate(now, w.ID)
}

// loseToken records that another leader holds a worker.
func (c *Core) loseToken(w *worker) {
	if !c.fenced {
		c.fenced = true
		c.event(Event{Name: EventTokenRefused, Worker: w.ID, Detail: "a worker has seen a higher token"})
	}
}

// newLife drops what an earlier incarnation of the worker ran. Starts without
// an answer may still arrive at the new one, so they have to be stopped there.
func (c *Core) newLife(now time.Time, w *worker, h *SyncResult) {
	c.event(Event{Name: EventWorkerRestarted, Worker: w.ID, Count: len(w.runs), Age: now.Sub(w.contact)})
	listed := map[TaskRef]int64{}
	for i := range h.Running {
		listed[h.Running[i].Task] = h.Running[i].Run
	}
	w.life, w.clock, w.clockAt, w.maxDeadline = h.Incarnation, h.ClockMs, now, h.ClockMs+c.cfg.LeaseDuration.Milliseconds()
	// Calls to the earlier life may still arrive; their deadlines are far ahead
	// of the new life's clock.
	w.lateGrants = now.Add(c.cfg.MaxCallDelay)
	w.processed, w.acked, w.ackBatch = 0, 0, 0
	for _, r := range slices.Clone(w.runs) {
		if listed[r.ref] == r.number {
			continue
		}
		if r.state == runActive && r.confirmed.Before(h.SentAt) {
			c.lose(now, r, "the worker started anew")
			continue
		}
		if r.state == runActive {
			r.state, r.unclearSince = runUnclear, now
		}
		r.stop = stopState{}
		c.wantStop(now, r)
	}
}

// readEnds processes the ends that are new.
func (c *Core) readEnds(now time.Time, w *worker, h *SyncResult) {
	for i := range h.Ends {
		e := &h.Ends[i]
		if e.Seq <= w.processed {
			continue
		}
		w.processed = e.Seq
		c.runEnded(now, w, e)
	}
}

// runEnded processes one end.
func (c *Core) runEnded(now time.Time, w *worker, e *RunEnd) {
	r := w.find(e.Task)
	if r != nil && r.number == e.Run {
		c.runEvent(EventRunEnded, r, now.Sub(r.sent), e.Kind.String())
		w.release(r)
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
	t.step.job().begun = true
	c.keepCheckpoint(t, e.Checkpoint)
	switch e.Kind {
	case EndDone:
		c.observeDone(now, w, r)
		w.moved = now
		c.health.RecordSuccess(now, w.ID)
		c.taskDone(now, t)
		c.stopOtherRun(now, t, r)
		w.ackBatch = c.batch.next
	case EndFailed:
		c.health.RecordFailure(now, w.ID, e.Task.Job)
		c.taskFailed(now, t, e.Run)
		w.ackBatch = c.batch.next
	}
	if r != nil {
		c.runGone(now, r)
	}
}

// stopOtherRun stops a run of a task that ended elsewhere.
func (c *Core) stopOtherRun(now time.Time, t *task, ended *run) {
	if t.run != nil && t.run != ended {
		c.wantStop(now, t.run)
	}
}

// keepCheckpoint remembers where a task can resume.
func (c *Core) keepCheckpoint(t *task, checkpoint string) {
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
func (c *Core) readRunning(now time.Time, w *worker, h *SyncResult) {
	for i := range h.Running {
		c.listed(now, w, h, &h.Running[i])
	}
	for _, r := range slices.Clone(w.runs) {
		if !r.lastListed.Equal(h.SentAt) {
			c.absent(now, r, h)
		}
	}
}

// listed processes one run that the worker has.
func (c *Core) listed(now time.Time, w *worker, h *SyncResult, l *RunReport) {
	r := w.find(l.Task)
	switch {
	case r == nil:
		r = c.adopt(now, w, l)
	case r.number != l.Run:
		c.runEvent(EventAnomaly, r, now.Sub(r.sent), "the worker lists another run of the task")
		c.out.Stops = append(c.out.Stops, StopRequest{Worker: w.ID, Address: w.Address, Task: l.Task, Run: l.Run})
		return
	}
	r.lastListed = h.SentAt
	if r.state != runActive {
		c.confirm(now, r)
	}
	r.tail = time.Duration(l.Load) * time.Millisecond
	c.progressed(now, w, r, l.Percent)
	if r.task != nil {
		c.keepCheckpoint(r.task, l.Checkpoint)
	}
}

// confirm records that the worker has a run.
func (c *Core) confirm(now time.Time, r *run) {
	r.state = runActive
	r.confirmed, r.percentAt, r.movedAt = now, now, now
	if r.task != nil {
		r.task.step.job().begun = true
	}
}

// absent processes a run that the worker neither runs nor lists as ended.
func (c *Core) absent(now time.Time, r *run, h *SyncResult) {
	switch {
	case !r.stop.answered.IsZero() && r.stop.answered.Before(h.SentAt):
		c.lose(now, r, "stopped before it was there")
	case r.state == runActive && r.confirmed.Before(h.SentAt):
		c.lose(now, r, "no longer listed")
	case r.state == runUnclear && r.unclearSince.Before(h.SentAt):
		c.wantStop(now, r)
	}
}

// adopt takes over a run that an earlier leader started, or stops it when no
// job wants it.
func (c *Core) adopt(now time.Time, w *worker, l *RunReport) *run {
	t := c.task(l.Task)
	r := &run{ref: l.Task, number: l.Run, worker: w, state: runActive, sent: now, confirmed: now, percentAt: now, movedAt: now, sampled: true, pace: paceState{now: paceUnknown, wanted: fullPace}}
	wanted := t != nil && t.step.job().outcome == OutcomeUnfinished && t.state == taskPending && t.run == nil
	if wanted && t.step.def.Gang {
		g := &t.step.gang
		wanted = !g.breaking && (g.current == 0 || g.current == l.Run)
	}
	if t != nil {
		r.size = t.step.def.Size
	}
	if wanted {
		c.attach(t, r)
		c.runEvent(EventRunAdopted, r, 0, "")
	}
	w.reserve(r)
	if !wanted {
		c.runEvent(EventRunAdopted, r, 0, "not wanted")
		c.wantStop(now, r)
	}
	return r
}

// attach makes r the current run of t.
func (c *Core) attach(t *task, r *run) {
	r.task = t
	t.run = r
	t.state = taskActive
	t.step.pending--
	t.step.job().begun = t.step.job().begun || r.state == runActive
	if t.step.def.Gang {
		t.step.gang.current = r.number
	}
}

// lose records that a run is certainly gone without an end.
func (c *Core) lose(now time.Time, r *run, why string) {
	c.runEvent(EventRunLost, r, now.Sub(r.sent), why)
	r.worker.release(r)
	c.runGone(now, r)
}

// runGone returns the run's task to the pending ones, or breaks its gang.
func (c *Core) runGone(now time.Time, r *run) {
	c.changed = true
	t := r.task
	if t == nil || t.run != r {
		return
	}
	c.free(t)
	if t.step.def.Gang && t.step.left > 0 {
		c.breakGang(now, t.step)
	}
}

// breakGang stops the members of a gang that lost one; when none is left the
// gang may start again.
func (c *Core) breakGang(now time.Time, s *step) {
	g := &s.gang
	g.breaking = false
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil {
			g.breaking = true
			c.wantStop(now, r)
		}
	}
	if !g.breaking {
		g.current = 0
		c.queueStep(s)
	}
}

// lapse drops everything on a worker whose lease has certainly ended.
func (c *Core) lapse(now time.Time, w *worker) {
	c.event(Event{Name: EventWorkerLeaseEnded, Worker: w.ID, Count: len(w.runs), Age: now.Sub(w.contact)})
	w.lapsed, c.poolStale = true, true
	for _, r := range slices.Clone(w.runs) {
		c.lose(now, r, "the worker's lease ended")
	}
	c.strike(w)
	if !w.listed {
		c.forget(w)
	}
}

// forget drops a worker that left and can run nothing any more.
func (c *Core) forget(w *worker) {
	c.strike(w)
	c.uncount(w)
	c.health.RemoveWorker(w.ID)
	w.state, w.answered = WorkerUnlisted, false
	c.forgetPermissions(w)
	delete(c.workers, w.ID)
	c.list = slices.DeleteFunc(c.list, func(o *worker) bool { return o == w })
	c.poolStale = true
}
