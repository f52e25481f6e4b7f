package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/split"
	"catkinvalve/internal/fault"
)

// lookupFirst asks the old system about a key that a change of share may have
// moved. The caller sees the request as queued meanwhile.
func (c *Core) lookupBeforeAdmission(e *entry) (model.Record, *fault.Error) {
	c.counters.Admitted++
	c.replicate(e)
	c.lookupOldSystem(e)
	return c.callerView(e), nil
}

// OldLookedUp takes the old system's answer about a key. With unavailable set
// the old system could not be asked, and nothing may start.
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

// askOld asks the old system whether it knows the key.
func (c *Core) lookupOldSystem(e *entry) {
	e.lookupPending = true
	c.actions.OldSystemLookups = append(c.actions.OldSystemLookups, e.rec.Request.Key)
}

// retryLookup asks again until the deadline. The old system may have run the
// key, so nobody can say that it did not run.
func (c *Core) retryLookup(now time.Time, e *entry) {
	if e.rec.Request.Overdue(now) {
		c.finalize(now, e, model.Unknown, model.ReasonOldUnavailable)
		return
	}
	c.lookupOldSystem(e)
}

// enterLate queues a request after the lookup. A refusal becomes its fate.
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

// sendOld runs the request on the old system once the standbys know its side.
func (c *Core) assignToOldSystem(e *entry) {
	e.rec.Side = model.OldSide
	if e.ackedVersion > 0 && e.ackedVersion >= e.rec.Version {
		c.sendToOldSystem(e)
	}
}

func (c *Core) sendToOldSystem(e *entry) {
	if e.rec.Tasks[0].State != model.TaskQueued || e.lookupPending {
		return
	}
	r := &e.rec.Request
	e.rec.Tasks[0].State = model.TaskStarting
	c.actions.OldSystemRuns = append(c.actions.OldSystemRuns, OldSystemRun{Key: r.Key, Service: r.Service, Payload: r.Payload, Deadline: r.Deadline})
}

// OldReport is what the old system said about a run.
type OldSystemReport struct {
	Key    string
	Fate   model.Fate
	OK     bool
	Answer []byte
	// NotSent is true when nothing reached the old system.
	NotSent bool
}

// OldReported takes the old system's state of a request.
func (c *Core) HandleOldSystemReport(now time.Time, o OldSystemReport) {
	e := c.entries[o.Key]
	if !c.serving || e == nil || e.rec.Side != model.OldSide || e.rec.Fate.Terminal() {
		return
	}
	switch {
	case o.NotSent:
		e.rec.Tasks[0].State = model.TaskQueued
		c.retryOldSystem(now, e)
	case o.Fate == model.Done:
		c.markRunning(now, e)
		e.rec.OK, e.rec.Answer = o.OK, o.Answer
		c.finalize(now, e, model.Done, "")
	default:
		e.rec.Tasks[0].State = model.TaskRunning
		c.markRunning(now, e)
	}
}

// retryOld sends the request again until its deadline. The old system runs a
// key once, so a repeated send is safe.
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

// cancelOld withdraws a request that did not reach the old system yet. The old
// system cannot cancel, so a sent request runs to its end. After a takeover the
// old system has to tell whether it has the request.
func (c *Core) cancelOnOldSystem(now time.Time, e *entry) {
	switch {
	case e.rec.Tasks[0].State != model.TaskQueued || e.lookupPending:
	case e.maybeSentToOld:
		c.lookupOldSystem(e)
	default:
		c.finalize(now, e, model.NotRun, model.ReasonCancelled)
	}
}
