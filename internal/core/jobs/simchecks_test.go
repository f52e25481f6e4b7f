package jobs

import "time"

// checkStart checks the invariants of a start: capacity, single execution,
// attempts, refusals, cancellations, permissions, order of steps and the limit
// per worker.
func (w *simWorker) checkStart(req StartRequest, t *simTask) {
	s := w.s
	def := t.job.spec.Steps[t.step]
	used := def.Size
	for _, r := range w.runs {
		used = used.Add(r.size)
	}
	if !used.Fits(w.capacity) {
		s.recordViolation("LIMIT", "%v on %s: %v of %v", req.Task, w.id, used, w.capacity)
	}
	if t.running > 0 {
		s.recordViolation("TWICE", "%v runs elsewhere", req.Task)
	}
	if t.done && t.acked {
		s.recordViolation("TWICE", "%v is done", req.Task)
	}
	t.lastStartAt = s.now
	if t.crashes >= 3 {
		if t.startsAfterCrashes++; t.startsAfterCrashes == 3 {
			s.recordViolation("BUDGET", "%v started three times more after it had crashed three workers", req.Task)
		}
	}
	if t.overBudget() {
		s.recordViolation("BUDGET", "%v has failed %d times", req.Task, t.failed)
	}
	if t.job.refused {
		s.recordViolation("REFUSED", "%v", req.Task)
	}
	if !t.job.cancelAckedAt.IsZero() && s.now.Sub(t.job.cancelAckedAt) > 3*time.Second && s.now.After(s.faults.lateUntil) {
		s.recordViolation("UNASKED", "%v starts after its cancellation", req.Task)
	}
	if !simAllowed(StepRef{Job: req.Task.Job, Step: req.Task.Step}, w.id, t.job.class.allowedShare) && t.job.class.queue.Advice != nil {
		s.recordViolation("ROUTE", "%v is not allowed on %s", req.Task, w.id)
	}
	for _, dep := range def.After {
		for ref, other := range t.job.tasks {
			if int(ref.Step) == dep && !other.done {
				s.recordViolation("ORDER", "%v before %v", req.Task, ref)
				return
			}
		}
	}
	tasksOfStep := 1
	for ref := range w.runs {
		if ref.Job == req.Task.Job && ref.Step == req.Task.Step {
			tasksOfStep++
		}
	}
	if def.MaxPerWorker > 0 && tasksOfStep > def.MaxPerWorker {
		s.recordViolation("ROUTE", "%d tasks of %v on %s", tasksOfStep, req.Task, w.id)
	}
}
