// Package scheduler implements the state machine of a data centre's owner, the
// elected daemon that schedules it. The state machine keeps a record of each
// request key, places tasks on workers and decides the final fates of requests.
// It does no I/O and reads no clock: the daemon calls its methods from one
// goroutine with the current time, executes the Actions that result and reports
// their outcome by further calls.
package scheduler

import (
	"math/rand/v2"
	"time"

	"catkinvalve/internal/core/estimate"
	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement"
	"catkinvalve/internal/core/queue"
	"catkinvalve/internal/core/retry"
	"catkinvalve/internal/core/split"
	"catkinvalve/internal/text"
)

// Config holds the settings that are fixed while the daemon runs.
type Config struct {
	DataCentre model.DataCentre
	Region     string
	LeaseTTL   time.Duration
	// TaskGrace is how long a worker whose lease has ended lets its tasks run.
	TaskGrace time.Duration
	// Retention is how long records with a final fate are kept; 0 means
	// DefaultRetention.
	Retention time.Duration
	// MaxRecords bounds the records in memory; 0 means DefaultMaxRecords.
	MaxRecords int
	// Seed makes the backoff jitter repeatable in tests.
	Seed uint64
}

// Default limits of the record table.
const (
	DefaultRetention  = 24 * time.Hour
	DefaultMaxRecords = 100_000
)

// Core is the state machine. It runs on each daemon, as owner or as standby
// replica. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	text *text.Config
	// dataCentres lists the data centres of text, in its order.
	dataCentres []model.DataCentre

	index     *placement.Index
	queue     *queue.Queue
	estimator *estimate.Estimator
	budget    *retry.Budget
	backoff   retry.Backoff
	rng       *rand.Rand
	health    *retry.Health
	// history holds the recent values of settings that were changed by configuration
	// revisions.
	history split.History
	// oldSystemSlots is the number of slots on each worker that the old system may use.
	oldSystemSlots int64
	entries        map[string]*entry
	workers        map[model.WorkerID]*workerState
	// pendingGrants holds leases granted before StartServing. Their inventories
	// are merged after the records of the peers and the journal.
	pendingGrants []LeaseGrant
	// pendingReports holds task reports that arrived before StartServing.
	pendingReports []pendingReport
	// capacityKnown is true while every listed worker has granted a lease at least
	// once and so reported its capacity.
	capacityKnown bool
	// largestWorker is the largest capacity of any worker in each dimension.
	largestWorker     model.Size
	mem               memoryUsage
	interactiveDemand interactiveDemand
	// deadlines holds running requests that have to be stopped at their deadline.
	deadlines   deadlineHeap
	homeTerms   map[model.DataCentre]uint64
	remoteLoads map[model.DataCentre]*remoteLoad

	serving bool
	// mergingInventories is set while a new owner merges the buffered inventories.
	// No request may be restarted until all of them have been merged.
	mergingInventories bool
	// serviceSyncPending is set while syncServices waits for worker inventories.
	serviceSyncPending bool
	term               uint64
	doubt              *doubt
	// dirty is set when a change may allow a waiting task to start.
	dirty bool
	// gangReservation keeps backfilled batch tasks from delaying the first waiting
	// gang that does not fit.
	gangReservation backfillReservation
	actions         Actions
	counters        Counters
}

// Counters counts decisions since the process started.
type Counters struct {
	Admitted, Refused, Started, Finished, Failed, Retried, Preempted int64
	// Lost counts tasks whose worker was lost. NotStarted counts starts that the
	// worker certainly did not accept. StaleReports counts reports about attempts
	// that the record no longer refers to.
	Lost, NotStarted, StaleReports            int64
	DelegatedOut, DelegatedIn, RecordsDropped int64
}

// entry is the record of a key and the owner's volatile state about it.
type entry struct {
	rec model.Record
	// home is the data centre that delegated the request to this one; "" if none did.
	home model.DataCentre
	// ackedVersion is the highest record version that the standbys have.
	ackedVersion uint64
	// finalVersion is the record version with the final fate; 0 before. Callers
	// are told the fate once the standbys have this version.
	finalVersion uint64
	tasks        []taskRuntime
	// preemptedAt is when other tasks were last preempted to make room for this
	// request; zero once the request is placed.
	preemptedAt time.Time
	// delegationSent is set once the delegation was handed to the daemon.
	delegationSent bool
	// lookupPending is set while the old system is asked whether it knows the key.
	lookupPending bool
	// maybeSentToOld is set when an earlier owner may have sent the request to
	// the old system.
	maybeSentToOld bool
	// serviceInstance marks a service instance that the configuration asks for,
	// which is restarted whenever it ends.
	serviceInstance bool
	// restored marks a record of an earlier owner. It may be out of date while
	// the data centre is in doubt.
	restored bool
	// waitingSince is when the request was accepted here; zero for a restored record.
	waitingSince time.Time
}

