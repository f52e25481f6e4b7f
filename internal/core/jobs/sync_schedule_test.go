package jobs

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// manyWorkers lists a number of workers.
func workerEntries(n int) []WorkerEntry {
	var entries []WorkerEntry
	for i := range n {
		entries = append(entries, workerEntry(fmt.Sprintf("w%04d", i)))
	}
	return entries
}

// Guards against a new leader that calls thousands of workers at once, which
// takes more descriptors and time than it has.
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

// Guards against calls to idle workers that grow with their number, against idle
// workers that count as silent between two calls, and against a busy worker that
// is called as rarely.
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
	for _, h := range out.Syncs {
		called = called || h.Worker == busy
	}
	assert.Assert(t, called || b.core.workers[busy].syncing, "the ends of a busy worker are not asked for")
	b.answerSyncs(Actions{Syncs: []SyncRequest{{Worker: busy}}}, map[model.WorkerID]SyncResult{busy: {Running: []RunReport{{Task: TaskRef{Job: "j1"}, Run: 1}}}})
}

// Guards against decisions that grow with the number of workers: with 3,000 and
// some hundred waiting steps, each round sorted all workers for each step, took
// 0.5 s, and tickets ended before they could be used.
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
