package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement"
	"catkinvalve/internal/fault"
)

// doubt tells which sources of earlier requests a new owner could not read yet.
// While the data centre is in doubt, a key without a record may have run before.
type doubt struct {
	// since is when the owner took over without all records.
	since time.Time
	// journalPending is true until the log was read to its end.
	journalPending bool
	// pendingDataCentres lists data centres that may run requests which were
	// delegated from here and that have not reported them yet.
	pendingDataCentres map[model.DataCentre]bool
}

// Recovery describes which sources of records a new owner has read before it
// serves.
type Recovery struct {
	Term uint64
	// PeerSynced is true if a standby that had all records has sent them.
	PeerSynced bool
	// JournalRead is true if the stream of fates in the log was read to its end.
	JournalRead bool
	// PendingDataCentres lists the data centres that have not reported which
	// requests delegated from here they run.
	PendingDataCentres []model.DataCentre
}

// Restore merges a record from a peer, the journal or the daemon's own replica. While
// serving, the daemon's own records are ahead of any other source, so only records of
// unknown keys are added.
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

// addRestored adds a restored record to the table.
func (c *Core) addRestored(e *entry) {
	c.entries[e.rec.Request.Key] = e
	c.accountPayload(e)
	if e.rec.Fate.Terminal() {
		c.accountFinalized(e, e.rec.Ended)
	}
}

// replaceRecord replaces a record by a newer version. It keeps the known payload of
// an unfinished request, because versions from the journal lack it.
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

// fateUnconfirmed reports whether the fate is final, but the standbys have not
// confirmed it. No caller was told such a fate, and another owner may decide on
// another one.
func (e *entry) fateUnconfirmed() bool {
	return e.rec.Fate.Terminal() && e.ackedVersion < e.finalVersion
}

// StartServing starts an ownership: from now on the core accepts requests and makes
// decisions. Before the call, all records that the daemon could obtain must have been
// restored and all lease grants been handled. Without a synced peer, the data centre is in doubt until the
// other sources of records have been read.
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

// journalLookback is the age up to which a new owner journals the final fates of
// earlier owners again. An earlier owner may have died before its journal reached
// the log. The value covers a log outage of 10 minutes.
const journalLookback = 10 * time.Minute

// resumeRequest continues a restored request at the start of an ownership: it
// queues waiting tasks and keeps tracking the others.
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
	case e.neverAssigned() && c.history.NeedsLookup(now, e.rec.Request.Key, e.rec.Request.Service):
		c.lookupOldSystem(e)
		return
	}
	gangQueued := false
	for i := range e.rec.Tasks {
		t := &e.rec.Tasks[i]
		switch {
		case t.State == model.TaskQueued && e.rec.PayloadMissing && c.hasUnleasedWorker():
			// The inventory of a worker without a lease may still list the task.
		case t.State == model.TaskQueued && !gangQueued:
			gangQueued = e.rec.Request.Class == model.AllAtOnce
			c.requeue(now, e, i, 0)
		case t.State.HoldsWorker() && e.tasks[i].charged == (model.Size{}):
			c.resumeAssigned(now, e, i)
		}
	}
	c.finalizeIfEnded(now, e)
}

// neverAssigned reports whether no task was ever assigned to a worker.
func (e *entry) neverAssigned() bool {
	for i := range e.rec.Tasks {
		if e.rec.Tasks[i].Attempt > 0 {
			return false
		}
	}
	return true
}

// resumeAssigned continues a task that the record assigns to a worker and that no
// merged inventory lists. While its worker has not granted a lease, the task stays
// assigned. If the worker does not exist any more, the task is lost.
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

// StepDown ends the ownership. It drops pending actions, reservations and quota
// charges. The records stay as a replica.
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
				c.queue.SubtractUsage(e.rec.Request.Team, size)
			}
		}
		e.tasks = make([]taskRuntime, len(e.rec.Tasks))
		e.preemptedAt, e.lookupPending, e.delegationSent = time.Time{}, false, false
		c.queue.RemoveKey(e.rec.Request.Key)
	}
}

// InDoubt reports whether records of earlier requests may be missing.
func (c *Core) InDoubt() bool { return c.doubt != nil }

// HandleJournalRead records that the stream of fates in the log was read to its
// end.
func (c *Core) HandleJournalRead(now time.Time) {
	if c.doubt != nil {
		c.doubt.journalPending = false
		c.endDoubtIfResolved(now)
	}
}

// HandleDataCentreAnswer records that a data centre has reported which requests it
// runs for this one.
func (c *Core) HandleDataCentreAnswer(now time.Time, dc model.DataCentre) {
	if c.doubt != nil {
		delete(c.doubt.pendingDataCentres, dc)
		c.endDoubtIfResolved(now)
	}
}

// PendingDataCentres lists, in no particular order, the data centres that have not
// reported which requests they run for this one.
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

// endDoubtIfResolved ends the doubt once every source of records was read, or after
// the retention, when the missing records would have been dropped anyway.
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

// taskStopTimeout returns the time after which a worker whose lease nobody renews
// has stopped its tasks.
func (c *Core) taskStopTimeout() time.Duration { return c.cfg.LeaseTTL + c.cfg.TaskGrace + lostMargin }

// hasUnleasedWorker reports whether the lease of any listed worker is not held, so
// that its inventory is not known.
func (c *Core) hasUnleasedWorker() bool {
	for _, w := range c.workers {
		if !w.leased {
			return true
		}
	}
	return false
}

// mayHaveStarted reports whether a request that is waiting according to its record
// may have been started by an earlier owner whose last records are lost.
func (c *Core) mayHaveStarted(e *entry) bool { return c.doubt != nil && e.restored }

// blockedByDoubt reports whether a restored request has to wait until the missing
// sources are read. An idempotent request waits only until a lost attempt must have
// been stopped.
func (c *Core) blockedByDoubt(now time.Time, e *entry) bool {
	return c.mayHaveStarted(e) && !(e.rec.Request.Idempotent && c.graceOver(now))
}

// graceOver reports whether workers without a lease since the takeover must have
// stopped their tasks. It must be called only in doubt.
func (c *Core) graceOver(now time.Time) bool { return now.Sub(c.doubt.since) > c.taskStopTimeout() }

// checkDoubt returns a fault for a new key that may have run before the data centre
// lost its records. A request issued after the loss cannot have run.
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
