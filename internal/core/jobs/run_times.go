package jobs

import (
	"time"

	"catkinvalve/internal/core/runtimes"
)

// runTimeQuantile selects which share of the runs end within a time.
type runTimeQuantile uint8

const (
	// medianRunTime serves the comparison of a run with others of its kind.
	medianRunTime runTimeQuantile = iota
	// usualRunTime serves the objectives of jobs, the order of steps and plans. It is a little above the
	// median, because a step ends with the last of its tasks.
	usualRunTime
	// highRunTime serves decisions that lose work if a run takes longer: how long one may stand still.
	highRunTime
	// lowRunTime tells that a run has hardly any chance to have ended.
	lowRunTime
	runTimeQuantiles
)

// backfillRunTime decides whether a task ends before a gang needs its capacity. The start of the gang is
// itself planned with usual run times, and a higher quantile leaves capacity idle.
const backfillRunTime = usualRunTime

// quantileShares holds the shares of the runs that the quantiles stand for.
var quantileShares = [runTimeQuantiles]float64{medianRunTime: 0.5, usualRunTime: 0.6, highRunTime: 0.9, lowRunTime: 0.05}

// runTimeSource predicts how long tasks run.
type runTimeSource interface {
	observe(o *observedRun)
	// quantile returns a quantile of the run time of a task; 0 if it is not known.
	quantile(s *step, q runTimeQuantile) time.Duration
	// remaining returns the usual remaining time of a run that has taken the time elapsed.
	remaining(s *step, elapsed time.Duration) time.Duration
}

// observedRun is a run that has ended.
type observedRun struct {
	task *task
	took time.Duration
	// succeeded is set if the task succeeded in the run.
	succeeded bool
	// partial is set if the run continued from a checkpoint, or if its start was not seen.
	partial bool
}

// newRunTimeSource returns the source that the configuration selects.
func (c *Core) newRunTimeSource() runTimeSource {
	if !c.cfg.RunTimeModel {
		return newDurationEstimator()
	}
	c.learned = &learnedRunTimes{model: runtimes.New()}
	return c.learned
}

// runTime returns a quantile of the run time of a step's tasks; 0 if it is not known.
func (c *Core) runTime(s *step, q runTimeQuantile) time.Duration { return c.runTimes.quantile(s, q) }

// observeCompleted records the run time of a task that succeeded. It ignores runs
// that the worker reported as ended before their start was confirmed.
func (c *Core) observeCompleted(now time.Time, w *worker, r *run) {
	if r == nil || r.task == nil || r.confirmedAt.IsZero() {
		return
	}
	took := now.Sub(r.confirmedAt)
	if !r.task.step.def.Gang {
		c.observeSlowdown(w, r, took)
	}
	c.observe(&observedRun{task: r.task, took: c.usualTime(w, took), succeeded: true, partial: r.adopted || r.resumed})
}

// observeInterrupted records a run that ended before its task was done. The run has worked at least
// until its progress last changed; after that it may have stood still.
func (c *Core) observeInterrupted(r *run) {
	if r.task == nil || r.confirmedAt.IsZero() || r.percent == 0 || r.task.step.def.LongRunning {
		return
	}
	c.observe(&observedRun{task: r.task, took: c.usualTime(r.worker, r.progressAt.Sub(r.confirmedAt)), partial: r.adopted || r.resumed})
}

// maxRunTimeQueueBytes limits the names of the queues whose run times are learned. The store takes keys of up
// to 255 bytes, and a batch with a longer one is never stored.
const maxRunTimeQueueBytes = 200

// observe records a run, unless its queue is not configured any more or its name is too long.
func (c *Core) observe(o *observedRun) {
	if name := o.task.step.job().queue.Name; c.queues[name] != nil && len(name) <= maxRunTimeQueueBytes {
		c.runTimes.observe(o)
	}
}

const (
	// slowWorkerFactor is the slowdown, compared with that of other workers, from which run times
	// are scaled to those on a usual worker. The differences between single runs cause smaller ones.
	slowWorkerFactor = 2.0
	// usualSlowdownWeight is the weight of a worker's slowdown in the usual one.
	usualSlowdownWeight = 0.1
)

