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
	roundInterval = 4 * time.Millisecond
	// batchInterval is the least time between two appends.
	batchInterval = 15 * time.Millisecond

	// flushRetry is when a batch that the journal could not take is offered again.
	flushRetry = 10 * time.Millisecond

	// workerLease is granted with each call to a worker. It has to outlive a
	// takeover.
	workerLease = 4500 * time.Millisecond
	// holdWait is how long a call to a worker waits for an end.
	holdWait = time.Second
	// silentAfter is the time without an answer after which a worker gets no work.
	silentAfter = 1700 * time.Millisecond
	// clockError is how much slower a worker's clock may run.
	clockError = 0.02
	// lateCalls is how long after it was sent a worker may still execute a call.
	lateCalls = 13 * time.Second
	// startTimeout bounds one attempt to start a run.
	startTimeout = 350 * time.Millisecond
	// endsPerList is the number of ends in a full list of a worker.
	endsPerList = 500
	// maxJobs bounds the unfinished jobs.
	maxJobs = 20_000
)

// leader is one daemon's time as leader.
type leader struct {
	d     *Daemon
	token uint64
	claim claim
	core  *jobs.Core
	inbox *ring.Ring[message]
	log   *logrus.Entry
	ctx   context.Context
	end   context.CancelFunc
	// work holds the goroutines of the leader's calls.
	work conc.WaitGroup

	journal *journal
	// lastBatch is when the last batch was handed over.
	lastBatch time.Time
	proof     proof
	// callers maps the core's calls to those who wait for the answer.
	callers  map[jobs.CallID]caller
	nextCall jobs.CallID
	reports  map[string]report
	// probes holds how long the store took to answer other daemons in the present
	// round of probes.
	probes map[string]time.Duration
	// stopped is when each daemon was first heard to know of this leader.
	stopped map[string]time.Time
	// former lists the earlier leads whose orders may not be known to all workers.
	former []*cellpb.Lead
	nodes  map[string]string
	// nodeChanges lists the daemons in the order in which they were added or moved.
	nodeChanges []string
	// toldOrder lists the successors that heartbeats name.
	toldOrder []string
	// told lists the daemons that have the present configuration and node list.
	told          map[*linkrpc.Link]toldState
	lastTick      time.Time
	lastHeartbeat time.Time
	// beats counts the rounds of heartbeats.
	beats         uint64
	lastDial      time.Time
	configVersion int64
	metrics       leaderMetrics
	queues        *queueMetrics
	why           string
}

// caller is who waits for an answer: a daemon by its link, or this one.
type caller struct {
	link *linkrpc.Link
	id   uint64
}

// report is the last report of another daemon.
type report struct {
	*cellpb.NodeReport
	at time.Time
}

// toldState is what a daemon was told last: the version of the configuration, and
// how many changes of the list of daemons.
type toldState struct {
	config int64
	nodes  int
}

// leaderMetrics are the leader's counters and histograms.
type leaderMetrics struct {
	starts, ends, refused, advice metrics.Counter
	round                         metrics.Histogram
}

