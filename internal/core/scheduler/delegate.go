package scheduler

import (
	"time"

	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/queue"
	"catkinvalve/internal/fault"
)

// Waiting times after which a request may be delegated to another data centre. A
// round trip between regions takes 16 ms and its traffic is billed, so an
// interactive request is delegated only after a longer wait than that, and a batch
// request even later.
const (
	interactiveDelegateAfter = 20 * time.Millisecond
	batchDelegateAfter       = 2 * time.Second
	// maxDelegatedPayloadBytes keeps large payloads off the link between regions.
	maxDelegatedPayloadBytes = 64 << 10
	// remoteBackoff is how long no request is delegated to a data centre that
	// refused one.
	remoteBackoff = 2 * time.Second
)

// remoteLoad is the last load summary of another data centre. The free size is
// reduced by what was delegated there since.
type remoteLoad struct {
	region            string
	free, largestFree model.Size
	load              membership.Load
	receivedAt        time.Time
	backoffUntil      time.Time
}

// SetRemoteLoad records the load summary that the owner of another data centre sent.
func (c *Core) SetRemoteLoad(now time.Time, dc model.DataCentre, region string, l membership.Load) {
	r := c.remoteLoads[dc]
	if r == nil {
		r = &remoteLoad{}
		c.remoteLoads[dc] = r
	}
	r.region, r.free, r.largestFree, r.load, r.receivedAt = region, l.Free, l.LargestFree, l, now
}

// remoteLoadMaxAge is the age from which a load summary is not used any more.
// Owners repeat it with each heartbeat.
const remoteLoadMaxAge = 5 * time.Second

// delegate assigns a waiting request to another data centre that has room, and
// reports whether it did. Only requests with a single task and a small payload whose
// home is this data centre are delegated, after the waiting time of their class.
func (c *Core) delegate(now time.Time, e *entry, it queue.Item) bool {
	r := &e.rec.Request
	if e.home != "" || e.serviceInstance || r.Tasks != 1 || len(r.Payload) > maxDelegatedPayloadBytes || !c.waitedEnough(now, e) {
		return false
	}
	dc := c.chooseRemote(now, it.Size)
	if dc == "" {
		return false
	}
	to := c.remoteLoads[dc]
	to.free = to.free.Sub(it.Size)
	e.rec.DelegatedTo = dc
	e.tasks[it.Index].charged, e.tasks[it.Index].startVersion = it.Size, e.rec.Version+1
	// The request still counts as interactive demand of this data centre, which had
	// no room for it.
	c.interactiveDemand.add(r.Class, it.Size.Slots)
	c.counters.DelegatedOut++
	c.replicate(e)
	return true
}

// waitedEnough reports whether a request has waited long enough to be delegated.
// Services and gangs are never delegated.
func (c *Core) waitedEnough(now time.Time, e *entry) bool {
	waited := now.Sub(e.waitingSince)
	switch e.rec.Request.Class {
	case model.Interactive:
		return waited >= interactiveDelegateAfter
	case model.Batch:
		return waited >= batchDelegateAfter
	}
	return false
}

// chooseRemote returns the data centre to delegate a task of the given size to, or
// "". Those with an old load summary, a recent refusal or a queue are left out. It
// prefers data centres of the same region, then those with more free slots.
func (c *Core) chooseRemote(now time.Time, size model.Size) model.DataCentre {
	var best model.DataCentre
	for dc, r := range c.remoteLoads {
		if now.Sub(r.receivedAt) > remoteLoadMaxAge || now.Before(r.backoffUntil) || !size.Fits(r.largestFree) || !size.Fits(r.free) ||
			r.load.Queued > 0 {
			continue
		}
		if best == "" || c.preferRemote(dc, best) {
			best = dc
		}
	}
	return best
}

// preferRemote reports whether data centre a is a better choice than b.
func (c *Core) preferRemote(a, b model.DataCentre) bool {
	ra, rb := c.remoteLoads[a], c.remoteLoads[b]
	if sameRegion := ra.region == c.cfg.Region; sameRegion != (rb.region == c.cfg.Region) {
		return sameRegion
	}
	if ra.free.Slots != rb.free.Slots {
		return ra.free.Slots > rb.free.Slots
	}
	return a < b
}

// sendDelegation adds the delegation of a request to the actions, once.
func (c *Core) sendDelegation(e *entry) {
	if e.delegationSent {
		return
	}
	maybeSent := e.tasks[0].startVersion == 0
	e.delegationSent, e.tasks[0].startVersion = true, 0
	r := e.rec.Request
	if r.IssuedAt.IsZero() || e.waitingSince.After(r.IssuedAt) {
		// The receiver cannot have seen the request before this time.
		r.IssuedAt = e.waitingSince
	}
	c.actions.Delegations = append(c.actions.Delegations, Delegation{To: e.rec.DelegatedTo, Request: r, MaybeSent: maybeSent})
}

// DelegationReport is the current state of a delegated request or its outcome. If
// neither field is set, the outcome is unknown.
type DelegationReport struct {
	Key string
	// Record is the other owner's record; nil if it returned none.
	Record *model.Record
	// NotRun is true if the request certainly did not start there.
	NotRun bool
}

