package workerd

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standinapi"
)

// failDelay is the run time of tasks on a worker that fails all tasks, and of
// tasks whose directive makes them fail and that have no run time.
const failDelay = time.Millisecond

// taskRef identifies one attempt of a task.
type taskRef struct {
	id      string
	attempt int
}

type task struct {
	ref          taskRef
	spec         standinapi.StartTask
	directive    standinapi.Directive
	state        model.TaskState
	answer       []byte
	throttled    bool
	timer        *time.Timer
	started      time.Time
	endedAt      time.Time
	measuredAt   time.Time // when usage was last returned
	lastEventSeq int64     // sequence of the final event
	ackedAt      time.Time // when the final event was acknowledged
}

func (t *task) usage() model.Size {
	u := t.spec.Size
	if t.directive.UsageMilliCPU > 0 {
		u.MilliCPU = t.directive.UsageMilliCPU
	}
	if t.directive.UsageMemMB > 0 {
		u.MemMB = t.directive.UsageMemMB
	}
	if t.throttled {
		u.MilliCPU /= 2
	}
	return u
}

// startTasks starts the tasks, even if they exceed the capacity. Task attempts
// that the worker already knows are accepted and not started again. It returns
// false if the caller does not hold the lease.
func (w *Worker) startTasks(in standinapi.StartRequest, received, now time.Time) (standinapi.StartReply, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out standinapi.StartReply
	if !w.checkLease(in.Holder, in.Term, now) {
		return out, false
	}
	for _, spec := range in.Tasks {
		ref := taskRef{spec.ID, spec.Attempt}
		if w.tasks[ref] != nil {
			continue
		}
		within := time.Duration(spec.StartWithinMS) * time.Millisecond
		if within > 0 && now.Sub(received) > within {
			w.stats.LateStarts++
			out.Refused = append(out.Refused, standinapi.StartRefusal{ID: spec.ID, Reason: model.ReasonDeadline})
			continue
		}
		w.startTask(ref, spec, now)
	}
	return out, true
}

// startTask starts one task and updates the counters. The caller holds mu.
func (w *Worker) startTask(ref taskRef, spec standinapi.StartTask, now time.Time) {
	for other := range w.running {
		if other.id == ref.id {
			w.stats.DoubleStarts++
			break
		}
	}
	t := &task{ref: ref, spec: spec, directive: standinapi.ParseDirective(spec.Payload), state: model.TaskRunning, started: now}
	w.tasks[ref], w.running[ref] = t, t
	w.inUse = w.inUse.Add(spec.Size)
	w.stats.Starts++
	w.stats.MaxInUse = maxSize(w.stats.MaxInUse, w.inUse)
	if !w.inUse.Fits(w.info.Capacity) {
		w.stats.OverCapacityStarts++
	}
	w.startCounts.started(spec.Key, spec.ID)
	w.queueEvent(t)

	d := time.Duration(spec.RunMS) * time.Millisecond
	if t.directive.SleepMS > 0 {
		d = time.Duration(t.directive.SleepMS) * time.Millisecond
	}
	final := model.TaskDone
	if t.directive.Fail || w.failAll {
		final = model.TaskFailed
	}
	if w.failAll || (d == 0 && t.directive.Fail) {
		d = failDelay
	}
	if d > 0 {
		t.timer = time.AfterFunc(d, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.endTask(t, final, time.Now())
		})
	}
}

func maxSize(a, b model.Size) model.Size {
	return model.Size{
		MilliCPU: max(a.MilliCPU, b.MilliCPU), MemMB: max(a.MemMB, b.MemMB), Accel: max(a.Accel, b.Accel),
		Slots: max(a.Slots, b.Slots), Conns: max(a.Conns, b.Conns),
	}
}

// endTask ends a running task and queues the event with its final state. The
// caller holds mu.
func (w *Worker) endTask(t *task, state model.TaskState, now time.Time) {
	if t.state != model.TaskRunning {
		return // The task was stopped while its timer fired.
	}
	w.removeRunning(t, state)
	t.endedAt = now
	if state != model.TaskStopped {
		t.answer = t.directive.AnswerFor(t.ref.id, t.spec.Payload)
	}
	w.endedTasks = append(w.endedTasks, t)
	w.queueEvent(t)
	t.lastEventSeq = w.lastEventSeq
}

