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
	"catkinvalve/internal/core/succession"
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

	// authorityAlone is how long a leader orders without an answer from the store
	// when it hears too few daemons to be told of a new leader.
	authorityAlone = 2 * time.Second
	// tellingTime is how long it takes a new leader to be heard of by a former one
	// that hears most daemons.
	tellingTime = time.Second
	// authorityWithoutStore is how long it does while it hears most daemons, which
	// would tell it of a new leader.
	authorityWithoutStore = 12 * time.Second
	// freshProof is how recent the store's confirmation must be to deny that a job
	// exists.
	freshProof = 2 * time.Second
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
		Token: c.token, Lease: min(workerLease, d.set.Bounds.LeaseMax), HoldMax: d.set.Bounds.LeaseMax, LateCalls: lateCalls,
		HoldWait: holdWait, ClockError: clockError, SilentAfter: silentAfter,
		GangTimeout: d.set.Bounds.GangTimeout, StartTimeout: startTimeout, Retention: d.set.Bounds.StatusRetention + retentionSlack,
		MaxJobs: maxJobs, EndsPerList: endsPerList,
		Health: retry.HealthConfig{Failures: 2, Base: 2 * time.Second, Max: 8 * time.Second, Percent: 25, Attempts: 1 << 20, Keys: 4096},
	}
	l := &leader{
		d: d, token: c.token, claim: c, core: jobs.New(cfg), log: d.log.WithField("token", c.token),
		inbox: ring.New[message]("leader", inboxSize, d.registry), callers: map[jobs.CallID]caller{},
		reports: map[string]report{}, stopped: map[string]time.Time{}, probes: map[string]time.Duration{}, former: s.former(), nodes: map[string]string{}, told: map[*linkrpc.Link]toldState{},
		queues: newQueueMetrics(d.registry),
		metrics: leaderMetrics{
			starts: telemetry.Counter(d.registry, "leader.starts"), ends: telemetry.Counter(d.registry, "leader.ends"),
			refused: telemetry.Counter(d.registry, "leader.refused"), advice: telemetry.Counter(d.registry, "leader.advice_calls"),
			round: telemetry.NewHistograms(d.registry, telemetry.DefaultPairs).Latency("leader_round"),
		},
	}
	now := time.Now()
	config := d.config.current.Load()
	l.core.SetQueues(queuesOf(config))
	if config != nil {
		l.configVersion = config.Version
	}
	l.core.Restore(now, now, s.snapshot)
	l.core.SetFormerEnd(l.formerEnd())
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
	l.d.deps.Idle()
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
		l.core.SetFormerEnd(l.formerEnd())
		l.core.Tick(now, now)
		l.core.SetAdvisers(l.advisers())
	}
	l.core.SetStalled(now, l.journal.stalled(now))
	l.core.Schedule(now)
	l.carryOut(l.core.Take())
	l.flush(now)
	l.beat(now)
	l.checkAuthority(now)
}

// formerEnd returns until when any earlier leader may have gone on extending the
// leases of workers.
func (l *leader) formerEnd() time.Time {
	switch {
	case len(l.former) == 0:
		return l.claim.at
	case len(l.former) >= maxFormer:
		return l.claim.at.Add(authorityWithoutStore)
	}
	end := time.Time{}
	for _, f := range l.former {
		if at := l.endOf(f); at.After(end) {
			end = at
		}
	}
	return end
}

// endOf returns until when the leader of an earlier lead may have gone on.
func (l *leader) endOf(f *cellpb.Lead) time.Time {
	if f.Node == l.d.set.Node {
		if f.Incarnation == l.d.incarnation {
			return l.claim.at
		}
		return l.d.started
	}
	if at, known := l.d.members.replaced(f.Node, f.Incarnation); known {
		return at
	}
	if r, heard := l.reports[f.Node]; heard && r.Token >= l.token {
		// It knows of this leader; that was so when its first report came.
		return l.stopped[f.Node]
	}
	if linked, known := l.d.members.linked(); 2*(linked+1) > known+1 {
		return l.claim.at.Add(authorityAlone + tellingTime)
	}
	return l.claim.at.Add(authorityWithoutStore)
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
	if l.d.deps.Advice == nil {
		return nil
	}
	names := []string{l.d.set.Node}
	for _, link := range l.d.members.peers() {
		if name := link.Peer.Node; !l.reports[name].GetLeaving() {
			names = append(names, name)
		}
	}
	slices.Sort(names[1:])
	return names
}

