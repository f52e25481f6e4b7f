package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// restoredBehindFullPage returns a new leader with a job of three tasks, of which the store knows
// that two have ended, and a worker whose pages hold two ends.
func restoredBehindFullPage(t *testing.T) *testBench {
	b := newTestBench(t)
	progress := ProgressRecord{Job: "j1", Queue: "q", Occurrences: []OccurrenceProgress{{Steps: []StepProgress{{Done: []byte{3}}}}}}
	next := b.newLeader(2, Snapshot{Accepted: []AcceptedRecord{acceptedRecord(b, "j1", smallStep(3))}, Progress: []ProgressRecord{progress},
		Workers: []WorkerRecord{{ID: "w1", Address: "w1:1", Service: "s"}}})
	next.core.cfg.EndsPerPage = 2
	next.core.SetPreviousLeaderEnd(next.now)
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w1")})
	return next
}

// Guards against accepted work that stands still: the ends of a full page, all of them stored by an
// earlier leader, waited for a batch that nobody made.
func TestStoredEndsAreAcknowledgedWithoutBatch(t *testing.T) {
	b := restoredBehindFullPage(t)
	ends := doneEnds("j1", 3)
	b.answerSyncs(b.advance(0), map[model.WorkerID]SyncResult{"w1": {Ends: ends[:2]}})
	out := b.advance(unstoredPollInterval)
	assert.Equal(t, len(out.Syncs), 1)
	assert.Equal(t, out.Syncs[0].AckCursor, int64(2))
	b.answerSyncs(out, map[model.WorkerID]SyncResult{"w1": {Ends: ends[2:]}})
	out = b.advance(unstoredPollInterval)
	assert.Equal(t, out.Syncs[0].AckCursor, int64(2), "an end is acknowledged before it is stored")
	b.answerSyncs(out, nil)
	b.storeBatch()
	assert.Equal(t, b.advance(unstoredPollInterval).Syncs[0].AckCursor, int64(3))
	assert.Equal(t, jobView(t, b.core, "j1"), ViewCompleted)
}

// Guards against an end that is acknowledged before the outcome of its job is stored: the task of the
// end is gone from memory then.
func TestEndOfUnstoredOutcomeIsNotAcknowledged(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1", "w2")
	b.submit("j1", smallStep(1))
	out := b.advance(0)
	b.confirmStarts(out.Starts)
	end := []RunEnd{{Seq: 1, Task: TaskRef{Job: "j1"}, Run: out.Starts[0].Run, Kind: EndDone}}
	b.answerSyncs(out, map[model.WorkerID]SyncResult{out.Starts[0].Worker: {Ends: end}})
	other := model.WorkerID("w1")
	if out.Starts[0].Worker == other {
		other = "w2"
	}
	b.answerSyncs(b.advance(time.Second), map[model.WorkerID]SyncResult{other: {Ends: end}})
	for _, req := range b.advance(time.Second).Syncs {
		assert.Equal(t, req.AckCursor, int64(0), "%s", req.Worker)
	}
}

// Guards against a recovery that stands still unseen.
func TestLongRecoveryIsReported(t *testing.T) {
	b := restoredBehindFullPage(t)
	unreadable := map[model.WorkerID]SyncResult{"w1": {Ends: []RunEnd{{Seq: 1, Task: TaskRef{Job: "j1", Index: 2}, Run: 1, Kind: EndDone}}, RowErrors: []string{"row has no run number"}}}
	reported := time.Duration(0)
	for range 100 {
		b.answerSyncs(b.advance(stepTime), unreadable)
		for _, e := range b.out.Events {
			if e.Name == EventRecoveryDelayed && reported == 0 {
				reported = b.now.Sub(startTime)
				assert.Equal(t, e.Worker, model.WorkerID("w1"))
				assert.Equal(t, e.Reason, waitForEnds)
			}
		}
	}
	lease := b.core.previousLeaseEnd().Sub(startTime)
	assert.Assert(t, reported >= lease && reported < lease+time.Second, "reported after %v, the leases ended after %v", reported, lease)
	assert.Assert(t, b.core.RecoveryDelay(b.now) > 0)
}
