package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Only idempotent batch tasks must be preempted, and a preempted task must be placed
// again.
func TestPreemptionByCheckpoint(t *testing.T) {
	f := newFixture(t, "w1")
	f.submit("dc-a:b", "batch")
	f.submit("dc-a:o", "once")
	f.report("dc-a:b", 0, model.TaskRunning)
	f.report("dc-a:o", 0, model.TaskRunning)
	f.submit("dc-a:q", "quick")
	assert.Equal(t, len(f.stops["w1"]), 1)
	assert.Equal(t, f.stops["w1"][0].ID.Key, "dc-a:b")
	assert.Equal(t, f.stops["w1"][0].Mode, StopCheckpoint)
	f.report("dc-a:b", 0, model.TaskStopped)
	f.tick(0)
	f.wantTask("dc-a:q", 0, model.TaskStarting)
	f.wantTask("dc-a:b", 0, model.TaskQueued)
	f.report("dc-a:q", 0, model.TaskDone)
	f.tick(time.Second)
	f.wantTask("dc-a:b", 0, model.TaskStarting)
	f.report("dc-a:b", 0, model.TaskDone)
	f.report("dc-a:o", 0, model.TaskDone)
	f.wantFate("dc-a:b", model.Done)
	f.wantIdle()
}

// A request must preempt again if the room that its first preemption freed was taken by
// another task.
func TestPreemptionIsRepeatedWhenRoomWasTaken(t *testing.T) {
	f := newFixture(t, "w1")
	for _, key := range []string{"dc-a:1", "dc-a:2"} {
		f.submit(key, "batch")
		f.report(key, 0, model.TaskRunning)
	}
	f.submit("dc-a:q", "quick")
	victim := f.stops["w1"][0].ID.Key
	f.c.HandleLeaseLost(f.now, "w1")
	f.report(victim, 0, model.TaskStopped)
	other := map[string]string{"dc-a:1": "dc-a:2", "dc-a:2": "dc-a:1"}[victim]
	// The worker grants a lease again, and a task unknown so far holds the freed slot.
	f.grant("w1", "boot", f.inventory(other, 0, model.TaskRunning), model.RunningTask{
		ID: model.TaskID{Key: "dc-a:x"}, Attempt: 1, Service: "once", Size: oneSlot, State: model.TaskRunning,
	})
	f.tick(time.Minute)
	assert.Assert(t, len(f.stops["w1"]) > 1, "no second preemption")
	assert.Equal(t, f.stops["w1"][1].ID.Key, other)
}
