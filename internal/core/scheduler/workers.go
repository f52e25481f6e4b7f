package scheduler

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// lostMargin is added to the lease TTL and the task grace before the tasks of an
// unreachable worker count as stopped. It covers differences between the clock
// rates of the worker and the owner.
const lostMargin = 2 * time.Second

// ListedWorker is a worker of the data centre as the instance list shows it.
// Leaving is set while the list marks it for removal.
type ListedWorker struct {
	Worker  model.Worker
	Leaving bool
}

// SetWorkerList applies a new instance list. Workers that are not listed any more
// and whose lease is not held are removed, and their tasks count as lost.
func (c *Core) SetWorkerList(now time.Time, listed []ListedWorker) {
	seen := make(map[model.WorkerID]bool, len(listed))
	for _, l := range listed {
		seen[l.Worker.ID] = true
		c.upsertWorker(now, l)
	}
	for id, w := range c.workers {
		if !seen[id] && !w.leased {
			c.removeWorker(now, id)
		}
	}
	c.health.SetWorkerCount(len(c.workers))
	c.updateLargestWorker(now)
	c.resolveRebuilt(now)
	c.endDoubtIfResolved(now)
}

// upsertWorker adds a listed worker, or updates the drain state of a known one. The
// capacity and rack of a known worker are taken from its lease grants only.
func (c *Core) upsertWorker(now time.Time, l ListedWorker) {
	w := c.workers[l.Worker.ID]
	if w == nil {
		w = &workerState{worker: l.Worker, lastContact: now}
		c.workers[l.Worker.ID] = w
		c.index.Upsert(c.withoutOldSystemSlots(l.Worker))
		c.updatePlacementState(now, l.Worker.ID)
	}
	if draining := l.Leaving || w.drainRequested; draining != w.draining {
		c.setDraining(now, w, draining)
	}
}

// withoutOldSystemSlots subtracts the slots of the old system from a worker's
// capacity.
func (c *Core) withoutOldSystemSlots(w model.Worker) model.Worker {
	w.Capacity.Slots = max(0, w.Capacity.Slots-c.oldSystemSlots)
	return w
}

// setDraining starts a drain or ends it.
func (c *Core) setDraining(now time.Time, w *workerState, draining bool) {
	w.draining, w.drainingSince, w.drainEnforced = draining, now, false
	c.updatePlacementState(now, w.worker.ID)
}

// Drain stops new tasks on a worker at an operator's request. It returns the number
// of tasks that still hold capacity there, and false for an unknown worker.
func (c *Core) Drain(now time.Time, id model.WorkerID) (running int, found bool) {
	w := c.workers[id]
	if w == nil {
		return 0, false
	}
	w.drainRequested = true
	if !w.draining {
		c.setDraining(now, w, true)
	}
	return len(c.index.Tasks(id)), true
}