// taskRuntime is the owner's volatile state of one task.
type taskRuntime struct {
	// startVersion is the record version that must be replicated before the start
	// or the delegation is sent; 0 when neither is pending.
	startVersion uint64
	// charged is the size charged to the team's quota; zero if none is.
	charged model.Size
	// startedAt is when the worker confirmed the start; until then, when the task was
	// assigned to the worker.
	startedAt time.Time
	// failures counts the attempts that failed or were lost with their worker.
	// Preemption, draining and refused starts do not count.
	failures int
}

// workerState is the owner's volatile state of a worker on the instance list or with a
// lease that is still held.
type workerState struct {
	worker model.Worker
	bootID string
	leased bool
	// lastContact is the latest time at which the worker's lease may have been renewed.
	lastContact time.Time
	// draining is set when the instance list or an operator asks for a drain.
	draining      bool
	drainingSince time.Time
	// drainRequested is set when an operator asked for the drain, which then holds
	// even if the instance list does not mark the worker as leaving.
	drainRequested bool
	// probeRunning is set while the worker runs its probe: after a quarantine it
	// gets a single task, and further ones only once the outcome is known.
	probeRunning bool
	// drainEnforced is set once tasks were moved off because the drain time was over.
	drainEnforced bool
}

// pendingReport is a task report that arrived before StartServing.
type pendingReport struct {
	worker model.WorkerID
	report TaskReport
}

// finalizedKey is a key with a final fate and the time at which it ended.
type finalizedKey struct {
	key     string
	endedAt time.Time
}

// New returns a Core that is a standby without records, workers or cluster
// configuration.
func New(cfg Config) *Core {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = DefaultMaxRecords
	}
	return &Core{
		cfg:         cfg,
		text:        &text.Config{},
		index:       placement.New(placement.Options{}),
		queue:       queue.New(queue.Config{}),
		estimator:   estimate.New(estimate.Options{}),
		budget:      retry.NewBudget(budgetConfig(0)),
		rng:         rand.New(rand.NewPCG(cfg.Seed, 1)),
		health:      retry.NewHealth(healthConfig),
		entries:     map[string]*entry{},
		workers:     map[model.WorkerID]*workerState{},
		homeTerms:   map[model.DataCentre]uint64{},
		remoteLoads: map[model.DataCentre]*remoteLoad{},
	}
}

// TakeActions returns the actions that accumulated since the last call and
// clears them.
func (c *Core) TakeActions() Actions {
	a := c.actions
	c.actions = Actions{}
	return a
}

// Serving reports whether the daemon owns the data centre, so that the core accepts
// requests and makes decisions.
func (c *Core) Serving() bool { return c.serving }

// Term returns the term of the current ownership, or of the last one while the
// core does not serve.
func (c *Core) Term() uint64 { return c.term }

// Counters returns the decision counters.
func (c *Core) Counters() Counters { return c.counters }

// RecordCount returns the number of records in memory.
func (c *Core) RecordCount() int { return len(c.entries) }

// Home returns the home data centre of a key under the current cluster
// configuration.
func (c *Core) Home(key string) model.DataCentre { return membership.Home(key, c.dataCentres) }

// DiscardBufferedEvents drops the lease grants and task reports that were
// buffered for StartServing. The daemon calls it at the start of each election
// campaign, because they belong to an earlier one.
func (c *Core) DiscardBufferedEvents() { c.pendingGrants, c.pendingReports = nil, nil }

// AllRecords returns copies of all records, for standbys and successors. After
// StepDown it leaves out records whose final fate no standby confirmed: no caller
// was told that fate, and a successor may have decided on another one.
func (c *Core) AllRecords() []model.Record {
	out := make([]model.Record, 0, len(c.entries))
	for _, e := range c.entries {
		if c.serving || !e.fateUnconfirmed() {
			out = append(out, copyRecord(&e.rec))
		}
	}
	return out
}

// replicate gives the record a new version in the current term and adds a copy
// to the actions for the standbys. It is called after every change of a record.
func (c *Core) replicate(e *entry) {
	e.rec.Version++
	e.rec.Term = c.term
	c.actions.RecordsToReplicate = append(c.actions.RecordsToReplicate, copyRecord(&e.rec))
}

// journal adds a copy of the record to the next batch for the log. The copy has
// no payload, because the journal only has to answer queries for fates.
func (c *Core) journal(e *entry) {
	r := copyRecord(&e.rec)
	r.PayloadMissing = r.PayloadMissing || len(r.Request.Payload) > 0
	r.Request.Payload = nil
	c.actions.RecordsToJournal = append(c.actions.RecordsToJournal, r)
}

// copyRecord copies a record with its own slice of tasks.
func copyRecord(r *model.Record) model.Record {
	out := *r
	out.Tasks = append([]model.TaskRecord(nil), r.Tasks...)
	return out
}
