package jobs

import (
	"slices"
	"time"
)

// createOccurrences creates the occurrences of a stored job that are due or
// will be soon.
func (c *Core) createOccurrences(wall time.Time, j *job) {
	if j.outcome != OutcomeUnfinished {
		return
	}
	for j.created < j.spec.OccurrenceCount() {
		k := int32(j.created)
		due := j.due(k)
		if due.After(wall) {
			break
		}
		j.created++
		if !j.finished[k] && j.occurrences[k] == nil {
			j.newOccurrence(k, due)
		}
	}
	if j.created < j.spec.OccurrenceCount() && !slices.Contains(c.timed, j) {
		c.timed = append(c.timed, j)
	}
}

// createDue creates occurrences whose time has come.
func (c *Core) createDue(wall time.Time) {
	waiting := c.timed
	c.timed = nil
	for _, j := range waiting {
		c.createOccurrences(wall, j)
		c.refreshReady(j)
	}
}

// refreshReady queues the steps of a job that may start tasks.
func (c *Core) refreshReady(j *job) {
	if j.outcome != OutcomeUnfinished || !j.stored {
		return
	}
	for _, o := range j.sortedOccurrences() {
		for _, s := range o.steps {
			c.queueStep(s)
		}
	}
}

// queueStep adds a step to the ready list if it may start tasks.
func (c *Core) queueStep(s *step) {
	if s.queued || s.waits > 0 || s.pending == 0 || !s.live() || !s.job().stored {
		return
	}
	s.queued = true
	s.latest = c.latestStart(s)
	c.nextStep++
	s.order = c.nextStep
	at, _ := slices.BinarySearchFunc(c.ready, s, compareSteps)
	c.ready = slices.Insert(c.ready, at, s)
	c.changed = true
}

// taskDone records that a task ended as done. All tasks of a gang end together.
func (c *Core) taskDone(now time.Time, t *task) {
	s := t.step
	if t.state == taskDone || s.job().outcome != OutcomeUnfinished {
		return
	}
	if s.def.Gang {
		for i := range s.tasks {
			s.tasks[i].finish()
		}
	} else {
		t.finish()
	}
	c.touch(s.job())
	if s.left == 0 {
		c.stepDone(now, s)
	}
}

// finish marks a task as done.
func (t *task) finish() {
	if t.state == taskDone {
		return
	}
	if t.state == taskPending {
		t.step.pending--
	}
	t.state = taskDone
	t.step.left--
}

func (c *Core) stepDone(now time.Time, s *step) {
	o := s.occ
	for _, next := range o.stepEnded(s) {
		c.queueStep(next)
	}
	if o.left > 0 {
		return
	}
	j := o.job
	j.finished[o.k] = true
	delete(j.occurrences, o.k)
	if len(j.finished) == j.spec.OccurrenceCount() {
		c.conclude(now, j, OutcomeCompleted)
	}
}

// stepEnded counts a finished step and returns the steps that waited for it.
func (o *occurrence) stepEnded(s *step) []*step {
	o.left--
	var freed []*step
	for _, next := range o.steps {
		for _, before := range next.def.After {
			if before == int(s.index) {
				next.waits--
				freed = append(freed, next)
			}
		}
	}
	return freed
}

// taskFailed counts a failed run and ends the job after the last attempt.
func (c *Core) taskFailed(now time.Time, t *task, number int64) {
	s := t.step
	j := s.job()
	if j.outcome != OutcomeUnfinished || t.state == taskDone || s.def.LongRunning {
		return
	}
	failed := &t.failed
	if s.def.Gang {
		failed = &s.gang.failed
	}
	// Workers list ends in any order, so a higher run says nothing about a lower
	// one.
	if slices.Contains(*failed, number) {
		return
	}
	*failed = append(*failed, number)
	c.touch(j)
	if len(*failed) >= max(1, j.queue.MaxAttempts) {
		c.conclude(now, j, OutcomeFailed)
	}
}

// free returns a task to the pending ones after its run is gone.
func (c *Core) free(t *task) {
	t.run = nil
	if t.state != taskActive {
		return
	}
	t.state = taskPending
	t.step.pending++
	c.queueStep(t.step)
}
