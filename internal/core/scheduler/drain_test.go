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
	b := newFixture(t, "w1")
	running, found := b.c.Drain(b.now, "w1")
	assert.Assert(t, found && running == 0)
	b.listWorkers("w1")
	b.submit("dc-a:k", "batch")
	b.wantTask("dc-a:k", 0, model.TaskQueued)
}

// A drain must not stop tasks before the drain time, must move only idempotent tasks,
// and must keep new tasks off the worker.
func TestDrainMovesIdempotentTasks(t *testing.T) {
	b := newFixture(t, "w1")
	for _, service := range []string{"batch", "once"} {
		b.submit("dc-a:"+service, service)
		b.report("dc-a:"+service, 0, model.TaskRunning)
	}
	b.listWorkers("w1", "w2")
	b.grant("w2", "boot")
	b.c.Drain(b.now, "w1")
	b.tick(500 * time.Millisecond)
	assert.Equal(t, len(b.stops["w1"]), 0, "a task was stopped before the drain time")
	b.tick(time.Second)
	assert.Equal(t, len(b.stops["w1"]), 1)
	b.report("dc-a:batch", 0, model.TaskStopped)
	b.tick(time.Second)
	assert.Equal(t, b.record("dc-a:batch").Tasks[0].Worker, model.WorkerID("w2"))
	b.report("dc-a:once", 0, model.TaskDone)
	b.report("dc-a:batch", 0, model.TaskDone)
	b.wantFate("dc-a:once", model.Done)
	assert.Equal(t, b.countStarts("dc-a:once"), 1)
	b.wantIdle()
}
