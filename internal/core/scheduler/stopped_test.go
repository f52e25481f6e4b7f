package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// A task that was preempted before a takeover must be started again; the successor must
// not take the stop for a cancellation.
func TestPreemptedTaskSurvivesTakeover(t *testing.T) {
	b := newFixture(t, "w1")
	b.submit("dc-a:k", "batch")
	b.report("dc-a:k", 0, model.TaskRunning)
	s := b.successor("w1")
	s.grant("w1", "boot", b.inventory("dc-a:k", 0, model.TaskStopped))
	s.serve(2)
	s.tick(time.Second)
	s.wantTask("dc-a:k", 0, model.TaskStarting)
}

// A non-idempotent request that its worker stopped by itself, because no owner renewed
// the lease, must be reported as unknown and not as cancelled.
func TestStopWithoutRequestIsUnknown(t *testing.T) {
	b := newFixture(t, "w1")
	b.submit("dc-a:k", "once")
	b.report("dc-a:k", 0, model.TaskRunning)
	b.report("dc-a:k", 0, model.TaskStopped)
	b.wantFate("dc-a:k", model.Unknown)
	assert.Equal(t, b.countStarts("dc-a:k"), 1)
}
