// Package lease keeps the holder's view of the worker leases of one data
// centre. A lease counts as held for its TTL less a safety margin, measured from
// the time at which the request or renewal was sent. The holder therefore stops
// using it before it expires on the worker's clock and another daemon can get it.
package lease

import (
	"time"

	"catkinvalve/internal/core/model"
)

// safetyMarginDivisor sets the safety margin to a tenth of the TTL. It covers
// differences in clock rate between the daemon and a worker.
const safetyMarginDivisor = 10

// Table holds the worker leases of one daemon. It is not safe for concurrent use.
type Table struct {
	ttl    time.Duration
	listed map[model.WorkerID]bool
	leases map[model.WorkerID]*entry
}

type entry struct {
	term   uint64
	sentAt time.Time // of the latest request or renewal that the worker accepted
}

// New returns an empty table for leases with the given TTL.
func New(ttl time.Duration) *Table {
	return &Table{ttl: ttl, listed: map[model.WorkerID]bool{}, leases: map[model.WorkerID]*entry{}}
}

// Validity returns how long a lease counts as held after its request or renewal
// was sent.
func (t *Table) Validity() time.Duration { return t.ttl - t.ttl/safetyMarginDivisor }

// SetWorkerList replaces the set of workers of the data centre in the instance list.
// It removes the leases of workers that are no longer listed. Ownership needs
// the leases of more than half of the listed workers.
func (t *Table) SetWorkerList(ids []model.WorkerID) {
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

// ListedCount returns the number of listed workers.
func (t *Table) ListedCount() int { return len(t.listed) }

// RecordGrant adds a lease whose request was sent at sentAt. It ignores workers
// that are not listed.
func (t *Table) RecordGrant(id model.WorkerID, term uint64, sentAt time.Time) {
	if t.listed[id] {
		t.leases[id] = &entry{term: term, sentAt: sentAt}
	}
}

// RecordRenewal extends a lease whose renewal was sent at sentAt. It ignores a
// renewal of another term or one sent before the latest recorded one.
func (t *Table) RecordRenewal(id model.WorkerID, term uint64, sentAt time.Time) {
	if e := t.leases[id]; e != nil && e.term == term && sentAt.After(e.sentAt) {
		e.sentAt = sentAt
	}
}

// RemoveTerm removes the lease on a worker, for example after the worker refused
// it. It returns false and changes nothing when there is no lease of this term.
func (t *Table) RemoveTerm(id model.WorkerID, term uint64) bool {
	e := t.leases[id]
	if e == nil || e.term != term {
		return false
	}
	delete(t.leases, id)
	return true
}

// RemoveAll removes all leases.
func (t *Table) RemoveAll() { clear(t.leases) }

// Held reports whether a lease on the worker is valid at now.
func (t *Table) Held(now time.Time, id model.WorkerID) bool {
	e := t.leases[id]
	return e != nil && now.Sub(e.sentAt) < t.Validity()
}

// Term returns the term of the lease on a worker, or 0 when there is none.
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

// HoldsMajority reports whether the leases of more than half of the listed
// workers are valid at now.
func (t *Table) HoldsMajority(now time.Time) bool {
	return len(t.listed) > 0 && 2*t.HeldCount(now) > len(t.listed)
}

// HoldsAll reports whether there are listed workers and the leases of all of
// them are valid at now.
func (t *Table) HoldsAll(now time.Time) bool {
	return len(t.listed) > 0 && t.HeldCount(now) == len(t.listed)
}

// RemoveExpired removes the leases that are no longer valid at now and returns
// their workers in no particular order.
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

// Remove removes the lease on a worker, whatever its term.
func (t *Table) Remove(id model.WorkerID) { delete(t.leases, id) }
