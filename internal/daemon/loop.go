package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"catkinvalve/internal/core/election"
	"catkinvalve/internal/core/lease"
	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/ring"
	"catkinvalve/internal/settings"
	"catkinvalve/internal/telemetry"
)

// Sizes of the ring buffers between the goroutines. docs/design.md lists what
// happens when one is full.
const (
	requestRingSize = 4096
	controlRingSize = 8192
	// maxLoopBatch bounds the messages drained from each ring before actions are
	// executed.
	maxLoopBatch = 256
	// tickInterval bounds the delay with which deadlines, the end of a backoff
	// and lease expiry are noticed.
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is the time between ticks above which the process counts as
	// paused. It is shorter than the time after which an owner stops waiting for
	// a standby.
	pauseThreshold = time.Second
)

// message is an input of the owner loop.
type message interface {
	handle(l *ownerLoop, now time.Time)
}

// ownerLoop is the single goroutine that accesses the scheduler core, the lease
// table, the membership table and the election. Others send it messages.
type ownerLoop struct {
	d        *Daemon
	set      settings.Settings
	log      *logrus.Entry
	core     *scheduler.Core
	leases   *lease.Table
	members  *membership.Table
	election *election.Election
	// waiters holds, by key, the calls that wait for a final fate.
	waiters map[string][]chan recordReply
	agents  map[model.WorkerID]*agent
	// listed holds the workers of this data centre in the last instance list.
	listed map[model.WorkerID]ports.Instance

	listLoaded bool
	// revision is the active configuration revision; 0 means none.
	revision uint64
	// recovered is true when the recovery of the current term has ended; recovery is
	// its result.
	recovered bool
	recovery  scheduler.Recovery
	// synced is true on a standby that has every record of the owner, and on an owner
	// that is not in doubt about records.
	synced bool
	// fencingTerm is the highest term at which this daemon accepted an owner or
	// recovered as owner itself. Records of lower terms are refused.
	fencingTerm uint64
	lastTick    time.Time
	draining    bool
	// resigned is set when a shutdown gives up ownership; submissions are refused
	// from then on.
	resigned  bool
	startedAt time.Time
	// loadUpdatedAt is when load and requestedDrains were computed. Both are kept for
	// one heartbeat interval.
	loadUpdatedAt   time.Time
	load            membership.Load
	requestedDrains []model.WorkerID
	histogram       *telemetry.Histograms
}

// recordReply is the reply to a call about a key: a record or a fault.
type recordReply struct {
	rec   model.Record
	fault *fault.Error
}

// run handles messages until ctx ends.
func (l *ownerLoop) run(ctx context.Context, requests, controls *ring.Ring[message]) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	batch := make([]message, 0, maxLoopBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			l.failWaiters()
			return
		case m := <-controls.C():
			batch = append(batch, m)
		case m := <-requests.C():
			batch = append(batch, m)
		case <-ticker.C:
		}
		// Control messages come first: task reports free capacity that requests need.
		batch = controls.DrainInto(batch, maxLoopBatch)
		batch = requests.DrainInto(batch, maxLoopBatch)
		l.processBatch(batch)
	}
}

// processBatch handles messages, runs the tick if it is due, schedules, and
// executes the resulting actions.
func (l *ownerLoop) processBatch(batch []message) {
	now := l.d.now()
	l.checkOwnership(now)
	for _, m := range batch {
		m.handle(l, now)
	}
	if now.Sub(l.lastTick) >= tickInterval {
		l.tick(now)
	}
	l.core.Schedule(now)
	l.executeActions(now)
}

// tick removes expired leases, advances the election and the core, and publishes
// the state. A standby whose process was paused may have missed records, so it is
// no longer synced.
func (l *ownerLoop) tick(now time.Time) {
	if !l.lastTick.IsZero() && now.Sub(l.lastTick) > pauseThreshold && l.election.Role() == election.Standby {
		l.log.WithField("pause", now.Sub(l.lastTick).String()).Warn("process was paused; fetching records again")
		l.synced = false
	}
	l.lastTick = now
	for _, id := range l.leases.RemoveExpired(now) {
		l.log.WithField("worker", id).Warn("worker lease expired")
		l.core.HandleLeaseLost(now, id)
		if a := l.agents[id]; a != nil {
			a.reacquire()
		}
	}
	l.advanceElection(now)
	l.core.Tick(now)
	l.synced = l.synced || (l.core.Serving() && !l.core.InDoubt())
	l.publishState(now)
}

