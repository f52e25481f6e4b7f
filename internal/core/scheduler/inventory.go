package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
)

// LeaseGrant is a worker's answer to a lease request: its capacity and the complete
// inventory of its tasks.
type LeaseGrant struct {
	Worker   model.WorkerID
	BootID   string
	Capacity model.Size
	Rack     string
	Tasks    []model.RunningTask
}

// HandleLeaseGranted merges a worker's inventory into the records and makes the
// worker available. The worker refuses starts of earlier leases from now on, so a
// task that the inventory does not list does not run there and never will. Before
// StartServing the grant is buffered.
func (c *Core) HandleLeaseGranted(now time.Time, g LeaseGrant) {
	if !c.serving {
		c.pendingGrants = append(c.pendingGrants, g)
		return
	}
	c.applyGrant(now, g)
}

// applyGrant implements HandleLeaseGranted for an owner that serves or starts to serve.
// A worker that the instance list does not show is ignored.
func (c *Core) applyGrant(now time.Time, g LeaseGrant) {
	w := c.workers[g.Worker]
	if w == nil {
		return
	}
	w.bootID, w.leased, w.lastContact = g.BootID, true, now
	w.worker.Capacity = g.Capacity
	if g.Rack != "" {
		w.worker.Rack = g.Rack
	}
	c.index.Upsert(c.withoutOldSystemSlots(w.worker))
	c.releaseOrphans(g.Worker)
	listed := make(map[attemptID]bool, len(g.Tasks))
	for _, t := range g.Tasks {
		listed[attemptID{t.ID, t.Attempt}] = true
		c.adoptTask(now, g.Worker, t)
	}
	c.reconcileUnlisted(now, g.Worker, listed)
	c.updatePlacementState(now, g.Worker)
	c.updateLargestWorker(now)
	c.resolveRebuilt(now)
	c.endDoubtIfResolved(now)
}

// adoptTask merges one task of a worker's inventory into the records. An attempt
// that the record no longer refers to becomes an orphan and is stopped.
func (c *Core) adoptTask(now time.Time, w model.WorkerID, t model.RunningTask) {
	e := c.entries[t.ID.Key]
	if e == nil {
		e = c.newEntryFromInventory(now, t)
	}
	for t.ID.Index >= len(e.rec.Tasks) {
		e.rec.Tasks = append(e.rec.Tasks, model.TaskRecord{State: model.TaskQueued})
		e.tasks = append(e.tasks, taskRuntime{})
	}
	rec := &e.rec.Tasks[t.ID.Index]
	if rec.Attempt > t.Attempt || rec.State.Final() || e.rec.Fate.Terminal() {
		if !t.State.Final() {
			c.stopOrphan(e, w, t)
		}
		return
	}
	known := rec.Worker == w && rec.State.HoldsWorker() && e.tasks[t.ID.Index].charged != (model.Size{})
	stopping := rec.State == model.TaskStopping
	rec.Worker, rec.Attempt = w, t.Attempt
	if !known {
		c.release(e, t.ID.Index)
		rec.State, rec.Planned = model.TaskStarting, t.Size
		c.queue.RemoveTask(t.ID.Key, t.ID.Index)
		c.reserveAssigned(now, e, w, t)
	}
	e.tasks[t.ID.Index].startVersion = 0
	if t.State.Final() {
		c.applyReport(now, e, TaskReport{ID: t.ID, Attempt: t.Attempt, State: t.State, OK: t.OK, Answer: t.Answer})
		return
	}
	c.taskStarted(now, e, t.ID.Index)
	if e.rec.CancelRequested || stopping {
		c.stopTask(e, t.ID.Index, StopNow)
	}
}

// reserveAssigned reserves capacity and charges the quota for a task that is
// already assigned to worker w.
func (c *Core) reserveAssigned(now time.Time, e *entry, w model.WorkerID, t model.RunningTask) {
	c.index.Reserve(w, t.ID, taskSpec(&e.rec.Request, t.Size))
	rt := &e.tasks[t.ID.Index]
	rt.charged, rt.startedAt = t.Size, now
	c.interactiveDemand.add(e.rec.Request.Class, t.Size.Slots)
	c.queue.AddUsage(e.rec.Request.Team, t.Size)
}

// newEntryFromInventory rebuilds a record for a task whose request is not known any
// more. It has no fingerprint, so any repeated submission of the key joins it.
func (c *Core) newEntryFromInventory(now time.Time, t model.RunningTask) *entry {
	s := c.serviceConfig(t.Service)
	tasks := 1
	if s.Class == model.AllAtOnce {
		tasks = max(s.Tasks, 1)
	}
	e := c.newEntry(now, model.Request{
		Key: t.ID.Key, Service: t.Service, Team: s.Team, Class: s.Class, Size: t.Size, Tasks: max(tasks, t.ID.Index+1),
		Idempotent: s.Idempotent, RunTime: time.Duration(s.RunMS) * time.Millisecond,
	})
	if home := c.Home(t.ID.Key); home != c.cfg.DataCentre {
		e.home = home
	}
	e.serviceInstance = c.isInstanceKey(t.ID.Key)
	e.rec.PayloadMissing = !e.serviceInstance
	return e
}

// attemptID identifies an attempt of a task. An inventory also lists finished
// attempts, which tell nothing about a later attempt of the same task.
type attemptID struct {
	task    model.TaskID
	attempt int
}

// reconcileUnlisted handles tasks that the records assign to a worker whose
// inventory does not list their current attempt.
func (c *Core) reconcileUnlisted(now time.Time, w model.WorkerID, listed map[attemptID]bool) {
	for _, id := range c.assignedTasks(w) {
		e := c.entries[id.Key]
		t := &e.rec.Tasks[id.Index]
		switch {
		case listed[attemptID{id, t.Attempt}]:
		case t.State == model.TaskStarting && e.tasks[id.Index].startVersion != 0:
			// The start was not sent yet. It will be sent under the new lease.
		default:
			c.handleUnlisted(now, e, id.Index)
		}
	}
}

// handleUnlisted handles a task that its worker's inventory does not list. If the
// start is unconfirmed and was sent to the worker's current boot, the worker never
// accepted it, even if a stop was sent since. After a restart the earlier boot may
// have run the task, which then counts as lost.
func (c *Core) handleUnlisted(now time.Time, e *entry, index int) {
	t := &e.rec.Tasks[index]
	pending := t.State == model.TaskStarting || t.State == model.TaskStopping
	if pending && t.Boot == c.workers[t.Worker].bootID {
		c.taskNotStarted(now, e, index)
		return
	}
	c.taskLost(now, e, index)
}
