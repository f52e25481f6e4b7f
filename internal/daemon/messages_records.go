package daemon

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/peerpb"
)

// replicationAckMsg reports the record versions that all live standbys have.
type replicationAckMsg struct {
	term uint64
	acks []recordVersion
}

type recordVersion struct {
	key     string
	version uint64
}

// isCurrent reports whether the acknowledgement belongs to the current
// ownership. The term alone doesn't tell: it stays the same after a step-down,
// and the standbys may have refused the batch.
func (m replicationAckMsg) isCurrent(l *ownerLoop) bool {
	return m.term == l.election.Term() && l.core.Serving()
}

func (m replicationAckMsg) handle(l *ownerLoop, _ time.Time) {
	if !m.isCurrent(l) {
		return
	}
	for _, a := range m.acks {
		l.core.HandleReplicated(a.key, a.version)
	}
}

// staleTermMsg reports that a peer refused records because it has seen the given
// term. If that is higher than the own term, the daemon drops its leases.
type staleTermMsg struct{ term uint64 }

func (m staleTermMsg) handle(l *ownerLoop, now time.Time) {
	l.members.ObserveTerm(m.term)
	if m.term > l.election.Term() && l.election.Term() > 0 {
		l.leases.RemoveAll()
		l.advanceElection(now)
	}
}

// replicateMsg carries records that the owner replicates to this daemon.
type replicateMsg struct {
	term    uint64
	records []model.Record
	reply   chan *peerpb.ReplicateResponse
}

func (m replicateMsg) handle(l *ownerLoop, now time.Time) {
	if m.term < l.fencingTerm || l.core.Serving() {
		m.reply <- &peerpb.ReplicateResponse{Term: max(l.fencingTerm, l.election.Term())}
		return
	}
	l.acceptOwnerTerm(m.term)
	for i := range m.records {
		l.core.Restore(now, m.records[i])
	}
	m.reply <- &peerpb.ReplicateResponse{Accepted: true, Term: m.term}
}

// acceptOwnerTerm records an owner's term. For a new owner all records are
// fetched again, because it may have recovered some that this standby lacks.
func (l *ownerLoop) acceptOwnerTerm(term uint64) {
	l.members.ObserveTerm(term)
	if term > l.fencingTerm {
		l.fencingTerm, l.synced = term, false
	}
}

// restoreMsg carries records that were read during recovery or fetched by a
// standby.
type restoreMsg struct {
	records []model.Record
	// delegatedTo is set for records of requests that another data centre runs.
	delegatedTo model.DataCentre
}

func (m restoreMsg) handle(l *ownerLoop, now time.Time) {
	for i := range m.records {
		if m.delegatedTo != "" {
			l.core.RestoreDelegated(m.delegatedTo, m.records[i])
			continue
		}
		l.core.Restore(now, m.records[i])
	}
}

// recoveryDoneMsg reports the result of a recovery. The result of an earlier
// term is ignored.
type recoveryDoneMsg struct{ result scheduler.Recovery }

func (m recoveryDoneMsg) handle(l *ownerLoop, _ time.Time) {
	if m.result.Term == l.election.Term() {
		l.recovery, l.recovered = m.result, true
	}
}

// lateRecoveryMsg reports sources of records that were read only after the owner
// had started to serve: the journal, another data centre, or both.
type lateRecoveryMsg struct {
	journalRead bool
	dataCentre  model.DataCentre
}

func (m lateRecoveryMsg) handle(l *ownerLoop, now time.Time) {
	if m.journalRead {
		l.core.HandleJournalRead(now)
	}
	if m.dataCentre != "" {
		l.core.HandleDataCentreAnswer(now, m.dataCentre)
	}
}

// syncedMsg reports that this standby has fetched all records of the owner with
// the given term.
type syncedMsg struct{ term uint64 }

// handle also accepts the owner's term: if nothing was replicated since this
// daemon started, the fetch is the first contact with that term.
func (m syncedMsg) handle(l *ownerLoop, _ time.Time) {
	l.acceptOwnerTerm(m.term)
	if m.term == l.fencingTerm {
		l.synced = true
	}
}

// fetchRecordsMsg asks for all records. With a term above 0 it comes from a new
// owner, and this daemon refuses records of lower terms from then on.
type fetchRecordsMsg struct {
	term  uint64
	reply chan fetchRecordsReply
}

type fetchRecordsReply struct {
	// synced is true when records has every record of the last owner.
	synced  bool
	term    uint64
	records []model.Record
}

func (m fetchRecordsMsg) handle(l *ownerLoop, _ time.Time) {
	// A standby (term 0) may copy the records of an owner that is in doubt, but a
	// new owner must not treat them as complete.
	synced := l.synced || (m.term == 0 && l.core.Serving())
	if m.term > l.fencingTerm && !l.core.Serving() {
		l.acceptOwnerTerm(m.term)
	}
	m.reply <- fetchRecordsReply{synced: synced, term: max(l.fencingTerm, m.term), records: l.core.AllRecords()}
}
