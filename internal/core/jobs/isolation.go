package jobs

import (
	"cmp"
	"slices"
	"time"
)

const (
	// isolationTime is how long after the start of a suspect no other job starts tasks on
	// its worker. It is longer than startCrashWindow, because the start takes time to
	// arrive.
	isolationTime = startCrashWindow + 100*time.Millisecond
	// lastIsolationTime is the same for a task that is given up after the next crash.
	lastIsolationTime = 2 * time.Second
	// maxIsolationWait is how long a suspect waits for a start apart from other jobs.
	maxIsolationWait = 1500 * time.Millisecond
	// maxContactWait is how long an isolated worker is waited for at the end of the
	// isolation.
	maxContactWait = 1500 * time.Millisecond
	// unclearRunWindow is how long a start without an answer may still be carried out,
	// usually.
	unclearRunWindow = 2 * time.Second
	// maxIsolatedDivisor limits the workers of a pool that are isolated at a time: one of
	// this many, at least one.
	maxIsolatedDivisor = 2
)

// isolation keeps the starts of other jobs away from a worker. If the worker crashes meanwhile,
// the crash is known to be caused by the one job.
type isolation struct {
	job   *job
	until time.Time
}

// isolatedFrom reports whether a job may not start tasks on the worker. The isolation lasts until the
// worker has been heard after its end, so that a crash during it is noticed before others start.
func (w *worker) isolatedFrom(now time.Time, j *job) bool {
	i := &w.isolation
	if i.job == nil || i.job == j {
		return false
	}
	return now.Before(i.until) || w.lastContact.Before(i.until) && now.Before(i.until.Add(maxContactWait))
}

// isolate keeps the starts of other jobs away from a worker for a while.
func (w *worker) isolate(now time.Time, j *job, length time.Duration) {
	until := now.Add(length)
	if w.isolation.job == j {
		until = later(until, w.isolation.until)
	}
	w.isolation = isolation{job: j, until: until}
}

// quiet reports whether no run of another job on the worker has started recently.
func (w *worker) quiet(now time.Time, j *job) bool {
	for _, r := range w.runs {
		if r.ref.Job == j.spec.ID {
			continue
		}
		if r.state == runActive && now.Sub(r.confirmedAt) < startCrashWindow || r.state != runActive && now.Sub(r.sentAt) < unclearRunWindow {
			return false
		}
	}
	return true
}

// isolatedWorker returns the worker on which a suspect task starts apart from other jobs. It prefers a
// worker that the job has to itself already, then the rack of its data, then the one with the least work to
// lose. If the best option has started something else recently, it is kept for the job and nil is returned; also
// if too many workers are isolated. options must not be empty.
func (c *Core) isolatedWorker(now time.Time, s *step, options []*worker) *worker {
	j := s.job()
	best := slices.MinFunc(options, func(a, b *worker) int {
		return cmp.Or(compareBool(!a.quiet(now, j), !b.quiet(now, j)), compareBool(a.isolation.job != j, b.isolation.job != j),
			compareBool(s.remote(a), s.remote(b)), cmp.Compare(a.usedShare(), b.usedShare()))
	})
	if best.isolation.job != j && !c.mayIsolate(now, s) {
		return nil
	}
	best.isolate(now, j, isolationTime)
	if !best.quiet(now, j) {
		return nil
	}
	return best
}

// mayIsolate reports whether another worker of the step's pool may be isolated: the others stay
// available to jobs without suspects.
func (c *Core) mayIsolate(now time.Time, s *step) bool {
	workers := c.pool(s).workers
	isolated := 0
	for _, w := range workers {
		if now.Before(w.isolation.until) {
			isolated++
		}
	}
	return isolated < max(1, len(workers)/maxIsolatedDivisor)
}

// remote reports whether the worker is not in the rack of the step's data.
func (s *step) remote(w *worker) bool { return s.def.DataRack != "" && !w.hasLabel(s.def.DataRack) }

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
	suspects := s.suspects(now)
	if len(suspects) == 0 {
		return chosen
	}
	slices.SortStableFunc(chosen, func(a, b *worker) int {
		return compareBool(!a.quiet(now, s.job()), !b.quiet(now, s.job()))
	})
	quiet := true
	out := make([]*worker, len(chosen))
	for i, index := range suspects {
		chosen[i].isolate(now, s.job(), isolationTime)
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

// suspects returns the indexes of the pending tasks that may crash their workers and have to start apart
// from other jobs.
func (s *step) suspects(now time.Time) []int32 {
	var out []int32
	for i := range s.tasks {
		if t := &s.tasks[i]; t.state == taskPending && t.crashes().suspect() && !t.crashes().overdue(now) {
			out = append(out, int32(i))
		}
	}
	return out
}
