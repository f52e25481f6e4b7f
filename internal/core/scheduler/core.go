// Package scheduler is the state machine of a data centre's owner. It keeps the
// key records, decides what starts where and settles fates. It does no I/O:
// the daemon calls its methods from one goroutine with the current time, takes
// the resulting Actions and reports their outcome by further calls.
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

// Config holds what does not change while the daemon runs.
type Config struct {
	DataCentre model.DataCentre
	Region     string
	LeaseTTL   time.Duration
	TaskGrace  time.Duration
	// Retention is how long records of final fates are kept.
	Retention time.Duration
	// MaxRecords bounds the records in memory.
	MaxRecords int
	// Seed makes the backoff jitter repeatable in tests.
	Seed uint64
}

// Default limits of the record table.
const (
	DefaultRetention  = 24 * time.Hour
	DefaultMaxRecords = 100_000
)

// Core is the state machine. It is not safe for concurrent use.
type Core struct {
	cfg           Config
	clusterConfig *text.Config
	// dataCentres lists the data centres of the text.
	dataCentres []model.DataCentre

	index     *placement.Index
	queue     *queue.Queue
	estimator *estimate.Estimator
	budget    *retry.Budget
	backoff   retry.Backoff
	rng       *rand.Rand
	health    *retry.Health
	carried   split.Carried
	// oldSlots are the slots on each worker that belong to the old system.
	oldSystemSlots int64
	entries        map[string]*entry
	workers        map[model.WorkerID]*workerState
	// grants holds leases granted before Serve; their inventories are merged
	// after the records of the peers and the journal.
	pendingGrants []LeaseGrant
	// early holds task reports that arrived before Serve.
	pendingReports []pendingReport
	// capacityKnown is true when every listed worker has granted a lease once.
	capacityKnown bool
	// largest is the largest capacity of any worker in each dimension.
	largestWorker     model.Size
	mem               memoryUsage
	interactiveDemand interactiveDemand
	// due holds running requests that are stopped at their deadline.
	deadlines   deadlineHeap
	homeTerms   map[model.DataCentre]uint64
	remoteLoads map[model.DataCentre]*remoteLoad

	serving bool
	// adopting is set while a new owner merges inventories. No request may be
	// started again before all of them were seen.
	mergingInventories bool
	// servicesPending is set while the instances of services wait for inventories.
	serviceSyncPending bool
	term               uint64
	doubt              *doubt
	// dirty is set when something changed that may let a waiting task start.
	dirty bool
	// hold keeps smaller work from delaying the oldest waiting gang.
	gangReservation backfillReservation
	actions         Actions
	counters        Counters
}

// Counters counts decisions since the process started.
type Counters struct {
	Admitted, Refused, Started, Finished, Failed, Retried, Preempted int64
	// Lost counts tasks whose worker is gone, NotStarted starts that a worker
	// surely did not accept, and StaleAnswers reports of attempts given up.
	Lost, NotStarted, StaleReports            int64
	DelegatedOut, DelegatedIn, RecordsDropped int64
}

// entry is a key record with what the owner needs besides.
type entry struct {
	rec model.Record
	// home is the data centre that delegated the request here, or "".
	home model.DataCentre
	// acked is the highest version that the standbys have.
	ackedVersion uint64
	// settleAt is the version after which the final fate may be told.
	finalVersion uint64
	tasks        []taskRuntime
	// preempted is when tasks were last stopped to make room; zero once the
	// request was placed.
	preemptedAt time.Time
	// delegated is set once the delegation was handed to the daemon.
	delegationSent bool
	// lookup is set while the old system is asked for the key.
	lookupPending bool
	// maybeOld is set when an earlier owner may have sent the request to the
	// old system.
	maybeSentToOld bool
	// standing marks an instance that the text asks for.
	serviceInstance bool
	// restored marks a record of an earlier owner; it may be out of date while
	// the data centre is in doubt.
	restored     bool
	waitingSince time.Time
}

