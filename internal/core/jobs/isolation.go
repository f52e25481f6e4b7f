package jobs

import (
	"cmp"
	"slices"
	"time"
)

// isolationTime is how long after the start of a suspect no other job starts tasks on its worker. It
// is longer than startCrashWindow, because the start takes time to arrive.
const isolationTime = startCrashWindow + 100*time.Millisecond

// isolation keeps the starts of other jobs away from a worker. If the worker crashes meanwhile,
// the crash is known to be caused by the one job.
type isolation struct {
	job   *job
	until time.Time
	// run extends the isolation until it has ended; nil if none does.
	run *run
}

// blocks reports whether a job may not start tasks on the isolated worker.
func (i *isolation) blocks(now time.Time, j *job) bool {
	return i.job != nil && i.job != j && (now.Before(i.until) || i.run != nil && !i.run.gone)
}

// isolate keeps the starts of other jobs away from a worker for a while.
func (w *worker) isolate(now time.Time, j *job) {
	if w.isolation.job != j {
		w.isolation = isolation{job: j}
	}
	w.isolation.until = now.Add(isolationTime)
}

// quiet reports whether no run of another job on the worker has started recently.
func (w *worker) quiet(now time.Time, j *job) bool {
	for _, r := range w.runs {
		if r.ref.Job != j.spec.ID && (r.state != runActive || now.Sub(r.confirmedAt) < startCrashWindow) {
			return false
		}
	}
	return true
}

// isolatedWorker returns the worker on which a suspect task starts apart from other jobs. It prefers a
// worker that the job has to itself already, then the one with the least work to lose. If the
// best option has started something else recently, it is kept for the job and nil is returned. options must
// not be empty.
func isolatedWorker(now time.Time, j *job, options []*worker) *worker {
	best := slices.MinFunc(options, func(a, b *worker) int {
		return cmp.Or(compareBool(!a.quiet(now, j), !b.quiet(now, j)), compareBool(a.isolation.job != j, b.isolation.job != j),
			cmp.Compare(a.usedShare(), b.usedShare()))
	})
	best.isolate(now, j)
	if !best.quiet(now, j) {
		return nil
	}
	return best
}

// usedShare returns the used share of the worker's scarcest resource.
func (w *worker) usedShare() float64 {
	return w.resources.used.DominantShare(w.resources.capacity)
}

// withCapacity returns the options on which a task of the step still fits. It changes the slice.
func (c *Core) withCapacity(now time.Time, s *step, options []*worker) []*worker {
	return slices.DeleteFunc(options, func(w *worker) bool {
		return c.availableCopies(now, s, w) == 0 || w.remainingPerWorker(s) <= 0
	})
}

// isolateSuspects assigns workers to the members of a gang such that suspect ones start on workers that
// have started nothing else recently. If there are not enough of these yet, the missing ones are
// kept for the job and nil is returned.
func (s *step) isolateSuspects(now time.Time, chosen []*worker) []*worker {
	suspects := s.suspects()
	if len(suspects) == 0 {
		return chosen
	}
	slices.SortStableFunc(chosen, func(a, b *worker) int {
		return compareBool(!a.quiet(now, s.job()), !b.quiet(now, s.job()))
	})
	quiet := true
	out := make([]*worker, len(chosen))
	for i, index := range suspects {
		chosen[i].isolate(now, s.job())
		quiet = quiet && chosen[i].quiet(now, s.job())
		out[index] = chosen[i]
	}
	if !quiet {
		return nil
	}
	rest := chosen[len(suspects):]
	for i := range out {
		if out[i] == nil {
			out[i], rest = rest[0], rest[1:]
		}
	}
	return out
}

// suspects returns the indexes of the pending tasks that may crash their workers.
func (s *step) suspects() []int32 {
	var out []int32
	for i := range s.tasks {
		if s.tasks[i].state == taskPending && s.tasks[i].crashes.suspect() {
			out = append(out, int32(i))
		}
	}
	return out
}
