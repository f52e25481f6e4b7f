package jobs

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// retryAfterFull is the delay after which a client may retry when the leader
// holds too many unfinished jobs.
const retryAfterFull = time.Second

// retryAfterStalled is the delay after which a client may retry while the store
// takes no records.
const retryAfterStalled = 2 * time.Second

// View is the state of a job as reported to clients.
type View string

// Job states.
const (
	ViewQueued    View = "queued"
	ViewActive    View = "active"
	ViewCompleted View = "completed"
	ViewFailed    View = "failed"
	ViewCancelled View = "cancelled"
)

// Submit submits a job. It returns a response, or nil when the response follows
// in a later Actions. The spec must be valid.
func (c *Core) Submit(now time.Time, spec *Spec, call CallID) *Response {
	if !c.workerListRead && c.jobs[spec.ID] == nil {
		if !c.deferralAllowed(spec) {
			return c.refuse(now, spec, call, model.ReasonMemoryFull, retryAfterMemory)
		}
		c.deferSubmission(submission{spec, call, now})
		return nil
	}
	return c.decide(now, spec, call)
}

// submission is a submitted job that waits for the list of workers: without it
// a new leader cannot tell whether any worker can run the job.
type submission struct {
	spec       *Spec
	call       CallID
	receivedAt time.Time
}

// deferSubmission keeps a submission until the list of workers was read.
func (c *Core) deferSubmission(s submission) {
	c.deferredSubmissions = append(c.deferredSubmissions, s)
	c.memory.deferred += s.spec.Bytes()
}

// workerListWait is how long a submission waits for the list of workers.
const workerListWait = 500 * time.Millisecond

// decideDeferred decides on the submissions that waited for the list of
// workers, once it was read or workerListWait has passed.
func (c *Core) decideDeferred(now time.Time) {
	waiting := c.deferredSubmissions
	c.deferredSubmissions, c.memory.deferred = nil, 0
	for _, s := range waiting {
		if !c.workerListRead && now.Sub(s.receivedAt) < workerListWait {
			c.deferSubmission(s)
			continue
		}
		if resp := c.decide(now, s.spec, s.call); resp != nil {
			c.out.Responses = append(c.out.Responses, *resp)
		}
	}
}

// refuseDeferred refuses the deferred submissions of a cancelled job, so that
// it never runs.
func (c *Core) refuseDeferred(now time.Time, id string) {
	c.deferredSubmissions = slices.DeleteFunc(c.deferredSubmissions, func(s submission) bool {
		if s.spec.ID != id {
			return false
		}
		c.memory.deferred -= s.spec.Bytes()
		c.out.Responses = append(c.out.Responses, *c.refuse(now, s.spec, s.call, "cancelled", retryAfterFull))
		return true
	})
}

// decide accepts or refuses a job. It returns nil if the response follows once
// the job is stored.
func (c *Core) decide(now time.Time, spec *Spec, call CallID) *Response {
	if j := c.jobs[spec.ID]; j != nil {
		if !c.VisibleTo(spec.ID, spec.Tenant) {
			return &Response{Call: call, Kind: ResponseConflict, Reason: "id_in_use"}
		}
		return c.handleRepeat(j, call)
	}
	q := c.queues[spec.Queue]
	if r := c.refusal(now, spec, q); r != nil {
		resp := c.refuse(now, spec, call, r.reason, r.retryAfter)
		resp.Kind = r.kind
		return resp
	}
	excess, reason, retryAfter := c.checkTenant(now, spec, q)
	if reason != "" {
		return c.refuse(now, spec, call, reason, retryAfter)
	}
	j := newJob(spec, q, c.cfg.Token, now)
	j.account, j.excess = c.accountOf(now, spec), excess
	c.notePacingNeeded(j)
	c.jobs[spec.ID] = j
	c.countUnfinished(j, 1)
	c.updateMemory(j)
	c.addUnstored(j, 1)
	c.batch.accepted = append(c.batch.accepted, j)
	j.calls = append(j.calls, call)
	return nil
}

// refusal is why a job is refused, whichever tenant submits it.
type refusal struct {
	kind       ResponseKind
	reason     model.Reason
	retryAfter time.Duration
}

// refusal returns why a job that is not known is refused now, or nil if it is not. It changes
// nothing. q is nil if the job's queue is not configured.
func (c *Core) refusal(now time.Time, spec *Spec, q *Queue) *refusal {
	switch {
	case q == nil:
		return &refusal{ResponseRefused, "queue_unknown", retryAfterFull}
	case c.storeStalled:
		return &refusal{ResponseStoreUnavailable, "store_unavailable", retryAfterStalled}
	}
	if reason, retryAfter, ok := c.admit(now, spec, q); !ok {
		return &refusal{ResponseRefused, reason, retryAfter}
	}
	if !c.memoryAllows(spec) {
		return &refusal{ResponseRefused, model.ReasonMemoryFull, retryAfterMemory}
	}
	return nil
}

// handleRepeat answers a repeated submission of a known job. It returns nil if
// the response follows once the job is stored.
func (c *Core) handleRepeat(j *job, call CallID) *Response {
	if j.stored {
		return &Response{Call: call, Kind: ResponseAccepted}
	}
	j.calls = append(j.calls, call)
	return nil
}

// refuse logs the refusal of a job and returns the response. The job is not
// stored.
func (c *Core) refuse(now time.Time, spec *Spec, call CallID, reason model.Reason, retryAfter time.Duration) *Response {
	e := Event{Name: EventJobRefused, Job: spec.ID, Queue: spec.Queue, Reason: reason, Age: retryAfter, Count: c.unfinishedJobs}
	if a := c.accountOf(now, spec); a != nil {
		a.refused[reason]++
		e.Tenant, e.Detail = spec.Tenant, a.String()
	}
	c.event(e)
	return &Response{Call: call, Kind: ResponseRefused, Reason: reason, RetryAfter: retryAfter}
}

// Cancel cancels a job permanently. It returns a response, or nil when the
// response follows once the cancellation is stored.
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

// endJob sets the outcome of a job, which becomes visible once it is stored,
// and stops the remaining runs of a job that did not complete.
func (c *Core) endJob(now time.Time, j *job, o Outcome) {
	j.outcome = o
	c.countUnfinished(j, -1)
	c.markDirty(j)
	c.placementsStale = true
	if o != OutcomeCompleted {
		c.stopJobRuns(now, j)
	}
}

// stopJobRuns stops all runs of a job.
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

// State returns a job's state and whether the job is known. A job counts as
// ended only once its outcome is stored.
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
