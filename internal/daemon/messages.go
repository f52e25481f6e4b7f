package daemon

import (
	"time"

	"catkinvalve/internal/core/election"
	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/core/split"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/peerpb"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/text"
)

// submitMsg asks the core to accept a request. The reply has capacity 1.
type submitMsg struct {
	req model.Request
	// home and term are set for a request that another data centre delegates.
	home  model.DataCentre
	term  uint64
	wait  bool
	reply chan answer
}

func (m submitMsg) handle(l *loop, now time.Time) {
	var rec model.Record
	var err *fault.Error
	switch {
	case l.resigned:
		err = errDraining()
	case m.home != "":
		rec, err = l.core.SubmitDelegated(now, m.home, m.term, m.req)
	default:
		rec, err = l.core.Submit(now, m.req)
	}
	l.reply(m.req.Key, m.wait, rec, err, m.reply)
}

func errDraining() *fault.Error {
	return fault.New(fault.Draining, "retry with the same key at another daemon", "the daemon is shutting down")
}

// reply answers a call now, or keeps it until the key settles.
func (l *loop) reply(key string, wait bool, rec model.Record, err *fault.Error, ch chan answer) {
	if err != nil {
		ch <- answer{fault: err}
		return
	}
	if wait && !rec.Fate.Terminal() {
		l.waiters[key] = append(l.waiters[key], ch)
		return
	}
	ch <- answer{rec: rec}
}

// fateMsg asks for the fate of a key.
type fateMsg struct {
	key  string
	wait bool
	// minRevision makes the daemon refuse to answer with an older text in force.
	minRevision uint64
	reply       chan answer
}

func (m fateMsg) handle(l *loop, _ time.Time) {
	if l.revision < m.minRevision {
		m.reply <- answer{fault: fault.New(fault.NoOwner, "retry with the same key", "revision %d is not in force here yet", m.minRevision)}
		return
	}
	rec, err := l.core.Fate(m.key)
	l.reply(m.key, m.wait, rec, err, m.reply)
}

// forgetWaiter removes a call that ended before its key settled.
type forgetWaiter struct {
	key   string
	reply chan answer
}

