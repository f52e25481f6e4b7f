package jobs

import (
	"cmp"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/retry"
	"catkinvalve/internal/core/tenant"
)

// leaseMargin is added to the computed end of a lease to cover the rounding of
// the leader's and the worker's clocks.
const leaseMargin = 20 * time.Millisecond

// Config holds the limits and the timings of a leader.
type Config struct {
	// Token is the leader's fencing token.
	Token uint64
	// LeaseDuration is the lease that each sync or start grants to a worker.
	LeaseDuration time.Duration
	// MaxWorkerLease is the longest lease that a worker accepts.
	MaxWorkerLease time.Duration
	// MaxCallDelay is how long after it was sent a call may still be executed.
	MaxCallDelay time.Duration
	// SyncWait is how long a sync waits at the worker for a run to end.
	SyncWait time.Duration
	// ClockDrift is the fraction by which a worker's clock may run slower than
	// the leader's.
	ClockDrift float64
	// SilentAfter is the time without an answer after which a worker gets no
	// new tasks.
	SilentAfter time.Duration
	// GangTimeout is how long a worker lets a member of a gang wait for the
	// other members to start. Core does not read it.
	GangTimeout time.Duration
	// StartTimeout is how long one attempt to send a start waits for an answer.
	StartTimeout time.Duration
	// Retention is how long ended jobs are kept.
	Retention time.Duration
	// MaxUnfinishedJobs limits the accepted jobs that have not ended.
	MaxUnfinishedJobs int
	// MaxJobBytes limits the estimated memory of the jobs whose outcome is not stored; 0 means no
	// limit.
	MaxJobBytes int64
	// EndsPerPage is the number of ends in a full answer to a sync; a full
	// answer may be followed by more.
	EndsPerPage int
	// RunTimeModel selects the prediction of run times by a model that successors take over. Without it
	// it is a running mean of this leader.
	RunTimeModel bool
	// Health holds the limits for the quarantine of workers.
	Health retry.HealthConfig
}

// CallID identifies a call of a client that is answered later.
type CallID uint64

// Core is the state of one leader.
type Core struct {
	cfg    Config
	queues map[string]*Queue
	jobs   map[string]*job
	// ready lists the steps that may start tasks, in the order of compareSteps.
	ready   []*step
	stepSeq uint64
	workers map[model.WorkerID]*worker
	// workerList holds the workers in order of ID.
	workerList []*worker
	// pools holds the workers that accept tasks, by service.
	pools map[string]*pool
	// poolsStale is set when pools have to be recomputed.
	poolsStale bool
	// reservationsStale is set when the reservations for gangs have to be
	// recomputed.
	reservationsStale bool
	// reservedWorkers lists the workers with reservations.
	reservedWorkers []*worker
	// dueSyncs lists the workers whose next sync is due.
	dueSyncs []*worker
	// sampleBuf is the reused buffer of sample.
	sampleBuf []*worker
	// probesInFlight counts the syncs in flight to workers that have not
	// answered yet or did not answer their last sync.
	probesInFlight int
	// stoppingRuns lists the runs whose stop was requested.
	stoppingRuns []*run
	health       *retry.Health
	// expired holds the workers whose lease ended and that may have crashed, by address.
	expired map[string]expiredWorker
	// absent holds the workers that left without notice within absenceTime.
	absent   map[model.WorkerID]absentWorker
	recovery recovery
	// previousLeaderEnd is the latest time at which an earlier leader may have
	// extended leases.
	previousLeaderEnd time.Time

	batch  batchState
	relays relays
	// runTimes predicts run times; learned is the same, or nil if the model is off.
	runTimes       runTimeSource
	learned        *learnedRunTimes
	runTimeRecords runTimeRecords
	// usualSlowdown is a running mean of the slowdowns of workers.
	usualSlowdown  float64
	endedJobs      []*job // in order of endedAt
	recurringJobs  []*job // jobs with occurrences still to come
	unfinishedJobs int
	memory         memoryUse
	// tenants is nil while there are none.
	tenants  *tenant.Set
	accounts map[string]*account
	// activeWeight is the sum of the weights of the tenants with unfinished jobs.
	activeWeight float64
	// limitedAccounts lists the accounts of which a task waited for the limit in the last round.
	limitedAccounts []*account
	// unprovenUse is what any one tenant may use on workers whose runs are not all known.
	unprovenUse model.Size
	refusedJobs refusedJobs
	// capacity is the capacity of all workers that accept tasks.
	capacity model.Size
	// workerListRead is set by the first SetWorkers, and listFirstReadAt is its time.
	workerListRead  bool
	listFirstReadAt time.Time
	// deferredSubmissions lists the submissions that wait for the list of
	// workers.
	deferredSubmissions []submission
	wall                time.Time // wall-clock time of the last Restore or Tick
	// placementsStale is set when a placement that failed before may now
	// succeed.
	placementsStale bool
	// nextScheduleAt is when placement is tried again if nothing has changed.
	nextScheduleAt time.Time
	out            Actions
	// fenced is set once a worker refused this leader's token.
	fenced         bool
	storeStalled   bool
	lastWaitReport time.Time
	// pacingNeeded is set once a job had fillers or tasks with a latency
	// target.
	pacingNeeded bool
}