// checkAuthority ends the lead when the store did not confirm it for too long,
// or when a higher token was seen.
func (l *leader) checkAuthority(now time.Time) {
	switch {
	case l.core.Fenced():
		l.stop("a worker has seen a higher token")
	case l.d.members.outranked(l.token):
		l.stop("another daemon leads")
	case l.journal.fenced():
		l.stop("the store has seen a higher token")
	}
	l.considerHandover(now)
	age := l.proof.age(now)
	if age > authorityWithoutStore || age > authorityAlone && !l.hearsMost(now) {
		l.stop("the store did not confirm the lead")
	}
}

const (
	// refusedAfter is how long the store may refuse this daemon's appends before
	// the others are asked whether it serves them.
	refusedAfter = 150 * time.Millisecond
	// silentStoreAfter is the same for appends without an answer, which also a
	// slow store causes.
	silentStoreAfter = 800 * time.Millisecond
	// handoverRetry is the time between two offers.
	handoverRetry = 600 * time.Millisecond
)

// considerHandover asks the other daemons to try the store when it does not
// serve this one, and offers the lead to the best one that it serves.
func (l *leader) considerHandover(now time.Time) {
	since, refused := l.journal.trouble(now)
	limit := silentStoreAfter
	if refused {
		limit = refusedAfter
	}
	if since < limit {
		clear(l.probes)
		return
	}
	if now.Sub(l.proof.offered) < handoverRetry {
		return
	}
	answer := since
	if !refused {
		answer = since / quickAnswer
	}
	probe := succession.Probe{Age: now.Sub(l.proof.probed), Answers: l.probes, Limit: answer}
	if next := probe.Choose(l.successors(now)); next != "" {
		l.proof.offered = now
		clear(l.probes)
		l.handOver(next, "the store does not answer this daemon")
		return
	}
	if now.Sub(l.proof.probed) >= handoverRetry {
		l.proof.probed = now
		clear(l.probes)
		for _, link := range l.d.members.peers() {
			link.Send(&cellpb.Frame{Probe: true})
		}
	}
}

const (
	// settleTime is how long a leader leads before it looks for a better one.
	settleTime = 1500 * time.Millisecond
)

// considerBetter offers the lead to the first successor if that would lead much
// better, such as after all daemons started at once and a slow one was first.
func (l *leader) considerBetter(now time.Time, order []string) {
	// Before the recovery is complete, the next leader would wait once more.
	if now.Sub(l.claim.at) < settleTime || now.Sub(l.proof.offered) < settleTime || !l.core.Recovered() {
		return
	}
	if len(order) == 0 {
		return
	}
	best := l.candidate(order[0], now)
	if best.Better(l.d.means()) {
		l.proof.offered = now
		l.handOver(order[0], "it is faster or closer to the store")
	}
}

// quickAnswer is how many times faster the store must answer another daemon
// than it keeps this one waiting: a store that is slow for all is no reason.
const quickAnswer = 4

// hearsMost reports whether most daemons were heard lately.
func (l *leader) hearsMost(now time.Time) bool {
	heard := 0
	for _, r := range l.reports {
		if now.Sub(r.at) < linkSilence {
			heard++
		}
	}
	return 2*heard >= len(l.nodes)
}

// successors ranks the other daemons.
func (l *leader) successors(now time.Time) []string {
	var candidates []succession.Candidate
	for name := range l.reports {
		candidates = append(candidates, l.candidate(name, now))
	}
	return succession.Order(candidates)
}

// candidate returns a daemon as its last report describes it.
func (l *leader) candidate(name string, now time.Time) succession.Candidate {
	r := l.reports[name]
	return succession.Candidate{Node: name, StoreAge: time.Duration(r.StoreAgeMs) * time.Millisecond,
		Means:   succession.Means{StoreResponse: time.Duration(r.StoreRttUs) * time.Microsecond, CPUShare: r.CpuShare, LinkMbps: r.LinkMbps},
		Leaving: r.Leaving, Silence: now.Sub(r.at)}
}

