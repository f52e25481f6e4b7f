package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/queue"
	"catkinvalve/internal/core/split"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/text"
)

// errNoOwner returns the fault for calls while the daemon does not own the data
// centre.
func (c *Core) errNoOwner() *fault.Error {
	return fault.New(fault.NoOwner, "retry with the same key; the daemons elect an owner within seconds",
		"this daemon does not own data centre %s", c.cfg.DataCentre)
}

// Submit accepts a caller's request, or joins it to the existing record of its
// key, and returns the record. After a fault, this submission has started nothing
// and never will.
func (c *Core) Submit(now time.Time, r model.Request) (model.Record, *fault.Error) {
	return c.submit(now, r, false)
}

// submit implements Submit and SubmitDelegated. With delegated set, the request comes
// from another data centre, and this one need not be its home.
func (c *Core) submit(now time.Time, r model.Request, delegated bool) (model.Record, *fault.Error) {
	if !c.serving {
		return model.Record{}, c.errNoOwner()
	}
	if e := c.entries[r.Key]; e != nil {
		return c.joinExisting(e, r)
	}
	if home := c.Home(r.Key); !delegated && home != c.cfg.DataCentre {
		return model.Record{}, c.countRefusal(fault.New(fault.NoOwner, "retry with the same key; the set of data centres has changed",
			"the home of %q is %s, not %s", r.Key, home, c.cfg.DataCentre))
	}
	if err := c.applyServiceDefaults(&r); err != nil {
		return model.Record{}, c.countRefusal(err)
	}
	if err := c.checkDoubt(now, r); err != nil {
		return model.Record{}, c.countRefusal(err)
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return model.Record{}, c.countRefusal(fault.New(fault.DeadlineExceeded,
			"submit again with a later deadline", "the deadline of %q has passed", r.Key))
	}
	if err := c.checkMemoryLimits(now, &r); err != nil {
		return model.Record{}, c.countRefusal(err)
	}
	e := c.newEntry(now, r)
	e.rec.Side = split.Side(r.Key, r.Service, c.newPercent(r.Service))
	if c.history.NeedsLookup(now, r.Key, r.Service) {
		return c.lookupBeforeAdmission(e)
	}
	if err := c.enqueueNew(now, e); err != nil {
		c.dropPayload(e)
		delete(c.entries, r.Key)
		return model.Record{}, c.countRefusal(err)
	}
	return c.callerView(e), nil
}

// countRefusal counts a refused submission and returns its fault.
func (c *Core) countRefusal(err *fault.Error) *fault.Error {
	c.counters.Refused++
	return err
}

// joinExisting answers a repeated submission from the record of its key. It
// refuses another request under the same key; a fingerprint of 0 is unknown and
// matches any.
func (c *Core) joinExisting(e *entry, r model.Request) (model.Record, *fault.Error) {
	known := e.rec.Request.Fingerprint
	if known != 0 && r.Fingerprint != 0 && known != r.Fingerprint {
		return model.Record{}, fault.New(fault.KeyConflict,
			"use a new key for a new request, or repeat the original one unchanged",
			"key %q was used with another request", r.Key)
	}
	c.restorePayload(e, r)
	return c.callerView(e), nil
}

// applyServiceDefaults fills in what the request leaves out from the configuration
// of its service. It refuses unknown services and teams.
func (c *Core) applyServiceDefaults(r *model.Request) *fault.Error {
	s := c.text.Service(r.Service)
	if s == nil {
		return fault.New(fault.UnknownService, "publish a text that lists the service, or correct its name",
			"service %q is not in the revision in force", r.Service)
	}
	if r.Team == "" {
		r.Team = s.Team
	}
	if r.Team != s.Team && !c.teamExists(r.Team) {
		return fault.New(fault.UnknownService, "publish a text that lists the team, or correct its name",
			"team %q is not in the revision in force", r.Team)
	}
	r.Class = s.Class
	if r.Size == (model.Size{}) {
		r.Size = s.Size
	}
	r.Size.Slots = max(r.Size.Slots, 1)
	if r.Tasks <= 0 {
		r.Tasks = max(s.Tasks, 1)
	}
	if r.RunTime <= 0 {
		r.RunTime = time.Duration(s.RunMS) * time.Millisecond
	}
	return nil
}

// teamExists reports whether the cluster configuration lists a team.
func (c *Core) teamExists(name string) bool {
	for _, t := range c.text.Teams {
		if t.Name == name {
			return true
		}
	}
	return false
}

// newPercent returns the percentage of a service's keys that the new system runs;
// 0 if the service is not configured.
func (c *Core) newPercent(service string) int {
	if s := c.text.Service(service); s != nil {
		return s.NewPercent
	}
	return 0
}

// newEntry adds a queued record for a request to the table.
func (c *Core) newEntry(now time.Time, r model.Request) *entry {
	e := &entry{waitingSince: now}
	e.rec = model.Record{Request: r, Side: model.NewSide, Fate: model.Queued, Accepted: now}
	e.rec.Tasks = make([]model.TaskRecord, r.Tasks)
	for i := range e.rec.Tasks {
		e.rec.Tasks[i].State = model.TaskQueued
	}
	e.tasks = make([]taskRuntime, r.Tasks)
	c.entries[r.Key] = e
	c.accountPayload(e)
	return e
}

