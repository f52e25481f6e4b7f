package cell

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/retry"
	"catkinvalve/internal/core/voters"
	"catkinvalve/internal/lastseen"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/ring"
	"catkinvalve/internal/telemetry"
)

const (
	// inboxSize is the capacity of the leader loop's queue of messages.
	inboxSize = 8192
	// loopTick is how often the loop runs when there are no messages.
	loopTick = 50 * time.Millisecond
	// dialInterval is how often the leader dials daemons to which there is no link.
	dialInterval = time.Second
	// messagesPerRound limits the messages that the loop handles in one round.
	messagesPerRound = 2048
	// minRoundInterval is the minimum time between the starts of two rounds, so that
	// messages that arrive close together are handled in one scheduling decision.
	minRoundInterval = 4 * time.Millisecond
	// workerLeaseDuration is the lease that each call to a worker grants. It must last
	// longer than a takeover by another leader.
	workerLeaseDuration = 4500 * time.Millisecond
	// syncWait is how long a lease renewal, which is a long poll, waits at the worker
	// for the end of a run.
	syncWait = time.Second
	// silentAfter is the time without an answer after which a worker gets no new tasks.
	silentAfter = 1700 * time.Millisecond
	// maxClockDrift is the fraction by which a worker's clock may run slower than the
	// leader's.
	maxClockDrift = 0.02
	// maxCallDelay is the longest time after which a worker may still execute a call
	// that was sent to it.
	maxCallDelay = 13 * time.Second
	// startTimeout limits one attempt to start a run.
	startTimeout = 350 * time.Millisecond
	// endsPerPage is the maximum number of ended runs in one answer of a worker.
	endsPerPage = 500
	// loadInterval is how often a leader logs its load.
	loadInterval = time.Second
	// maxUnfinishedJobs limits the jobs that have not ended.
	maxUnfinishedJobs = 20_000
)

// leader is the state of this daemon during one of its terms as leader. The core, the
// maps and the times are used by the leader loop only.
type leader struct {
	d     *Daemon
	token uint64
	claim claim
	core  *jobs.Core
	inbox *ring.Ring[message]
	// inboxBytes limits the calls of other daemons in inbox.
	inboxBytes byteLimit
	log        *logrus.Entry
	// ctx ends when the leadership ends.
	ctx    context.Context
	cancel context.CancelFunc
	// goroutines are the goroutines that the leader started, such as those of its calls.
	goroutines conc.WaitGroup

	// caller makes the calls to workers that no relay makes.
	caller  *workerCaller
	relayed *relayedCalls

	journal *journal
	// lastBatchAt is when the last batch was passed to the journal.
	lastBatchAt  time.Time
	confirmation confirmation
	absent       absentJobs
	// callOrigins maps the calls that the core has not answered to their origins.
	callOrigins map[jobs.CallID]callOrigin
	lastCallID  jobs.CallID
	// reports holds the last report of each other daemon.
	reports map[string]report
	// probeLatencies holds how long the store took to answer other daemons in the
	// current round of probes.
	probeLatencies map[string]time.Duration
	// acknowledgedAt holds when each daemon first reported a token at least as high as
	// this leader's.
	acknowledgedAt map[string]time.Time
	// previousTerms lists the terms whose leaders may have extended leases of workers.
	previousTerms []*cellpb.Lead
	// previousVoters are the voters of the last term; nil if its leader recorded none.
	previousVoters voters.Set
	// voters are the voters of this term, and voterRecords the change of them that is not passed
	// to the journal yet.
	voters          voters.Membership
	voterRecords    []ports.KeyedRecord
	votersCheckedAt time.Time
	// previousTermsUnknown is set when the record of these terms cannot be decoded.
	previousTermsUnknown bool
	// nodes maps the names of daemons to their link addresses.
	nodes map[string]string
	// nodeChanges lists the daemons in the order in which they were added or moved.
	nodeChanges []string
	// heartbeatSuccessors lists the successors that the current heartbeats contain.
	heartbeatSuccessors []string
	// lastSent holds what heartbeats have sent over each open link so far.
	lastSent        map[*linkrpc.Link]sentVersions
	lastTickAt      time.Time
	lastHeartbeatAt time.Time
	// heartbeatRounds counts the rounds of heartbeats.
	heartbeatRounds uint64
	lastDialAt      time.Time
	lastLoadAt      time.Time
	// roundTime is the time spent in rounds since lastLoadAt.
	roundTime     time.Duration
	configVersion int64
	// compressed is the configuration of version compressedVersion in compressed form.
	compressed        []byte
	compressedVersion int64
	// configFetchedAt is when the leader last asked another daemon for its configuration.
	configFetchedAt time.Time
	metrics         leaderMetrics
	queues          *queueMetrics
	tenantReport    tenantReport
	plans           *rate.Limiter
	tenantMetrics   *tenantMetrics
	runTimes        runTimeMetrics
	// stopReason is why the leadership ends; empty until then.
	stopReason string
	// roundEnd is when the loop last ended a round.
	roundEnd lastseen.Mark
}

