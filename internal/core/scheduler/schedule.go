package scheduler

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement"
	"catkinvalve/internal/core/queue"
	"catkinvalve/internal/core/retry"
)

// plannedSpec returns the placement spec of a task of the request with its planned size.
func (c *Core) plannedSpec(r *model.Request) placement.TaskSpec {
	return taskSpec(r, c.plannedSize(r))
}

// taskSpec returns the placement spec of a task of the request that reserves size.
// Only idempotent batch tasks may be preempted.
func taskSpec(r *model.Request, size model.Size) placement.TaskSpec {
	return placement.TaskSpec{Class: r.Class, Service: r.Service, Size: size, Preemptible: r.Class == model.Batch && r.Idempotent}
}

// plannedSize returns the estimated size to reserve for a task. The estimate is
// limited to the largest worker, so that it cannot make a request unplaceable whose
// declared size fits. A declared size that fits no worker is not reduced.
func (c *Core) plannedSize(r *model.Request) model.Size {
	p := c.estimator.PlannedSize(r.Service, r.Size)
	if r.Size.Fits(c.largestWorker) {
		p = p.Min(c.largestWorker)
	}
	return p
}

// Schedule places the waiting tasks that can start now. It does nothing if nothing
// changed since the last call.
func (c *Core) Schedule(now time.Time) {
	if !c.serving || !c.dirty {
		return
	}
	c.dirty = false
	if now.After(c.gangReservation.expires) {
		c.gangReservation = backfillReservation{}
	}
	if c.queue.RunCycle(now, func(it queue.Item) queue.OfferResult { return c.tryPlace(now, it) }) {
		c.dirty = true
	}
}

// tryPlace places a queue item on a worker, or delegates it or preempts other
// tasks if there is no room.
func (c *Core) tryPlace(now time.Time, it queue.Item) queue.OfferResult {
	e := c.entries[it.Key]
	if e == nil || e.rec.Fate.Terminal() || e.rec.DelegatedTo != "" || c.blockedByDoubt(now, e) {
		return queue.SkipItem
	}
	if it.Class == model.AllAtOnce {
		return c.tryPlaceGang(now, e, it)
	}
	spec := taskSpec(&e.rec.Request, it.Size)
	w, ok := c.index.Place(spec)
	if !ok {
		if c.delegate(now, e, it) {
			return queue.Placed
		}
		c.preempt(now, e, spec)
		return queue.NoFit
	}
	if c.delaysGang(now, e, w) {
		return queue.SkipItem
	}
	c.assign(now, e, it.Index, w, spec)
	c.replicatePlacement(e)
	return queue.Placed
}

// tryPlaceGang places all tasks of a gang or none.
func (c *Core) tryPlaceGang(now time.Time, e *entry, it queue.Item) queue.OfferResult {
	spec := taskSpec(&e.rec.Request, it.Size)
	workers, ok := c.index.PlaceGang(spec, it.Tasks)
	if !ok {
		c.reserveForGang(now, e, spec, it.Tasks)
		return queue.NoFit
	}
	for i, w := range workers {
		c.assign(now, e, i, w, spec)
	}
	if c.gangReservation.key == it.Key {
		c.gangReservation = backfillReservation{}
	}
	c.replicatePlacement(e)
	return queue.Placed
}

// assign reserves worker w for a new attempt of a task. The start is sent once the
// standbys have the record version that replicatePlacement creates.
func (c *Core) assign(now time.Time, e *entry, index int, w model.WorkerID, spec placement.TaskSpec) {
	t := &e.rec.Tasks[index]
	t.State, t.Worker, t.Planned = model.TaskStarting, w, spec.Size
	t.Boot = c.workers[w].bootID
	t.Attempt++
	e.tasks[index].charged = spec.Size
	c.interactiveDemand.add(spec.Class, spec.Size.Slots)
	e.tasks[index].startedAt = now
	e.tasks[index].startVersion = e.rec.Version + 1
	c.index.Reserve(w, model.TaskID{Key: e.rec.Request.Key, Index: index}, spec)
	if c.health.State(now, w) == retry.Probing && c.health.StartProbe(now, w) {
		c.workers[w].probeRunning = true
		c.updatePlacementState(now, w)
	}
}

// endProbe lets a worker take other tasks once the outcome of its probe is known.
func (c *Core) endProbe(now time.Time, id model.WorkerID) {
	if w := c.workers[id]; w != nil && w.probeRunning {
		w.probeRunning = false
		c.health.EndProbe(id)
		c.updatePlacementState(now, id)
	}
}

// replicatePlacement sends the new assignment of a request to the standbys. The
// request is placed, so the time of its last preemption is cleared.
func (c *Core) replicatePlacement(e *entry) {
	e.preemptedAt = time.Time{}
	c.replicate(e)
}

// sendReplicated adds the starts, the run on the old system or the delegation of a
// request to the actions, as far as the standbys have the record version that they
// wait for.
func (c *Core) sendReplicated(e *entry) {
	for i := range e.tasks {
		rt, t := &e.tasks[i], &e.rec.Tasks[i]
		if rt.startVersion == 0 || rt.startVersion > e.ackedVersion || t.State != model.TaskStarting {
			continue
		}
		rt.startVersion = 0
		c.counters.Started++
		r := &e.rec.Request
		if !r.Idempotent || r.Tasks > 1 {
			c.journal(e)
		}
		c.actions.addStart(t.Worker, Start{
			ID: model.TaskID{Key: r.Key, Index: i}, Attempt: t.Attempt, Service: r.Service,
			Size: t.Planned, RunTime: r.RunTime, Deadline: r.Deadline, Payload: r.Payload,
		})
	}
	if e.rec.Side == model.OldSide && !e.rec.Fate.Terminal() {
		c.sendToOldSystem(e)
	}
	if e.rec.DelegatedTo != "" && !e.rec.Fate.Terminal() {
		c.sendDelegation(e)
	}
}