// removeRunning stops the timer of a running task and releases its resources. The
// caller holds mu.
func (w *Worker) removeRunning(t *task, state model.TaskState) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.state = state
	delete(w.running, t.ref)
	w.inUse = w.inUse.Sub(t.spec.Size)
	w.startCounts.ended(t.ref.id)
}

// queueEvent queues an event with the current state of the task. The caller holds
// mu.
func (w *Worker) queueEvent(t *task) {
	w.lastEventSeq++
	w.events = append(w.events, standinapi.TaskEvent{
		Seq: w.lastEventSeq, ID: t.ref.id, Attempt: t.ref.attempt, State: t.state,
		OK: t.state == model.TaskDone, Answer: t.answer,
	})
	w.notifyChanged()
}

// stopTasks stops or throttles the running tasks that in names. It returns false
// if the caller does not hold the lease.
func (w *Worker) stopTasks(in standinapi.StopRequest, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checkLease(in.Holder, in.Term, now) {
		return false
	}
	for _, s := range in.Tasks {
		for ref, t := range w.running {
			if ref.id != s.ID || (s.Attempt != 0 && ref.attempt != s.Attempt) {
				continue
			}
			if s.Mode == ports.StopThrottle {
				t.throttled = true
				continue
			}
			w.endTask(t, model.TaskStopped, now)
		}
	}
	return true
}

// renewLease renews the lease and removes the events up to in.Ack. ok is false if
// the caller does not hold the lease. known is false if in.Ack is above the last
// event: a holder that still uses its ack from before a crash of the worker would
// otherwise miss events.
func (w *Worker) renewLease(in standinapi.SyncRequest, now time.Time) (ok, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checkLease(in.Holder, in.Term, now) {
		return false, false
	}
	w.stats.Syncs++
	w.lease.expires = now.Add(time.Duration(in.TTLMS) * time.Millisecond)
	w.resetGraceTimer(now)
	if in.Ack > w.lastEventSeq {
		return true, false
	}
	n, _ := slices.BinarySearchFunc(w.events, in.Ack+1, func(e standinapi.TaskEvent, seq int64) int { return int(e.Seq - seq) })
	w.events = slices.Delete(w.events, 0, n)
	for _, t := range w.endedTasks {
		if t.ackedAt.IsZero() && t.lastEventSeq <= in.Ack {
			t.ackedAt = now
		}
	}
	w.pruneEndedTasks(now)
	return true, true
}

// pruneEndedTasks removes the ended tasks whose final event was acknowledged at
// least FinishedRetention ago. The caller holds mu.
func (w *Worker) pruneEndedTasks(now time.Time) {
	w.endedTasks = slices.DeleteFunc(w.endedTasks, func(t *task) bool {
		expired := !t.ackedAt.IsZero() && now.Sub(t.ackedAt) >= w.cfg.FinishedRetention
		if expired {
			delete(w.tasks, t.ref)
		}
		return expired
	})
}

// pendingEvents returns the events after in.Ack and a channel that is closed on
// the next change. It returns false if the caller no longer holds the lease.
func (w *Worker) pendingEvents(in standinapi.SyncRequest, now time.Time) (standinapi.SyncReply, <-chan struct{}, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checkLease(in.Holder, in.Term, now) {
		return standinapi.SyncReply{}, nil, false
	}
	out := standinapi.SyncReply{BootID: w.info.BootID}
	for _, e := range w.events {
		if e.Seq <= in.Ack {
			continue
		}
		out.Events = append(out.Events, e)
		if w.duplicateEvents {
			out.Events = append(out.Events, e)
		}
	}
	if w.reorderEvents {
		slices.Reverse(out.Events)
	}
	return out, w.changed, true
}

// measureUsage returns the usage as it was UsageLag ago: it includes tasks that
// ended since and omits tasks that started since. A task is measured at most once
// per UsagePeriod.
func (w *Worker) measureUsage(now time.Time) []standinapi.TaskUsage {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := now.Add(-w.cfg.UsageLag)
	var out []standinapi.TaskUsage
	add := func(t *task) {
		if t.started.After(at) || (!t.measuredAt.IsZero() && now.Sub(t.measuredAt) < w.cfg.UsagePeriod) {
			return
		}
		t.measuredAt = now
		out = append(out, standinapi.TaskUsage{ID: t.ref.id, Size: t.usage()})
	}
	for _, t := range w.running {
		add(t)
	}
	for i := len(w.endedTasks) - 1; i >= 0 && w.endedTasks[i].endedAt.After(at); i-- {
		add(w.endedTasks[i])
	}
	return out
}
