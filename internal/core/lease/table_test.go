package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"catkinvalve/internal/core/model"
	_ "catkinvalve/internal/propseed"
)

const ttl = 3 * time.Second

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTable returns a table with n listed workers, and their IDs.
func newTable(n int) (*Table, []model.WorkerID) {
	t, ids := New(ttl), []model.WorkerID(nil)
	for i := range n {
		ids = append(ids, model.WorkerID(fmt.Sprint("w", i)))
	}
	t.SetWorkerList(ids)
	return t, ids
}

// A lease must not be used for longer than its TTL less the safety margin,
// measured from the time at which the request was sent.
func TestLeaseEndsBeforeTTL(t *testing.T) {
	l, _ := newTable(1)
	l.RecordGrant("w0", 1, epoch)
	last := epoch.Add(ttl - ttl/10)
	assert.Assert(t, l.Held(last.Add(-1), "w0"))
	assert.Assert(t, !l.Held(last, "w0"))
	l.RecordRenewal("w0", 1, epoch.Add(time.Second))
	assert.Assert(t, l.Held(last, "w0"))
	assert.Assert(t, !l.Held(last.Add(time.Second), "w0"))
}

// Responses of another term, or responses out of order, must not extend a lease.
func TestLateAnswers(t *testing.T) {
	l, _ := newTable(1)
	assert.Equal(t, l.Term("w0"), uint64(0))
	l.RecordGrant("w0", 2, epoch.Add(time.Second))
	assert.Equal(t, l.Term("w0"), uint64(2))
	l.RecordRenewal("w0", 1, epoch.Add(time.Hour))
	l.RecordRenewal("w0", 2, epoch)
	end := epoch.Add(time.Second + l.Validity())
	assert.Assert(t, l.Held(end.Add(-1), "w0") && !l.Held(end, "w0"))
	assert.Assert(t, !l.RemoveTerm("w0", 1), "a refusal of an earlier term")
	assert.Assert(t, l.Held(epoch, "w0"))
	assert.Assert(t, l.RemoveTerm("w0", 2))
	l.RecordRenewal("w0", 2, epoch.Add(time.Second))
	assert.Assert(t, !l.Held(epoch, "w0"), "a renewal that arrives after the refusal")
}

// Workers that are not listed must not count, and an empty list must not give a
// majority.
func TestMajority(t *testing.T) {
	for _, tc := range []struct {
		listed, held  int
		majority, all bool
	}{{0, 0, false, false}, {1, 0, false, false}, {1, 1, true, true}, {2, 1, false, false}, {3, 2, true, false}, {4, 2, false, false}, {4, 4, true, true}} {
		l, ids := newTable(tc.listed)
		for _, id := range ids[:tc.held] {
			l.RecordGrant(id, 1, epoch)
		}
		l.RecordGrant("unlisted", 1, epoch)
		assert.Equal(t, l.HoldsMajority(epoch), tc.majority, "%+v", tc)
		assert.Equal(t, l.HoldsAll(epoch), tc.all, "%+v", tc)
		assert.Equal(t, l.HeldCount(epoch), tc.held, "%+v", tc)
	}
}

// A worker that leaves the list loses its lease and must be counted without a
// lease when it is listed again.
func TestListChanges(t *testing.T) {
	l, ids := newTable(3)
	for _, id := range ids {
		l.RecordGrant(id, 1, epoch)
	}
	l.SetWorkerList(ids[:1])
	l.SetWorkerList(ids)
	assert.Equal(t, l.ListedCount(), 3)
	assert.Equal(t, l.HeldCount(epoch), 1)
	assert.Assert(t, !l.HoldsMajority(epoch))
	l.Remove(ids[0])
	assert.Equal(t, l.HeldCount(epoch), 0)
	l.RecordGrant(ids[0], 2, epoch)
	l.RemoveAll()
	assert.Equal(t, l.HeldCount(epoch), 0)
}

// Each expired lease must be reported exactly once, and valid leases never.
func TestRemoveExpiredReportsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, ids := newTable(4)
		now, held := epoch, map[model.WorkerID]time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "worker")
			if rapid.Bool().Draw(t, "grant") {
				l.RecordGrant(id, 1, now)
				held[id] = now
			}
			expired := l.RemoveExpired(now)
			for id, at := range held {
				over := now.Sub(at) >= l.Validity()
				assert.Equal(t, slices.Contains(expired, id), over)
				assert.Equal(t, l.Held(now, id), !over)
				if over {
					delete(held, id)
				}
			}
			assert.Equal(t, len(l.RemoveExpired(now)), 0)
		}
	})
}