// RequestedDrains lists the workers that operators asked to drain, sorted by ID.
func (c *Core) RequestedDrains() []model.WorkerID {
	var out []model.WorkerID
	for id, w := range c.workers {
		if w.drainRequested {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// SetRequestedDrains replaces the set of workers that operators asked to drain by
// the owner's, so that drains survive a change of the owner. The drain of a worker
// that left the set ends with the next instance list.
func (c *Core) SetRequestedDrains(now time.Time, ids []model.WorkerID) {
	for id, w := range c.workers {
		drainRequested := slices.Contains(ids, id)
		if drainRequested == w.drainRequested {
			continue
		}
		w.drainRequested = drainRequested
		if drainRequested && !w.draining {
			c.setDraining(now, w, true)
		}
	}
}

// drainWorkers moves tasks off workers whose drain time, set by the limit DrainMS,
// is over.
func (c *Core) drainWorkers(now time.Time) {
	wait := time.Duration(c.text.Limits.DrainMS) * time.Millisecond
	for id, w := range c.workers {
		if !w.draining || w.drainEnforced || now.Sub(w.drainingSince) < wait {
			continue
		}
		w.drainEnforced = true
		for _, task := range c.index.Tasks(id) {
			c.moveIfIdempotent(task)
		}
	}
}

// moveIfIdempotent stops a running idempotent task with a checkpoint, so that it is
// placed on another worker. A non-idempotent task runs to its end, because it must
// not start a second time.
func (c *Core) moveIfIdempotent(id model.TaskID) {
	e := c.entries[id.Key]
	if e == nil || id.Index >= len(e.rec.Tasks) || e.rec.CancelRequested {
		return
	}
	if e.rec.Tasks[id.Index].State == model.TaskRunning && (e.rec.Request.Idempotent || e.serviceInstance) {
		c.stopTask(e, id.Index, StopCheckpoint)
	}
}

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

// updateLargestWorker updates largestWorker and capacityKnown. A request can only
// be refused as fitting no worker once all capacities are known.
func (c *Core) updateLargestWorker(now time.Time) {
	knownBefore := c.capacityKnown
	c.capacityKnown = len(c.workers) > 0
	var largestWorker model.Size
	for _, w := range c.workers {
		if w.bootID == "" {
			c.capacityKnown = false
		}
		largestWorker = largestWorker.Max(w.worker.Capacity)
	}
	c.largestWorker = largestWorker
	if c.capacityKnown && !knownBefore && c.serving {
		c.endUnplaceable(now)
	}
}

// endUnplaceable ends requests as not run that were accepted before all capacities
// were known and that fit no worker.
func (c *Core) endUnplaceable(now time.Time) {
	for _, e := range c.entries {
		if e.rec.Fate != model.Queued || e.rec.Side != model.NewSide || e.rec.DelegatedTo != "" ||
			e.lookupPending || e.serviceInstance || !e.neverAssigned() || c.mayHaveStarted(e) {
			continue
		}
		r := &e.rec.Request
		if _, never := c.index.NeverFits(c.plannedSpec(r), gangTasks(r)); never {
			c.finalize(now, e, model.NotRun, model.ReasonNeverFits)
		}
	}
}

// assignedTasks returns the tasks that the records assign to a worker.
func (c *Core) assignedTasks(w model.WorkerID) []model.TaskID {
	var ids []model.TaskID
	for _, id := range c.index.Tasks(w) {
		e := c.entries[id.Key]
		if e == nil || id.Index >= len(e.rec.Tasks) {
			continue
		}
		if t := &e.rec.Tasks[id.Index]; t.Worker == w && t.State.HoldsWorker() {
			ids = append(ids, id)
		}
	}
	return ids
}

// HandleLeaseRenewed records that a worker's lease was renewed.
func (c *Core) HandleLeaseRenewed(now time.Time, id model.WorkerID) {
	if w := c.workers[id]; w != nil {
		w.lastContact = now
	}
}

// HandleLeaseLost records that the lease on a worker is no longer held. Its tasks
// stay assigned until the worker grants a lease again or must have stopped them.
func (c *Core) HandleLeaseLost(now time.Time, id model.WorkerID) {
	if w := c.workers[id]; w != nil && w.leased {
		w.leased = false
		c.updatePlacementState(now, id)
	}
}

// loseTasksOfUnreachable marks tasks as lost whose workers were unreachable for so
// long that they have stopped them by their own clock.
func (c *Core) loseTasksOfUnreachable(now time.Time) {
	limit := c.taskStopTimeout()
	for id, w := range c.workers {
		if !w.leased && now.Sub(w.lastContact) > limit {
			c.loseTasks(now, id)
		}
	}
}

// loseTasks handles all tasks assigned to a worker as lost.
func (c *Core) loseTasks(now time.Time, w model.WorkerID) {
	for _, id := range c.assignedTasks(w) {
		c.taskLost(now, c.entries[id.Key], id.Index)
	}
}

// removeWorker forgets a worker. Its tasks count as lost.
func (c *Core) removeWorker(now time.Time, id model.WorkerID) {
	c.loseTasks(now, id)
	for _, t := range c.index.Tasks(id) {
		c.index.Release(t)
	}
	c.index.Remove(id)
	c.health.RemoveWorker(id)
	delete(c.workers, id)
	c.dirty = true
}

// HandleUsageReport corrects size estimates and reservations from measured usage.
func (c *Core) HandleUsageReport(now time.Time, w model.WorkerID, usage []model.Usage) {
	if !c.serving {
		return
	}
	for _, u := range usage {
		e := c.entries[u.ID.Key]
		if e == nil || u.ID.Index >= len(e.rec.Tasks) || e.rec.Tasks[u.ID.Index].Worker != w {
			continue
		}
		r := &e.rec.Request
		c.estimator.Observe(r.Service, r.Size, u.Size)
		c.resize(e, u)
	}
}

// resize adjusts a running task's reservation to the current estimate. If the
// worker lacks the capacity and a batch task uses more than it has reserved, the task
// is throttled, so that the worker is not overloaded.
func (c *Core) resize(e *entry, u model.Usage) {
	t := &e.rec.Tasks[u.ID.Index]
	if t.State != model.TaskRunning {
		return
	}
	plannedSize := c.plannedSize(&e.rec.Request)
	if plannedSize == t.Planned {
		return
	}
	if c.index.Resize(u.ID, plannedSize) {
		t.Planned = plannedSize
		c.dirty = true
		return
	}
	if e.rec.Request.Class == model.Batch && !u.Size.Fits(t.Planned) {
		c.actions.addStop(t.Worker, Stop{ID: u.ID, Attempt: t.Attempt, Mode: StopThrottle})
	}
}