// New returns the core of a new leader.
func New(cfg Config) *Core {
	c := &Core{
		cfg: cfg, queues: map[string]*Queue{}, jobs: map[string]*job{},
		workers: map[model.WorkerID]*worker{}, pools: map[string]*pool{}, poolsStale: true,
		health: retry.NewHealth(cfg.Health), recovery: newRecovery(), expired: map[string]expiredWorker{}, absent: map[model.WorkerID]absentWorker{},
		batch: newBatchState(), relays: newRelays(),
		accounts: map[string]*account{}, refusedJobs: newRefusedJobs(),
	}
	c.runTimes = c.newRunTimeSource()
	return c
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

// SyncRequest renews a worker's lease, acknowledges ends and asks for the
// worker's runs and ends.
type SyncRequest struct {
	Worker  model.WorkerID
	Address string
	// Incarnation is the incarnation of the worker that may receive the request. It is 0, for
	// any, only in requests that extend no lease and acknowledge nothing.
	Incarnation int64
	// LeaseDeadlineMs is the new end of the lease on the worker's clock in ms;
	// 0 extends nothing.
	LeaseDeadlineMs int64
	// AckCursor is the sequence number of the last end that the worker may drop.
	AckCursor int64
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// StartRequest starts a run.
type StartRequest struct {
	Worker  model.WorkerID
	Address string
	// Incarnation is the incarnation of the worker that may receive the request. Another one
	// would take LeaseDeadlineMs for a time on its own clock.
	Incarnation int64
	Task        TaskRef
	// Run is the run number. A worker refuses a new run of a task whose number is
	// not higher than all that it has seen.
	Run     int64
	Payload string
	// LeaseDeadlineMs is the new end of the lease on the worker's clock in ms.
	LeaseDeadlineMs int64
	// Checkpoint is where the task resumes; empty to start from the beginning.
	Checkpoint string
	// Ticket is empty if the queue needs no advice.
	Ticket string
	// Timeout limits each attempt to send the request.
	Timeout time.Duration
}

// StopRequest stops a run.
type StopRequest struct {
	Worker  model.WorkerID
	Address string
	// Incarnation is the incarnation of the worker that may receive the request.
	Incarnation int64
	Task        TaskRef
	Run         int64
}

// ResponseKind is the kind of a response to a client's call.
type ResponseKind uint8

// Response kinds.
const (
	// ResponseAccepted means that the job is stored.
	ResponseAccepted ResponseKind = iota
	// ResponseCancelled means that the cancellation of the job is stored, or
	// that the job had ended before.
	ResponseCancelled
	// ResponseNoSuchJob means that the job is not known.
	ResponseNoSuchJob
	// ResponseRefused means that the job was not accepted and never runs.
	ResponseRefused
	// ResponseStoreUnavailable means the same as ResponseRefused; the reason is
	// that the store accepts no records at present.
	ResponseStoreUnavailable
	// ResponseConflict means that the ID is that of a job of another tenant. The submission
	// has no effect.
	ResponseConflict
)

// Response responds to a call.
type Response struct {
	Call CallID
	Kind ResponseKind
	// Reason and RetryAfter are set for a refused job. RetryAfter is the delay
	// after which the client may submit it again.
	Reason     model.Reason
	RetryAfter time.Duration
}

// TakeActions returns the collected actions and clears them.
func (c *Core) TakeActions() Actions {
	out := c.out
	c.out = Actions{}
	return out
}

// SetPreviousLeaderEnd sets the latest time at which an earlier leader may have
// extended the leases of workers.
func (c *Core) SetPreviousLeaderEnd(at time.Time) { c.previousLeaderEnd = at }

// Recovered reports whether the leader knows every run that an earlier leader
// may have started.
func (c *Core) Recovered() bool { return c.recovery.complete }

// SetStoreStalled sets whether the store is failing to take records. While it
// is, jobs that are in no batch yet are refused: nothing about them was
// written, so the client can safely submit again.
func (c *Core) SetStoreStalled(now time.Time, storeStalled bool) {
	c.storeStalled = storeStalled
	if !storeStalled {
		return
	}
	c.batch.accepted = slices.DeleteFunc(c.batch.accepted, func(j *job) bool {
		// A cancelled job must stay known; otherwise a delayed repeat of its
		// submission would run.
		if j.outcome != OutcomeUnfinished {
			return false
		}
		c.refuseUnstored(now, j)
		return true
	})
}

// refuseUnstored refuses a job that is in no batch yet.
func (c *Core) refuseUnstored(now time.Time, j *job) {
	delete(c.jobs, j.spec.ID)
	c.countUnfinished(j, -1)
	c.addUnstored(j, -1)
	c.memory.used -= j.heldBytes
	for _, call := range j.calls {
		resp := c.refuse(now, j.spec, call, "store_unavailable", retryAfterStalled)
		resp.Kind = ResponseStoreUnavailable
		c.out.Responses = append(c.out.Responses, *resp)
	}
}

// Fenced reports whether a worker refused this leader's token.
func (c *Core) Fenced() bool { return c.fenced }

// SetQueues replaces the configuration of the queues. Jobs of removed queues
// keep the configuration under which they were accepted.
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

// HasQueue reports whether a queue is configured.
func (c *Core) HasQueue(name string) bool { return c.queues[name] != nil }

// worker returns the worker with an ID and creates it if it is not known.
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