func newLeader(d *Daemon, c claim, s *stored) *leader {
	cfg := jobs.Config{
		Token: c.token, LeaseDuration: min(workerLease, d.set.Bounds.MaxLease), MaxWorkerLease: d.set.Bounds.MaxLease, MaxCallDelay: lateCalls,
		SyncWait: holdWait, ClockDrift: clockError, SilentAfter: silentAfter,
		GangTimeout: d.set.Bounds.GangTimeout, StartTimeout: startTimeout, Retention: d.set.Bounds.StatusRetention + retentionSlack,
		MaxUnfinishedJobs: maxJobs, EndsPerPage: endsPerList,
		Health: retry.HealthConfig{FailureThreshold: 2, BaseQuarantine: 2 * time.Second, MaxQuarantine: 8 * time.Second, MaxQuarantinedPercent: 25, MaxAttempts: 1 << 20, MaxKeys: 4096},
	}
	l := &leader{
		d: d, token: c.token, claim: c, core: jobs.New(cfg), log: d.log.WithField("token", c.token),
		inbox: ring.New[message]("leader", inboxSize, d.registry), callers: map[jobs.CallID]caller{},
		reports: map[string]report{}, stopped: map[string]time.Time{}, probes: map[string]time.Duration{}, former: s.former(), nodes: map[string]string{}, told: map[*linkrpc.Link]toldState{},
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
	l.core.SetPreviousLeaderEnd(l.formerEnd())
	l.proof.confirm(now)
	return l
}

// retentionSlack is added to the time for which ended jobs must be known.
const retentionSlack = 30 * time.Second

// run leads until another daemon takes over or ctx ends.
func (l *leader) run(ctx context.Context) {
	l.ctx, l.end = context.WithCancel(ctx)
	defer l.end()
	l.journal = newJournal(l)
	l.work.Go(l.journal.run)
	l.work.Go(l.followWorkers)
	l.work.Go(l.readNodes)
	l.work.Go(l.keepCopy)
	l.d.leading.Store(l)
	l.d.members.lead(l.token)
	l.loop()
	l.d.leading.Store(nil)
	l.d.members.resign()
	l.d.entry.leaderEnded()
	l.end()
	l.work.Wait()
	l.d.deps.CloseIdleConns()
	l.log.WithFields(logrus.Fields{"event": "leader_ended", "reason": l.why}).Info("this daemon leads no more")
}

// loop takes messages, decides and hands out orders.
func (l *leader) loop() {
	tick := time.NewTicker(loopTick)
	defer tick.Stop()
	flush := time.NewTimer(batchInterval)
	defer flush.Stop()
	last := time.Time{}
	var buffer []message
	for l.why == "" {
		var first message
		select {
		case <-l.ctx.Done():
			l.stop("the daemon stops")
			return
		case <-tick.C:
		case <-flush.C:
		case first = <-l.inbox.C():
			if wait := roundInterval - time.Since(last); wait > 0 {
				pause.For(l.ctx, wait)
			}
		}
		start := time.Now()
		last = start
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
		if wait := l.flushIn(time.Now()); wait > 0 {
			flush.Reset(wait)
		}
		telemetry.ObserveSince(l.metrics.round, start)
	}
}

// round decides once and carries out what was decided.
func (l *leader) round(now time.Time) {
	if now.Sub(l.lastTick) >= loopTick {
		l.lastTick = now
		l.core.SetPreviousLeaderEnd(l.formerEnd())
		l.core.Tick(now, now)
		l.core.SetAdviceRelays(l.advisers())
	}
	l.core.SetStoreStalled(now, l.journal.stalled(now))
	l.core.Schedule(now)
	l.carryOut(l.core.TakeActions())
	l.flush(now)
	l.beat(now)
	l.checkAuthority(now)
}

// stop ends the lead.
func (l *leader) stop(why string) {
	if l.why == "" {
		l.why = why
	}
}

// flush hands the next batch to the journal.
func (l *leader) flush(now time.Time) {
	if now.Sub(l.lastBatch) < batchInterval || !l.journal.free(now) {
		return
	}
	if b := l.core.TakeBatch(); b != nil {
		l.lastBatch = now
		l.journal.put(b)
	}
}

// flushIn returns when the next batch can be handed over, or 0 when there is
// none.
func (l *leader) flushIn(now time.Time) time.Duration {
	if !l.core.HasBatch() {
		return 0
	}
	return max(batchInterval-now.Sub(l.lastBatch), flushRetry)
}

// advisers returns the daemons that can ask the advice service, this one first.
func (l *leader) advisers() []string {
	if l.d.deps.AdviceService == nil {
		return nil
	}
	names := []string{l.d.set.Node}
	for _, link := range l.d.members.peers() {
		if name := link.PeerHello.Node; !l.reports[name].GetLeaving() {
			names = append(names, name)
		}
	}
	slices.Sort(names[1:])
	return names
}

// readNodes reads which daemons there are.
func (l *leader) readNodes() {
	nodes := l.d.members.others()
	maps.Copy(nodes, l.d.readNodes(l.ctx))
	l.push(nodesMsg{nodes})
}

// push adds a message to the inbox and waits for room.
func (l *leader) push(m message) {
	// The only error is the end of the lead.
	_ = l.inbox.Push(l.ctx, m)
}
