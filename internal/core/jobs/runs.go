package jobs

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

const (
	// maxStartRetries is how often a start without an answer is sent again in
	// the simulation; the leader loop has its own limit.
	maxStartRetries = 2
	// stopRetryInterval is the time after which a stop without effect is sent
	// again.
	stopRetryInterval = 400 * time.Millisecond
	// refusalBackoff is how long a worker gets no further starts after it
	// refused one.
	refusalBackoff = 500 * time.Millisecond
)

// StartResult is a worker's answer to a StartRequest.
type StartResult struct {
	Worker  model.WorkerID
	Task    TaskRef
	Run     int64
	Status  CallStatus
	ClockMs int64
}

// StopResult is a worker's answer to a StopRequest.
type StopResult struct {
	Worker  model.WorkerID
	Task    TaskRef
	Run     int64
	Status  CallStatus
	SentAt  time.Time
	ClockMs int64
}

// start starts a new run of t on w. The caller has checked that it fits.
func (c *Core) start(now time.Time, t *task, w *worker, number int64, ticket string) {
	s := t.step
	r := &run{ref: t.ref(), number: number, worker: w, size: s.def.Size, account: s.job().account, state: runStarting, sentAt: now, pace: paceState{applied: fullPace, wanted: fullPace}}
	c.attach(t, r)
	w.addRun(r)
	if t.crashes().nextIsLast() {
		w.isolate(now, s.job(), lastIsolationTime)
	}
	if len(w.runs) == 1 {
		w.lastProgress = now
		c.scheduleSync(now, w)
	}
	checkpoint := t.checkpoint()
	if s.def.Gang {
		checkpoint = s.gang.checkpoint
	}
	r.resumed = checkpoint != ""
	c.out.Starts = append(c.out.Starts, StartRequest{
		Worker: w.ID, Address: w.address(), Incarnation: w.incarnation, Task: r.ref, Run: number, Payload: s.job().spec.Payload,
		LeaseDeadlineMs: c.extendLease(now, w), Checkpoint: checkpoint, Ticket: ticket, Timeout: c.cfg.StartTimeout,
	})
	c.event(Event{Name: EventRunStarted, Job: r.ref.Job, Queue: s.job().queue.Name, Task: &r.ref, Run: number, Worker: w.ID, Age: now.Sub(s.job().acceptedAt)})
}

// HandleStartResult processes the result of a StartRequest after all its
// retries.
func (c *Core) HandleStartResult(now time.Time, res *StartResult) {
	w := c.workers[res.Worker]
	if w == nil {
		return
	}
	r := w.findRun(res.Task)
	if r == nil || r.number != res.Run || r.state == runActive {
		if res.Status == CallOK {
			c.recordContact(now, w, res.ClockMs)
		}
		return
	}
	switch res.Status {
	case CallOK:
		c.recordContact(now, w, res.ClockMs)
		c.confirm(now, r)
	case CallNoAnswer:
		r.state, r.unclearSince = runUnclear, now
		c.runEvent(EventStartUnclear, r, now.Sub(r.sentAt), "")
		if w.missedSyncs > 0 {
			c.abortUnclearGangs(now, w)
		}
	case CallStaleRun:
		// The run was there and ended, or was stopped, or the worker has seen a higher number; the
		// next sync shows it.
		r.state, r.unclearSince, r.rejected = runUnclear, now, true
	default:
		c.handleStartRefusal(now, w, r, res.Status)
	}
}

// handleStartRefusal handles a failed start of a run that the worker certainly
// does not have.
func (c *Core) handleStartRefusal(now time.Time, w *worker, r *run, status CallStatus) {
	c.runEvent(EventStartRefused, r, now.Sub(r.sentAt), status.String())
	switch status {
	case CallFenced:
		c.recordFenced(w)
	case CallUnhealthy:
		c.health.RecordFailure(now, w.ID, r.ref.Job)
		w.backoffUntil, c.poolsStale = now.Add(refusalBackoff), true
	case CallRestarted:
		w.backoffUntil, c.poolsStale = now.Add(refusalBackoff), true
		c.scheduleSync(now, w)
	case CallNotSent, CallNoCapacity, CallDeadlinePassed, CallMalformed:
		w.backoffUntil, c.poolsStale = now.Add(refusalBackoff), true
	case CallWrongIncarnation:
		w.removeRun(r)
		c.handleRunGone(now, r)
		// A start that was sent to an earlier incarnation says nothing about the present one.
		if !r.sentAt.Before(w.incarnationSince) {
			c.handleReplacedWorker(now, w)
		}
		return
	case CallTicketInvalid:
		if r.task != nil {
			r.task.step.advice.revoke(w.ID)
		}
	}
	w.removeRun(r)
	c.handleRunGone(now, r)
}

