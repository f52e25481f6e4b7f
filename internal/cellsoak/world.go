package cellsoak

import (
	"fmt"
	"sync"
	"time"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
)

// maxAttempts is how often a task may fail before its job has failed.
const maxAttempts = 3

// world is what callers and workers have seen, and the promises that it breaks.
type world struct {
	mu         sync.Mutex
	begin      time.Time
	jobs       map[string]*seenJob
	tasks      map[jobs.TaskRef]*seenTask
	violations []string
	starts     int
}

// seenJob is a job as its caller knows it.
type seenJob struct {
	spec *jobs.Spec
	// accepted, refused and unclear tell how the submissions were answered.
	accepted, unclear bool
	refused           int
	// pending counts the submissions that have no answer yet.
	pending   int
	cancelled bool
	final     jobs.View
	started   bool
}

// seenTask is a task as the workers know it.
type seenTask struct {
	running  map[*worker]int64
	done     bool
	noted    bool
	restarts int
	// excused is set when the worker's lease or life ended before the end was noted:
	// the cell may start the task again.
	excused bool
	failed  int
}

func newWorld() *world {
	return &world{begin: time.Now(), jobs: map[string]*seenJob{}, tasks: map[jobs.TaskRef]*seenTask{}}
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%7.3f s  ", time.Since(w.begin).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) task(ref jobs.TaskRef) *seenTask {
	t := w.tasks[ref]
	if t == nil {
		t = &seenTask{running: map[*worker]int64{}}
		w.tasks[ref] = t
	}
	return t
}

// step returns the step of a task; nil when no caller submitted it.
func (w *world) step(ref jobs.TaskRef) *jobs.Step {
	j := w.jobs[ref.Job]
	if j == nil || int(ref.Step) >= len(j.spec.Steps) {
		return nil
	}
	return &j.spec.Steps[ref.Step]
}

// started checks a start on a worker that has room used before it.
func (w *world) started(on *worker, o *jobs.StartRequest, used model.Size) {
	w.starts++
	step := w.step(o.Task)
	if step == nil {
		w.violate("UNASKED: %s starts %s, which no caller submitted", on.id, o.Task)
		return
	}
	j := w.jobs[o.Task.Job]
	j.started = true
	if j.spec.Payload != o.Payload {
		w.violate("UNASKED: %s starts %s with another payload", on.id, o.Task)
	}
	w.checkRefused(j)
	if !step.Size.Fits(on.capacity.Sub(used)) {
		w.violate("LIMIT: %s starts %s over its capacity", on.id, o.Task)
	}
	t := w.task(o.Task)
	for other, run := range t.running {
		w.violate("TWICE: %s starts run %d of %s, whose run %d is on %s", on.id, o.Run, o.Task, run, other.id)
	}
	if t.done && t.noted {
		w.violate("TWICE: %s starts run %d of %s, which is done", on.id, o.Run, o.Task)
	}
	if t.done {
		t.restarts++
	}
	if t.failed >= maxAttempts {
		w.violate("BUDGET: %s starts run %d of %s, which failed %d times", on.id, o.Run, o.Task, t.failed)
	}
	for _, before := range step.After {
		if !w.stepDone(o.Task, before) {
			w.violate("ORDER: %s starts %s before step %d is done", on.id, o.Task, before)
		}
	}
	t.running[on] = o.Run
}

// checkRefused checks that a job runs only if a submission was not refused.
func (w *world) checkRefused(j *seenJob) {
	if j.started && j.refused > 0 && j.pending == 0 && !j.accepted && !j.unclear {
		w.violate("REFUSED: job %s runs, each of its submissions was refused", j.spec.ID)
	}
}

// stepDone reports whether all tasks of a step have ended as done. One end
// represents a gang.
func (w *world) stepDone(ref jobs.TaskRef, index int) bool {
	step := &w.jobs[ref.Job].spec.Steps[index]
	done := 0
	for i := range step.Count {
		if t := w.tasks[jobs.TaskRef{Job: ref.Job, Occurrence: ref.Occurrence, Step: int32(index), Index: int32(i)}]; t != nil && t.done {
			done++
		}
	}
	return done == step.Count || step.Gang && done > 0
}

// ended records that a run is over on a worker.
func (w *world) ended(on *worker, ref jobs.TaskRef, how jobs.EndKind) {
	t := w.task(ref)
	delete(t.running, on)
	if how == jobs.EndDone {
		t.done = true
	}
}

// noted records that the cell has taken note of an end.
func (w *world) noted(e *jobs.RunEnd) {
	t := w.task(e.Task)
	switch e.Kind {
	case jobs.EndDone:
		t.done, t.noted = true, true
		if t.restarts > 0 && !t.excused {
			w.violate("TWICE: %s was started again after an end that is taken note of", e.Task)
		}
	case jobs.EndFailed:
		t.failed++
	}
}

// lost records that a worker's lease or life ended before the cell took note of
// an end.
func (w *world) lost(e *jobs.RunEnd) { w.task(e.Task).excused = true }

// told checks a job's state as a caller was told.
func (w *world) told(j *seenJob, v jobs.View) {
	if j.final != "" && v != j.final {
		w.violate("LOST: job %s was %s and is %s", j.spec.ID, j.final, v)
	}
	switch v {
	case jobs.ViewCompleted:
		for i := range j.spec.Steps {
			if !w.stepDone(jobs.TaskRef{Job: j.spec.ID}, i) {
				w.violate("MIXED: job %s is shown as completed, step %d is not", j.spec.ID, i)
			}
		}
	case jobs.ViewCancelled:
		if !j.cancelled {
			w.violate("LOST: job %s is shown as cancelled, nobody cancelled it", j.spec.ID)
		}
	case jobs.ViewFailed:
		if !w.exhausted(j) {
			w.violate("LOST: job %s is shown as failed, no task failed %d times", j.spec.ID, maxAttempts)
		}
	default:
		return
	}
	j.final = v
}

// exhausted reports whether a task of the job, or a gang, failed as often as it
// may.
func (w *world) exhausted(j *seenJob) bool {
	for s := range j.spec.Steps {
		sum := 0
		for i := range j.spec.Steps[s].Count {
			t := w.tasks[jobs.TaskRef{Job: j.spec.ID, Step: int32(s), Index: int32(i)}]
			if t == nil {
				continue
			}
			if t.failed >= maxAttempts {
				return true
			}
			sum += t.failed
		}
		if j.spec.Steps[s].Gang && sum >= maxAttempts {
			return true
		}
	}
	return false
}
