package cell

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/retry"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ring"
	"catkinvalve/internal/telemetry"
)

const (
	// inboxSize is the number of messages that may wait for the leader loop.
	inboxSize = 8192
	// loopTick is how often the loop runs without a message.
	loopTick = 50 * time.Millisecond
	// dialInterval is how often daemons without a link are dialed.
	dialInterval = time.Second
	// messagesPerRound bounds the messages taken before the next decision.
	messagesPerRound = 2048
	// roundInterval is the least time between two decisions, so that messages that
	// come close together are decided on together.
	minRoundInterval = 4 * time.Millisecond
	// batchInterval is the least time between two appends.
	minBatchInterval = 15 * time.Millisecond

	// flushRetry is when a batch that the journal could not take is offered again.
	flushRetryDelay = 10 * time.Millisecond

	// workerLease is granted with each call to a worker. It has to outlive a
	// takeover.
	workerLeaseDuration = 4500 * time.Millisecond
	// holdWait is how long a call to a worker waits for an end.
	syncWait = time.Second
	// silentAfter is the time without an answer after which a worker gets no work.
	silentAfter = 1700 * time.Millisecond
	// clockError is how much slower a worker's clock may run.
	maxClockDrift = 0.02
	// lateCalls is how long after it was sent a worker may still execute a call.
	maxCallDelay = 13 * time.Second
	// startTimeout bounds one attempt to start a run.
	startTimeout = 350 * time.Millisecond
	// endsPerList is the number of ends in a full list of a worker.
	endsPerPage = 500
	// maxJobs bounds the unfinished jobs.
	maxUnfinishedJobs = 20_000
)

// leader is one daemon's time as leader.
type leader struct {
	d      *Daemon
	token  uint64
	claim  claim
	core   *jobs.Core
	inbox  *ring.Ring[message]
	log    *logrus.Entry
	ctx    context.Context
	cancel context.CancelFunc
	// work holds the goroutines of the leader's calls.
	goroutines conc.WaitGroup

	journal *journal
	// lastBatch is when the last batch was handed over.
	lastBatchAt  time.Time
	confirmation confirmation
	// callers maps the core's calls to those who wait for the answer.
	callOrigins map[jobs.CallID]callOrigin
	lastCallID  jobs.CallID
	reports     map[string]report
	// probes holds how long the store took to answer other daemons in the present
	// round of probes.
	probeLatencies map[string]time.Duration
	// stopped is when each daemon was first heard to know of this leader.
	acknowledgedAt map[string]time.Time
	// former lists the earlier leads whose orders may not be known to all workers.
	previousTerms []*cellpb.Lead
	nodes         map[string]string
	// nodeChanges lists the daemons in the order in which they were added or moved.
	nodeChanges []string
	// toldOrder lists the successors that heartbeats name.
	heartbeatSuccessors []string
	// told lists the daemons that have the present configuration and node list.
	lastSent        map[*linkrpc.Link]sentVersions
	lastTickAt      time.Time
	lastHeartbeatAt time.Time
	// beats counts the rounds of heartbeats.
	heartbeatRounds uint64
	lastDialAt      time.Time
	configVersion   int64
	metrics         leaderMetrics
	queues          *queueMetrics
	stopReason      string
}

// caller is who waits for an answer: a daemon by its link, or this one.
type callOrigin struct {
	link *linkrpc.Link
	id   uint64
}

// report is the last report of another daemon.
type report struct {
	*cellpb.NodeReport
	receivedAt time.Time
}

// toldState is what a daemon was told last: the version of the configuration, and
// how many changes of the list of daemons.
type sentVersions struct {
	config int64
	nodes  int
}

// leaderMetrics are the leader's counters and histograms.
type leaderMetrics struct {
	starts, ends, refused, advice metrics.Counter
	round                         metrics.Histogram
}

