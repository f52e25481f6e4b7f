package jobs

import (
	"math"
	"time"
)

const (
	// minSampleWeight is the weight of a new sample in the running means once
	// there are many samples; before that all samples have equal weight.
	minSampleWeight = 0.01
	// minSamples is the number of samples from which the measured mean replaces
	// the estimates of a queue's tasks.
	minSamples = 5
	// minFitSamples is the number of samples that the linear fit needs.
	minFitSamples = 60
	// minVariance is the variance of the estimates, in squared logarithms,
	// below which they are not informative.
	minVariance = 0.01
)

// durationEstimator learns, for each queue, how long its tasks run and how well
// their estimates predict that.
type durationEstimator struct {
	fits map[string]*durationFit
}

// durationFit is a running linear fit of the logarithm of the run time to the
// logarithm of the estimate. Estimates are often wrong by a factor, so the
// prediction lies between the queue's mean run time and the estimate.
type durationFit struct {
	mean    time.Duration
	samples int
	// Running means of the logarithms of estimate and run time in seconds, of
	// their product and of the square of the estimate's logarithm.
	meanLogEstimate, meanLogTime, meanProduct, meanSquare float64
}

func newDurationEstimator() *durationEstimator {
	return &durationEstimator{fits: map[string]*durationFit{}}
}

// observe adds the run time of a task that succeeded.
func (d *durationEstimator) observe(o *observedRun) {
	if !o.succeeded {
		return
	}
	s, took := o.task.step.def, o.took
	queue := o.task.step.job().queue.Name
	fit := d.fits[queue]
	if fit == nil {
		fit = &durationFit{}
		d.fits[queue] = fit
	}
	fit.samples++
	weight := max(minSampleWeight, 1/float64(fit.samples))
	fit.mean += time.Duration(weight * float64(took-fit.mean))
	if s.Estimate <= 0 || took <= 0 {
		return
	}
	x, y := math.Log(s.Estimate.Seconds()), math.Log(took.Seconds())
	fit.meanLogEstimate += weight * (x - fit.meanLogEstimate)
	fit.meanLogTime += weight * (y - fit.meanLogTime)
	fit.meanProduct += weight * (x*y - fit.meanProduct)
	fit.meanSquare += weight * (x*x - fit.meanSquare)
}

// quantile returns the expected run time of the tasks of a step for every quantile; 0 when it is
// not known.
func (d *durationEstimator) quantile(s *step, _ runTimeQuantile) time.Duration {
	return d.expected(s.job().queue.Name, s.def)
}

func (d *durationEstimator) remaining(s *step, elapsed time.Duration) time.Duration {
	return remainingOf(d.expected(s.job().queue.Name, s.def), elapsed)
}

// remainingOf returns how long a run with an expected duration goes on. One that has exceeded it
// may still take a part of it.
func remainingOf(expected, elapsed time.Duration) time.Duration {
	return max(expected-elapsed, expected/3)
}

// expected returns the expected run time of the tasks of a step; 0 when it is
// not known.
func (d *durationEstimator) expected(queue string, s *Step) time.Duration {
	fit := d.fits[queue]
	switch {
	case fit == nil || fit.samples < minSamples:
		return s.Estimate
	case fit.samples < minFitSamples || s.Estimate <= 0:
		return fit.mean
	}
	variance := fit.meanSquare - fit.meanLogEstimate*fit.meanLogEstimate
	slope := 0.0
	if variance > minVariance {
		slope = min(max((fit.meanProduct-fit.meanLogEstimate*fit.meanLogTime)/variance, 0), 1)
	}
	x := math.Log(s.Estimate.Seconds()) - fit.meanLogEstimate
	return time.Duration(math.Exp(fit.meanLogTime+slope*x) * float64(time.Second))
}

const (
	// slowdownSamplePercent is the progress at which a run's slowdown is
	// sampled, once.
	slowdownSamplePercent = 12
	// slowdownSampleWeight is the weight of a new sample in a worker's
	// slowdown.
	slowdownSampleWeight = 0.2
	// maxSlowdownSample limits one sample.
	maxSlowdownSample = 6.0
	// stallTimeout is the time without any progress after which a worker counts
	// as stalled.
	stallTimeout = 1300 * time.Millisecond
	// stallPercents is the progress, in percent, that a run makes within its stall timeout if
	// that is longer than stallTimeout. Progress is reported as a whole number.
	stallPercents = 3
	// unknownStallTimeout is the stall timeout of a run of unknown duration that has made no
	// progress yet.
	unknownStallTimeout = 10 * time.Second
	// stallBackoff is how long a stalled worker gets no tasks.
	stallBackoff = 3 * time.Second
	// gangWaitPercent is the progress from which a gang's member may be waiting
	// for the other members.
	gangWaitPercent = 95
)