// handOver asks a daemon to take over.
func (l *leader) handOver(to, why string) {
	l.log.WithFields(logrus.Fields{"event": "handover", "to": to, "reason": why}).Info("asking another daemon to lead")
	if link := l.d.members.linkTo(to); link != nil {
		link.Send(&cellpb.Frame{Handover: &cellpb.Handover{Token: l.token}})
	}
}

// leave hands the lead to the best successor because this daemon stops.
func (l *leader) leave(now time.Time) {
	if order := l.successors(now); len(order) > 0 {
		l.handOver(order[0], "this daemon stops")
	}
}

// toldSuccessors is how many successors a heartbeat names, so that its size does
// not grow with the number of daemons.
const toldSuccessors = 8

// addNode records where a daemon is.
func (l *leader) addNode(name, address string) {
	if l.nodes[name] != address {
		l.nodes[name] = address
		l.nodeChanges = append(l.nodeChanges, name)
	}
}

// beat sends heartbeats and dials daemons without a link.
func (l *leader) beat(now time.Time) {
	if now.Sub(l.lastHeartbeat) < succession.HeartbeatInterval {
		return
	}
	l.lastHeartbeat = now
	order := l.successors(now)
	l.considerBetter(now, order)
	l.toldOrder = order[:min(len(order), toldSuccessors)]
	l.beats++
	for _, link := range l.d.members.peers() {
		if l.hears(link.Peer.Node) {
			l.sendHeartbeat(link)
		}
	}
	if now.Sub(l.lastDial) >= dialInterval {
		l.lastDial = now
		l.dialMissing()
	}
}

const (
	// manyDaemons is the number of daemons from which those that are not about to
	// take over get only each second heartbeat.
	manyDaemons = 100
)

// hears reports whether a daemon gets the present heartbeat.
func (l *leader) hears(name string) bool {
	return len(l.nodes) < manyDaemons || l.beats%2 == 0 || slices.Contains(l.toldOrder, name)
}

// sendHeartbeat sends a heartbeat to one daemon.
func (l *leader) sendHeartbeat(link *linkrpc.Link) {
	link.Send(&cellpb.Frame{Heartbeat: l.heartbeat(link)})
}

// heartbeat returns the heartbeat for one daemon. It carries the configuration
// and the list of daemons when that daemon does not have them.
func (l *leader) heartbeat(link *linkrpc.Link) *cellpb.Heartbeat {
	h := &cellpb.Heartbeat{Token: l.token, Successors: l.toldOrder, ConfigVersion: l.configVersion}
	told := l.told[link]
	if told.config < l.configVersion && l.reports[link.Peer.Node].GetConfigVersion() < l.configVersion {
		h.Config = cellpb.FromConfig(l.d.config.current.Load())
	}
	for _, name := range l.nodeChanges[min(told.nodes, len(l.nodeChanges)):] {
		h.Nodes = append(h.Nodes, &cellpb.StoredNode{Node: name, Address: l.nodes[name]})
	}
	if _, known := l.told[link]; !known {
		l.forgetClosed()
	}
	l.told[link] = toldState{config: l.configVersion, nodes: len(l.nodeChanges)}
	return h
}

func (l *leader) forgetClosed() {
	for link := range l.told {
		select {
		case <-link.Done():
			delete(l.told, link)
		default:
		}
	}
}

// dialMissing links to daemons without a link.
func (l *leader) dialMissing() {
	for name, address := range l.nodes {
		if name != l.d.set.Node && l.d.members.linkTo(name) == nil {
			l.work.Go(func() { l.d.dial(l.ctx, address) })
		}
	}
}

// proof is when the store last confirmed the lead.
type proof struct {
	confirmed time.Time
	// probed and offered are when the others were last asked to try the store
	// and to take over.
	probed, offered time.Time
}

// confirm records that a call sent at a time was accepted.
func (p *proof) confirm(sent time.Time) {
	if sent.After(p.confirmed) {
		p.confirmed = sent
	}
}

func (p *proof) age(now time.Time) time.Duration { return now.Sub(p.confirmed) }

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
