package jobs

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Guards against a step that waits for long without a line in the log that says why.
func TestWaitingStepIsReportedWithItsReason(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	whole := Step{Count: 1, Size: model.Size{MilliCPU: 8000, MemMB: 100}, Estimate: time.Second}
	b.submit("first", whole)
	b.confirmStarts(b.advance(0).Starts)
	b.submit("second", whole)
	b.advance(0)
	b.out.Events = nil
	b.advance(waitReportDelay)
	i := slices.IndexFunc(b.out.Events, func(e Event) bool { return e.Name == EventStepWaiting })
	assert.Assert(t, i >= 0, "not reported: %v", b.out.Events)
	assert.Equal(t, b.out.Events[i].Job, "second")
	assert.Equal(t, b.out.Events[i].Reason, waitForCapacity)
	assert.Assert(t, !slices.ContainsFunc(b.out.Events, func(e Event) bool { return e.Name == EventStepWaiting && e.Job == "first" }), "reported although it runs")
}

// Guards against a late step that never gets advice because steps that are on time come first, although
// most of the capacity is free.
func TestStarvingStepComesFirst(t *testing.T) {
	b := newAdviceBench(t)
	b.addWorkers("w1", "w2")
	b.core.SetAdviceRelays(nil)
	b.submit("late", smallStep(1))
	b.core.ready[0].startBy = b.now.Add(-time.Minute)
	b.advance(0)
	b.advance(starvationTime)
	b.submit("punctual", smallStep(1))
	b.advance(0)
	b.core.SetAdviceRelays([]string{"self"})
	requests := b.advance(scheduleInterval).Advice
	assert.Assert(t, len(requests) > 0)
	assert.Equal(t, requests[0].Step.Job, "late")
}
