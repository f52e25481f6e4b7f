package jobs

import (
	"time"
)

const (
	// durationWeight is the share of a new sample in the running mean.
	durationWeight = 0.1
	// trustedDurations is how many samples replace a queue's estimates.
	trustedDurations = 5
)

// durations learns how long tasks take in relation to their estimates.
type durations struct {
	byQueue map[string]*duration
}

type duration struct {
	mean    time.Duration
	samples int
}

func newDurations() durations { return durations{byQueue: map[string]*duration{}} }

// observe adds the time that a finished task took.
func (d *durations) observe(queue string, took time.Duration) {
	q := d.byQueue[queue]
	if q == nil {
		q = &duration{mean: took}
		d.byQueue[queue] = q
	}
	q.samples++
	q.mean += time.Duration(durationWeight * float64(took-q.mean))
}

// expected returns how long the tasks of a step will take.
func (d *durations) expected(queue string, s *Step) time.Duration {
	q := d.byQueue[queue]
	if q == nil || q.samples < trustedDurations {
		return s.Estimate
	}
	return q.mean
}

func (c *Core) observeDone(now time.Time, w *worker, r *run) {
	if r == nil || r.task == nil || r.confirmed.IsZero() {
		return
	}
	c.speeds.observe(r.task.step.job().queue.Name, now.Sub(r.sent))
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
		d += terms.Decision + objectiveWorkers*terms.PerWorker
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