// usualTime returns how long a run that took a certain time on a worker takes on a usual one. If all
// workers have become slower, the run times have.
func (c *Core) usualTime(w *worker, took time.Duration) time.Duration {
	if !c.cfg.RunTimeModel {
		return took
	}
	factor := w.slowdownFactor() / max(c.usualSlowdown, 1)
	if factor < slowWorkerFactor {
		return took
	}
	return time.Duration(float64(took) / factor)
}

// learnedRunTimes predicts run times from those of earlier runs.
type learnedRunTimes struct {
	model *runtimes.Model
}

// maxObservedTasks limits the tasks of a step that are observed. Their run times are much alike, so
// that those of one wide step would otherwise replace those of many others.
const maxObservedTasks = 4

// observed reports whether the run times of a task are observed. The choice does not depend on when the
// task ends, and of a gang, whose tasks end together, it is one task.
func (t *task) observed() bool {
	if t.step.def.Gang {
		return t.index == 0
	}
	stride := (len(t.step.tasks) + maxObservedTasks - 1) / maxObservedTasks
	return int(t.index)%stride == 0
}

func (l *learnedRunTimes) observe(o *observedRun) {
	if o.task.observed() {
		l.model.Observe(*o.task.step.runTimeKey(), o.took, o.succeeded && !o.partial)
	}
}

// runTimeCache keeps predictions for a step while the model's version is the same.
type runTimeCache struct {
	key runtimes.Key
	// versions holds the version of the model with which each quantile was computed, plus 1.
	versions [runTimeQuantiles]uint64
	times    [runTimeQuantiles]time.Duration
}

// runTimeKey returns the key of the step's runs.
func (s *step) runTimeKey() *runtimes.Key {
	k := &s.predicted.key
	if k.Queue == "" {
		d := s.def
		*k = runtimes.Key{Queue: s.job().queue.Name, Tenant: s.job().spec.Tenant, Estimate: d.Estimate,
			Shape: runtimes.ShapeOf(d.Gang, d.Estimate > 0, d.Size.MilliCPU, d.Count, d.Image)}
	}
	return k
}

func (l *learnedRunTimes) quantile(s *step, q runTimeQuantile) time.Duration {
	p, key := &s.predicted, s.runTimeKey()
	if version := l.model.Version(key.Queue) + 1; p.versions[q] != version {
		p.versions[q], p.times[q] = version, l.model.Quantile(*key, quantileShares[q]).Time
	}
	return p.times[q]
}

// overdueShare is the share of its time so far for which a run is expected to go on if no other is
// known to have taken as long.
const overdueShare = 0.1

func (l *learnedRunTimes) remaining(s *step, elapsed time.Duration) time.Duration {
	// The usual time of all runs, which the step keeps, serves while nearly all go on. It takes a fraction
	// of the time, and the leader asks for each run beside a waiting gang.
	low, usual := l.quantile(s, lowRunTime), l.quantile(s, usualRunTime)
	if elapsed < low && low < usual {
		return usual - elapsed
	}
	key := s.runTimeKey()
	left := l.model.Remaining(*key, elapsed, quantileShares[usualRunTime])
	if left.Runs == 0 {
		return remainingOf(key.Estimate, elapsed)
	}
	return max(left.Time, time.Duration(overdueShare*float64(elapsed)))
}

// RunTimeStatus says what is known of the run times of a queue.
type RunTimeStatus struct {
	Queue string
	// Median and High are quantiles for tasks with a usual estimate.
	Median, High time.Duration
	// Runs is the effective number of runs from which they follow.
	Runs float64
}

// RunTimes returns what is known of the run times of each queue.
func (c *Core) RunTimes() []RunTimeStatus {
	if c.learned == nil {
		return nil
	}
	var out []RunTimeStatus
	for _, name := range c.learned.model.Queues() {
		median, high := c.learned.model.Usual(name, quantileShares[highRunTime])
		out = append(out, RunTimeStatus{Queue: name, Median: median.Time, High: high.Time, Runs: median.Runs})
	}
	return out
}
