package jobs

import (
	"math"
	"time"
)

const (
	// durationWeight is the share of a new sample in the running means.
	durationWeight = 0.01
	// trustedDurations is how many samples replace a queue's estimates.
	trustedDurations = 5
	// trustedFit is how many samples the fit to the estimates needs.
	trustedFit = 60
	// minVariance is the variance of the estimates, in squared logarithms, below
	// which they tell nothing.
	minVariance = 0.01
)

// durations learns how long the tasks of each queue take, and how much their
// estimates tell about it.
type durations struct {
	byQueue map[string]*duration
}

// duration is a running linear fit of the logarithm of a task's time to that of
// its estimate. Estimates are often wrong by a factor, so the fit lies between
// the queue's usual time and the estimate.
type duration struct {
	mean    time.Duration
	samples int
	// Running means of the logarithms of estimate and time in seconds, of their
	// product and of the estimate's square.
	estimate, time, product, square float64
}

func newDurations() durations { return durations{byQueue: map[string]*duration{}} }

// observe adds the time that a finished task took.
func (d *durations) observe(queue string, s *Step, took time.Duration) {
	q := d.byQueue[queue]
	if q == nil {
		q = &duration{}
		d.byQueue[queue] = q
	}
	q.samples++
	weight := max(durationWeight, 1/float64(q.samples))
	q.mean += time.Duration(weight * float64(took-q.mean))
	if s.Estimate <= 0 || took <= 0 {
		return
	}
	x, y := math.Log(s.Estimate.Seconds()), math.Log(took.Seconds())
	q.estimate += weight * (x - q.estimate)
	q.time += weight * (y - q.time)
	q.product += weight * (x*y - q.product)
	q.square += weight * (x*x - q.square)
}

// expected returns how long the tasks of a step will take.
func (d *durations) expected(queue string, s *Step) time.Duration {
	q := d.byQueue[queue]
	switch {
	case q == nil || q.samples < trustedDurations:
		return s.Estimate
	case q.samples < trustedFit || s.Estimate <= 0:
		return q.mean
	}
	variance := q.square - q.estimate*q.estimate
	slope := 0.0
	if variance > minVariance {
		slope = min(max((q.product-q.estimate*q.time)/variance, 0), 1)
	}
	x := math.Log(s.Estimate.Seconds()) - q.estimate
	return time.Duration(math.Exp(q.time+slope*x) * float64(time.Second))
}

func (c *Core) observeDone(now time.Time, w *worker, r *run) {
	if r == nil || r.task == nil || r.confirmed.IsZero() {
		return
	}
	took := now.Sub(r.confirmed)
	if !r.task.step.def.Gang {
		c.observePace(w, r, took)
	}
	c.speeds.observe(r.task.step.job().queue.Name, r.task.step.def, took)
}

const (
	// paceProgress is the percentage at which a run's pace is observed, once.
	paceProgress = 12
	// paceWeight is the share of a new sample in a worker's slowness.
	paceWeight = 0.2
	// maxPace bounds one sample.
	maxPace = 6.0
	// stallAfter is the time without any progress after which a worker counts as
	// stalled.
	stallAfter = 1300 * time.Millisecond
	// stallTime is how long a stalled worker is set aside.
	stallTime = 3 * time.Second
	// nearlyDone is the percentage from which a gang's member may be waiting for
	// the others.
	nearlyDone = 95
)

// progressed takes a run's listed progress.
func (c *Core) progressed(now time.Time, w *worker, r *run, percent int) {
	if percent != r.percent {
		r.movedAt = now
		w.moved = now
	}
	r.percent, r.percentAt = percent, now
	if percent >= paceProgress && r.task != nil {
		c.observePace(w, r, now.Sub(r.confirmed)*100/time.Duration(percent))
	}
}

// observePace takes a run's whole time, measured or projected, as a sample of
// its worker's slowness.
func (c *Core) observePace(w *worker, r *run, total time.Duration) {
	if r.sampled {
		return
	}
	r.sampled = true
	usual := c.speeds.expected(r.task.step.job().queue.Name, r.task.step.def)
	if usual <= 0 {
		return
	}
	sample := min(float64(total)/float64(usual), maxPace)
	if w.slowness == 0 {
		w.slowness = 1
	}
	w.slowness += paceWeight * (sample - w.slowness)
}

// pace returns the worker's slowness, 1 when it is not known.
func (w *worker) pace() float64 {
	if w.slowness == 0 {
		return 1
	}
	return w.slowness
}

// checkStall sets a worker aside on which nothing moves although it answers,
// and has its runs stopped, so that they start elsewhere.
func (c *Core) checkStall(now time.Time, w *worker) {
	if now.Before(w.stalled) || now.Sub(w.moved) < stallAfter || now.Sub(w.contact) > stallAfter {
		return
	}
	stuck := 0
	for _, r := range w.runs {
		if r.state != runActive || r.task == nil || r.stop.wanted || r.task.step.def.LongRunning || r.fills() || r.percentAt.Sub(r.movedAt) < stallAfter {
			continue
		}
		// A member of a gang waits at the begin and at the end for the others.
		if r.task.step.def.Gang && (!r.task.step.complete() || r.percent >= nearlyDone) {
			continue
		}
		stuck++
	}
	if stuck == 0 {
		return
	}
	w.stalled = now.Add(stallTime)
	c.poolStale = true
	c.event(Event{Name: EventWorkerState, Worker: w.ID, Detail: WorkerStalled.String(), Count: stuck, Age: now.Sub(w.moved)})
	for _, r := range w.runs {
		if r.task != nil && !r.task.step.def.LongRunning {
			c.wantStop(now, r)
		}
	}
}

// complete reports whether all members of a gang have been present for a while.
func (s *step) complete() bool {
	for i := range s.tasks {
		if r := s.tasks[i].run; r == nil || r.state != runActive {
			return false
		}
	}
	return true
}

// objective returns until when a job should be completed.
func (c *Core) objective(o *occurrence) time.Time {
	j := o.job
	from := j.accepted
	if !o.due.IsZero() && o.due.After(from) {
		from = o.due
	}
	return from.Add(time.Duration(j.queue.Slack*float64(c.longestChain(o))) + j.queue.Target)
}

// longestChain returns the expected length of an occurrence's longest chain.
func (c *Core) longestChain(o *occurrence) time.Duration {
	longest := time.Duration(0)
	for i := range o.steps {
		longest = max(longest, o.chain(i, c.stepDuration))
	}
	return longest
}

func (c *Core) stepDuration(s *step) time.Duration {
	d := c.speeds.expected(s.job().queue.Name, s.def)
	if terms := s.job().queue.Advice; terms != nil {
		d += terms.DecisionTime + objectiveWorkers*terms.TimePerWorker
	}
	return d
}

// objectiveWorkers is the number of workers for whose advice a job's objective
// makes room.
const objectiveWorkers = 30

// latestStart returns when a step has to start for its job to meet its
// objective.
func (c *Core) latestStart(s *step) time.Time {
	return c.objective(s.occ).Add(-s.occ.chain(int(s.index), c.stepDuration))
}
