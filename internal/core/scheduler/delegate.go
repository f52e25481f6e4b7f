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
	interactiveLeaveAfter = 20 * time.Millisecond
	batchLeaveAfter       = 2 * time.Second
	// maxDelegatedPayload keeps large payloads off the link between regions.
	maxDelegatedPayload = 64 << 10
	// remoteHoldOff is how long a data centre that refused is not asked again.
	remoteHoldOff = 2 * time.Second
)

// remoteLoad is the last load summary of another data centre, less what was
// delegated there since.
type remoteLoad struct {
	region        string
	free, largest model.Size
	load          membership.Load
	at            time.Time
	holdOff       time.Time
}

// SetRemote records the load summary of another data centre's owner.
func (c *Core) SetRemoteLoad(now time.Time, dc model.DataCentre, region string, l membership.Load) {
	r := c.remote[dc]
	if r == nil {
		r = &remoteLoad{}
		c.remote[dc] = r
	}
	r.region, r.free, r.largest, r.load, r.at = region, l.Free, l.LargestFree, l, now
}

// remoteStale is the age at which a summary is not used any more. Owners
// repeat it with each heartbeat.
const remoteStale = 5 * time.Second

// delegate hands a waiting request to a data centre with room.
func (c *Core) delegate(now time.Time, e *entry, it queue.Item) bool {
	r := &e.rec.Request
	if e.home != "" || e.standing || r.Tasks != 1 || len(r.Payload) > maxDelegatedPayload || !c.waitedEnough(now, e) {
		return false
	}
	dc := c.roomiest(now, it.Size)
	if dc == "" {
		return false
	}
	to := c.remote[dc]
	to.free = to.free.Sub(it.Size)
	e.rec.DelegatedTo = dc
	e.tasks[it.Index].charged, e.tasks[it.Index].startAt = it.Size, e.rec.Version+1
	// A request without room here counts as demand of this data centre.
	c.demand.add(r.Class, it.Size.Slots)
	c.stat.DelegatedOut++
	c.changed(e)
	return true
}

func (c *Core) waitedEnough(now time.Time, e *entry) bool {
	waited := now.Sub(e.waitedAt)
	switch e.rec.Request.Class {
	case model.Interactive:
		return waited >= interactiveLeaveAfter
	case model.Batch:
		return waited >= batchLeaveAfter
	}
	return false
}

// roomiest picks the data centre with the most free slots, one of the own
// region before all others.
func (c *Core) roomiest(now time.Time, size model.Size) model.DataCentre {
	var best model.DataCentre
	for dc, r := range c.remote {
		if now.Sub(r.at) > remoteStale || now.Before(r.holdOff) || !size.Fits(r.largest) || !size.Fits(r.free) ||
			r.load.Queued > 0 {
			continue
		}
		if best == "" || c.better(dc, best) {
			best = dc
		}
	}
	return best
}

func (c *Core) better(a, b model.DataCentre) bool {
	ra, rb := c.remote[a], c.remote[b]
	if near := ra.region == c.cfg.Region; near != (rb.region == c.cfg.Region) {
		return near
	}
	if ra.free.Slots != rb.free.Slots {
		return ra.free.Slots > rb.free.Slots
	}
	return a < b
}

func (c *Core) sendDelegation(e *entry) {
	if e.delegated {
		return
	}
	maybeSent := e.tasks[0].startAt == 0
	e.delegated, e.tasks[0].startAt = true, 0
	r := e.rec.Request
	if r.IssuedAt.IsZero() || e.waitedAt.After(r.IssuedAt) {
		// The receiver has never seen the request before this time.
		r.IssuedAt = e.waitedAt
	}
	c.out.Delegations = append(c.out.Delegations, Delegation{To: e.rec.DelegatedTo, Request: r, MaybeSent: maybeSent})
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
		c.takeBack(now, e)
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
		c.settle(now, e, d.Record.Fate, d.Record.Reason)
	}
}

// takeBack queues a request at home again after the other owner refused it.
func (c *Core) takeBack(now time.Time, e *entry) {
	if r := c.remote[e.rec.DelegatedTo]; r != nil {
		r.holdOff = now.Add(remoteHoldOff)
	}
	e.rec.DelegatedTo, e.delegated = "", false
	c.release(e, 0)
	if e.rec.CancelRequested {
		// An earlier attempt at home may have run.
		e.rec.Tasks[0].State = model.TaskStopped
		c.settleIfEnded(now, e)
		return
	}
	c.requeue(now, e, 0, 0)
	c.changed(e)
}

// waitsAtHome reports whether a record of an earlier owner says that its single
// task waits at home.
func (c *Core) waitsAtHome(e *entry) bool {
	return (e.restored || !c.serving) && e.rec.Side == model.NewSide && e.rec.DelegatedTo == "" && !e.lookup &&
		len(e.rec.Tasks) == 1 && e.rec.Tasks[0].State == model.TaskQueued
}

func (c *Core) cancelDelegated(now time.Time, e *entry) {
	if e.tasks[0].startAt != 0 {
		c.takeBack(now, e)
		return
	}
	c.out.DelegationCancels = append(c.out.DelegationCancels, Delegation{To: e.rec.DelegatedTo, Request: e.rec.Request})
}

// SubmitDelegated accepts a request of another home data centre. Messages of an
// earlier owner of that home are refused.
func (c *Core) SubmitDelegated(now time.Time, home model.DataCentre, term uint64, r model.Request) (model.Record, *fault.Error) {
	if !c.serving {
		return model.Record{}, c.errNoOwner()
	}
	if term < c.homeTerm[home] {
		return model.Record{}, fault.New(fault.StaleTerm, "step down; another daemon owns the home data centre",
			"term %d of home %s is older than %d", term, home, c.homeTerm[home])
	}
	c.homeTerm[home] = term
	rec, err := c.submit(now, r, true)
	if err == nil {
		if e := c.entries[r.Key]; e.home == "" {
			e.home = home
			c.stat.DelegatedIn++
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
	c.homeTerm[home] = max(c.homeTerm[home], term)
	var out []model.Record
	for key, e := range c.entries {
		if e.home == home || (e.home == "" && c.Home(key) == home) {
			out = append(out, c.view(e))
		}
	}
	return out, nil
}

// RestoreDelegated adds a request that another data centre runs for this one. A
// record that does not know of the delegation yet learns of it.
func (c *Core) RestoreDelegated(dc model.DataCentre, rec model.Record) {
	if e := c.entries[rec.Request.Key]; e != nil {
		if rec.Fate != model.NotRun && c.waitsAtHome(e) {
			e.rec.DelegatedTo = dc
			c.queue.RemoveKey(rec.Request.Key)
			if c.serving {
				c.changed(e)
			}
		}
		return
	}
	e := &entry{rec: copyRecord(&rec), tasks: make([]taskRuntime, len(rec.Tasks))}
	// The terms of another data centre say nothing here; a record of the home's
	// own, such as one from the journal that is read later, is always newer.
	e.rec.DelegatedTo, e.rec.Term, e.rec.Version = dc, 0, 0
	e.acked, e.settleAt = 0, 0
	for i := range e.rec.Tasks {
		e.rec.Tasks[i].Worker = ""
	}
	c.keep(e)
	if c.serving && !rec.Fate.Terminal() {
		c.changed(e)
	}
}
