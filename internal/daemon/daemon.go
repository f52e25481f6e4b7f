// Package daemon wires the duties of catkinvalved: a goroutine for each duty,
// joined by bounded rings, around the owner loop that makes all decisions.
package daemon

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"catkinvalve/internal/adapters/httpapi"
	"catkinvalve/internal/adapters/peerrpc"
	"catkinvalve/internal/core/election"
	"catkinvalve/internal/core/lease"
	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/ring"
	"catkinvalve/internal/settings"
	"catkinvalve/internal/telemetry"
)

// Deps are the platform clients of a daemon.
type Deps struct {
	Log     ports.Log
	List    ports.InstanceList
	Workers ports.WorkerDialer
	// Old is nil when there is no old system.
	Old ports.OldSystem
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Faults cuts links to other daemons in tests; nil cuts none.
	Faults *LinkFaults

	Logger   *logrus.Entry
	Registry metrics.Registry
}

// Daemon is one catkinvalved process.
type Daemon struct {
	set         settings.Settings
	incarnation string
	// holder names this process in worker leases. It changes with each start,
	// so that a restarted daemon is not taken for its predecessor.
	holder     string
	log        *logrus.Entry
	now        func() time.Time
	logService ports.Log
	list       ports.InstanceList
	dialer     ports.WorkerDialer

	ctx      context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup
	requests *ring.Ring[message]
	controls *ring.Ring[message]
	state    atomic.Pointer[state]
	config   *configStore
	fetching atomic.Bool
	book     peerBook
	peers    *peerrpc.Client
	peerSrv  *peerrpc.Server
	httpSrv  *httpapi.Server
	journal  *journal
	// journalCut is set once the log was seen to have dropped fates. They do
	// not come back, so the stream is not read again for them.
	journalCut atomic.Bool
	old        *oldForwarder
	delegator  *delegator

	replicator *replicator
	metrics    counters
	registry   metrics.Registry
	histograms *telemetry.Histograms
}

// counters are the daemon's own metrics.
type counters struct {
	appends, agentQueueFull, journalDropped, listErrors, logErrors metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		appends:        telemetry.Counter(r, "log.appends"),
		agentQueueFull: telemetry.Counter(r, "ring.agent.refused"),
		journalDropped: telemetry.Counter(r, "ring.journal.dropped"),
		listErrors:     telemetry.Counter(r, "list.errors"),
		logErrors:      telemetry.Counter(r, "log.errors"),
	}
}

