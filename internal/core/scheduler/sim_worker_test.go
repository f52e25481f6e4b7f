package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// simWorker is a simulated worker. It refuses starts of another term than its lease's
// and starts all others, whether they fit or not.
type simWorker struct {
	id          model.WorkerID
	boot        int
	term        uint64
	tasks       map[simAttempt]*model.RunningTask
	undelivered []TaskReport
	// unreachable is set while the owner cannot renew the lease. stopAt is when
	// the worker then stops its tasks.
	unreachable bool
	stopAt      time.Time
}

// simAttempt identifies an attempt of a task.
type simAttempt struct {
	id      model.TaskID
	attempt int
}

func (w *simWorker) bootID() string { return fmt.Sprintf("%s-%d", w.id, w.boot) }

// running returns the attempts that run, in a fixed order.
func (w *simWorker) running() []simAttempt {
	var out []simAttempt
	for a, t := range w.tasks {
		if !t.State.Final() {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b simAttempt) int {
		return cmp.Or(cmp.Compare(a.id.Key, b.id.Key), a.id.Index-b.id.Index, a.attempt-b.attempt)
	})
	return out
}

// inventory returns all attempts that the worker knows, in a fixed order.
func (w *simWorker) inventory() []model.RunningTask {
	var out []model.RunningTask
	for _, t := range w.tasks {
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b model.RunningTask) int {
		return cmp.Or(cmp.Compare(a.ID.Key, b.ID.Key), a.ID.Index-b.ID.Index, a.Attempt-b.Attempt)
	})
	return out
}

// stop executes a stop if it reaches the worker. Throttling has no effect.
func (s *sim) stop(w *simWorker, stop Stop) {
	if w.term != s.term || w.unreachable || stop.Mode == StopThrottle {
		return
	}
	if t := w.tasks[simAttempt{stop.ID, stop.Attempt}]; t != nil && !t.State.Final() {
		s.end(w, t, model.TaskStopped)
	}
}

// end ends a task in the given state and adds the worker's report.
func (s *sim) end(w *simWorker, t *model.RunningTask, state model.TaskState) {
	t.State, t.OK = state, state == model.TaskDone
	w.undelivered = append(w.undelivered, TaskReport{ID: t.ID, Attempt: t.Attempt, State: state, OK: t.OK})
}

// acceptStart handles a start on its worker. It reports whether the start was accepted.
func (s *sim) acceptStart(f inFlightStart) bool {
	w := f.worker
	if w.term != f.term || w.boot != f.boot || s.now.After(w.stopAt.Add(-simStopTimeout+leaseTTL)) {
		return false
	}
	attempt := simAttempt{f.start.ID, f.start.Attempt}
	if w.tasks[attempt] != nil {
		return true
	}
	s.recordStart(f.start.ID)
	w.tasks[attempt] = &model.RunningTask{
		ID: f.start.ID, Attempt: f.start.Attempt, Service: f.start.Service, Size: f.start.Size, State: model.TaskRunning,
	}
	w.undelivered = append(w.undelivered, TaskReport{ID: f.start.ID, Attempt: f.start.Attempt, State: model.TaskRunning})
	return true
}