// taskRuntime is the owner's volatile state of one task.
type taskRuntime struct {
	// startAt is the record version that must be replicated before the start
	// or the delegation is sent; 0 when none is pending.
	startVersion uint64
	charged      model.Size
	startedAt    time.Time
	// failures counts the attempts that ended badly. Preemption, draining and
	// refused starts do not count.
	failures int
}

type workerState struct {
	worker model.Worker
	bootID string
	leased bool
	// contact is the latest time at which the worker's lease may have been renewed.
	lastContact   time.Time
	draining      bool
	drainingSince time.Time
	// asked is set when an operator asked for the drain, whatever the list says.
	drainRequested bool
	// probing is set while the one task that may bring the worker back from
	// quarantine runs.
	probeRunning bool
	// drained is set once the drain deadline stopped its tasks.
	drainEnforced bool
}

type pendingReport struct {
	worker model.WorkerID
	report TaskReport
}

type finalizedKey struct {
	key     string
	endedAt time.Time
}

// New returns a standby's core.
func New(cfg Config) *Core {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = DefaultMaxRecords
	}
	return &Core{
		cfg:           cfg,
		clusterConfig: &text.Config{},
		index:         placement.New(placement.Options{}),
		queue:         queue.New(queue.Config{}),
		estimator:     estimate.New(estimate.Options{}),
		budget:        retry.NewBudget(budgetConfig(0)),
		rng:           rand.New(rand.NewPCG(cfg.Seed, 1)),
		health:        retry.NewHealth(healthConfig),
		entries:       map[string]*entry{},
		workers:       map[model.WorkerID]*workerState{},
		homeTerms:     map[model.DataCentre]uint64{},
		remoteLoads:   map[model.DataCentre]*remoteLoad{},
	}
}

// Take returns the actions since the last call and clears them.
func (c *Core) TakeActions() Actions {
	a := c.actions
	c.actions = Actions{}
	return a
}

// Serving reports whether the core may decide.
func (c *Core) Serving() bool { return c.serving }

// Term returns the term of the current or last ownership.
func (c *Core) Term() uint64 { return c.term }

// Counters returns the decision counters.
func (c *Core) Counters() Counters { return c.counters }

// Records returns the number of records in memory.
func (c *Core) RecordCount() int { return len(c.entries) }

// Home returns the home data centre of a key under the current text.
func (c *Core) Home(key string) model.DataCentre { return membership.Home(key, c.dataCentres) }

// BeginCampaign drops inventories of earlier campaigns.
func (c *Core) DiscardBufferedEvents() { c.pendingGrants, c.pendingReports = nil, nil }

// AllRecords returns copies of all records, for standbys and successors. After
// stepping down it leaves out final fates that no standby confirmed: a
// successor may have decided otherwise, and no caller was told.
func (c *Core) AllRecords() []model.Record {
	out := make([]model.Record, 0, len(c.entries))
	for _, e := range c.entries {
		if c.serving || !e.fateUnconfirmed() {
			out = append(out, copyRecord(&e.rec))
		}
	}
	return out
}

// changed marks a new version of the record. Standbys and the journal get it
// with the next Actions.
func (c *Core) replicate(e *entry) {
	e.rec.Version++
	e.rec.Term = c.term
	c.actions.RecordsToReplicate = append(c.actions.RecordsToReplicate, copyRecord(&e.rec))
}

// journal adds the record to the next batch for the log. Payloads stay out:
// the journal only has to answer for fates.
func (c *Core) journal(e *entry) {
	r := copyRecord(&e.rec)
	r.PayloadMissing = r.PayloadMissing || len(r.Request.Payload) > 0
	r.Request.Payload = nil
	c.actions.RecordsToJournal = append(c.actions.RecordsToJournal, r)
}

func copyRecord(r *model.Record) model.Record {
	out := *r
	out.Tasks = append([]model.TaskRecord(nil), r.Tasks...)
	return out
}
