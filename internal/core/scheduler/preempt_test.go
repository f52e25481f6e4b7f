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
	b := newFixture(t, "w1")
	b.submit("dc-a:b", "batch")
	b.submit("dc-a:o", "once")
	b.report("dc-a:b", 0, model.TaskRunning)
	b.report("dc-a:o", 0, model.TaskRunning)
	b.submit("dc-a:q", "quick")
	assert.Equal(t, len(b.stops["w1"]), 1)
	assert.Equal(t, b.stops["w1"][0].ID.Key, "dc-a:b")
	assert.Equal(t, b.stops["w1"][0].Mode, StopCheckpoint)
	b.report("dc-a:b", 0, model.TaskStopped)
	b.tick(0)
	b.wantTask("dc-a:q", 0, model.TaskStarting)
	b.wantTask("dc-a:b", 0, model.TaskQueued)
	b.report("dc-a:q", 0, model.TaskDone)
	b.tick(time.Second)
	b.wantTask("dc-a:b", 0, model.TaskStarting)
	b.report("dc-a:b", 0, model.TaskDone)
	b.report("dc-a:o", 0, model.TaskDone)
	b.wantFate("dc-a:b", model.Done)
	b.wantIdle()
}

// A request must preempt again if the room that its first preemption freed was taken by
// another task.
func TestPreemptionIsRepeatedWhenRoomWasTaken(t *testing.T) {
	b := newFixture(t, "w1")
	for _, key := range []string{"dc-a:1", "dc-a:2"} {
		b.submit(key, "batch")
		b.report(key, 0, model.TaskRunning)
	}
	b.submit("dc-a:q", "quick")
	victim := b.stops["w1"][0].ID.Key
	b.c.HandleLeaseLost(b.now, "w1")
	b.report(victim, 0, model.TaskStopped)
	other := map[string]string{"dc-a:1": "dc-a:2", "dc-a:2": "dc-a:1"}[victim]
	// The worker grants a lease again, and a task unknown so far holds the freed slot.
	b.grant("w1", "boot", b.inventory(other, 0, model.TaskRunning), model.RunningTask{
		ID: model.TaskID{Key: "dc-a:x"}, Attempt: 1, Service: "once", Size: oneSlot, State: model.TaskRunning,
	})
	b.tick(time.Minute)
	assert.Assert(t, len(b.stops["w1"]) > 1, "no second preemption")
	assert.Equal(t, b.stops["w1"][1].ID.Key, other)
}
