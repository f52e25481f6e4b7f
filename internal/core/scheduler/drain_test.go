package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// A requested drain must not end with the next instance list, which still shows the
// worker as live.
func TestDrainOutlivesInstanceList(t *testing.T) {
	f := newFixture(t, "w1")
	running, found := f.c.Drain(f.now, "w1")
	assert.Assert(t, found && running == 0)
	f.listWorkers("w1")
	f.submit("dc-a:k", "batch")
	f.wantTask("dc-a:k", 0, model.TaskQueued)
}

// A drain must not stop tasks before the drain time, must move only idempotent tasks,
// and must keep new tasks off the worker.
func TestDrainMovesIdempotentTasks(t *testing.T) {
	f := newFixture(t, "w1")
	for _, service := range []string{"batch", "once"} {
		f.submit("dc-a:"+service, service)
		f.report("dc-a:"+service, 0, model.TaskRunning)
	}
	f.listWorkers("w1", "w2")
	f.grant("w2", "boot")
	f.c.Drain(f.now, "w1")
	f.tick(500 * time.Millisecond)
	assert.Equal(t, len(f.stops["w1"]), 0, "a task was stopped before the drain time")
	f.tick(time.Second)
	assert.Equal(t, len(f.stops["w1"]), 1)
	f.report("dc-a:batch", 0, model.TaskStopped)
	f.tick(time.Second)
	assert.Equal(t, f.record("dc-a:batch").Tasks[0].Worker, model.WorkerID("w2"))
	f.report("dc-a:once", 0, model.TaskDone)
	f.report("dc-a:batch", 0, model.TaskDone)
	f.wantFate("dc-a:once", model.Done)
	assert.Equal(t, f.countStarts("dc-a:once"), 1)
	f.wantIdle()
}