// preemptInterval is the time between two preemptions for the same request. It lets
// the preempted tasks end before more are stopped. Urgent requests have to start
// within 9.5 s even if other tasks take the freed room.
const preemptInterval = 3 * time.Second

// preempt stops batch tasks with a checkpoint to make room for a task of a more
// urgent class.
func (c *Core) preempt(now time.Time, e *entry, spec placement.TaskSpec) {
	if now.Sub(e.preemptedAt) < preemptInterval || spec.Class == model.Batch {
		return
	}
	victims, _, ok := c.index.PlanPreemption(spec, c.preemptible)
	if !ok {
		return
	}
	e.preemptedAt = now
	for _, id := range victims {
		c.counters.Preempted++
		c.stopTask(c.entries[id.Key], id.Index, StopCheckpoint)
	}
}

// preemptible reports whether a task may be preempted: an idempotent batch task
// whose worker has confirmed its start.
func (c *Core) preemptible(id model.TaskID) bool {
	e := c.entries[id.Key]
	return e != nil && id.Index < len(e.rec.Tasks) && e.rec.Request.Class == model.Batch &&
		e.rec.Request.Idempotent && e.rec.Tasks[id.Index].State == model.TaskRunning && !e.rec.CancelRequested
}

// stopTask marks a task as stopping and adds a stop of its current attempt to the
// actions.
func (c *Core) stopTask(e *entry, index int, mode StopMode) {
	t := &e.rec.Tasks[index]
	t.State = model.TaskStopping
	c.actions.addStop(t.Worker, Stop{ID: model.TaskID{Key: e.rec.Request.Key, Index: index}, Attempt: t.Attempt, Mode: mode})
}

// release frees the reservation and the charged quota of a task.
func (c *Core) release(e *entry, index int) {
	c.index.Release(model.TaskID{Key: e.rec.Request.Key, Index: index})
	rt := &e.tasks[index]
	if rt.charged != (model.Size{}) {
		c.queue.SubtractUsage(e.rec.Request.Team, rt.charged)
		c.interactiveDemand.add(e.rec.Request.Class, -rt.charged.Slots)
		rt.charged = model.Size{}
	}
	rt.startVersion = 0
	c.dirty = true
}

// requeue puts a task that has to run again back into the queue, to be placed after
// the given wait. A gang is requeued as a whole. Without its payload the task ends
// instead.
func (c *Core) requeue(now time.Time, e *entry, index int, wait time.Duration) {
	if e.rec.PayloadMissing {
		c.endRebuiltTask(now, e, index)
		return
	}
	e.rec.Tasks[index].State = model.TaskQueued
	e.rec.Tasks[index].Worker = ""
	if e.rec.Request.Class == model.AllAtOnce {
		if !c.prepareGangRestart(now, e) {
			return
		}
		index = 0
	}
	it := c.queueItem(now, e, index)
	it.EnqueuedAt = e.rec.Accepted
	if wait > 0 {
		it.NotBefore = now.Add(wait)
	}
	c.queue.Requeue(now, it)
	c.dirty = true
}

// prepareGangRestart prepares a gang to start again and reports whether it can be
// queued now. Tasks that hold a worker are stopped first, and the end of the last
// one queues the gang. A non-idempotent gang of which any task ran is ended.
func (c *Core) prepareGangRestart(now time.Time, e *entry) bool {
	assigned := false
	for i := range e.rec.Tasks {
		switch t := &e.rec.Tasks[i]; {
		case t.State == model.TaskStarting && e.tasks[i].startVersion != 0:
			// The start was not sent, so no worker would confirm a stop.
			c.release(e, i)
			t.State, t.Worker = model.TaskQueued, ""
		case t.State.HoldsWorker():
			assigned = true
			if t.State != model.TaskStopping {
				c.stopTask(e, i, StopCheckpoint)
			}
		}
	}
	if assigned {
		return false
	}
	canRestart := e.rec.Request.Idempotent || e.rec.Started.IsZero()
	for i := range e.rec.Tasks {
		if t := &e.rec.Tasks[i]; canRestart {
			t.State, t.Worker, t.Answer = model.TaskQueued, "", nil
		} else if t.State == model.TaskQueued {
			t.State = model.TaskLost
		}
	}
	if !canRestart {
		c.finalizeIfEnded(now, e)
	}
	return canRestart
}

// applyHealthChanges moves workers into and out of quarantine.
func (c *Core) applyHealthChanges(now time.Time) {
	for _, w := range c.health.TakeChangedWorkers(now) {
		c.updatePlacementState(now, w)
	}
}

// updatePlacementState tells the placement index whether a worker may get new
// tasks.
func (c *Core) updatePlacementState(now time.Time, id model.WorkerID) {
	w := c.workers[id]
	if w == nil {
		return
	}
	state := placement.Available
	switch {
	case !w.leased:
		state = placement.NotLeased
	case w.draining:
		state = placement.Draining
	case c.health.State(now, id) == retry.Quarantined, w.probeRunning:
		state = placement.Quarantined
	}
	c.index.SetState(id, state)
	c.dirty = true
}
