package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/queue"
	"catkinvalve/internal/core/split"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/text"
)

// errNoOwner is returned while the daemon does not own the data centre.
func (c *Core) errNoOwner() *fault.Error {
	return fault.New(fault.NoOwner, "retry with the same key; the daemons elect an owner within seconds",
		"this daemon does not own data centre %s", c.cfg.DataCentre)
}

// Submit accepts a request of a caller, or joins it to the record that the key
// already has. A returned fault means that this submission started nothing.
func (c *Core) Submit(now time.Time, r model.Request) (model.Record, *fault.Error) {
	return c.submit(now, r, false)
}

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
	if c.carried.NeedsLookup(now, r.Key, r.Service) {
		return c.lookupBeforeAdmission(e)
	}
	if err := c.enqueueNew(now, e); err != nil {
		c.dropPayload(e)
		delete(c.entries, r.Key)
		return model.Record{}, c.countRefusal(err)
	}
	return c.callerView(e), nil
}

func (c *Core) countRefusal(err *fault.Error) *fault.Error {
	c.counters.Refused++
	return err
}

// join answers a repeated submission from the record.
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

// complete fills in the defaults of the service.
func (c *Core) applyServiceDefaults(r *model.Request) *fault.Error {
	s := c.clusterConfig.Service(r.Service)
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

func (c *Core) teamExists(name string) bool {
	for _, t := range c.clusterConfig.Teams {
		if t.Name == name {
			return true
		}
	}
	return false
}

func (c *Core) newPercent(service string) int {
	if s := c.clusterConfig.Service(service); s != nil {
		return s.NewPercent
	}
	return 0
}

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

// enter queues a new request on its side.
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

func (c *Core) admit(now time.Time, e *entry) *fault.Error {
	r := &e.rec.Request
	n := c.need(r)
	if counts, never := c.index.NeverFits(n, gangTasks(r)); never && c.capacityKnown {
		return fault.New(fault.CanNeverRun, "declare a smaller size or fewer tasks",
			"no worker of data centre %s can ever hold %q (%s)", c.cfg.DataCentre, r.Key, formatCounts(counts))
	}
	for i, it := range c.queueItems(now, e) {
		shed, refused := c.queue.Admit(now, it)
		c.shed(now, shed)
		if refused != "" {
			if i > 0 {
				c.queue.Remove(r.Key)
			}
			return fault.New(fault.Overloaded, "retry later with backoff and the same key",
				"the queue of team %q and class %s is full (%s)", r.Team, r.Class, refused)
		}
	}
	c.budget.Admitted(r.Team)
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

// items returns the queue items of a request: one for a gang, else one a task.
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

func (c *Core) queueItem(now time.Time, e *entry, index int) queue.Item {
	r := &e.rec.Request
	return queue.Item{
		Key: r.Key, Index: index, Team: r.Team, Class: r.Class,
		Size: c.plannedSize(r), Tasks: gangTasks(r),
		Deadline: r.Deadline, Enqueued: now,
	}
}

// shed settles requests that gave way to more urgent ones. A request with a
// task that has started keeps what runs and loses only its waiting tasks.
func (c *Core) shed(now time.Time, items []queue.Item) {
	for _, it := range items {
		if e := c.entries[it.Key]; e != nil {
			c.dropWaitingTasks(now, e, model.ReasonShed)
		}
	}
}

// Fate returns the record of a key as callers may see it.
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

func (c *Core) errUnknownKey(key string) *fault.Error {
	if c.doubt != nil {
		return fault.New(fault.FateInDoubt, "ask again later; the daemon recovers records from the log and the workers",
			"data centre %s lost records and does not know key %q", c.cfg.DataCentre, key)
	}
	return fault.New(fault.NotFound, "check the key, or submit the request",
		"key %q is not known in data centre %s", key, c.cfg.DataCentre)
}

// view returns the record without a final fate that the standbys do not have
// yet: a successor might decide otherwise.
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
		// The reason belongs to the end of the request.
		r.Reason = ""
	}
	return r
}

// Replicated reports that the standbys have a version of a key's record, or
// that there is no standby to wait for.
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

// service returns the text's entry of a record's service, or an empty one.
func (c *Core) serviceConfig(name string) text.Service {
	if s := c.clusterConfig.Service(name); s != nil {
		return *s
	}
	return text.Service{Name: name}
}
