// Package daemon assembles catkinvalved. One goroutine, the owner loop, makes
// all scheduling decisions. Background goroutines do the I/O and reach the loop
// through bounded ring buffers.
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
	"catkinvalve/internal/adapters/intakedrpc"
	"catkinvalve/internal/adapters/intakenet"
	"catkinvalve/internal/adapters/peerrpc"
	"catkinvalve/internal/core/election"
	"catkinvalve/internal/core/lease"
	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/intake"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/ring"
	"catkinvalve/internal/settings"
	"catkinvalve/internal/telemetry"
)

// Deps holds the clients and other dependencies of a daemon.
type Deps struct {
	Log     ports.Log
	List    ports.InstanceList
	Workers ports.WorkerDialer
	// Old is nil when there is no old system.
	Old ports.OldSystem
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Faults blocks calls from and to other daemons in tests; nil blocks none.
	Faults *LinkFaults

	Logger   *logrus.Entry
	Registry metrics.Registry
}

// Daemon is one catkinvalved process.
type Daemon struct {
	set settings.Settings
	// incarnation identifies this process. It is its start time in nanoseconds, in
	// base 36.
	incarnation string
	// holder identifies this process in worker leases. It changes with each
	// start, so that a restarted daemon is not mistaken for its predecessor.
	holder     string
	log        *logrus.Entry
	now        func() time.Time
	logService ports.Log
	list       ports.InstanceList
	dialer     ports.WorkerDialer

	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup
	// requests carries calls about requests and queries to the owner loop; they are
	// refused when it is full. controls carries all other messages, whose senders wait
	// when it is full.
	requests *ring.Ring[message]
	controls *ring.Ring[message]
	state    atomic.Pointer[state]
	config   *configStore
	// fetchingConfig is true while a configuration is fetched from a peer.
	fetchingConfig atomic.Bool
	addressBook    peerAddressBook
	peers          *peerrpc.Client
	peerSrv        *peerrpc.Server
	httpSrv        *httpapi.Server
	journal        *journal
	// journalTruncated is set when the log has dropped fates that may still be
	// asked for. They cannot be read any more, so an owner in doubt does not read
	// the stream again for them.
	journalTruncated atomic.Bool
	oldSystem        *oldSystemForwarder
	delegator        *delegator

	replicator *replicator
	metrics    counters
	registry   metrics.Registry
	histograms *telemetry.Histograms
}

// counters holds the metrics that the daemon itself increments.
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

// New returns a daemon that does not serve until Run is called. It fails when
// the peer RPC server cannot be created.
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
	d.registerStateGauges()
	d.journal, d.replicator, d.delegator = newJournal(d), newReplicator(d), newDelegator(d)
	d.oldSystem = newOldSystemForwarder(d, deps.Old)
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
		opts.Blocked, serverOpts.Blocked = deps.Faults.OutboundBlocked, deps.Faults.InboundBlocked
	}
	d.peers = peerrpc.NewClient(opts)
	var err error
	if d.peerSrv, err = peerrpc.NewServer(&peerService{d: d, snapshots: map[string]fetchRecordsReply{}}, serverOpts); err != nil {
		return err
	}
	d.httpSrv = httpapi.New(d, httpapi.Options{
		BodyBytes: d.set.Limits.BodyBytes, HeaderBytes: int(d.set.Limits.HeaderBytes),
		HeaderTimeout: d.set.Limits.HeaderReadTimeout, BodyTimeout: d.set.Limits.BodyReadTimeout,
		IdleTimeout: d.set.Limits.IdleTimeout, MaxConns: d.set.Limits.MaxConnections, MaxWait: d.set.Limits.MaxWait,
		Clients:  intake.CallerLimits(d.set.Limits.MemoryMB, d.set.Limits.MaxFiles),
		Registry: deps.Registry, Histograms: d.histograms, Log: deps.Logger,
	})
	return nil
}

