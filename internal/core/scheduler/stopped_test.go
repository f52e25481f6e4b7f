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
	f := newFixture(t, "w1")
	f.submit("dc-a:k", "batch")
	f.report("dc-a:k", 0, model.TaskRunning)
	s := f.successor("w1")
	s.grant("w1", "boot", f.inventory("dc-a:k", 0, model.TaskStopped))
	s.serve(2)
	s.tick(time.Second)
	s.wantTask("dc-a:k", 0, model.TaskStarting)
}

// A non-idempotent request that its worker stopped by itself, because no owner renewed
// the lease, must be reported as unknown and not as cancelled.
func TestStopWithoutRequestIsUnknown(t *testing.T) {
	f := newFixture(t, "w1")
	f.submit("dc-a:k", "once")
	f.report("dc-a:k", 0, model.TaskRunning)
	f.report("dc-a:k", 0, model.TaskStopped)
	f.wantFate("dc-a:k", model.Unknown)
	assert.Equal(t, f.countStarts("dc-a:k"), 1)
}
