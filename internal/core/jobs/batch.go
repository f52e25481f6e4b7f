package jobs

import (
	"slices"
	"time"
)

// batchState collects what the next batch stores and tracks the batches in
// flight.
type batchState struct {
	// next is the sequence number of the batch that is being collected.
	next uint64
	// inFlight lists the sequence numbers of the batches that are being stored.
	inFlight []uint64
	accepted []*job
	dirty    []*job
	workers  []*worker
	// partial holds the deletions and the recovery token of the next batch.
	partial Batch
	// responses holds the responses that are sent once the batch with the
	// sequence number in the key is stored.
	responses map[uint64][]Response
	// inFlightEffects holds the effects of the batches in flight, by sequence
	// number.
	inFlightEffects map[uint64]batchEffects
}

// batchEffects lists what changes state in memory once a batch is stored.
type batchEffects struct {
	accepted []*job
	outcomes []*job
	workers  []*worker
}

func newBatchState() batchState {
	return batchState{next: 1, responses: map[uint64][]Response{}, inFlightEffects: map[uint64]batchEffects{}}
}

// TakeBatch returns the next batch to store, or nil when there is nothing to
// store. Batches must be stored in order.
func (c *Core) TakeBatch() *Batch {
	b := &c.batch
	out := b.partial
	b.partial = Batch{}
	out.Seq = b.next
	var effects batchEffects
	for _, j := range b.accepted {
		out.Accepted = append(out.Accepted, AcceptedRecord{Spec: *j.spec, Queue: *j.queue, Token: j.token, Accepted: c.wall, Excess: j.excess, TenantLimit: j.account.limit()})
		effects.accepted = append(effects.accepted, j)
	}
	for _, j := range b.dirty {
		j.dirty = false
		out.Progress = append(out.Progress, j.progress())
		if j.outcome != OutcomeUnfinished && !j.outcomeStored {
			effects.outcomes = append(effects.outcomes, j)
			out.DropAccepted = append(out.DropAccepted, j.spec.ID)
		}
	}
	for _, w := range b.workers {
		out.Workers = append(out.Workers, w.record())
		w.recordBatch = b.next
		effects.workers = append(effects.workers, w)
	}
	b.accepted, b.dirty, b.workers = nil, nil, nil
	if out.Empty() {
		return nil
	}
	c.addRunTimes(&out)
	b.inFlight = append(b.inFlight, b.next)
	b.next++
	b.inFlightEffects[out.Seq] = effects
	return &out
}

// HasBatch reports whether TakeBatch would return a batch.
func (c *Core) HasBatch() bool {
	b := &c.batch
	return len(b.accepted)+len(b.dirty)+len(b.workers) > 0 || !b.partial.Empty()
}

// HandleBatchStored tells the core that a batch is durable. It ignores batches
// that are not in flight.
func (c *Core) HandleBatchStored(now time.Time, seq uint64) {
	b := &c.batch
	at := slices.Index(b.inFlight, seq)
	if at < 0 {
		return
	}
	b.inFlight = slices.Delete(b.inFlight, at, at+1)
	effects := b.inFlightEffects[seq]
	delete(b.inFlightEffects, seq)
	for _, j := range effects.accepted {
		c.handleAccepted(now, j)
	}
	for _, j := range effects.outcomes {
		c.publishOutcome(now, j)
	}
	for _, w := range effects.workers {
		if w.recordState == recordSent && w.recordBatch == seq {
			w.recordState = recordStored
			c.poolsStale, c.placementsStale = true, true
		}
	}
	c.out.Responses = append(c.out.Responses, b.responses[seq]...)
	delete(b.responses, seq)
	for _, w := range c.workerList {
		c.advanceAck(now, w)
	}
}

// advanceAck lets the worker drop the processed ends once the effects of all of
// them are stored.
func (c *Core) advanceAck(now time.Time, w *worker) {
	if w.ackedEnd == w.processedEnd || w.ackAfterBatch >= c.batch.oldestUnstored() {
		return
	}
	w.ackedEnd = w.processedEnd
	c.scheduleSync(now, w)
}

// oldestUnstored returns the sequence number of the first batch that is not
// stored.
func (b *batchState) oldestUnstored() uint64 {
	if len(b.inFlight) > 0 {
		return b.inFlight[0]
	}
	return b.next
}

// markDirty puts a job's progress into the next batch.
func (c *Core) markDirty(j *job) {
	j.progressBatch = c.batch.next
	if !j.dirty {
		j.dirty = true
		c.batch.dirty = append(c.batch.dirty, j)
	}
}

