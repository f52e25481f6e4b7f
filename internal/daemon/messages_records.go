package daemon

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/peerpb"
)

// replicatedMsg reports records that the standbys have.
type replicationAckMsg struct {
	term uint64
	acks []recordVersion
}

type recordVersion struct {
	key     string
	version uint64
}

// counts reports whether the confirmation is for the present ownership. After a
// step-down the term is still the same, and the batch may have been refused.
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

// staleMsg reports that a peer has seen a higher term.
type staleTermMsg struct{ term uint64 }

func (m staleTermMsg) handle(l *ownerLoop, now time.Time) {
	l.members.ObserveTerm(m.term)
	if m.term > l.election.Term() && l.election.Term() > 0 {
		l.leases.RemoveAll()
		l.advanceElection(now)
	}
}

// replicaMsg brings records from the owner.
type replicateMsg struct {
	owner   string
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

// obey takes note of an owner's term. The records of a new owner are fetched
// as a whole, because it may have recovered some that this standby lacks.
func (l *ownerLoop) acceptOwnerTerm(term uint64) {
	l.members.ObserveTerm(term)
	if term > l.fencingTerm {
		l.fencingTerm, l.synced = term, false
	}
}

// restoreMsg brings records found by recovery or by a standby's fetch.
type restoreMsg struct {
	records []model.Record
	// delegatedTo is set for records that another data centre runs.
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

// recoveredMsg ends a recovery.
type recoveryDoneMsg struct{ result scheduler.Recovery }

func (m recoveryDoneMsg) handle(l *ownerLoop, _ time.Time) {
	if m.result.Term == l.election.Term() {
		l.recovery, l.recovered = m.result, true
	}
}

// lateRecoveryMsg reports a source of records that answered after serving began.
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

// syncedMsg marks a standby that has fetched all records.
type syncedMsg struct{ term uint64 }

// handle also takes note of the owner's term: without replicated changes since
// this daemon started, the fetch is the first message of that term.
func (m syncedMsg) handle(l *ownerLoop, _ time.Time) {
	l.acceptOwnerTerm(m.term)
	if m.term == l.fencingTerm {
		l.synced = true
	}
}

// fenceMsg refuses records of owners before the given term from now on. The
// reply tells whether this daemon had every record of the last owner.
type fetchRecordsMsg struct {
	term  uint64
	reply chan fetchRecordsReply
}

type fetchRecordsReply struct {
	synced  bool
	term    uint64
	records []model.Record
}

func (m fetchRecordsMsg) handle(l *ownerLoop, _ time.Time) {
	// A standby may copy an owner in doubt, but a successor must not take its
	// records for complete.
	synced := l.synced || (m.term == 0 && l.core.Serving())
	if m.term > l.fencingTerm && !l.core.Serving() {
		l.acceptOwnerTerm(m.term)
	}
	m.reply <- fetchRecordsReply{synced: synced, term: max(l.fencingTerm, m.term), records: l.core.AllRecords()}
}