// Run serves until ctx ends or the HTTP server fails, and then shuts down
// gracefully. It takes ownership of both listeners. The error joins that of the
// HTTP server with those of the shutdown.
func (d *Daemon) Run(ctx context.Context, callers, peers net.Listener) error {
	l := d.newOwnerLoop()
	for _, runTask := range []func(context.Context){
		func(ctx context.Context) { l.run(ctx, d.requests, d.controls) },
		d.replicator.run, d.journal.run, d.pollInstanceList, d.followConfig, d.sendHeartbeats, d.watchRecords,
	} {
		d.group.Go(func() { runTask(d.ctx) })
	}
	d.peerSrv.Start(d.limitPeers(peers))
	d.httpSrv.Start(callers)
	d.log.WithFields(logrus.Fields{"callers": callers.Addr().String(), "peers": peers.Addr().String()}).Info("daemon started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-d.httpSrv.ServeError():
	}
	return errors.Join(err, d.shutdown())
}

// limitPeers returns a listener that limits the connections of other daemons and the memory of
// their calls.
func (d *Daemon) limitPeers(l net.Listener) net.Listener {
	limiter := intake.NewLimiter(intake.LinkLimits(d.set.Limits.MemoryMB, d.set.Limits.MaxFiles))
	return intakedrpc.NewListener(l, limiter, intakenet.NewReport(d.registry, d.log, "peers", limiter).Update)
}

func (d *Daemon) newOwnerLoop() *ownerLoop {
	self := membership.Peer{ID: d.set.DaemonID, DataCentre: d.set.DataCentre, Region: d.set.Region}
	return &ownerLoop{
		d: d, set: d.set, log: d.log,
		core: scheduler.New(scheduler.Config{
			DataCentre: d.set.DataCentre, Region: d.set.Region, LeaseTTL: d.set.Timings.LeaseTTL,
			TaskGrace: d.set.Timings.TaskGrace, Seed: uint64(d.now().UnixNano()),
		}),
		leases:   lease.New(d.set.Timings.LeaseTTL),
		members:  membership.NewTable(self, missedHeartbeatLimit*d.set.Timings.HeartbeatInterval),
		election: election.New(d.set.Timings.LeaseTTL),
		waiters:  map[string][]chan recordReply{}, agents: map[model.WorkerID]*agent{},
		startedAt: d.now(), histogram: d.histograms,
	}
}

// shutdown stops the daemon without interrupting requests in flight. It first
// reports not ready while it still serves, then gives up ownership, and then
// waits for calls in flight. All of this is bounded by the shutdown timeout.
func (d *Daemon) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.set.Timings.ShutdownTimeout)
	defer cancel()
	d.log.Info("shutting down")
	d.sendControl(drainMsg{})
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

// handOver flushes the journal, in case no local peer has the records, and
// releases the worker leases, so that a local peer can acquire them at once. It
// returns early when ctx ends.
func (d *Daemon) handOver(ctx context.Context) {
	d.journal.flush(ctx)
	done := make(chan struct{})
	d.sendControl(resignMsg{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// sendControl sends a message to the owner loop and blocks while the ring is
// full: dropping a task report would leave its slot reserved forever.
func (d *Daemon) sendControl(m message) { _ = d.controls.Push(d.ctx, m) }

// Ready implements the readiness check. It returns nil when the daemon can
// serve requests, otherwise a fault that says why not.
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

// loopStallTimeout is the age of the owner loop's last tick above which the
// process is unhealthy.
const loopStallTimeout = 10 * time.Second

// Healthy implements the liveness check. It returns a fault when the owner loop
// has stalled.
func (d *Daemon) Healthy() error {
	if s := d.state.Load(); !s.publishedAt.IsZero() && d.now().Sub(s.publishedAt) > loopStallTimeout {
		return fault.New(fault.Internal, "restart the daemon", "the owner loop has not run for %s", loopStallTimeout)
	}
	return nil
}

// fromLocalPeer reports whether a peer call came from a live daemon of this data
// centre.
func (d *Daemon) fromLocalPeer(ctx context.Context) bool {
	return d.state.Load().hasLiveLocalPeer(peerrpc.CallerFromContext(ctx).ID)
}