// callOrigin is where the answer to a call goes: to the daemon at the other end of
// link, or to this daemon's forwarder when link is nil.
type callOrigin struct {
	link *linkrpc.Link
	id   uint64
}

// report is the last report of another daemon, from the process with the given incarnation.
type report struct {
	*cellpb.NodeReport
	incarnation int64
	receivedAt  time.Time
}

// reportOver returns the last report of the process at the other end of a link; nil if it has sent
// none. What an earlier process of that daemon reported says nothing about it.
func (l *leader) reportOver(link *linkrpc.Link) *cellpb.NodeReport {
	r, reported := l.reports[link.PeerHello.Node]
	if !reported || r.incarnation != link.PeerHello.Incarnation {
		return nil
	}
	return r.NodeReport
}

// sentVersions is what was sent over a link: the version of the configuration, the time of its
// last sending, and the number of entries of leader.nodeChanges.
type sentVersions struct {
	config   int64
	configAt time.Time
	nodes    int
}

// newLeader returns the leader of a claimed term with the state that previous leaders
// stored. Its journal is created by run.
func newLeader(d *Daemon, c claim, s *storedState) *leader {
	cfg := jobs.Config{
		Token: c.token, LeaseDuration: min(workerLeaseDuration, d.settings.Bounds.MaxLease), MaxWorkerLease: d.settings.Bounds.MaxLease, MaxCallDelay: maxCallDelay,
		SyncWait: syncWait, ClockDrift: maxClockDrift, SilentAfter: silentAfter,
		GangTimeout: d.settings.Bounds.GangTimeout, StartTimeout: startTimeout, Retention: d.settings.Bounds.StatusRetention + retentionSlack,
		MaxUnfinishedJobs: maxUnfinishedJobs, MaxJobBytes: d.settings.memoryPart(jobMemoryShare), EndsPerPage: endsPerPage, RunTimeModel: true,
		Health: retry.HealthConfig{FailureThreshold: 2, BaseQuarantine: 2 * time.Second, MaxQuarantine: 8 * time.Second, MaxQuarantinedPercent: 25, MaxAttempts: 1 << 20, MaxKeys: 4096},
	}
	l := &leader{
		d: d, token: c.token, claim: c, core: jobs.New(cfg), log: d.log.WithField("token", c.token),
		inbox: ring.New[message]("leader", inboxSize, d.registry), callOrigins: map[jobs.CallID]callOrigin{},
		reports: map[string]report{}, acknowledgedAt: map[string]time.Time{}, probeLatencies: map[string]time.Duration{}, previousTerms: s.previousTerms(), previousTermsUnknown: s.termUnreadable,
		previousVoters: s.voters(), voters: voters.Membership{Current: s.voters()}, nodes: map[string]string{}, lastSent: map[*linkrpc.Link]sentVersions{},
		queues: newQueueMetrics(d.registry), tenantMetrics: newTenantMetrics(d.registry), plans: rate.NewLimiter(plansPerSecond, plansPerSecond),
		runTimes: runTimeMetrics{registry: d.registry},
		metrics: leaderMetrics{
			starts: telemetry.Counter(d.registry, "leader.starts"), ends: telemetry.Counter(d.registry, "leader.ends"),
			refused: telemetry.Counter(d.registry, "leader.refused"), advice: telemetry.Counter(d.registry, "leader.advice_calls"),
			round:         telemetry.NewHistograms(d.registry, telemetry.DefaultMaxPairs).Latency("leader_round"),
			jobBytes:      telemetry.Gauge(d.registry, "leader.job_bytes"),
			recoveryDelay: telemetry.Gauge(d.registry, "leader.recovery_delay_ms"),
		},
	}
	l.inboxBytes.limit, l.inboxBytes.refused = d.settings.memoryPart(inboxMemoryShare), telemetry.Counter(d.registry, "leader.inbox_refused")
	l.caller = &workerCaller{client: d.deps.Workers, token: c.token, superseded: func() bool { return d.superseded(c.token) }}
	l.relayed = newRelayedCalls(d.settings.Regions, d.maxDirectWorkers)
	now := time.Now()
	config := d.config.current.Load()
	l.core.SetQueues(queuesOf(config))
	if config != nil {
		l.configVersion = config.Version
		l.core.SetTenants(now, config.Tenants)
	}
	l.core.Restore(now, now, s.snapshot)
	l.core.SetPreviousLeaderEnd(l.previousLeadersEnd())
	l.confirmation.confirm(now)
	return l
}

// retentionSlack is added to the time for which the state of ended jobs must be kept.
const retentionSlack = 30 * time.Second

