// Package lease keeps the holder's view of the worker leases of one data
// centre. A lease counts as held only for its TTL less a margin after the
// renewal was sent, so the holder always stops before the worker's own clock
// lets another daemon in.
package lease

import (
	"time"

	"catkinvalve/internal/core/model"
)

// marginDivisor sets the safety margin to a tenth of the TTL. It covers clock
// rate differences between the daemon and a worker.
const safetyMarginDivisor = 10

// Table holds the leases of one daemon. It is not safe for concurrent use.
type Table struct {
	ttl    time.Duration
	listed map[model.WorkerID]bool
	leases map[model.WorkerID]*entry
}

type entry struct {
	term   uint64
	sentAt time.Time
}

// New returns an empty table for leases with the given TTL.
func New(ttl time.Duration) *Table {
	return &Table{ttl: ttl, listed: map[model.WorkerID]bool{}, leases: map[model.WorkerID]*entry{}}
}

// Validity is how long a lease counts as held after its renewal was sent.
func (t *Table) Validity() time.Duration { return t.ttl - t.ttl/safetyMarginDivisor }

// SetListed replaces the set of workers that the instance list shows for the
// data centre. Ownership needs more than half of them.
func (t *Table) SetListed(ids []model.WorkerID) {
	t.listed = make(map[model.WorkerID]bool, len(ids))
	for _, id := range ids {
		t.listed[id] = true
	}
	for id := range t.leases {
		if !t.listed[id] {
			delete(t.leases, id)
		}
	}
}

// Listed returns the number of listed workers.
func (t *Table) ListedCount() int { return len(t.listed) }

// Granted records a lease whose request was sent at sentAt.
func (t *Table) RecordGrant(id model.WorkerID, term uint64, sentAt time.Time) {
	if t.listed[id] {
		t.leases[id] = &entry{term: term, sentAt: sentAt}
	}
}

// Renewed extends a lease whose renewal was sent at sentAt. It is ignored when
// the lease has another term.
func (t *Table) RecordRenewal(id model.WorkerID, term uint64, sentAt time.Time) {
	if e := t.leases[id]; e != nil && e.term == term && sentAt.After(e.sentAt) {
		e.sentAt = sentAt
	}
}

// Lost removes a lease, for instance after the worker refused it. It returns
// false when another term holds the worker by now.
func (t *Table) RemoveTerm(id model.WorkerID, term uint64) bool {
	e := t.leases[id]
	if e == nil || e.term != term {
		return false
	}
	delete(t.leases, id)
	return true
}

// Clear removes all leases.
func (t *Table) RemoveAll() { clear(t.leases) }

// Held reports whether the lease on a worker is valid at now.
func (t *Table) Held(now time.Time, id model.WorkerID) bool {
	e := t.leases[id]
	return e != nil && now.Sub(e.sentAt) < t.Validity()
}

// Term returns the term of the lease on a worker; 0 when there is none.
func (t *Table) Term(id model.WorkerID) uint64 {
	if e := t.leases[id]; e != nil {
		return e.term
	}
	return 0
}

// HeldCount returns the number of leases that are valid at now.
func (t *Table) HeldCount(now time.Time) int {
	n := 0
	for id := range t.leases {
		if t.Held(now, id) {
			n++
		}
	}
	return n
}

// Majority reports whether valid leases cover more than half of the listed workers.
func (t *Table) HoldsMajority(now time.Time) bool {
	return len(t.listed) > 0 && 2*t.HeldCount(now) > len(t.listed)
}

// All reports whether every listed worker's lease is valid at now.
func (t *Table) HoldsAll(now time.Time) bool {
	return len(t.listed) > 0 && t.HeldCount(now) == len(t.listed)
}

// Expired returns the workers whose lease has just become invalid at now and
// removes them from the table.
func (t *Table) RemoveExpired(now time.Time) []model.WorkerID {
	var ids []model.WorkerID
	for id := range t.leases {
		if !t.Held(now, id) {
			ids = append(ids, id)
			delete(t.leases, id)
		}
	}
	return ids
}

// Drop removes the lease on a worker that is not used any more.
func (t *Table) Remove(id model.WorkerID) { delete(t.leases, id) }