func newLeader(d *Daemon, c claim, s *storedState) *leader {
	cfg := jobs.Config{
		Token: c.token, LeaseDuration: min(workerLeaseDuration, d.settings.Bounds.MaxLease), MaxWorkerLease: d.settings.Bounds.MaxLease, MaxCallDelay: maxCallDelay,
		SyncWait: syncWait, ClockDrift: maxClockDrift, SilentAfter: silentAfter,
		GangTimeout: d.settings.Bounds.GangTimeout, StartTimeout: startTimeout, Retention: d.settings.Bounds.StatusRetention + retentionSlack,
		MaxUnfinishedJobs: maxUnfinishedJobs, EndsPerPage: endsPerPage,
		Health: retry.HealthConfig{FailureThreshold: 2, BaseQuarantine: 2 * time.Second, MaxQuarantine: 8 * time.Second, MaxQuarantinedPercent: 25, MaxAttempts: 1 << 20, MaxKeys: 4096},
	}
	l := &leader{
		d: d, token: c.token, claim: c, core: jobs.New(cfg), log: d.log.WithField("token", c.token),
		inbox: ring.New[message]("leader", inboxSize, d.registry), callOrigins: map[jobs.CallID]callOrigin{},
		reports: map[string]report{}, acknowledgedAt: map[string]time.Time{}, probeLatencies: map[string]time.Duration{}, previousTerms: s.previousTerms(), nodes: map[string]string{}, lastSent: map[*linkrpc.Link]sentVersions{},
		queues: newQueueMetrics(d.registry),
		metrics: leaderMetrics{
			starts: telemetry.Counter(d.registry, "leader.starts"), ends: telemetry.Counter(d.registry, "leader.ends"),
			refused: telemetry.Counter(d.registry, "leader.refused"), advice: telemetry.Counter(d.registry, "leader.advice_calls"),
			round: telemetry.NewHistograms(d.registry, telemetry.DefaultMaxPairs).Latency("leader_round"),
		},
	}
	now := time.Now()
	config := d.config.current.Load()
	l.core.SetQueues(queuesOf(config))
	if config != nil {
		l.configVersion = config.Version
	}
	l.core.Restore(now, now, s.snapshot)
	l.core.SetPreviousLeaderEnd(l.previousLeadersEnd())
	l.confirmation.confirm(now)
	return l
}

// retentionSlack is added to the time for which ended jobs must be known.
const retentionSlack = 30 * time.Second

// run leads until another daemon takes over or ctx ends.
func (l *leader) run(ctx context.Context) {
	l.ctx, l.cancel = context.WithCancel(ctx)
	defer l.cancel()
	l.journal = newJournal(l)
	l.goroutines.Go(l.journal.run)
	l.goroutines.Go(l.pollWorkerList)
	l.goroutines.Go(l.readNodes)
	l.goroutines.Go(l.maintainConfigCopy)
	l.d.activeLeader.Store(l)
	l.d.members.becomeLeader(l.token)
	l.loop()
	l.d.activeLeader.Store(nil)
	l.d.members.stepDown()
	l.d.forwarder.failLocalCalls()
	l.cancel()
	l.goroutines.Wait()
	l.d.deps.CloseIdleConns()
	l.log.WithFields(logrus.Fields{"event": "leader_ended", "reason": l.stopReason}).Info("this daemon leads no more")
}

// loop takes messages, decides and hands out orders.
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
			l.stop("the daemon stops")
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
		telemetry.ObserveSince(l.metrics.round, start)
	}
}

// round decides once and carries out what was decided.
func (l *leader) round(now time.Time) {
	if now.Sub(l.lastTickAt) >= loopTick {
		l.lastTickAt = now
		l.core.SetPreviousLeaderEnd(l.previousLeadersEnd())
		l.core.Tick(now, now)
		l.core.SetAdviceRelays(l.adviceRelays())
	}
	l.core.SetStoreStalled(now, l.journal.stalled(now))
	l.core.Schedule(now)
	l.dispatch(l.core.TakeActions())
	l.flush(now)
	l.sendHeartbeats(now)
	l.checkLeadership(now)
}

// stop ends the lead.
func (l *leader) stop(stopReason string) {
	if l.stopReason == "" {
		l.stopReason = stopReason
	}
}

// flush hands the next batch to the journal.
func (l *leader) flush(now time.Time) {
	if now.Sub(l.lastBatchAt) < minBatchInterval || !l.journal.acceptsBatch(now) {
		return
	}
	if b := l.core.TakeBatch(); b != nil {
		l.lastBatchAt = now
		l.journal.enqueue(b)
	}
}

// flushIn returns when the next batch can be handed over, or 0 when there is
// none.
func (l *leader) nextFlushIn(now time.Time) time.Duration {
	if !l.core.HasBatch() {
		return 0
	}
	return max(minBatchInterval-now.Sub(l.lastBatchAt), flushRetryDelay)
}

// advisers returns the daemons that can ask the advice service, this one first.
func (l *leader) adviceRelays() []string {
	if l.d.deps.AdviceService == nil {
		return nil
	}
	names := []string{l.d.settings.Node}
	for _, link := range l.d.members.peerLinks() {
		if name := link.PeerHello.Node; !l.reports[name].GetLeaving() {
			names = append(names, name)
		}
	}
	slices.Sort(names[1:])
	return names
}

// readNodes reads which daemons there are.
func (l *leader) readNodes() {
	nodes := l.d.members.otherAddresses()
	maps.Copy(nodes, l.d.readNodes(l.ctx))
	l.push(nodesMsg{nodes})
}

// push adds a message to the inbox and waits for room.
func (l *leader) push(m message) {
	// The only error is the end of the lead.
	_ = l.inbox.Push(l.ctx, m)
}
