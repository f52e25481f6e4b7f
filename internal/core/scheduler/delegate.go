package scheduler

import (
	"time"

	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/queue"
	"catkinvalve/internal/fault"
)

// Waiting thresholds before a request leaves its home data centre. Crossing
// between regions costs 16 ms a round trip and paid traffic, so an interactive
// request leaves only when it waited longer than that, and batch work later.
const (
	interactiveDelegateAfter = 20 * time.Millisecond
	batchDelegateAfter       = 2 * time.Second
	// maxDelegatedPayload keeps large payloads off the link between regions.
	maxDelegatedPayloadBytes = 64 << 10
	// remoteHoldOff is how long a data centre that refused is not asked again.
	remoteBackoff = 2 * time.Second
)

// remoteLoad is the last load summary of another data centre, less what was
// delegated there since.
type remoteLoad struct {
	region            string
	free, largestFree model.Size
	load              membership.Load
	receivedAt        time.Time
	backoffUntil      time.Time
}

// SetRemote records the load summary of another data centre's owner.
func (c *Core) SetRemoteLoad(now time.Time, dc model.DataCentre, region string, l membership.Load) {
	r := c.remoteLoads[dc]
	if r == nil {
		r = &remoteLoad{}
		c.remoteLoads[dc] = r
	}
	r.region, r.free, r.largestFree, r.load, r.receivedAt = region, l.Free, l.LargestFree, l, now
}

// remoteStale is the age at which a summary is not used any more. Owners
// repeat it with each heartbeat.
const remoteLoadMaxAge = 5 * time.Second

// delegate hands a waiting request to a data centre with room.
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
	// A request without room here counts as demand of this data centre.
	c.interactiveDemand.add(r.Class, it.Size.Slots)
	c.counters.DelegatedOut++
	c.replicate(e)
	return true
}

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

// roomiest picks the data centre with the most free slots, one of the own
// region before all others.
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

func (c *Core) preferRemote(a, b model.DataCentre) bool {
	ra, rb := c.remoteLoads[a], c.remoteLoads[b]
	if near := ra.region == c.cfg.Region; near != (rb.region == c.cfg.Region) {
		return near
	}
	if ra.free.Slots != rb.free.Slots {
		return ra.free.Slots > rb.free.Slots
	}
	return a < b
}

func (c *Core) sendDelegation(e *entry) {
	if e.delegationSent {
		return
	}
	maybeSent := e.tasks[0].startVersion == 0
	e.delegationSent, e.tasks[0].startVersion = true, 0
	r := e.rec.Request
	if r.IssuedAt.IsZero() || e.waitingSince.After(r.IssuedAt) {
		// The receiver has never seen the request before this time.
		r.IssuedAt = e.waitingSince
	}
	c.actions.Delegations = append(c.actions.Delegations, Delegation{To: e.rec.DelegatedTo, Request: r, MaybeSent: maybeSent})
}

// DelegateReport is the outcome of a delegation or its current state.
type DelegationReport struct {
	Key string
	// Record is the other owner's record; nil when it refused.
	Record *model.Record
	// NotRun is true when the request surely did not start there.
	NotRun bool
}

// DelegateReported takes the state of a delegated request.
func (c *Core) HandleDelegationReport(now time.Time, d DelegationReport) {
	e := c.entries[d.Key]
	if !c.serving || e == nil || e.rec.DelegatedTo == "" || e.rec.Fate.Terminal() {
		return
	}
	if d.NotRun || (d.Record != nil && d.Record.Fate == model.NotRun) {
		c.requeueAtHome(now, e)
		return
	}
	if d.Record == nil {
		return
	}
	if d.Record.Fate != model.Queued {
		c.markRunning(now, e)
	}
	if d.Record.Fate.Terminal() {
		c.release(e, 0)
		e.rec.OK, e.rec.Answer, e.rec.Tasks = d.Record.OK, d.Record.Answer, d.Record.Tasks
		e.tasks = make([]taskRuntime, len(e.rec.Tasks))
		c.finalize(now, e, d.Record.Fate, d.Record.Reason)
	}
}

// takeBack queues a request at home again after the other owner refused it.
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

// waitsAtHome reports whether a record of an earlier owner says that its single
// task waits at home.
func (c *Core) queuedAtHome(e *entry) bool {
	return (e.restored || !c.serving) && e.rec.Side == model.NewSide && e.rec.DelegatedTo == "" && !e.lookupPending &&
		len(e.rec.Tasks) == 1 && e.rec.Tasks[0].State == model.TaskQueued
}

func (c *Core) cancelDelegated(now time.Time, e *entry) {
	if e.tasks[0].startVersion != 0 {
		c.requeueAtHome(now, e)
		return
	}
	c.actions.DelegationCancels = append(c.actions.DelegationCancels, Delegation{To: e.rec.DelegatedTo, Request: e.rec.Request})
}

// SubmitDelegated accepts a request of another home data centre. Messages of an
// earlier owner of that home are refused.
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

// RecoverHome lists the records that run here for a home data centre, and
// refuses its earlier owners from now on.
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

// RestoreDelegated adds a request that another data centre runs for this one. A
// record that does not know of the delegation yet learns of it.
func (c *Core) RestoreDelegated(dc model.DataCentre, rec model.Record) {
	if e := c.entries[rec.Request.Key]; e != nil {
		if rec.Fate != model.NotRun && c.queuedAtHome(e) {
			e.rec.DelegatedTo = dc
			c.queue.Remove(rec.Request.Key)
			if c.serving {
				c.replicate(e)
			}
		}
		return
	}
	e := &entry{rec: copyRecord(&rec), tasks: make([]taskRuntime, len(rec.Tasks))}
	// The terms of another data centre say nothing here; a record of the home's
	// own, such as one from the journal that is read later, is always newer.
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
