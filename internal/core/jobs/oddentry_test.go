package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// The tests in this file guard against runs that start a second time because an entry under the ID of
// their worker names another address.

// movedEntry is the entry of w1 with another address.
func movedEntry(incarnation int64) WorkerEntry {
	e := workerEntry("w1")
	e.Address, e.Incarnation = "elsewhere:1", incarnation
	return e
}

// answerAt answers the syncs with the runs of w1 that are sent to one address, refuses those sent
// elsewhere, and answers for all other workers. It returns the addresses at which w1 was asked.
func (b *testBench) answerAt(out Actions, address string, running []RunReport) (asked []string) {
	b.t.Helper()
	for _, req := range out.Syncs {
		r := SyncResult{Worker: req.Worker, SentAt: b.now, Incarnation: 1, ClockMs: b.clockMs()}
		if req.Worker == "w1" {
			asked = append(asked, req.Address)
			r.Running = running
		}
		if req.Worker == "w1" && req.Address != address {
			r = SyncResult{Worker: req.Worker, SentAt: b.now, Status: CallWrongIncarnation}
		}
		b.core.HandleSyncResult(b.now, &r)
	}
	return asked
}

func TestEntryWithOtherAddressMovesNoProcess(t *testing.T) {
	for name, entry := range map[string]WorkerEntry{"same process": movedEntry(1), "later process": movedEntry(7)} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			b.addWorkers("w1")
			b.submit("j1", smallStep(1))
			out := b.advance(0)
			b.confirmStarts(out.Starts)
			running := []RunReport{{Task: out.Starts[0].Task, Run: out.Starts[0].Run}}
			b.answerAt(out, "w1:1", running)
			b.core.SetWorkers(b.now, []WorkerEntry{entry, workerEntry("w2")})
			for range 50 {
				out := b.advance(100 * time.Millisecond)
				assert.Equal(t, len(out.Starts), 0, "%v", startNames(out))
				for _, address := range b.answerAt(out, "w1:1", running) {
					assert.Equal(t, address, "w1:1")
				}
				b.storeBatch()
			}
		})
	}
}

func TestRefusalAtAddressOfEntryEndsNoRecovery(t *testing.T) {
	b := newTestBench(t)
	next := b.newLeader(2, Snapshot{Accepted: []AcceptedRecord{acceptedRecord(b, "j1", smallStep(1))}, Workers: []WorkerRecord{{ID: "w1", Address: "w1:1", Service: "s"}}})
	next.core.SetPreviousLeaderEnd(next.now)
	next.core.SetWorkers(next.now, []WorkerEntry{movedEntry(1), workerEntry("w2")})
	running := []RunReport{{Task: TaskRef{Job: "j1"}, Run: 1}}
	for range 50 {
		out := next.advance(100 * time.Millisecond)
		assert.Equal(t, len(out.Starts), 0, "%v", startNames(out))
		next.answerAt(out, "w1:1", running)
		next.storeBatch()
	}
	assert.Assert(t, next.core.Recovered(), "the worker was not asked at its former address")
}

// A worker that really moved is found at its new address.
func TestWorkerIsFoundAtNewAddress(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	b.submit("j1", smallStep(1))
	out := b.advance(0)
	b.confirmStarts(out.Starts)
	b.answerAt(out, "w1:1", []RunReport{{Task: out.Starts[0].Task, Run: out.Starts[0].Run}})
	b.core.SetWorkers(b.now, []WorkerEntry{movedEntry(7)})
	var restarted []StartRequest
	for range 20 {
		out := b.advance(100 * time.Millisecond)
		restarted = append(restarted, out.Starts...)
		for _, req := range out.Syncs {
			r := SyncResult{Worker: req.Worker, SentAt: b.now, Status: CallNoAnswer}
			if req.Address == "elsewhere:1" {
				r.Status, r.Incarnation, r.ClockMs = CallOK, 7, b.clockMs()
			}
			b.core.HandleSyncResult(b.now, &r)
		}
		b.storeBatch()
	}
	assert.Assert(t, len(restarted) > 0, "the task does not start again")
	assert.Equal(t, restarted[0].Address, "elsewhere:1")
	assert.Equal(t, restarted[0].Worker, model.WorkerID("w1"))
}