// HandleDelegationReport updates a delegated request with the state that the other
// data centre reported. If it did not run there, it is queued at home again.
func (c *Core) HandleDelegationReport(now time.Time, report DelegationReport) {
	e := c.entries[report.Key]
	if !c.serving || e == nil || e.rec.DelegatedTo == "" || e.rec.Fate.Terminal() {
		return
	}
	if report.NotRun || (report.Record != nil && report.Record.Fate == model.NotRun) {
		c.requeueAtHome(now, e)
		return
	}
	if report.Record == nil {
		return
	}
	if report.Record.Fate != model.Queued {
		c.markRunning(now, e)
	}
	if report.Record.Fate.Terminal() {
		c.release(e, 0)
		e.rec.OK, e.rec.Answer, e.rec.Tasks = report.Record.OK, report.Record.Answer, report.Record.Tasks
		e.tasks = make([]taskRuntime, len(e.rec.Tasks))
		c.finalize(now, e, report.Record.Fate, report.Record.Reason)
	}
}

// requeueAtHome ends the delegation of a request that did not start elsewhere and
// queues it at home again. Its data centre gets no delegation during remoteBackoff.
func (c *Core) requeueAtHome(now time.Time, e *entry) {
	if r := c.remoteLoads[e.rec.DelegatedTo]; r != nil {
		r.backoffUntil = now.Add(remoteBackoff)
	}
	e.rec.DelegatedTo, e.delegationSent = "", false
	c.release(e, 0)
	if e.rec.CancelRequested {
		// An earlier attempt at home may have run.
		e.rec.Tasks[0].State = model.TaskStopped
		c.finalizeIfEnded(now, e)
		return
	}
	c.requeue(now, e, 0, 0)
	c.replicate(e)
}

// queuedAtHome reports whether a record of an earlier owner says that its only
// task is queued in this data centre.
func (c *Core) queuedAtHome(e *entry) bool {
	return (e.restored || !c.serving) && e.rec.Side == model.NewSide && e.rec.DelegatedTo == "" && !e.lookupPending &&
		len(e.rec.Tasks) == 1 && e.rec.Tasks[0].State == model.TaskQueued
}

// cancelDelegated cancels a request that is delegated. If the delegation was not
// sent yet the request ends, otherwise the other data centre is asked to cancel it.
func (c *Core) cancelDelegated(now time.Time, e *entry) {
	if e.tasks[0].startVersion != 0 {
		c.requeueAtHome(now, e)
		return
	}
	c.actions.DelegationCancels = append(c.actions.DelegationCancels, Delegation{To: e.rec.DelegatedTo, Request: e.rec.Request})
}

// SubmitDelegated accepts a request that the owner of its home data centre delegated
// in the given term. If a later owner of that home is known, the fault is
// fault.StaleTerm.
func (c *Core) SubmitDelegated(now time.Time, home model.DataCentre, term uint64, r model.Request) (model.Record, *fault.Error) {
	if !c.serving {
		return model.Record{}, c.errNoOwner()
	}
	if term < c.homeTerms[home] {
		return model.Record{}, fault.New(fault.StaleTerm, "step down; another daemon owns the home data centre",
			"term %d of home %s is older than %d", term, home, c.homeTerms[home])
	}
	c.homeTerms[home] = term
	rec, err := c.submit(now, r, true)
	if err == nil {
		if e := c.entries[r.Key]; e.home == "" {
			e.home = home
			c.counters.DelegatedIn++
		}
	}
	return rec, err
}

// RecoverHome returns the records of requests that this data centre runs for another
// home data centre, for the new owner of that home. Delegations of its earlier owners
// are refused from now on.
func (c *Core) RecoverHome(home model.DataCentre, term uint64) ([]model.Record, *fault.Error) {
	if !c.serving {
		return nil, c.errNoOwner()
	}
	c.homeTerms[home] = max(c.homeTerms[home], term)
	var out []model.Record
	for key, e := range c.entries {
		if e.home == home || (e.home == "" && c.Home(key) == home) {
			out = append(out, c.callerView(e))
		}
	}
	return out, nil
}

// RestoreDelegated adds the record of a request that data centre dc runs for this
// one. If this data centre has a record which says that the request is still queued
// here, that record is marked as delegated instead.
func (c *Core) RestoreDelegated(dc model.DataCentre, rec model.Record) {
	if e := c.entries[rec.Request.Key]; e != nil {
		if rec.Fate != model.NotRun && c.queuedAtHome(e) {
			e.rec.DelegatedTo = dc
			c.queue.RemoveKey(rec.Request.Key)
			if c.serving {
				c.replicate(e)
			}
		}
		return
	}
	e := &entry{rec: copyRecord(&rec), tasks: make([]taskRuntime, len(rec.Tasks))}
	// Terms of another data centre cannot be compared with terms of this one. With
	// term and version 0, any record of this data centre, such as one that is read from
	// the journal later, counts as newer.
	e.rec.DelegatedTo, e.rec.Term, e.rec.Version = dc, 0, 0
	e.ackedVersion, e.finalVersion = 0, 0
	for i := range e.rec.Tasks {
		e.rec.Tasks[i].Worker = ""
	}
	c.addRestored(e)
	if c.serving && !rec.Fate.Terminal() {
		c.replicate(e)
	}
}