// checkOwnership steps down when the majority of leases has expired, before any
// decision is based on them. It runs before each batch, because the process may
// have been paused.
func (l *ownerLoop) checkOwnership(now time.Time) {
	if l.core.Serving() && !l.leases.HoldsMajority(now) {
		l.advanceElection(now)
	}
}

func (l *ownerLoop) electionInput(now time.Time) election.Input {
	in := election.Input{
		Now: now, Ready: l.ready(), Draining: l.draining, ShouldCampaign: l.members.ShouldCampaign(now),
		MaxTerm: l.members.MaxTerm(), HoldsMajority: l.leases.HoldsMajority(now), HoldsAll: l.leases.HoldsAll(now), RecordsLoaded: l.recovered,
	}
	if o, ok := l.members.Owner(now, l.set.DataCentre); ok {
		in.OtherOwnerTerm = o.Term
	}
	return in
}

// advanceElection runs one step of the election and performs the action that it
// returns.
func (l *ownerLoop) advanceElection(now time.Time) {
	switch l.election.Tick(l.electionInput(now)) {
	case election.StartCampaign:
		l.startCampaign()
	case election.StartRecovery:
		l.startRecovery()
	case election.StartServing:
		l.startServing(now)
	case election.StepDown:
		l.stepDown()
	case election.None:
	}
}

// startCampaign makes all agents acquire leases with the campaign's term. Leases of
// an earlier ownership do not count.
func (l *ownerLoop) startCampaign() {
	term := l.election.Term()
	l.log.WithField("term", term).Info("campaigning for ownership of the data centre")
	l.leases.RemoveAll()
	l.core.DiscardBufferedEvents()
	for _, a := range l.agents {
		a.campaign(term)
	}
}

// startRecovery loads the records in the background. recoveryDoneMsg reports the
// result.
func (l *ownerLoop) startRecovery() {
	l.recovered = false
	term := l.election.Term()
	l.fencingTerm = max(l.fencingTerm, term)
	l.log.WithField("term", term).Info("holding a majority of worker leases; loading records")
	// Workers outside the majority may have granted this term or a higher one to
	// the previous owner. Only the leases of the majority need the campaign's term.
	for _, a := range l.agents {
		a.allowTermRaise()
	}
	l.d.recover(recoveryRequest{term: term, localPeers: l.members.LiveLocalPeers(l.d.now()), remotePeers: l.remotePeersByDataCentre(), synced: l.synced})
}

// remotePeersByDataCentre returns the known peers of every other data centre.
// One that is configured and has no known peer maps to nil.
func (l *ownerLoop) remotePeersByDataCentre() map[model.DataCentre][]membership.Peer {
	out := map[model.DataCentre][]membership.Peer{}
	if cfg, _ := l.d.config.active(); cfg != nil {
		for _, dc := range cfg.DataCentres {
			if dc.Name != l.set.DataCentre {
				out[dc.Name] = nil
			}
		}
	}
	for _, p := range l.members.Peers() {
		if p.DataCentre != l.set.DataCentre {
			out[p.DataCentre] = append(out[p.DataCentre], p)
		}
	}
	return out
}

func (l *ownerLoop) startServing(now time.Time) {
	l.log.WithFields(logrus.Fields{
		"term": l.recovery.Term, "synced_peer": l.recovery.PeerSynced, "journal_read": l.recovery.JournalRead,
		"records": l.core.RecordCount(),
	}).Info("serving as owner")
	for _, a := range l.agents {
		a.allowTermRaise()
	}
	l.core.StartServing(now, l.recovery)
	l.synced = !l.core.InDoubt()
}

// stepDown gives up ownership, or a campaign. It releases the leases, drops records
// that are not replicated yet, and fails the waiting calls.
func (l *ownerLoop) stepDown() {
	l.log.WithField("term", l.election.Term()).Warn("stepping down")
	l.leases.RemoveAll()
	for _, a := range l.agents {
		a.requestRelease()
	}
	l.core.StepDown()
	l.d.replicator.reset()
	// A new owner may have changed records by now.
	l.synced = false
	l.recovered = false
	l.failWaiters()
}

// failWaiters answers every waiting call with a retryable fault, so that it is
// repeated at the next owner.
func (l *ownerLoop) failWaiters() {
	for key, list := range l.waiters {
		for _, w := range list {
			w <- recordReply{fault: fault.New(fault.NoOwner, "ask again with the same key", "the data centre changes its owner")}
		}
		delete(l.waiters, key)
	}
}

