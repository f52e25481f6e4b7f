package jobs

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// newMemoryBench returns a test bench whose core has a limit of memory for jobs.
func newMemoryBench(t *testing.T, maxBytes int64) *testBench {
	t.Helper()
	b := newTestBench(t)
	b.core.cfg.MaxJobBytes = maxBytes
	b.addWorkers("w1")
	return b
}

// Guards against jobs that fill the leader's memory by their texts or tasks, and against memory
// that stays counted when jobs have ended or were never stored.
func TestJobsAreRefusedWhenMemoryIsFull(t *testing.T) {
	const limit = 1 << 20
	b := newMemoryBench(t, limit)
	submit := func(id string, step Step) *Response {
		return b.core.Submit(b.now, &Spec{ID: id, Queue: "q", Steps: []Step{step}}, 1)
	}
	assert.Assert(t, submit("tasks", smallStep(10_000)) == nil)
	large := smallStep(1)
	large.Image = strings.Repeat("x", 200<<10)
	assert.Assert(t, submit("text", large) == nil)
	refused := submit("unstored", large)
	assert.Assert(t, refused != nil && refused.Reason == model.ReasonMemoryFull && refused.RetryAfter >= time.Second, "records that are not stored have no limit")
	b.storeBatch()
	assert.Assert(t, submit("text2", large) == nil)
	b.storeBatch()
	assert.Assert(t, submit("tasks2", smallStep(10_000)) != nil)
	assert.Assert(t, submit("small", smallStep(1)) == nil)
	b.core.SetStoreStalled(b.now, true) // refuses the job that is in no batch yet
	b.core.SetStoreStalled(b.now, false)
	for _, id := range []string{"tasks", "text", "text2"} {
		assert.Assert(t, b.core.Cancel(b.now, id, 2) == nil)
	}
	assert.Assert(t, b.core.MemoryUsed() > 0)
	b.storeBatch()
	assert.Equal(t, b.core.MemoryUsed(), int64(0))
	assert.Equal(t, b.core.memory.unstored, int64(0))
	assert.Equal(t, jobView(t, b.core, "text"), ViewCancelled)
}

// Guards against submissions that fill the memory of a leader that has not read the list of workers.
func TestDeferredSubmissionsAreLimited(t *testing.T) {
	b := newTestBench(t)
	b.core.cfg.MaxJobBytes = 1 << 20
	large := smallStep(1)
	large.Image = strings.Repeat("x", 200<<10)
	assert.Assert(t, b.core.Submit(b.now, &Spec{ID: "j1", Queue: "q", Steps: []Step{large}}, 1) == nil)
	assert.Equal(t, b.core.Submit(b.now, &Spec{ID: "j2", Queue: "q", Steps: []Step{large}}, 2).Reason, model.ReasonMemoryFull)
	b.core.Cancel(b.now, "j1", 3)
	assert.Equal(t, b.core.memory.deferred, int64(0))
}

// Guards against overdue occurrences that fill the memory at once, and against occurrences that are
// never created because the memory was full when they were due.
func TestDueOccurrencesWaitForMemory(t *testing.T) {
	const occurrences, limit = 40, 20 << 10
	b := newMemoryBench(t, limit)
	spec := &Spec{ID: "timed", Queue: "q", Steps: []Step{smallStep(2)}, Repeat: occurrences, FirstDue: b.now.Add(-time.Hour), Interval: time.Second}
	assert.Assert(t, b.core.Submit(b.now, spec, 1) == nil)
	b.storeBatch()
	deferred := 0
	seq := int64(0)
	for jobView(t, b.core, "timed") != ViewCompleted {
		assert.Assert(t, b.core.MemoryUsed() <= limit, "%d bytes", b.core.MemoryUsed())
		out := b.advance(50 * time.Millisecond)
		assert.Assert(t, b.now.Before(startTime.Add(time.Minute)), "the job does not complete")
		b.confirmStarts(out.Starts)
		var ends []RunEnd
		for _, s := range out.Starts {
			seq++
			ends = append(ends, RunEnd{Seq: seq, Task: s.Task, Run: s.Run, Kind: EndDone})
		}
		b.core.HandleSyncResult(b.now, &SyncResult{Worker: "w1", SentAt: b.now, Incarnation: 1, ClockMs: b.clockMs(), Ends: ends})
		b.answerSyncs(out, nil)
		b.storeBatch()
	}
	for _, e := range b.out.Events {
		if e.Name == EventOccurrencesDeferred {
			deferred++
		}
	}
	assert.Assert(t, deferred > 0 && deferred < occurrences, "%d events", deferred)
	assert.Equal(t, b.core.MemoryUsed(), int64(0))
}

// Guards against a largest legal job that the smallest instance, which gives jobs a fifth of its
// memory, cannot hold.
func TestLargestJobFitsSmallestInstance(t *testing.T) {
	b := newMemoryBench(t, 144<<20/5)
	spec := &Spec{ID: "largest", Queue: "q"}
	for range MaxSteps {
		spec.Steps = append(spec.Steps, smallStep(MaxTasksPerStep))
	}
	assert.NilError(t, spec.Validate())
	assert.Assert(t, b.core.Submit(b.now, spec, 1) == nil)
}
