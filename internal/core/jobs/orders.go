package jobs

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

const (
	// startRepeats is how often a start without an answer is sent again.
	startRepeats = 2
	// stopRetry is the time after which a stop without effect is sent again.
	stopRetry = 400 * time.Millisecond
	// refusalBackoff is how long a worker that refused gets no further starts.
	refusalBackoff = 500 * time.Millisecond
)

// StartResult is a worker's answer to a StartOrder.
type StartResult struct {
	Worker  model.WorkerID
	Task    TaskRef
	Run     int64
	Status  CallStatus
	ClockMs int64
}

// StopResult is a worker's answer to a StopOrder.
type StopResult struct {
	Worker  model.WorkerID
	Task    TaskRef
	Run     int64
	Status  CallStatus
	ClockMs int64
}

// start sends a new run of t to w. The caller has checked that it fits.
func (c *Core) start(now time.Time, t *task, w *worker, number int64, ticket string) {
	s := t.step
	r := &run{ref: t.ref(), number: number, worker: w, size: s.def.Size, state: runStarting, sent: now, pace: paceState{now: fullPace, wanted: fullPace}}
	c.attach(t, r)
	w.reserve(r)
	if len(w.runs) == 1 {
		w.moved = now
		c.holdNow(now, w)
	}
	checkpoint := t.checkpoint
	if s.def.Gang {
		checkpoint = s.gang.checkpoint
	}
	c.out.Starts = append(c.out.Starts, StartRequest{
		Worker: w.ID, Address: w.Address, Task: r.ref, Run: number, Payload: s.job().spec.Payload,
		LeaseDeadlineMs: c.deadline(now, w), Checkpoint: checkpoint, Ticket: ticket, Timeout: c.cfg.StartTimeout,
	})
	c.event(Event{Name: EventRunStarted, Job: r.ref.Job, Queue: s.job().queue.Name, Task: &r.ref, Run: number, Worker: w.ID, Age: now.Sub(s.job().accepted)})
}

// nextRun returns the number of the next run of a task, or of a gang when n
// counts the gang's runs. It is higher than any run of an earlier leader.
func (c *Core) nextRun(j *job, n *int64) int64 {
	*n++
	return int64(c.cfg.Token-j.token)*runsPerToken + *n
}

// runsPerToken bounds how many runs of one task a leader numbers.
const runsPerToken = 1000

// StartAnswered takes the result of a StartOrder after all its repeats.
func (c *Core) HandleStartResult(now time.Time, a *StartResult) {
	w := c.workers[a.Worker]
	if w == nil {
		return
	}
	r := w.find(a.Task)
	if r == nil || r.number != a.Run || r.state == runActive {
		if a.Status == CallOK {
			c.heard(now, w, a.ClockMs)
		}
		return
	}
	switch a.Status {
	case CallOK:
		c.heard(now, w, a.ClockMs)
		c.confirm(now, r)
	case CallNoAnswer:
		r.state, r.unclearSince = runUnclear, now
		c.runEvent(EventStartUnclear, r, now.Sub(r.sent), "")
		if w.misses > 0 {
			c.breakUnclearGangs(now, w)
		}
	case CallStaleRun:
		// It ran and ended, or was stopped; the next list tells.
		r.state, r.unclearSince = runUnclear, now
	default:
		c.startRefused(now, w, r, a.Status)
	}
}

// startRefused handles a run that the worker certainly does not have.
func (c *Core) startRefused(now time.Time, w *worker, r *run, status CallStatus) {
	c.runEvent(EventStartRefused, r, now.Sub(r.sent), status.String())
	switch status {
	case CallFenced:
		c.loseToken(w)
	case CallUnhealthy:
		c.health.RecordFailure(now, w.ID, r.ref.Job)
		w.notBefore, c.poolStale = now.Add(refusalBackoff), true
	case CallNotSent, CallNoCapacity, CallDeadlinePassed, CallMalformed:
		w.notBefore, c.poolStale = now.Add(refusalBackoff), true
	case CallWrongIncarnation:
		c.endLife(now, w)
		return
	case CallTicketInvalid:
		if r.task != nil {
			r.task.step.advice.revoke(w.ID)
		}
	}
	w.release(r)
	c.runGone(now, r)
}

// wantStop has a run stopped, now and again until it is gone.
func (c *Core) wantStop(now time.Time, r *run) {
	if !r.stop.wanted {
		r.stop.wanted = true
		c.stopping = append(c.stopping, r)
	}
	c.sendStop(now, r)
}

func (c *Core) sendStop(now time.Time, r *run) {
	if r.stop.inFlight || !r.stop.answered.IsZero() && now.Sub(r.stop.sent) < stopRetry {
		return
	}
	r.stop.inFlight, r.stop.sent = true, now
	c.out.Stops = append(c.out.Stops, StopRequest{Worker: r.worker.ID, Address: r.worker.Address, Task: r.ref, Run: r.number})
	c.runEvent(EventRunStopSent, r, now.Sub(r.sent), "")
}

// StopAnswered takes the result of a StopOrder.
func (c *Core) HandleStopResult(now time.Time, a *StopResult) {
	r := c.ordered(a.Worker, a.Task, a.Run, a.Status)
	if r == nil {
		return
	}
	r.stop.inFlight = false
	if a.Status == CallOK {
		c.heard(now, r.worker, a.ClockMs)
		r.stop.answered = now
		c.holdNow(now, r.worker)
	}
}

// ordered returns the run that an answered order was for, or nil when it is gone.
func (c *Core) ordered(id model.WorkerID, task TaskRef, number int64, status CallStatus) *run {
	w := c.workers[id]
	if w == nil {
		return nil
	}
	if status == CallFenced {
		c.loseToken(w)
	}
	if r := w.find(task); r != nil && r.number == number {
		return r
	}
	return nil
}

// resendStops repeats stops that had no effect yet.
func (c *Core) resendStops(now time.Time) {
	c.stopping = slices.DeleteFunc(c.stopping, func(r *run) bool { return r.gone })
	for _, r := range c.stopping {
		if !r.stop.inFlight && now.Sub(r.stop.sent) >= stopRetry {
			c.sendStop(now, r)
		}
	}
}

// Tick does what is due at now. The wall clock decides about occurrences only.
func (c *Core) Tick(now, wall time.Time) {
	c.wall = wall
	c.judgeWaiting(now)
	c.createDue(wall)
	c.forgetEnded(now)
	c.resendStops(now)
	for _, w := range slices.Clone(c.list) {
		c.tickWorker(now, w)
	}
	c.poolStale, c.claimsStale = true, true
	c.endFormerLeases(now)
	c.checkAdvice(now)
}

func (c *Core) tickWorker(now time.Time, w *worker) {
	if !w.holding && !now.Before(w.nextHold) {
		c.holdNow(now, w)
	}
	c.checkStall(now, w)
	c.checkSharing(now, w)
	c.checkRoster(now, w)
	switch {
	case w.answered && !w.lapsed && !w.resting() && now.After(c.leaseEnd(w)):
		c.lapse(now, w)
	case !w.listed && !w.answered && len(w.runs) == 0 && !c.gate.waitsFor(w.ID):
		c.forget(w)
	case !w.listed && w.lapsed:
		c.forget(w)
	}
}
