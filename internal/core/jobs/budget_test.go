package jobs

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// newLeader returns a bench with the core of a new leader that restores a
// snapshot.
func (b *testBench) newLeader(token uint64, s Snapshot) *testBench {
	b.t.Helper()
	next := &testBench{t: b.t, now: b.now}
	cfg := testConfig()
	cfg.Token = token
	next.core = New(cfg)
	next.core.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 2, Slack: 2}})
	next.core.Restore(b.now, b.now, s)
	return next
}

// Guards against ignoring a failed run because the end of a later run was
// reported first. Two workers report their ends to a new leader in any order;
// if one failure is ignored, the task starts once more than it may. Seen in
// kerlann-voix, trouble-2, seed 364991379060.
func TestFailuresCountInAnyOrder(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1", "w2")
	b.submit("j1", smallStep(1))
	spec := Spec{ID: "j1", Queue: "q", Steps: []Step{smallStep(1)}}
	next := b.newLeader(3, Snapshot{
		Accepted: []AcceptedRecord{{Spec: spec, Queue: Queue{Name: "q", Service: "s", MaxAttempts: 2}, Token: 1, Accepted: b.now}},
		Workers:  []WorkerRecord{{ID: "w1", Address: "w1:1", Service: "s"}, {ID: "w2", Address: "w2:1", Service: "s"}},
	})
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w1"), workerEntry("w2")})
	task := TaskRef{Job: "j1"}
	out := next.advance(0)
	results := map[model.WorkerID]SyncResult{
		"w1": {Ends: []RunEnd{{Seq: 1, Task: task, Run: 1, Kind: EndFailed}}},
		"w2": {Ends: []RunEnd{{Seq: 1, Task: task, Run: 1001, Kind: EndFailed}}},
	}
	for _, first := range []model.WorkerID{"w2", "w1"} {
		for _, req := range out.Syncs {
			if req.Worker == first {
				next.answerSyncs(Actions{Syncs: []SyncRequest{req}}, results)
			}
		}
	}
	next.storeBatch()
	assert.Equal(t, len(next.advance(0).Starts), 0, "started after the last attempt")
	assert.Equal(t, jobView(t, next.core, "j1"), ViewFailed)
}

// Guards against counting a failed run twice when the worker reports its end
// again to the next leader.
func TestRepeatedFailureReportCountsOnce(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	b.submit("j1", smallStep(1))
	out := b.advance(0)
	b.confirmStarts(out.Starts)
	b.answerSyncs(out, nil)
	failed := SyncResult{Ends: []RunEnd{{Seq: 1, Task: TaskRef{Job: "j1"}, Run: 1, Kind: EndFailed}}}
	b.answerSyncs(b.advance(0), map[model.WorkerID]SyncResult{"w1": failed})
	batch := b.storeBatch()
	spec := Spec{ID: "j1", Queue: "q", Steps: []Step{smallStep(1)}}
	next := b.newLeader(2, Snapshot{
		Accepted: []AcceptedRecord{{Spec: spec, Queue: Queue{Name: "q", Service: "s", MaxAttempts: 2}, Token: 1, Accepted: b.now}},
		Progress: batch.Progress,
		Workers:  []WorkerRecord{{ID: "w1", Address: "w1:1", Service: "s"}},
	})
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w1")})
	next.answerSyncs(next.advance(0), map[model.WorkerID]SyncResult{"w1": failed})
	next.storeBatch()
	assert.Equal(t, jobView(t, next.core, "j1"), ViewActive)
	assert.DeepEqual(t, startNames(next.advance(0)), []string{"j1.0.0.0@w1#1001"})
}