func (m forgetWaiter) handle(l *loop, _ time.Time) {
	list := l.waiters[m.key]
	for i, w := range list {
		if w == m.reply {
			l.waiters[m.key] = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(l.waiters[m.key]) == 0 {
		delete(l.waiters, m.key)
	}
}

// cancelMsg withdraws a request.
type cancelMsg struct {
	key   string
	reply chan answer
}

func (m cancelMsg) handle(l *loop, now time.Time) {
	rec, err := l.core.Cancel(now, m.key)
	if err != nil {
		m.reply <- answer{fault: fault.From(err)}
		return
	}
	m.reply <- answer{rec: rec}
}

// queryMsg runs a read-only function on the loop.
type queryMsg struct {
	fn   func(l *loop, now time.Time)
	done chan struct{}
}

func (m queryMsg) handle(l *loop, now time.Time) {
	m.fn(l, now)
	close(m.done)
}

// grantedMsg reports a granted worker lease.
type grantedMsg struct {
	worker model.WorkerID
	term   uint64
	sentAt time.Time
	grant  ports.Grant
}

func (m grantedMsg) handle(l *loop, now time.Time) {
	if l.agents[m.worker] == nil || m.term < l.election.Term() || l.election.Role() == election.Standby {
		return
	}
	l.leases.Granted(m.worker, m.term, m.sentAt)
	l.core.WorkerGranted(now, scheduler.Grant{
		Worker: m.worker, BootID: m.grant.BootID, Capacity: m.grant.Capacity, Rack: m.grant.Rack, Tasks: m.grant.Tasks,
	})
}

// heldMsg reports that another lease is in force on a worker.
type heldMsg struct {
	worker model.WorkerID
	term   uint64
}

func (m heldMsg) handle(l *loop, _ time.Time) { l.members.SawTerm(m.term) }

// renewedMsg reports a renewal with the worker's events.
type renewedMsg struct {
	worker model.WorkerID
	term   uint64
	sentAt time.Time
	result ports.SyncResult
}

func (m renewedMsg) handle(l *loop, now time.Time) {
	l.leases.Renewed(m.worker, m.term, m.sentAt)
	l.core.WorkerRenewed(m.sentAt, m.worker)
	for _, ev := range m.result.Events {
		l.core.TaskReported(now, m.worker, scheduler.TaskEvent{
			ID: ev.ID, Attempt: ev.Attempt, State: ev.State, OK: ev.OK, Answer: ev.Answer,
		})
	}
	l.core.UsageReported(now, m.worker, m.result.Usage)
}

// lostMsg reports that a worker refused the lease.
type lostMsg struct {
	worker model.WorkerID
	term   uint64
}

func (m lostMsg) handle(l *loop, now time.Time) {
	if l.leases.Lost(m.worker, m.term) {
		l.core.WorkerUnreachable(now, m.worker)
	}
}

// notStartedMsg reports starts that the worker surely did not accept.
type notStartedMsg struct {
	worker model.WorkerID
	tasks  []scheduler.Start
}

func (m notStartedMsg) handle(l *loop, now time.Time) {
	for _, s := range m.tasks {
		l.core.NotStarted(now, m.worker, s.ID, s.Attempt)
	}
}

// listMsg brings a new instance list.
type listMsg struct{ instances []ports.Instance }

func (m listMsg) handle(l *loop, now time.Time) { l.applyList(now, m.instances) }

// heartbeatMsg brings what a peer said of itself.
type heartbeatMsg struct {
	peer membership.Peer
	// drained lists the workers that operators asked to drain, if the peer is
	// the owner of this data centre.
	drained []model.WorkerID
}

func (m heartbeatMsg) handle(l *loop, now time.Time) {
	l.members.Seen(now, m.peer)
	if m.peer.Term > 0 && m.peer.DataCentre == l.set.DataCentre && !l.core.Serving() {
		l.core.SetAskedDrains(now, m.drained)
	}
	if m.peer.Term > 0 && m.peer.DataCentre != l.set.DataCentre {
		l.core.SetRemote(now, m.peer.DataCentre, m.peer.Region, m.peer.Load)
	}
}

// configMsg brings a configuration revision into force.
type configMsg struct {
	revision uint64
	cfg      *text.Config
	carried  split.Carried
}

func (m configMsg) handle(l *loop, now time.Time) {
	if m.revision <= l.revision {
		return
	}
	l.revision = m.revision
	l.core.SetText(now, m.cfg, m.carried)
	l.log.WithField("revision", m.revision).Info("configuration in force")
}

// replicatedMsg reports records that the standbys have.
type replicatedMsg struct {
	term uint64
	acks []recordVersion
}

type recordVersion struct {
	key     string
	version uint64
}

// counts reports whether the confirmation is for the present ownership. After a
// step-down the term is still the same, and the batch may have been refused.
func (m replicatedMsg) counts(l *loop) bool {
	return m.term == l.election.Term() && l.core.Serving()
}

func (m replicatedMsg) handle(l *loop, _ time.Time) {
	if !m.counts(l) {
		return
	}
	for _, a := range m.acks {
		l.core.Replicated(a.key, a.version)
	}
}

// staleMsg reports that a peer has seen a higher term.
type staleMsg struct{ term uint64 }

func (m staleMsg) handle(l *loop, now time.Time) {
	l.members.SawTerm(m.term)
	if m.term > l.election.Term() && l.election.Term() > 0 {
		l.leases.Clear()
		l.advance(now)
	}
}

// replicaMsg brings records from the owner.
type replicaMsg struct {
	owner   string
	term    uint64
	records []model.Record
	reply   chan *peerpb.ReplicateResponse
}

func (m replicaMsg) handle(l *loop, now time.Time) {
	if m.term < l.fence || l.core.Serving() {
		m.reply <- &peerpb.ReplicateResponse{Term: max(l.fence, l.election.Term())}
		return
	}
	l.obey(m.term)
	for i := range m.records {
		l.core.Restore(now, m.records[i])
	}
	m.reply <- &peerpb.ReplicateResponse{Accepted: true, Term: m.term}
}

// obey takes note of an owner's term. The records of a new owner are fetched
// as a whole, because it may have recovered some that this standby lacks.
func (l *loop) obey(term uint64) {
	l.members.SawTerm(term)
	if term > l.fence {
		l.fence, l.synced = term, false
	}
}

// restoreMsg brings records found by recovery or by a standby's fetch.
type restoreMsg struct {
	records []model.Record
	// delegatedTo is set for records that another data centre runs.
	delegatedTo model.DataCentre
}

func (m restoreMsg) handle(l *loop, now time.Time) {
	for i := range m.records {
		if m.delegatedTo != "" {
			l.core.RestoreDelegated(m.delegatedTo, m.records[i])
			continue
		}
		l.core.Restore(now, m.records[i])
	}
}

// recoveredMsg ends a recovery.
type recoveredMsg struct{ result scheduler.Recovery }

func (m recoveredMsg) handle(l *loop, _ time.Time) {
	if m.result.Term == l.election.Term() {
		l.recovery, l.recovered = m.result, true
	}
}

// lateRecoveryMsg reports a source of records that answered after serving began.
type lateRecoveryMsg struct {
	journal bool
	home    model.DataCentre
}

func (m lateRecoveryMsg) handle(l *loop, now time.Time) {
	if m.journal {
		l.core.JournalRead(now)
	}
	if m.home != "" {
		l.core.HomeAnswered(now, m.home)
	}
}

// syncedMsg marks a standby that has fetched all records.
type syncedMsg struct{ term uint64 }

// handle also takes note of the owner's term: without replicated changes since
// this daemon started, the fetch is the first message of that term.
func (m syncedMsg) handle(l *loop, _ time.Time) {
	l.obey(m.term)
	if m.term == l.fence {
		l.synced = true
	}
}

// oldReportMsg brings the old system's state of a request.
type oldReportMsg struct{ report scheduler.OldReport }

func (m oldReportMsg) handle(l *loop, now time.Time) { l.core.OldReported(now, m.report) }

// oldLookupMsg brings the old system's answer about a key.
type oldLookupMsg struct {
	key                string
	known, unavailable bool
}

func (m oldLookupMsg) handle(l *loop, now time.Time) {
	l.core.OldLookedUp(now, m.key, m.known, m.unavailable)
}

// reserveMsg reports that the old system uses at most slots on each worker.
type reserveMsg struct{ slots int64 }

func (m reserveMsg) handle(l *loop, now time.Time) { l.core.ReserveAcknowledged(now, m.slots) }

// delegateMsg brings the state of a delegated request.
type delegateMsg struct{ report scheduler.DelegateReport }

func (m delegateMsg) handle(l *loop, now time.Time) { l.core.DelegateReported(now, m.report) }

// fenceMsg refuses records of owners before the given term from now on. The
// reply tells whether this daemon had every record of the last owner.
type fenceMsg struct {
	term  uint64
	reply chan fenceReply
}

type fenceReply struct {
	synced  bool
	term    uint64
	records []model.Record
}

func (m fenceMsg) handle(l *loop, _ time.Time) {
	// A standby may copy an owner in doubt, but a successor must not take its
	// records for complete.
	synced := l.synced || (m.term == 0 && l.core.Serving())
	if m.term > l.fence && !l.core.Serving() {
		l.obey(m.term)
	}
	m.reply <- fenceReply{synced: synced, term: max(l.fence, m.term), records: l.core.AllRecords()}
}

// drainMsg begins the shutdown of this daemon.
type drainMsg struct{}

func (drainMsg) handle(l *loop, _ time.Time) { l.draining = true }

// resignMsg gives up ownership at the end of a graceful shutdown.
type resignMsg struct{ done chan struct{} }

func (m resignMsg) handle(l *loop, now time.Time) {
	l.draining, l.resigned = true, true
	if l.election.Role() != election.Standby {
		l.election.Resign(now)
		l.stepDown()
	}
	close(m.done)
}
