package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/split"
	"catkinvalve/internal/fault"
)

// lookupBeforeAdmission asks the old system about a key that may have moved to the
// new system with a change of the service's percentage. Until the answer, the caller
// sees the request as queued.
func (c *Core) lookupBeforeAdmission(e *entry) (model.Record, *fault.Error) {
	c.counters.Admitted++
	c.replicate(e)
	c.lookupOldSystem(e)
	return c.callerView(e), nil
}

// HandleOldSystemLookup handles the old system's answer whether it knows a key. With
// unavailable set it could not be asked, and the request must not start on either
// system.
func (c *Core) HandleOldSystemLookup(now time.Time, key string, known, unavailable bool) {
	e := c.entries[key]
	if !c.serving || e == nil || !e.lookupPending {
		return
	}
	e.lookupPending = false
	switch {
	case e.rec.Fate.Terminal():
	case unavailable:
		c.retryLookup(now, e)
	case known:
		e.rec.Side = model.OldSide
		c.assignToOldSystem(e)
		c.replicate(e)
	case e.rec.CancelRequested:
		c.finalize(now, e, model.NotRun, model.ReasonCancelled)
	default:
		e.rec.Side = split.Side(key, e.rec.Request.Service, c.newPercent(e.rec.Request.Service))
		c.enqueueAfterLookup(now, e)
	}
}

// lookupOldSystem asks the old system whether it knows the key.
func (c *Core) lookupOldSystem(e *entry) {
	e.lookupPending = true
	c.actions.OldSystemLookups = append(c.actions.OldSystemLookups, e.rec.Request.Key)
}

// retryLookup repeats the lookup until the deadline of the request. Then its fate is
// unknown, because the old system may have run the key.
func (c *Core) retryLookup(now time.Time, e *entry) {
	if e.rec.Request.Overdue(now) {
		c.finalize(now, e, model.Unknown, model.ReasonOldUnavailable)
		return
	}
	c.lookupOldSystem(e)
}

// enqueueAfterLookup admits a request that the old system does not know, or sends it
// there if that is its side. The caller was already told that the request is accepted,
// so a refusal becomes its fate.
func (c *Core) enqueueAfterLookup(now time.Time, e *entry) {
	if e.rec.Side == model.OldSide {
		c.assignToOldSystem(e)
		c.replicate(e)
		return
	}
	if err := c.admit(now, e); err != nil {
		reason := model.ReasonQueueFull
		if err.Kind == fault.CanNeverRun {
			reason = model.ReasonNeverFits
		}
		c.finalize(now, e, model.NotRun, reason)
	}
}

// assignToOldSystem sets the side of a request to the old system. It is sent there
// once the standbys know its side.
func (c *Core) assignToOldSystem(e *entry) {
	e.rec.Side = model.OldSide
	if e.ackedVersion > 0 && e.ackedVersion >= e.rec.Version {
		c.sendToOldSystem(e)
	}
}

// sendToOldSystem adds the request to the actions for the old system, unless it was
// sent already or a lookup is pending.
func (c *Core) sendToOldSystem(e *entry) {
	if e.rec.Tasks[0].State != model.TaskQueued || e.lookupPending {
		return
	}
	r := &e.rec.Request
	e.rec.Tasks[0].State = model.TaskStarting
	c.actions.OldSystemRuns = append(c.actions.OldSystemRuns, OldSystemRun{Key: r.Key, Service: r.Service, Payload: r.Payload, Deadline: r.Deadline})
}

// OldSystemReport is the old system's answer to an OldSystemRun.
type OldSystemReport struct {
	Key string
	// Fate is model.Done once the request has ended; with any other fate it still runs.
	Fate model.Fate
	// OK is true if the request succeeded.
	OK     bool
	Answer []byte
	// NotSent is true if the request did not reach the old system.
	NotSent bool
}

// HandleOldSystemReport updates a request with the state that the old system reports.
func (c *Core) HandleOldSystemReport(now time.Time, report OldSystemReport) {
	e := c.entries[report.Key]
	if !c.serving || e == nil || e.rec.Side != model.OldSide || e.rec.Fate.Terminal() {
		return
	}
	switch {
	case report.NotSent:
		e.rec.Tasks[0].State = model.TaskQueued
		c.retryOldSystem(now, e)
	case report.Fate == model.Done:
		c.markRunning(now, e)
		e.rec.OK, e.rec.Answer = report.OK, report.Answer
		c.finalize(now, e, model.Done, "")
	default:
		e.rec.Tasks[0].State = model.TaskRunning
		c.markRunning(now, e)
	}
}

// retryOldSystem sends a request that did not reach the old system again, until its
// deadline or cancellation. The old system runs each key once, so sending it again is
// safe.
func (c *Core) retryOldSystem(now time.Time, e *entry) {
	switch {
	case e.rec.Started.IsZero() && e.rec.Request.Overdue(now) && e.maybeSentToOld:
		c.finalize(now, e, model.Unknown, model.ReasonOldUnavailable)
	case e.rec.Started.IsZero() && e.rec.Request.Overdue(now):
		c.finalize(now, e, model.NotRun, model.ReasonOldUnavailable)
	case e.rec.CancelRequested:
		c.cancelOnOldSystem(now, e)
	default:
		c.sendToOldSystem(e)
	}
}

// cancelOnOldSystem ends a request that was not sent to the old system yet. The old
// system cannot cancel, so a request that was sent runs to its end. If an earlier
// owner may have sent it, the old system is asked whether it knows the key.
func (c *Core) cancelOnOldSystem(now time.Time, e *entry) {
	switch {
	case e.rec.Tasks[0].State != model.TaskQueued || e.lookupPending:
	case e.maybeSentToOld:
		c.lookupOldSystem(e)
	default:
		c.finalize(now, e, model.NotRun, model.ReasonCancelled)
	}
}