// requestStop stops a run; the stop is repeated until the run is gone.
func (c *Core) requestStop(now time.Time, r *run) {
	if !r.stop.wanted {
		r.stop.wanted = true
		c.stoppingRuns = append(c.stoppingRuns, r)
	}
	c.sendStop(now, r)
}

// sendStop sends a stop, unless one is in flight or the worker answered the last
// one and that was sent less than stopRetryInterval ago.
func (c *Core) sendStop(now time.Time, r *run) {
	if r.stop.inFlight || !r.stop.answeredAt.IsZero() && now.Sub(r.stop.sentAt) < stopRetryInterval {
		return
	}
	r.stop.inFlight, r.stop.sentAt = true, now
	c.out.Stops = append(c.out.Stops, StopRequest{Worker: r.worker.ID, Address: r.worker.address(), Incarnation: r.worker.incarnation, Task: r.ref, Run: r.number})
	c.runEvent(EventRunStopSent, r, now.Sub(r.sentAt), "")
}

// HandleStopResult processes the result of a StopRequest. The answer to an earlier request than
// the last one may be that of an earlier incarnation and is ignored.
func (c *Core) HandleStopResult(now time.Time, res *StopResult) {
	r := c.findAnsweredRun(res.Worker, res.Task, res.Run, res.Status)
	if r == nil || res.SentAt.Before(r.stop.sentAt) {
		return
	}
	r.stop.inFlight = false
	if res.Status == CallOK {
		c.recordContact(now, r.worker, res.ClockMs)
		r.stop.answeredAt = now
		c.scheduleSync(now, r.worker)
	}
}

// findAnsweredRun returns the run that an answered request was about, or nil
// when it is gone. It also records a refusal of the token.
func (c *Core) findAnsweredRun(id model.WorkerID, task TaskRef, number int64, status CallStatus) *run {
	w := c.workers[id]
	if w == nil {
		return nil
	}
	if status == CallFenced {
		c.recordFenced(w)
	}
	if r := w.findRun(task); r != nil && r.number == number {
		return r
	}
	return nil
}

// resendStops repeats stops that had no effect so far.
func (c *Core) resendStops(now time.Time) {
	c.stoppingRuns = slices.DeleteFunc(c.stoppingRuns, func(r *run) bool { return r.gone })
	for _, r := range c.stoppingRuns {
		if !r.stop.inFlight && now.Sub(r.stop.sentAt) >= stopRetryInterval {
			c.sendStop(now, r)
		}
	}
}

// Tick does what is due at now. The wall clock only decides which occurrences
// are due.
func (c *Core) Tick(now, wall time.Time) {
	c.wall = wall
	c.runTimeRecords.tick(now)
	c.decideDeferred(now)
	c.createDueOccurrences(wall)
	c.dropExpiredJobs(now)
	c.resendStops(now)
	for _, w := range slices.Clone(c.workerList) {
		c.tickWorker(now, w)
	}
	c.poolsStale, c.reservationsStale = true, true
	c.expirePreviousLeases(now)
	c.reportRecoveryDelay(now)
	c.expireAdviceCalls(now)
	c.dropOldExpired(now)
	c.reportWaits(now)
}

// tickWorker does what is due for one worker. It removes a worker that is no
// longer listed once nothing can run there.
func (c *Core) tickWorker(now time.Time, w *worker) {
	if !w.syncing && !now.Before(w.nextSync) {
		c.scheduleSync(now, w)
	}
	c.checkStalled(now, w)
	c.updatePaces(now, w)
	c.updateRecord(now, w)
	switch {
	case w.answered && !w.leaseExpired && !w.idleAndResponsive() && now.After(c.leaseEnd(w)):
		c.expireLease(now, w)
	case !w.listed && !w.answered && len(w.runs) == 0 && !c.recovery.awaits(w.ID):
		c.removeWorker(w)
	case !w.listed && w.leaseExpired:
		c.removeWorker(w)
	}
}
