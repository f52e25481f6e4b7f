package jobs

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// retryAfterFull is when a caller may come back after the leader's memory was
// full.
const retryAfterFull = time.Second

// retryAfterStalled is when a caller may come back while the store is away.
const retryAfterStalled = 2 * time.Second

// View is a job's state as callers see it.
type View string

// Views.
const (
	ViewQueued    View = "queued"
	ViewActive    View = "active"
	ViewCompleted View = "completed"
	ViewFailed    View = "failed"
	ViewCancelled View = "cancelled"
)

// Submit takes a job. It returns an answer, or nil when the answer comes later.
// The spec must be valid.
func (c *Core) Submit(now time.Time, spec *Spec, call CallID) *Response {
	if !c.workerListRead && c.jobs[spec.ID] == nil {
		c.deferredSubmissions = append(c.deferredSubmissions, submission{spec, call, now})
		return nil
	}
	return c.decide(now, spec, call)
}

// submission is a job that waits for the list of workers: without it a new
// leader cannot tell whether the job can ever run.
type submission struct {
	spec       *Spec
	call       CallID
	receivedAt time.Time
}

// listPatience is how long a submission waits for the list of workers.
const workerListWait = 500 * time.Millisecond

// judgeWaiting decides on the submissions that waited for the list of workers,
// or that waited for too long.
func (c *Core) decideDeferred(now time.Time) {
	waiting := c.deferredSubmissions
	c.deferredSubmissions = nil
	for _, s := range waiting {
		if !c.workerListRead && now.Sub(s.receivedAt) < workerListWait {
			c.deferredSubmissions = append(c.deferredSubmissions, s)
			continue
		}
		if a := c.decide(now, s.spec, s.call); a != nil {
			c.out.Responses = append(c.out.Responses, *a)
		}
	}
}

// dropUnjudged refuses the submissions of a cancelled job that wait for the list
// of workers, so that it never runs.
func (c *Core) refuseDeferred(now time.Time, id string) {
	c.deferredSubmissions = slices.DeleteFunc(c.deferredSubmissions, func(s submission) bool {
		if s.spec.ID != id {
			return false
		}
		c.out.Responses = append(c.out.Responses, *c.refuse(now, s.spec, s.call, "cancelled", retryAfterFull))
		return true
	})
}

// judge accepts or refuses a job.
func (c *Core) decide(now time.Time, spec *Spec, call CallID) *Response {
	if j := c.jobs[spec.ID]; j != nil {
		return c.handleRepeat(j, call)
	}
	q := c.queues[spec.Queue]
	if q == nil {
		return c.refuse(now, spec, call, "queue_unknown", retryAfterFull)
	}
	if c.storeStalled {
		a := c.refuse(now, spec, call, "store_unavailable", retryAfterStalled)
		a.Kind = ResponseStoreUnavailable
		return a
	}
	if reason, after, ok := c.admit(now, spec, q); !ok {
		return c.refuse(now, spec, call, reason, after)
	}
	j := newJob(spec, q, c.cfg.Token, now)
	c.notePacingNeeded(j)
	c.jobs[spec.ID] = j
	c.unfinishedJobs++
	c.batch.accepted = append(c.batch.accepted, j)
	j.calls = append(j.calls, call)
	return nil
}

// resubmitted answers a repeated submission: it is the same job.
func (c *Core) handleRepeat(j *job, call CallID) *Response {
	if j.stored {
		return &Response{Call: call, Kind: ResponseAccepted}
	}
	j.calls = append(j.calls, call)
	return nil
}

func (c *Core) refuse(now time.Time, spec *Spec, call CallID, reason model.Reason, after time.Duration) *Response {
	c.event(Event{Name: EventJobRefused, Job: spec.ID, Queue: spec.Queue, Reason: reason, Age: after, Count: c.unfinishedJobs})
	return &Response{Call: call, Kind: ResponseRefused, Reason: reason, RetryAfter: after}
}

// Cancel stops a job for good. It returns an answer, or nil when the answer
// comes with a batch.
func (c *Core) Cancel(now time.Time, id string, call CallID) *Response {
	j := c.jobs[id]
	if j == nil {
		c.refuseDeferred(now, id)
		return &Response{Call: call, Kind: ResponseNoSuchJob}
	}
	if j.outcome == OutcomeUnfinished {
		c.event(Event{Name: EventJobCancelled, Job: id, Queue: j.queue.Name, Age: now.Sub(j.acceptedAt)})
		c.endJob(now, j, OutcomeCancelled)
	}
	if j.outcomeStored {
		return &Response{Call: call, Kind: ResponseCancelled}
	}
	c.respondAfterBatch(j.progressBatch, Response{Call: call, Kind: ResponseCancelled})
	return nil
}

// conclude ends a job. The outcome is told once it is stored.
func (c *Core) endJob(now time.Time, j *job, o Outcome) {
	j.outcome = o
	c.unfinishedJobs--
	c.markDirty(j)
	c.placementsStale = true
	if o != OutcomeCompleted {
		c.stopJobRuns(now, j)
	}
}

// stopRuns stops everything of a job that still runs.
func (c *Core) stopJobRuns(now time.Time, j *job) {
	for _, occ := range j.sortedOccurrences() {
		for _, s := range occ.steps {
			for i := range s.tasks {
				if r := s.tasks[i].run; r != nil {
					c.requestStop(now, r)
				}
			}
		}
	}
}

// State returns a job's state from stored facts.
func (c *Core) State(id string) (View, bool) {
	j := c.jobs[id]
	switch {
	case j == nil:
		return "", false
	case !j.outcomeStored && j.started:
		return ViewActive, true
	case !j.outcomeStored:
		return ViewQueued, true
	}
	return map[Outcome]View{OutcomeCompleted: ViewCompleted, OutcomeFailed: ViewFailed, OutcomeCancelled: ViewCancelled}[j.outcome], true
}

// Pending returns the number of a queue's jobs of which no task has started.
func (c *Core) Pending(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.queue.Name == queue && j.outcome == OutcomeUnfinished && !j.started {
			n++
		}
	}
	return n
}
