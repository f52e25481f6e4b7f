package jobs

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// workerEntries returns n worker entries.
func workerEntries(n int) []WorkerEntry {
	var entries []WorkerEntry
	for i := range n {
		entries = append(entries, workerEntry(fmt.Sprintf("w%04d", i)))
	}
	return entries
}

// Guards against a new leader that opens connections to thousands of workers at
// once, which exceeds its file descriptors and takes too long.
func TestNewLeaderLimitsConcurrentProbes(t *testing.T) {
	b := newTestBench(t)
	b.core.SetWorkers(b.now, workerEntries(3000))
	called := 0
	for range 10 {
		out := b.advance(50 * time.Millisecond)
		assert.Assert(t, len(out.Syncs) <= maxProbes, "%d calls at once", len(out.Syncs))
		called += len(out.Syncs)
		b.answerSyncs(out, nil)
		b.storeBatch()
	}
	assert.Assert(t, called >= 3000, "only %d workers were called", called)
}

// Guards against three faults in a large cell: syncs with idle workers that
// grow with their number, idle workers that count as silent between two syncs,
// and a busy worker that is synced as rarely as an idle one.
func TestIdleWorkersOfLargeCellAreSyncedLessOften(t *testing.T) {
	b := newTestBench(t)
	b.core.SetWorkers(b.now, workerEntries(3000))
	for range 10 {
		b.answerSyncs(b.advance(50*time.Millisecond), nil)
		b.storeBatch()
	}
	calls := 0
	for range 100 {
		out := b.advance(100 * time.Millisecond)
		calls += len(out.Syncs)
		b.answerSyncs(out, nil)
	}
	assert.Assert(t, calls <= 10*2*maxIdleCalls, "%d calls in 10 s", calls)
	for _, w := range b.core.workerList {
		assert.Equal(t, b.core.workerState(b.now, w), WorkerUsable, "%s after %v", w.ID, b.now.Sub(w.lastContact))
	}
	b.submit("j1", smallStep(1))
	out := b.advance(0)
	assert.Equal(t, len(out.Starts), 1)
	busy := out.Starts[0].Worker
	if !b.core.workers[busy].syncing {
		b.core.Schedule(b.now)
		out = b.core.TakeActions()
	}
	called := false
	for _, req := range out.Syncs {
		called = called || req.Worker == busy
	}
	assert.Assert(t, called || b.core.workers[busy].syncing, "a busy worker is not synced")
	b.answerSyncs(Actions{Syncs: []SyncRequest{{Worker: busy}}}, map[model.WorkerID]SyncResult{busy: {Running: []RunReport{{Task: TaskRef{Job: "j1"}, Run: 1}}}})
}

// Guards against decisions whose cost grows with the number of workers. With
// 3,000 workers and some hundred waiting steps, each round sorted all workers
// for each step and took 0.5 s; tickets expired before they could be used.
func TestAdviceCandidatesComeFromRotatingSample(t *testing.T) {
	b := newAdviceBench(t)
	b.core.SetWorkers(b.now, workerEntries(3000))
	for range 10 {
		b.answerSyncs(b.advance(50*time.Millisecond), nil)
		b.storeBatch()
	}
	seen := map[model.WorkerID]bool{}
	pool := b.core.pools["s"]
	for range 3000/sampleSize + 1 {
		sample := b.core.sample(pool)
		assert.Equal(t, len(sample), sampleSize)
		for _, w := range sample {
			seen[w.ID] = true
		}
	}
	assert.Equal(t, len(seen), 3000, "some workers are never chosen")
}