// enqueueNew admits a new request to the queue, or assigns it to the old system.
func (c *Core) enqueueNew(now time.Time, e *entry) *fault.Error {
	if e.rec.Side == model.OldSide {
		c.assignToOldSystem(e)
	} else if err := c.admit(now, e); err != nil {
		return err
	}
	c.counters.Admitted++
	c.replicate(e)
	return nil
}

// admit queues all tasks of a request, or none of them and returns a fault. Less
// urgent requests may be shed to make room.
func (c *Core) admit(now time.Time, e *entry) *fault.Error {
	r := &e.rec.Request
	spec := c.plannedSpec(r)
	if counts, never := c.index.NeverFits(spec, gangTasks(r)); never && c.capacityKnown {
		return fault.New(fault.CanNeverRun, "declare a smaller size or fewer tasks",
			"no worker of data centre %s can ever hold %q (%s)", c.cfg.DataCentre, r.Key, formatCounts(counts))
	}
	for i, it := range c.queueItems(now, e) {
		shed, refusal := c.queue.Admit(now, it)
		c.shed(now, shed)
		if refusal != "" {
			if i > 0 {
				c.queue.RemoveKey(r.Key)
			}
			return fault.New(fault.Overloaded, "retry later with backoff and the same key",
				"the queue of team %q and class %s is full (%s)", r.Team, r.Class, refusal)
		}
	}
	c.budget.RecordAdmission(r.Team)
	c.dirty = true
	return nil
}

// gangTasks returns the number of tasks that must start together.
func gangTasks(r *model.Request) int {
	if r.Class == model.AllAtOnce {
		return r.Tasks
	}
	return 1
}

// queueItems returns the queue items of a request: one for a gang, otherwise one
// for each task.
func (c *Core) queueItems(now time.Time, e *entry) []queue.Item {
	n := 1
	if e.rec.Request.Class != model.AllAtOnce {
		n = e.rec.Request.Tasks
	}
	out := make([]queue.Item, 0, n)
	for i := range n {
		out = append(out, c.queueItem(now, e, i))
	}
	return out
}

// queueItem returns the queue item of a task, or of a whole gang for its index 0.
func (c *Core) queueItem(now time.Time, e *entry, index int) queue.Item {
	r := &e.rec.Request
	return queue.Item{
		Key: r.Key, Index: index, Team: r.Team, Class: r.Class,
		Size: c.plannedSize(r), Tasks: gangTasks(r),
		Deadline: r.Deadline, EnqueuedAt: now,
	}
}

// shed ends the waiting tasks of requests that the queue dropped for more urgent
// ones. Tasks of such a request that have started run on.
func (c *Core) shed(now time.Time, items []queue.Item) {
	for _, it := range items {
		if e := c.entries[it.Key]; e != nil {
			c.dropWaitingTasks(now, e, model.ReasonShed)
		}
	}
}

// Fate returns the record of a key as callers may see it. The fault is
// fault.NotFound for an unknown key, or fault.FateInDoubt while its record may be
// lost.
func (c *Core) Fate(key string) (model.Record, *fault.Error) {
	if !c.serving {
		return model.Record{}, c.errNoOwner()
	}
	e := c.entries[key]
	if e == nil {
		return model.Record{}, c.errUnknownKey(key)
	}
	return c.callerView(e), nil
}

// errUnknownKey returns the fault for a key without a record.
func (c *Core) errUnknownKey(key string) *fault.Error {
	if c.doubt != nil {
		return fault.New(fault.FateInDoubt, "ask again later; the daemon recovers records from the log and the workers",
			"data centre %s lost records and does not know key %q", c.cfg.DataCentre, key)
	}
	return fault.New(fault.NotFound, "check the key, or submit the request",
		"key %q is not known in data centre %s", key, c.cfg.DataCentre)
}

// callerView returns the record as callers may see it: a final fate that the
// standbys do not have yet is shown as queued or running, because a successor
// might decide on another one.
func (c *Core) callerView(e *entry) model.Record {
	r := copyRecord(&e.rec)
	if e.fateUnconfirmed() {
		r.Fate, r.OK, r.Reason, r.Answer = model.Queued, false, "", nil
		if !r.Started.IsZero() {
			r.Fate = model.Running
		}
		r.Ended = time.Time{}
	}
	if !r.Fate.Terminal() {
		// The reason only explains a final fate.
		r.Reason = ""
	}
	return r
}

// HandleReplicated records that the standbys have a version of a key's record, or
// that there is no standby to wait for. Starts and fates that waited for this
// version are added to the actions.
func (c *Core) HandleReplicated(key string, version uint64) {
	e := c.entries[key]
	if e == nil || version <= e.ackedVersion {
		return
	}
	e.ackedVersion = version
	if !c.serving {
		return
	}
	c.sendReplicated(e)
	if e.finalVersion != 0 && e.ackedVersion >= e.finalVersion && e.rec.Fate.Terminal() {
		c.actions.FinalizedKeys = append(c.actions.FinalizedKeys, key)
	}
}

// serviceConfig returns the configuration of a service, or one with only its name
// if the cluster configuration does not list it.
func (c *Core) serviceConfig(name string) text.Service {
	if s := c.text.Service(name); s != nil {
		return *s
	}
	return text.Service{Name: name}
}