// New returns a daemon that is not running yet.
func New(set settings.Settings, deps Deps) (*Daemon, error) {
	if deps.Now == nil {
		deps.Now = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	incarnation := strconv.FormatInt(deps.Now().UnixNano(), 36)
	d := &Daemon{
		set: set, incarnation: incarnation, holder: set.DaemonID + "@" + incarnation,
		log: deps.Logger, now: deps.Now, logService: deps.Log, list: deps.List, dialer: deps.Workers,
		ctx: ctx, cancel: cancel, registry: deps.Registry, histograms: telemetry.NewHistograms(deps.Registry, telemetry.DefaultMaxPairs),
		metrics: newCounters(deps.Registry), config: newConfigStore(),
		requests: ring.New[message]("requests", requestRingSize, deps.Registry),
		controls: ring.New[message]("control", controlRingSize, deps.Registry),
	}
	d.state.Store(&state{})
	d.exportState()
	d.journal, d.replicator, d.delegator = newJournal(d), newReplicator(d), newDelegator(d)
	d.old = newOldForwarder(d, deps.Old)
	if err := d.newServers(deps); err != nil {
		cancel()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) newServers(deps Deps) error {
	opts := peerrpc.Options{
		Self:                  peerrpc.Caller{ID: d.set.DaemonID, Region: d.set.Region},
		PayloadBytesPerSecond: int(d.set.CrossRegionBytesPerSecond),
		Registry:              deps.Registry, Log: deps.Logger,
	}
	serverOpts := opts
	if deps.Faults != nil {
		opts.Blocked, serverOpts.Blocked = deps.Faults.Out, deps.Faults.In
	}
	d.peers = peerrpc.NewClient(opts)
	var err error
	if d.peerSrv, err = peerrpc.NewServer(&peerService{d: d, snapshots: map[string]fenceReply{}}, serverOpts); err != nil {
		return err
	}
	d.httpSrv = httpapi.New(d, httpapi.Options{
		BodyBytes: d.set.Limits.BodyBytes, HeaderBytes: int(d.set.Limits.HeaderBytes),
		HeaderTimeout: d.set.Limits.HeaderReadTimeout, BodyTimeout: d.set.Limits.BodyReadTimeout,
		IdleTimeout: d.set.Limits.IdleTimeout, MaxConns: d.set.Limits.MaxConnections, MaxWait: d.set.Limits.MaxWait,
		Registry: deps.Registry, Histograms: d.histograms, Log: deps.Logger,
	})
	return nil
}

// Run serves until ctx ends and then shuts down gracefully. Both listeners
// belong to the daemon from then on.
func (d *Daemon) Run(ctx context.Context, callers, peers net.Listener) error {
	l := d.newLoop()
	for _, duty := range []func(context.Context){
		func(ctx context.Context) { l.run(ctx, d.requests, d.controls) },
		d.replicator.run, d.journal.run, d.followList, d.followConfig, d.sendHeartbeats, d.watchRecords,
	} {
		d.group.Go(func() { duty(d.ctx) })
	}
	d.peerSrv.Start(peers)
	d.httpSrv.Start(callers)
	d.log.WithFields(logrus.Fields{"callers": callers.Addr().String(), "peers": peers.Addr().String()}).Info("daemon started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-d.httpSrv.ServeError():
	}
	return errors.Join(err, d.shutdown())
}

func (d *Daemon) newLoop() *loop {
	self := membership.Peer{ID: d.set.DaemonID, DataCentre: d.set.DataCentre, Region: d.set.Region}
	return &loop{
		d: d, set: d.set, log: d.log,
		core: scheduler.New(scheduler.Config{
			DataCentre: d.set.DataCentre, Region: d.set.Region, LeaseTTL: d.set.Timings.LeaseTTL,
			TaskGrace: d.set.Timings.TaskGrace, Seed: uint64(d.now().UnixNano()),
		}),
		leases:   lease.New(d.set.Timings.LeaseTTL),
		members:  membership.NewTable(self, suspectBeats*d.set.Timings.HeartbeatInterval),
		election: election.New(d.set.Timings.LeaseTTL),
		waiters:  map[string][]chan answer{}, agents: map[model.WorkerID]*agent{},
		startedAt: d.now(), histogram: d.histograms,
	}
}

// shutdown leaves without cutting a request in flight: the daemon first stops
// being ready while it still serves, then hands ownership over, then lets
// calls in flight end.
func (d *Daemon) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.set.Timings.ShutdownTimeout)
	defer cancel()
	d.log.Info("shutting down")
	d.control(drainMsg{})
	pause.For(ctx, d.set.Timings.SettleTime)
	d.handOver(ctx)
	err := d.httpSrv.Shutdown(ctx)
	err = errors.Join(err, d.peerSrv.Shutdown(ctx))
	d.cancel()
	d.group.Wait()
	err = errors.Join(err, d.peers.Close())
	d.log.Info("daemon stopped")
	return err
}

// handOver gives up the worker leases, so that a local peer can take them at once,
// and flushes the journal for the case that there is none.
func (d *Daemon) handOver(ctx context.Context) {
	d.journal.flush(ctx)
	done := make(chan struct{})
	d.control(resignMsg{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// control hands a message to the owner loop and waits for room: a report that
// were dropped would leave a slot reserved for ever.
func (d *Daemon) control(m message) { _ = d.controls.Push(d.ctx, m) }

// Ready implements the readiness check.
func (d *Daemon) Ready() error {
	s := d.state.Load()
	switch {
	case s.draining:
		return errDraining()
	case !s.ready:
		return fault.New(fault.NotReady, "wait until the daemon has read configuration, instance list and records",
			"the daemon does not know enough to serve (revision %d, role %s)", s.revision, s.role)
	}
	return nil
}

// stallLimit is the age of the loop's last tick at which the process is unhealthy.
const stallLimit = 10 * time.Second

// Healthy implements the liveness check.
func (d *Daemon) Healthy() error {
	if s := d.state.Load(); !s.at.IsZero() && d.now().Sub(s.at) > stallLimit {
		return fault.New(fault.Internal, "restart the daemon", "the owner loop has not run for %s", stallLimit)
	}
	return nil
}

// fromLocalPeer reports whether a peer call came from the own data centre.
func (d *Daemon) fromLocalPeer(ctx context.Context) bool {
	return d.state.Load().aliveLocal(peerrpc.CallerFromContext(ctx).ID)
}
