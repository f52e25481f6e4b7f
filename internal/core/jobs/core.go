package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/retry"
)

// leaseMargin is added to the computed end of a lease for the rounding of both
// clocks.
const leaseMargin = 20 * time.Millisecond

// Config holds the bounds of the deployment and the timings of the leader.
type Config struct {
	// Token is the leader's fencing token.
	Token uint64
	// Lease is what each call to a worker grants.
	LeaseDuration time.Duration
	// HoldMax is the longest lease that a worker accepts.
	MaxWorkerLease time.Duration
	// LateCalls is how long after it was sent a call may still be executed.
	MaxCallDelay time.Duration
	// HoldWait is how long such a call waits for an end.
	SyncWait time.Duration
	// ClockError is how much slower a worker's clock may run, as a share.
	ClockDrift float64
	// SilentAfter is how long after its last answer a worker gets no new work.
	SilentAfter time.Duration
	GangTimeout time.Duration
	// StartTimeout is when a start without an answer is given up.
	StartTimeout time.Duration
	// Retention is how long ended jobs are remembered.
	Retention time.Duration
	// MaxJobs bounds the unfinished jobs.
	MaxUnfinishedJobs int
	// EndsPerList is the number of ends in a full list; more may follow.
	EndsPerPage int
	Health      retry.HealthConfig
}

// CallID names a caller's call that is answered later.
type CallID uint64

// Core is the state of one leader.
type Core struct {
	cfg    Config
	queues map[string]*Queue
	jobs   map[string]*job
	// ready lists the steps that may start tasks.
	ready   []*step
	stepSeq uint64
	workers map[model.WorkerID]*worker
	// list holds the workers in order of ID.
	workerList []*worker
	// pools holds the workers that take tasks, by service.
	pools      map[string]*pool
	poolsStale bool
	// claimsStale is set when the room kept for gangs has to be chosen anew.
	reservationsStale bool
	// claimed lists the workers with claims.
	reservedWorkers []*worker
	// dueHolds lists the workers whose next call is due.
	dueSyncs []*worker
	// sampled is the memory of the latest sample of a pool.
	sampleBuf []*worker
	// unanswered counts the calls under way to workers that have not answered.
	probesInFlight int
	// stopping lists the runs that are to be stopped.
	stoppingRuns []*run
	health       *retry.Health
	recovery     recovery
	// formerEnd is until when an earlier leader may have extended leases.
	previousLeaderEnd time.Time

	batch          batchState
	relays         relays
	estimator      durationEstimator
	endedJobs      []*job // in order of endedAt
	recurringJobs  []*job // jobs with occurrences still to come
	unfinishedJobs int    // unfinished jobs
	// listRead is set once the list of workers was read.
	workerListRead bool
	// unjudged lists submissions that wait for that.
	deferredSubmissions []submission
	wall                time.Time // wall clock at the last event
	// changed is set when a placement may succeed that did not before.
	placementsStale bool
	nextScheduleAt  time.Time
	out             Actions
	fenced          bool
	storeStalled    bool
	// sharing is set once a job had fillers or tasks that serve users.
	pacingNeeded bool
}

// New returns the core of a new leader.
func New(cfg Config) *Core {
	return &Core{
		cfg: cfg, queues: map[string]*Queue{}, jobs: map[string]*job{},
		workers: map[model.WorkerID]*worker{}, pools: map[string]*pool{}, poolsStale: true,
		health: retry.NewHealth(cfg.Health), recovery: newRecovery(),
		batch: newBatchState(), relays: newRelays(), estimator: newDurationEstimator(),
	}
}

// Actions is what the leader loop has to carry out.
type Actions struct {
	Syncs     []SyncRequest
	Starts    []StartRequest
	Stops     []StopRequest
	Paces     []PaceRequest
	Advice    []AdviceRequest
	Responses []Response
	Events    []Event
}

// HoldOrder renews a worker's lease and asks for its lists.
type SyncRequest struct {
	Worker  model.WorkerID
	Address string
	// Deadline is on the worker's clock in ms; 0 extends nothing.
	LeaseDeadlineMs int64
	AckCursor       int64
	Wait            time.Duration
}

// StartOrder starts a run.
type StartRequest struct {
	Worker          model.WorkerID
	Address         string
	Task            TaskRef
	Run             int64
	Payload         string
	LeaseDeadlineMs int64
	Checkpoint      string
	Ticket          string
	Timeout         time.Duration
}

// StopOrder stops a run.
type StopRequest struct {
	Worker  model.WorkerID
	Address string
	Task    TaskRef
	Run     int64
}

// AnswerKind is the kind of an answer to a caller.
type ResponseKind uint8

// Answers.
const (
	// Accepted: the job is stored.
	ResponseAccepted ResponseKind = iota
	// Stopped: the job's cancellation is stored, or it had ended before.
	ResponseCancelled
	// NoSuchJob: the job is not known.
	ResponseNoSuchJob
	// Refused: the job was not accepted and never runs.
	ResponseRefused
	// RefusedNoStore: the same, because the store does not take records now.
	ResponseStoreUnavailable
)

// Answer answers a call.
type Response struct {
	Call       CallID
	Kind       ResponseKind
	Reason     model.Reason
	RetryAfter time.Duration
}

// Take returns what is to be done and forgets it.
func (c *Core) TakeActions() Actions {
	out := c.out
	c.out = Actions{}
	return out
}

// SetFormerEnd tells until when an earlier leader may have gone on extending
// the leases of workers.
func (c *Core) SetPreviousLeaderEnd(at time.Time) { c.previousLeaderEnd = at }

// Recovered reports whether the leader knows what every worker runs.
func (c *Core) Recovered() bool { return c.recovery.complete }