// updateProgress processes a run's reported progress, in percent.
func (c *Core) updateProgress(now time.Time, w *worker, r *run, percent int) {
	if percent != r.percent {
		r.progressAt = now
		w.lastProgress = now
	}
	r.percent, r.reportedAt = percent, now
	if percent >= slowdownSamplePercent && r.task != nil {
		c.observeSlowdown(w, r, now.Sub(r.confirmedAt)*100/time.Duration(percent))
	}
}

// observeSlowdown takes a run's total time, measured or extrapolated, as a
// sample of its worker's slowdown.
func (c *Core) observeSlowdown(w *worker, r *run, total time.Duration) {
	if r.slowdownSampled {
		return
	}
	r.slowdownSampled = true
	usual := c.runTime(r.task.step, medianRunTime)
	if usual <= 0 {
		return
	}
	sample := min(float64(total)/float64(usual), maxSlowdownSample)
	if w.slowdown == 0 {
		w.slowdown = 1
	}
	w.slowdown += slowdownSampleWeight * (sample - w.slowdown)
	c.usualSlowdown += usualSlowdownWeight * (w.slowdown - c.usualSlowdown)
}

// slowdownFactor returns the worker's slowdown, 1 when it is not known.
func (w *worker) slowdownFactor() float64 {
	if w.slowdown == 0 {
		return 1
	}
	return w.slowdown
}

// checkStalled detects a worker that answers while none of its runs makes
// progress. It stops those runs, so that they start elsewhere, and gives the
// worker no tasks for a while.
func (c *Core) checkStalled(now time.Time, w *worker) {
	if now.Before(w.stalledUntil) || now.Sub(w.lastProgress) < stallTimeout || now.Sub(w.lastContact) > stallTimeout {
		return
	}
	stuck := 0
	for _, r := range w.runs {
		if r.state != runActive || r.task == nil || r.stop.wanted || r.task.step.def.LongRunning || r.isFiller() || r.reportedAt.Sub(r.progressAt) < c.stallTimeoutOf(r) {
			continue
		}
		// A member of a gang waits for the others at its start and at its end.
		if r.task.step.def.Gang && (!r.task.step.allActive() || r.percent >= gangWaitPercent) {
			continue
		}
		stuck++
	}
	if stuck == 0 {
		return
	}
	w.stalledUntil = now.Add(stallBackoff)
	c.poolsStale = true
	c.event(Event{Name: EventWorkerState, Worker: w.ID, Detail: WorkerStalled.String(), Count: stuck, Age: now.Sub(w.lastProgress)})
	for _, r := range w.runs {
		if r.task != nil && !r.task.step.def.LongRunning {
			c.requestStop(now, r)
		}
	}
}

// stallTimeoutOf returns the time without progress after which a run counts as stuck. The progress of a
// task that works for minutes stands still for seconds, because it is a whole number.
func (c *Core) stallTimeoutOf(r *run) time.Duration {
	total := c.runTime(r.task.step, highRunTime)
	if r.percent > 0 {
		total = max(total, r.progressAt.Sub(r.confirmedAt)*100/time.Duration(r.percent))
	}
	if total <= 0 {
		return unknownStallTimeout
	}
	return max(stallTimeout, total*stallPercents/100)
}

// allActive reports whether all members of a gang are running.
func (s *step) allActive() bool {
	for i := range s.tasks {
		if r := s.tasks[i].run; r == nil || r.state != runActive {
			return false
		}
	}
	return true
}

// objective returns the time by which an occurrence should be completed.
func (c *Core) objective(o *occurrence) time.Time {
	j := o.job
	from := j.acceptedAt
	if !o.due.IsZero() && o.due.After(from) {
		from = o.due
	}
	return from.Add(time.Duration(j.queue.Slack*float64(c.criticalPath(o))) + j.queue.Target)
}

// criticalPath returns the expected duration of an occurrence's longest chain
// of dependent steps.
func (c *Core) criticalPath(o *occurrence) time.Duration {
	longest := time.Duration(0)
	for _, chain := range o.chains(c.stepDuration) {
		longest = max(longest, chain)
	}
	return longest
}

// stepDuration returns the expected duration of a step, with its advice call.
func (c *Core) stepDuration(s *step) time.Duration {
	d := c.runTime(s, usualRunTime)
	if adviceCfg := s.job().queue.Advice; adviceCfg != nil {
		d += adviceCfg.DecisionTime + objectiveWorkers*adviceCfg.TimePerWorker
	}
	return d
}

// objectiveWorkers is the number of workers per advice call that a job's
// objective allows time for.
const objectiveWorkers = 30

// latestStart returns the time by which a step has to start for its job to meet
// its objective.
func (c *Core) latestStart(s *step) time.Time {
	return c.objective(s.occ).Add(-s.occ.chains(c.stepDuration)[s.index])
}
