package jobs

import (
	"slices"
	"time"
)

// createOccurrences creates the occurrences of a stored job that are due, as far as there is memory
// for them. It reports whether none could be created for lack of it.
func (c *Core) createOccurrences(wall time.Time, j *job) (noneFits bool) {
	if j.outcome != OutcomeUnfinished {
		return false
	}
	first := j.createdOccurrences
	for j.createdOccurrences < j.spec.OccurrenceCount() {
		ordinal := int32(j.createdOccurrences)
		due := j.due(ordinal)
		if due.After(wall) {
			break
		}
		if !j.finished[ordinal] && j.occurrences[ordinal] == nil && !c.occurrenceFits(j) {
			noneFits = j.createdOccurrences == first
			c.deferOccurrences(wall, j)
			break
		}
		j.createdOccurrences++
		if o := j.occurrences[ordinal]; o != nil {
			o.early = false
		} else if !j.finished[ordinal] {
			j.newOccurrence(ordinal, due)
			c.updateMemory(j)
		}
	}
	if j.createdOccurrences < j.spec.OccurrenceCount() && !slices.Contains(c.recurringJobs, j) {
		c.recurringJobs = append(c.recurringJobs, j)
	}
	return noneFits
}

// createDueOccurrences creates the occurrences of all recurring jobs that have
// become due.
func (c *Core) createDueOccurrences(wall time.Time) {
	recurring := c.recurringJobs
	c.recurringJobs = nil
	for _, j := range recurring {
		if noneFits := c.createOccurrences(wall, j); !noneFits {
			c.queueReadySteps(j)
		}
	}
}

// queueReadySteps queues the steps of a job that may start tasks.
func (c *Core) queueReadySteps(j *job) {
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
	if s.queued || s.occ.early || s.unfinishedDeps > 0 || s.pending == 0 || !s.canStart() || !s.job().stored {
		return
	}
	s.queued = true
	s.startBy = c.latestStart(s)
	c.stepSeq++
	s.seq = c.stepSeq
	at, _ := slices.BinarySearchFunc(c.ready, s, compareSteps)
	c.ready = slices.Insert(c.ready, at, s)
	c.placementsStale = true
}

// taskDone records that a task succeeded. All tasks of a gang end together.
func (c *Core) taskDone(now time.Time, t *task) {
	s := t.step
	if t.state == taskDone || s.job().outcome != OutcomeUnfinished {
		return
	}
	if s.def.Gang {
		for i := range s.tasks {
			s.tasks[i].markDone()
		}
	} else {
		t.markDone()
	}
	c.markDirty(s.job())
	if s.unfinished == 0 {
		c.completeStep(now, s)
	}
}

// markDone marks a task as done and updates the counts of its step.
func (t *task) markDone() {
	if t.state == taskDone {
		return
	}
	if t.state == taskPending {
		t.step.pending--
	}
	t.state = taskDone
	t.releaseHistory()
	t.step.unfinished--
}

// completeStep queues the steps that depended on s. It ends the occurrence after
// its last step, and the job after its last occurrence.
func (c *Core) completeStep(now time.Time, s *step) {
	o := s.occ
	for _, next := range o.unblockDependents(s) {
		c.queueStep(next)
	}
	if o.unfinished > 0 {
		return
	}
	j := o.job
	j.finished[o.ordinal] = true
	delete(j.occurrences, o.ordinal)
	c.updateMemory(j)
	if len(j.finished) == j.spec.OccurrenceCount() {
		c.endJob(now, j, OutcomeCompleted)
	}
}

// unblockDependents counts a finished step and returns the steps that depend on
// it. These may also depend on steps that have not ended.
func (o *occurrence) unblockDependents(s *step) []*step {
	o.unfinished--
	var unblocked []*step
	for _, next := range o.steps {
		for _, dep := range next.def.After {
			if dep == int(s.index) {
				next.unfinishedDeps--
				unblocked = append(unblocked, next)
			}
		}
	}
	return unblocked
}

// recordFailure counts a failed run, given by its number, and ends the job after
// the last attempt. Failures of long-running tasks are not counted.
func (c *Core) recordFailure(now time.Time, t *task, number int64) {
	s := t.step
	j := s.job()
	if j.outcome != OutcomeUnfinished || t.state == taskDone || s.def.LongRunning {
		return
	}
	failed := &s.gang.failed
	if !s.def.Gang {
		failed = &t.record().failed
	}
	// Workers report ends in any order, so a higher run number does not mean
	// that a lower one was counted.
	if slices.Contains(*failed, number) {
		return
	}
	*failed = append(*failed, number)
	s.lastFailureAt = now
	c.markDirty(j)
	if len(*failed) >= max(1, j.queue.MaxAttempts) {
		c.endJob(now, j, OutcomeFailed)
	}
}

// requeueTask makes a task pending again after its run is gone.
func (c *Core) requeueTask(t *task) {
	t.run = nil
	if t.state != taskActive {
		return
	}
	t.state = taskPending
	t.step.pending++
	c.queueStep(t.step)
}