// ready reports whether the daemon may take part in the election: it has a
// configuration and an instance list, and peer discovery has ended.
func (l *ownerLoop) ready() bool { return l.revision > 0 && l.listLoaded && l.peerDiscoveryDone() }

// peerDiscoveryWait is how long a daemon waits after its start for heartbeats of
// local peers before it campaigns. It covers two heartbeat intervals.
const peerDiscoveryWait = 1200 * time.Millisecond

func (l *ownerLoop) peerDiscoveryDone() bool {
	return l.d.now().Sub(l.startedAt) > peerDiscoveryWait
}

// publishState publishes a new snapshot for the other goroutines.
func (l *ownerLoop) publishState(now time.Time) {
	s := &state{
		role: l.election.Role(), revision: l.revision, ready: l.ready() && (l.synced || l.core.Serving()),
		draining: l.draining, peers: l.members.Peers(), localPeers: l.members.LiveLocalPeers(now), synced: l.synced,
		serving: l.core.Serving(), publishedAt: now, counters: l.core.Counters(), records: l.core.RecordCount(),
	}
	if l.election.Role() >= election.Recovering {
		// A term above 0 announces the owner: a local peer that campaigns as well
		// has lost and releases its leases as soon as it sees this term.
		s.term = l.election.Term()
	}
	if l.core.Serving() {
		if now.Sub(l.loadUpdatedAt) >= l.set.Timings.HeartbeatInterval {
			l.loadUpdatedAt, l.load, l.requestedDrains = now, l.core.Load(now), l.core.RequestedDrains()
		}
		s.load, s.requestedDrains = l.load, l.requestedDrains
		s.pendingDataCentres = l.core.PendingDataCentres()
		s.inDoubt = l.core.InDoubt()
	}
	l.d.state.Store(s)
}

// executeActions passes the core's actions to the goroutines that perform them.
func (l *ownerLoop) executeActions(now time.Time) {
	for {
		a := l.core.TakeActions()
		if a.Empty() {
			return
		}
		l.sendToWorkers(a)
		l.replicate(a.RecordsToReplicate)
		for _, r := range a.RecordsToJournal {
			l.d.journal.add(r)
		}
		l.answerFinalized(now, a.FinalizedKeys)
		for _, r := range a.OldSystemRuns {
			l.d.oldSystem.startRun(r)
		}
		for _, key := range a.OldSystemLookups {
			l.d.oldSystem.startLookup(key)
		}
		for _, del := range a.Delegations {
			l.d.delegator.start(del)
		}
		for _, del := range a.DelegationCancels {
			l.d.delegator.cancel(del)
		}
	}
}

// sendToWorkers queues starts and stops at the agents. Those of a worker without an
// agent are dropped: its lease already counts as lost.
func (l *ownerLoop) sendToWorkers(a scheduler.Actions) {
	for w, starts := range a.Starts {
		if ag := l.agents[w]; ag != nil {
			ag.enqueue(agentBatch{term: l.leases.Term(w), starts: starts})
		}
	}
	for w, stops := range a.Stops {
		if ag := l.agents[w]; ag != nil {
			ag.enqueue(agentBatch{stops: stops})
		}
	}
}

// replicate queues records for the standbys. It confirms them at once when the
// data centre has no other live daemon.
func (l *ownerLoop) replicate(records []model.Record) {
	if len(records) == 0 {
		return
	}
	if !l.members.HasLiveLocalPeers(l.d.now()) {
		for i := range records {
			l.core.HandleReplicated(records[i].Request.Key, records[i].Version)
		}
		return
	}
	l.d.replicator.add(l.election.Term(), records)
}

// answerFinalized answers the calls that wait for keys whose fate is now final.
func (l *ownerLoop) answerFinalized(now time.Time, keys []string) {
	for _, key := range keys {
		rec, err := l.core.Fate(key)
		if err != nil {
			continue
		}
		l.recordWaitTime(now, &rec)
		for _, w := range l.waiters[key] {
			w <- recordReply{rec: rec}
		}
		delete(l.waiters, key)
	}
}

// recordWaitTime updates the wait time histogram for a request with a final
// fate. A request that never started counts with the time until now.
func (l *ownerLoop) recordWaitTime(now time.Time, rec *model.Record) {
	wait := now.Sub(rec.Accepted)
	if !rec.Started.IsZero() {
		wait = rec.Started.Sub(rec.Accepted)
	}
	l.histogram.WaitTime(rec.Request.Team, rec.Request.Class).Update(wait.Microseconds())
}
