package daemon

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/peerpb"
)

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
		l.core.HandleReplicated(a.key, a.version)
	}
}

// staleMsg reports that a peer has seen a higher term.
type staleMsg struct{ term uint64 }

func (m staleMsg) handle(l *loop, now time.Time) {
	l.members.ObserveTerm(m.term)
	if m.term > l.election.Term() && l.election.Term() > 0 {
		l.leases.RemoveAll()
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
	l.members.ObserveTerm(term)
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
		l.core.HandleJournalRead(now)
	}
	if m.home != "" {
		l.core.HandleDataCentreAnswer(now, m.home)
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
