package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement"
	"catkinvalve/internal/fault"
)

// doubt says what a new owner could not learn about earlier requests.
type doubt struct {
	since time.Time
	// journal is true while the log could not be read to its end.
	journalPending bool
	// homes lists data centres that may run requests delegated earlier.
	pendingDataCentres map[model.DataCentre]bool
}

// Recovery describes what a new owner has learned before it serves.
type Recovery struct {
	Term uint64
	// SyncedPeer is true when a standby with all records answered.
	PeerSynced bool
	// JournalRead is true when the fate stream was read up to its end.
	JournalRead bool
	// Unasked lists data centres that did not report delegated requests.
	PendingDataCentres []model.DataCentre
}

// Restore merges a record from a peer, the journal or the own replica.
//
// While serving, the own records are ahead of any other source; only keys that
// were not known are added.
func (c *Core) Restore(now time.Time, rec model.Record) {
	e := c.entries[rec.Request.Key]
	if c.serving {
		if e == nil {
			e = &entry{rec: copyRecord(&rec), tasks: make([]taskRuntime, len(rec.Tasks))}
			c.addRestored(e)
			c.resumeRequest(now, e)
		}
		return
	}
	if e == nil {
		e = &entry{rec: copyRecord(&rec), tasks: make([]taskRuntime, len(rec.Tasks))}
		c.addRestored(e)
	} else if !rec.Newer(&e.rec) && !(e.fateUnconfirmed() && rec.Term > e.rec.Term) {
		return
	}
	c.replaceRecord(e, rec)
	e.tasks = make([]taskRuntime, len(e.rec.Tasks))
	e.ackedVersion, e.finalVersion = e.rec.Version, 0
	if rec.Fate.Terminal() {
		e.finalVersion = rec.Version
	}
}

// keep adds a record from elsewhere to the table.
func (c *Core) addRestored(e *entry) {
	c.entries[e.rec.Request.Key] = e
	c.accountPayload(e)
	if e.rec.Fate.Terminal() {
		c.accountFinalized(e, e.rec.Ended)
	}
}

// replace takes over a newer version of a record. Versions from the journal
// lack the payload.
func (c *Core) replaceRecord(e *entry, rec model.Record) {
	payload := e.rec.Request.Payload
	wasTerminal := e.rec.Fate.Terminal()
	c.dropAnswer(e)
	c.dropPayload(e)
	e.rec = copyRecord(&rec)
	if e.rec.Request.Payload == nil && !rec.Fate.Terminal() {
		e.rec.Request.Payload = payload
	}
	c.accountPayload(e)
	switch {
	case !rec.Fate.Terminal():
	case wasTerminal:
		c.mem.answerBytes += len(e.rec.Answer)
	default:
		c.accountFinalized(e, rec.Ended)
	}
}

// unconfirmed reports whether the final fate may be missing at the standbys. No
// caller was told it, so another owner may have decided otherwise.
func (e *entry) fateUnconfirmed() bool {
	return e.rec.Fate.Terminal() && e.ackedVersion < e.finalVersion
}

// Serve makes the core the owner's. All records and inventories that can be
// had are in place; what they leave open puts the data centre in doubt.
func (c *Core) StartServing(now time.Time, r Recovery) {
	c.serving, c.term = true, r.Term
	c.doubt = nil
	if !r.PeerSynced {
		c.doubt = &doubt{since: now, journalPending: !r.JournalRead, pendingDataCentres: map[model.DataCentre]bool{}}
		for _, dc := range r.PendingDataCentres {
			c.doubt.pendingDataCentres[dc] = true
		}
	}
	for _, w := range c.workers {
		w.lastContact = now
	}
	c.interactiveDemand.reset(now)
	c.mergingInventories = true
	for _, g := range c.pendingGrants {
		c.applyGrant(now, g)
	}
	c.mergingInventories = false
	for _, e := range c.entries {
		c.resumeRequest(now, e)
	}
	for _, r := range c.pendingReports {
		c.HandleTaskReport(now, r.worker, r.report)
	}
	c.DiscardBufferedEvents()
	c.resolveRebuilt(now)
	c.endDoubtIfResolved(now)
	c.syncServices(now)
	c.dirty = true
}

// journalCatchUp is how far back a new owner journals fates of earlier owners,
// which may have died before their journal reached the log. It covers an outage
// of the log of that length.
const journalLookback = 10 * time.Minute

// resume continues a restored request.
func (c *Core) resumeRequest(now time.Time, e *entry) {
	if e.rec.Fate.Terminal() {
		if e.fateUnconfirmed() {
			c.replicate(e)
			e.finalVersion = e.rec.Version
		}
		if now.Sub(e.rec.Ended) < journalLookback {
			c.journal(e)
		}
		return
	}
	if home := c.Home(e.rec.Request.Key); home != c.cfg.DataCentre {
		e.home = home
	}
	e.serviceInstance, e.restored = c.isInstanceKey(e.rec.Request.Key), true
	c.replicate(e)
	switch {
	case e.rec.Side == model.OldSide:
		e.rec.Tasks[0].State, e.maybeSentToOld = model.TaskQueued, true
		if e.rec.CancelRequested {
			c.lookupOldSystem(e)
		}
		return
	case e.rec.DelegatedTo != "":
		return
	case e.neverAssigned() && c.carried.NeedsLookup(now, e.rec.Request.Key, e.rec.Request.Service):
		c.lookupOldSystem(e)
		return
	}
	gangQueued := false
	for i := range e.rec.Tasks {
		t := &e.rec.Tasks[i]
		switch {
		case t.State == model.TaskQueued && e.rec.PayloadMissing && c.hasUnleasedWorker():
			// The inventory of another worker may still list it.
		case t.State == model.TaskQueued && !gangQueued:
			gangQueued = e.rec.Request.Class == model.AllAtOnce
			c.requeue(now, e, i, 0)
		case t.State.HoldsWorker() && e.tasks[i].charged == (model.Size{}):
			c.resumeAssigned(now, e, i)
		}
	}
	c.finalizeIfEnded(now, e)
}