// respondAfterBatch sends a response once batch seq is stored.
func (c *Core) respondAfterBatch(seq uint64, resp Response) {
	c.batch.responses[seq] = append(c.batch.responses[seq], resp)
}

// handleAccepted makes a job eligible for placement once its record is stored.
func (c *Core) handleAccepted(now time.Time, j *job) {
	j.stored = true
	c.addUnstored(j, -1)
	for _, call := range j.calls {
		c.out.Responses = append(c.out.Responses, Response{Call: call, Kind: ResponseAccepted})
	}
	j.calls = nil
	c.event(Event{Name: EventJobAccepted, Job: j.spec.ID, Queue: j.queue.Name, Tenant: j.spec.Tenant, Age: now.Sub(j.acceptedAt)})
	c.createOccurrences(c.wall, j)
	c.queueReadySteps(j)
}

// publishOutcome makes the outcome of a job visible once it is stored.
func (c *Core) publishOutcome(now time.Time, j *job) {
	j.outcomeStored, j.endedAt = true, now
	c.endedJobs = append(c.endedJobs, j)
	c.event(Event{Name: EventJobEnded, Job: j.spec.ID, Queue: j.queue.Name, Tenant: j.spec.Tenant, Detail: j.outcome.String(), Reason: j.endReason, Age: now.Sub(j.acceptedAt)})
	c.releaseEnded(j)
}

// progress returns the stored form of everything final about the job.
func (j *job) progress() ProgressRecord {
	p := ProgressRecord{Job: j.spec.ID, Queue: j.queue.Name, Tenant: j.spec.Tenant, Outcome: j.outcome}
	if j.outcome != OutcomeUnfinished {
		return p
	}
	p.RunLimit = j.numbers.proposed
	for ordinal := range j.finished {
		p.Occurrences = append(p.Occurrences, OccurrenceProgress{Occurrence: ordinal, Finished: true})
	}
	for _, o := range j.sortedOccurrences() {
		if steps := o.progress(); len(steps) > 0 {
			p.Occurrences = append(p.Occurrences, OccurrenceProgress{Occurrence: o.ordinal, Steps: steps})
		}
	}
	slices.SortFunc(p.Occurrences, func(a, b OccurrenceProgress) int { return int(a.Occurrence) - int(b.Occurrence) })
	return p
}

// progress returns the steps in which a task has succeeded or failed, or crashed a worker.
func (o *occurrence) progress() []StepProgress {
	var out []StepProgress
	for _, s := range o.steps {
		p := StepProgress{Step: s.index, Finished: s.unfinished == 0}
		if !p.Finished {
			p.Done, p.Failures = s.progress()
			p.Crashes = s.crashes()
		}
		if p.Finished || len(p.Done)+len(p.Failures)+len(p.Crashes) > 0 {
			out = append(out, p)
		}
	}
	return out
}

// progress returns the tasks that succeeded, as a bit set in which task i is bit
// i%8 of byte i/8 (nil if there are none), and the tasks with failed runs.
func (s *step) progress() (done []byte, failures []TaskFailures) {
	if len(s.gang.failed) > 0 {
		failures = append(failures, TaskFailures{Runs: s.gang.failed})
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state == taskDone {
			if done == nil {
				done = make([]byte, (len(s.tasks)+7)/8)
			}
			done[i/8] |= 1 << (i % 8)
		}
		if runs := t.failedRuns(); len(runs) > 0 {
			failures = append(failures, TaskFailures{Index: t.index, Runs: runs})
		}
	}
	return done, failures
}

// crashes returns the tasks under which workers have crashed.
func (s *step) crashes() []TaskCrashes {
	var out []TaskCrashes
	for i := range s.tasks {
		if h := s.tasks[i].crashes(); len(h.runs) > 0 {
			out = append(out, TaskCrashes{Index: s.tasks[i].index, Runs: h.runs, AtStart: h.atStart, Alone: h.alone})
		}
	}
	return out
}

// dropExpiredJobs drops jobs that ended longer ago than the retention.
func (c *Core) dropExpiredJobs(now time.Time) {
	for len(c.endedJobs) > 0 && now.Sub(c.endedJobs[0].endedAt) > c.cfg.Retention {
		id := c.endedJobs[0].spec.ID
		c.endedJobs = c.endedJobs[1:]
		delete(c.jobs, id)
		c.batch.partial.DropProgress = append(c.batch.partial.DropProgress, id)
	}
}
