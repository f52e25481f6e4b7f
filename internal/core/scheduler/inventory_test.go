package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// A lost start must be sent again although the worker's inventory still lists an earlier
// attempt of the same task.
func TestInventoryWithOlderAttemptOnly(t *testing.T) {
	b := newFixture(t, "w1")
	b.submit("dc-a:k", "batch")
	b.report("dc-a:k", 0, model.TaskRunning)
	older := b.inventory("dc-a:k", 0, model.TaskFailed)
	b.report("dc-a:k", 0, model.TaskFailed)
	b.tick(time.Second)
	b.wantTask("dc-a:k", 0, model.TaskStarting)
	b.grant("w1", "boot", older)
	b.tick(time.Second)
	assert.Equal(t, b.record("dc-a:k").Tasks[0].Attempt, 3)
	b.report("dc-a:k", 0, model.TaskDone)
	b.wantFate("dc-a:k", model.Done)
	b.wantIdle()
}

// Checks the fate of a task and the number of its starts after its worker sent an
// inventory, with and without a restart of the worker.
func TestInventoryDecidesAboutStart(t *testing.T) {
	for _, tc := range []struct {
		name, service, boot string
		running             bool // before the grant
		listed              model.TaskState
		want                model.Fate
		starts              int
	}{
		{"start was lost", "once", "boot", false, "", model.Queued, 2},
		{"start took effect", "once", "boot", false, model.TaskRunning, model.Running, 1},
		{"task finished", "once", "boot", false, model.TaskDone, model.Done, 1},
		{"restarted during the start", "once", "boot-2", false, "", model.Unknown, 1},
		{"restarted during the start, idempotent", "batch", "boot-2", false, "", model.Running, 2},
		{"restarted while running", "once", "boot-2", true, "", model.Unknown, 1},
		{"restarted while running, idempotent", "batch", "boot-2", true, "", model.Running, 2},
		{"stopped by itself", "once", "boot", true, model.TaskStopped, model.Unknown, 1},
		{"stopped by itself, idempotent", "batch", "boot", true, model.TaskStopped, model.Running, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newFixture(t, "w1")
			b.submit("dc-a:k", tc.service)
			if tc.running {
				b.report("dc-a:k", 0, model.TaskRunning)
			}
			var tasks []model.RunningTask
			if tc.listed != "" {
				tasks = append(tasks, b.inventory("dc-a:k", 0, tc.listed))
			}
			b.grant("w1", tc.boot, tasks...)
			b.tick(time.Second)
			b.wantFate("dc-a:k", tc.want)
			assert.Equal(t, b.countStarts("dc-a:k"), tc.starts)
			if !tc.want.Terminal() {
				b.report("dc-a:k", 0, model.TaskDone)
				b.wantFate("dc-a:k", model.Done)
			}
			b.wantIdle()
		})
	}
}

// A task in an inventory must be adopted if its record is lost or knows only an earlier
// attempt.
func TestInventoryAheadOfRecords(t *testing.T) {
	t.Run("unknown key", func(t *testing.T) {
		b := newFixture(t, "w1")
		b.grant("w1", "boot", model.RunningTask{
			ID: model.TaskID{Key: "dc-a:k"}, Attempt: 1, Service: "once", Size: oneSlot, State: model.TaskRunning,
		})
		b.wantFate("dc-a:k", model.Running)
		b.submit("dc-a:k", "once")
		assert.Equal(t, b.countStarts("dc-a:k"), 0, "a repeated submission must join the running task")
		b.report("dc-a:k", 0, model.TaskDone)
		b.wantFate("dc-a:k", model.Done)
		b.wantIdle()
	})
	t.Run("newer attempt", func(t *testing.T) {
		b := newFixture(t, "w1", "w2")
		b.submit("dc-a:k", "batch")
		other := map[model.WorkerID]model.WorkerID{"w1": "w2", "w2": "w1"}[b.record("dc-a:k").Tasks[0].Worker]
		newer := b.inventory("dc-a:k", 0, model.TaskRunning)
		newer.Attempt = 2
		b.grant(other, "boot", newer)
		task := b.record("dc-a:k").Tasks[0]
		assert.Equal(t, task.Worker, other)
		assert.Equal(t, task.Attempt, 2)
		b.report("dc-a:k", 0, model.TaskDone)
		b.wantFate("dc-a:k", model.Done)
		b.wantIdle()
	})
}