// untouched reports whether no task was ever assigned to a worker.
func (e *entry) neverAssigned() bool {
	for i := range e.rec.Tasks {
		if e.rec.Tasks[i].Attempt > 0 {
			return false
		}
	}
	return true
}

// resumeAssigned keeps the assignment of a task whose worker has not granted a
// lease yet, or loses it when the worker does not exist any more. A task that
// is still unassigned here although its worker granted was not in its inventory.
func (c *Core) resumeAssigned(now time.Time, e *entry, index int) {
	t := &e.rec.Tasks[index]
	w := c.workers[t.Worker]
	if w == nil {
		c.taskLost(now, e, index)
		return
	}
	id := model.TaskID{Key: e.rec.Request.Key, Index: index}
	c.reserveAssigned(now, e, t.Worker, model.RunningTask{ID: id, Service: e.rec.Request.Service, Size: t.Planned})
	if !w.leased {
		return
	}
	c.handleUnlisted(now, e, index)
}

// StepDown stops all deciding. The records stay as a replica.
func (c *Core) StepDown() {
	c.serving, c.doubt = false, nil
	c.actions, c.deadlines = Actions{}, nil
	c.DiscardBufferedEvents()
	for id, w := range c.workers {
		w.leased = false
		if w.probeRunning {
			w.probeRunning = false
			c.health.EndProbe(id)
		}
		c.index.SetState(id, placement.NotLeased)
		for _, t := range c.index.Tasks(id) {
			c.index.Release(t)
		}
	}
	for _, e := range c.entries {
		for i := range e.tasks {
			if size := e.tasks[i].charged; size != (model.Size{}) {
				c.queue.Refund(e.rec.Request.Team, size)
			}
		}
		e.tasks = make([]taskRuntime, len(e.rec.Tasks))
		e.preemptedAt, e.lookupPending, e.delegationSent = time.Time{}, false, false
		c.queue.Remove(e.rec.Request.Key)
	}
}

// InDoubt reports whether requests of the past may be unknown.
func (c *Core) InDoubt() bool { return c.doubt != nil }

// JournalRead reports that the fate stream was read to its end after all.
func (c *Core) HandleJournalRead(now time.Time) {
	if c.doubt != nil {
		c.doubt.journalPending = false
		c.endDoubtIfResolved(now)
	}
}

// HomeAnswered reports that a data centre told which requests it runs for this one.
func (c *Core) HandleDataCentreAnswer(now time.Time, dc model.DataCentre) {
	if c.doubt != nil {
		delete(c.doubt.pendingDataCentres, dc)
		c.endDoubtIfResolved(now)
	}
}

// OpenHomes lists the data centres that have not answered yet.
func (c *Core) PendingDataCentres() []model.DataCentre {
	if c.doubt == nil {
		return nil
	}
	var out []model.DataCentre
	for dc := range c.doubt.pendingDataCentres {
		out = append(out, dc)
	}
	return out
}

// refreshDoubt ends the doubt once every source of memory has answered, or
// when records of that time would have been dropped anyway.
func (c *Core) endDoubtIfResolved(now time.Time) {
	d := c.doubt
	if d == nil {
		return
	}
	if now.Sub(d.since) > c.cfg.Retention {
		c.doubt = nil
		return
	}
	if d.journalPending || len(d.pendingDataCentres) > 0 || c.hasUnleasedWorker() {
		return
	}
	c.doubt = nil
}

// stopLimit is the time after which a worker without a holder has stopped its tasks.
func (c *Core) taskStopTimeout() time.Duration { return c.cfg.LeaseTTL + c.cfg.TaskGrace + lostMargin }

// unleased reports whether a listed worker has not shown its inventory yet.
func (c *Core) hasUnleasedWorker() bool {
	for _, w := range c.workers {
		if !w.leased {
			return true
		}
	}
	return false
}

// mayHaveStarted reports whether a request that waits by its record may have
// been started by an earlier owner whose last records are lost.
func (c *Core) mayHaveStarted(e *entry) bool { return c.doubt != nil && e.restored }

// held reports whether a restored request has to wait for the sources that are
// still missing. A forgotten attempt of an idempotent one has ended after the
// task grace.
func (c *Core) blockedByDoubt(now time.Time, e *entry) bool {
	return c.mayHaveStarted(e) && !(e.rec.Request.Idempotent && c.graceOver(now))
}

// graceOver reports whether workers that no owner leased since the takeover
// have stopped their tasks.
func (c *Core) graceOver(now time.Time) bool { return now.Sub(c.doubt.since) > c.taskStopTimeout() }

// checkDoubt refuses a new key that may have run before the data centre lost
// its records. Requests issued after the loss cannot have.
func (c *Core) checkDoubt(now time.Time, r model.Request) *fault.Error {
	d := c.doubt
	if d == nil || (!r.IssuedAt.IsZero() && r.IssuedAt.After(d.since)) {
		return nil
	}
	if r.Idempotent && c.graceOver(now) {
		return nil
	}
	return fault.New(fault.FateInDoubt,
		"retry later with the same key; for a new request set issued_at to the time at which it was created",
		"data centre %s lost records at %s and cannot tell whether %q ran before",
		c.cfg.DataCentre, d.since.UTC().Format(time.RFC3339), r.Key)
}