// SetStalled tells whether the store takes records at present. Jobs that are in
// no batch yet are refused: the caller can try again, and nothing was written.
func (c *Core) SetStoreStalled(now time.Time, storeStalled bool) {
	c.storeStalled = storeStalled
	if !storeStalled {
		return
	}
	c.batch.accepted = slices.DeleteFunc(c.batch.accepted, func(j *job) bool {
		// A cancelled job must stay known, or a late repeat of it would run.
		if j.outcome != OutcomeUnfinished {
			return false
		}
		c.refuseUnstored(now, j)
		return true
	})
}

// withdraw refuses a job that is in no batch yet.
func (c *Core) refuseUnstored(now time.Time, j *job) {
	delete(c.jobs, j.spec.ID)
	c.unfinishedJobs--
	for _, call := range j.calls {
		a := c.refuse(now, j.spec, call, "store_unavailable", retryAfterStalled)
		a.Kind = ResponseStoreUnavailable
		c.out.Responses = append(c.out.Responses, *a)
	}
}

// Fenced reports whether a worker refused this leader's token.
func (c *Core) Fenced() bool { return c.fenced }

// SetQueues replaces the configuration of the queues. Jobs of queues that are
// gone keep the configuration that they were accepted under.
func (c *Core) SetQueues(queues []Queue) {
	c.queues = make(map[string]*Queue, len(queues))
	for i := range queues {
		q := queues[i]
		c.queues[q.Name] = &q
	}
	for _, j := range c.jobs {
		if q := c.queues[j.queue.Name]; q != nil {
			j.queue = q
		}
	}
	c.placementsStale = true
}

// KnowsQueue reports whether the configuration has a queue.
func (c *Core) HasQueue(name string) bool { return c.queues[name] != nil }

// Restore loads what earlier leaders stored. It is called once, before any
// other event.
func (c *Core) Restore(now time.Time, wall time.Time, s Snapshot) {
	c.wall = wall
	for i := range s.Accepted {
		c.restoreJob(now, wall, &s.Accepted[i])
	}
	for i := range s.Progress {
		c.restoreProgress(now, &s.Progress[i])
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if j.outcome == OutcomeUnfinished {
			c.unfinishedJobs++
			c.createOccurrences(wall, j)
			c.queueReadySteps(j)
		}
	}
	for i := range s.Workers {
		r := &s.Workers[i]
		w := c.worker(r.ID)
		w.Address, w.Service, w.recordState = r.Address, r.Service, recordStored
		if r.Silent {
			w.recordState = recordSilent
		}
		c.recovery.add(r)
	}
	c.placementsStale = true
	c.completeRecovery(now)
}

func (c *Core) restoreJob(now, wall time.Time, r *AcceptedRecord) {
	q := r.Queue
	if current := c.queues[q.Name]; current != nil {
		q = *current
	}
	spec := r.Spec
	age := min(max(wall.Sub(r.Accepted), 0), c.cfg.Retention)
	j := newJob(&spec, &q, r.Token, now.Add(-age))
	j.stored, j.restored = true, true
	c.notePacingNeeded(j)
	c.jobs[spec.ID] = j
}

func (c *Core) restoreProgress(now time.Time, p *ProgressRecord) {
	j := c.jobs[p.Job]
	if j == nil {
		// The accepted record is dropped when a job ends.
		j = newJob(&Spec{ID: p.Job, Queue: p.Queue}, &Queue{Name: p.Queue}, 0, now)
		j.stored, j.restored = true, true
		c.jobs[p.Job] = j
	}
	if p.Outcome != OutcomeUnfinished {
		j.outcome, j.outcomeStored, j.endedAt = p.Outcome, true, now
		c.endedJobs = append(c.endedJobs, j)
		return
	}
	if len(j.spec.Steps) == 0 {
		// Progress without a specification cannot be continued.
		delete(c.jobs, p.Job)
		return
	}
	for i := range p.Occurrences {
		j.restoreOccurrence(&p.Occurrences[i])
	}
}

func (j *job) restoreOccurrence(p *OccurrenceProgress) {
	if p.Finished {
		j.finished[p.Occurrence] = true
		return
	}
	o := j.newOccurrence(p.Occurrence, j.due(p.Occurrence))
	for i := range p.Steps {
		sp := &p.Steps[i]
		if sp.Step >= 0 && int(sp.Step) < len(o.steps) {
			o.steps[sp.Step].restore(sp)
		}
	}
	for _, s := range o.steps {
		if s.unfinished == 0 {
			o.unblockDependents(s)
		}
	}
}

func (s *step) restore(p *StepProgress) {
	for i := range s.tasks {
		done := p.Finished || i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0
		if done {
			s.tasks[i].state = taskDone
			s.unfinished--
			s.pending--
		}
	}
	for _, f := range p.Failures {
		if f.Index < 0 || int(f.Index) >= len(s.tasks) {
			continue
		}
		if s.def.Gang {
			s.gang.failed = f.Runs
		} else {
			s.tasks[f.Index].failed = f.Runs
		}
	}
}

// due returns when an occurrence is due on the wall clock; the zero time means
// at once.
func (j *job) due(ordinal int32) time.Time {
	if j.spec.Repeat == 0 {
		return time.Time{}
	}
	return j.spec.FirstDue.Add(time.Duration(ordinal) * j.spec.Interval)
}

// worker returns the worker of an ID and creates it if needed.
func (c *Core) worker(id model.WorkerID) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{WorkerEntry: WorkerEntry{ID: id}}
		c.workers[id] = w
		at, _ := slices.BinarySearchFunc(c.workerList, id, func(o *worker, id model.WorkerID) int { return cmp.Compare(o.ID, id) })
		c.workerList = slices.Insert(c.workerList, at, w)
	}
	return w
}