// run leads until the leader stops or ctx ends.
func (l *leader) run(ctx context.Context) {
	l.ctx, l.cancel = context.WithCancel(ctx)
	defer l.cancel()
	l.journal = newJournal(l)
	l.goroutines.Go(l.journal.run)
	l.goroutines.Go(l.pollWorkerList)
	l.goroutines.Go(l.readNodes)
	l.goroutines.Go(l.maintainConfigCopy)
	l.recordRound()
	l.d.activeLeader.Store(l)
	l.catchUpConfig()
	l.d.members.becomeLeader(l.token)
	l.loop()
	l.d.activeLeader.Store(nil)
	l.d.members.stepDown()
	l.metrics.recoveryDelay.Update(0)
	l.tenantMetrics.remove()
	l.runTimes.update(nil)
	l.returnUnconfirmed()
	l.d.forwarder.failLocalCalls()
	l.cancel()
	l.goroutines.Wait()
	l.d.deps.CloseIdleConns()
	l.log.WithFields(logrus.Fields{"event": "leader_ended", "reason": l.stopReason}).Info("this daemon is no longer the leader")
}

// catchUpConfig applies the configuration that arrived since newLeader, which no message brings.
func (l *leader) catchUpConfig() { configMsg{l.d.config.current.Load()}.apply(l, time.Now()) }

// loop handles messages and runs rounds until the leader stops.
func (l *leader) loop() {
	tick := time.NewTicker(loopTick)
	defer tick.Stop()
	flushTimer := time.NewTimer(minBatchInterval)
	defer flushTimer.Stop()
	lastRoundAt := time.Time{}
	var buffer []message
	for l.stopReason == "" {
		var first message
		select {
		case <-l.ctx.Done():
			l.stop("this daemon shuts down")
			return
		case <-tick.C:
		case <-flushTimer.C:
		case first = <-l.inbox.C():
			if wait := minRoundInterval - time.Since(lastRoundAt); wait > 0 {
				pause.For(l.ctx, wait)
			}
		}
		start := time.Now()
		lastRoundAt = start
		buffer = buffer[:0]
		if first != nil {
			buffer = append(buffer, first)
		}
		buffer = l.inbox.DrainInto(buffer, messagesPerRound)
		for _, m := range buffer {
			m.apply(l, start)
		}
		clear(buffer)
		l.round(start)
		if wait := l.nextFlushIn(time.Now()); wait > 0 {
			flushTimer.Reset(wait)
		}
		l.recordRound()
		telemetry.ObserveSince(l.metrics.round, start)
		l.roundTime += time.Since(start)
	}
}

// round makes one scheduling decision and dispatches its actions, passes a batch to the
// journal, sends heartbeats and checks whether this daemon is still the leader.
func (l *leader) round(now time.Time) {
	if now.Sub(l.lastTickAt) >= loopTick {
		l.lastTickAt = now
		l.core.SetPreviousLeaderEnd(l.previousLeadersEnd())
		l.core.Tick(now, now)
		l.core.SetAdviceRelays(l.adviceRelays())
		l.checkRelays(now)
		l.changeVoters(now)
		l.refuseUnconfirmed(now)
		l.logLoad(now)
	}
	l.core.SetStoreStalled(now, l.journal.stalled(now))
	l.core.Schedule(now)
	if time.Since(now) > isolatedLeaderTimeout {
		// Another daemon may have taken over meanwhile.
		if l.checkLeadership(time.Now()); l.stopReason != "" {
			return
		}
	}
	l.dispatch(now, l.core.TakeActions())
	l.flush(now)
	l.sendHeartbeats(now)
	l.checkLeadership(now)
}

// stop makes the leader loop end. The first reason is kept.
func (l *leader) stop(stopReason string) {
	if l.stopReason == "" {
		l.stopReason = stopReason
	}
}

// adviceRelays returns the daemons that can call the advice service, this one first. It
// returns nil when there is no advice service.
func (l *leader) adviceRelays() []string {
	if l.d.deps.AdviceService == nil {
		return nil
	}
	names := []string{l.d.settings.Node}
	for _, link := range l.d.members.peerLinks() {
		if name := link.PeerHello.Node; !l.reportOver(link).GetLeaving() {
			names = append(names, name)
		}
	}
	slices.Sort(names[1:])
	return names
}

// readNodes reads the registered daemons from the store and sends them, together with
// those that are already known, to the leader loop.
func (l *leader) readNodes() {
	nodes := l.d.members.otherAddresses()
	maps.Copy(nodes, l.d.readNodes(l.ctx))
	l.push(nodesMsg{nodes})
}

// push adds a message to the inbox. It blocks while the inbox is full and drops the
// message when the leadership ends.
func (l *leader) push(m message) {
	// Push fails only when the leadership ends.
	_ = l.inbox.Push(l.ctx, m)
}
