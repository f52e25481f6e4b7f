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
	f := newFixture(t, "w1")
	f.submit("dc-a:k", "batch")
	f.report("dc-a:k", 0, model.TaskRunning)
	older := f.inventory("dc-a:k", 0, model.TaskFailed)
	f.report("dc-a:k", 0, model.TaskFailed)
	f.tick(time.Second)
	f.wantTask("dc-a:k", 0, model.TaskStarting)
	f.grant("w1", "boot", older)
	f.tick(time.Second)
	assert.Equal(t, f.record("dc-a:k").Tasks[0].Attempt, 3)
	f.report("dc-a:k", 0, model.TaskDone)
	f.wantFate("dc-a:k", model.Done)
	f.wantIdle()
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
			f := newFixture(t, "w1")
			f.submit("dc-a:k", tc.service)
			if tc.running {
				f.report("dc-a:k", 0, model.TaskRunning)
			}
			var tasks []model.RunningTask
			if tc.listed != "" {
				tasks = append(tasks, f.inventory("dc-a:k", 0, tc.listed))
			}
			f.grant("w1", tc.boot, tasks...)
			f.tick(time.Second)
			f.wantFate("dc-a:k", tc.want)
			assert.Equal(t, f.countStarts("dc-a:k"), tc.starts)
			if !tc.want.Terminal() {
				f.report("dc-a:k", 0, model.TaskDone)
				f.wantFate("dc-a:k", model.Done)
			}
			f.wantIdle()
		})
	}
}

// A task in an inventory must be adopted if its record is lost or knows only an earlier
// attempt.
func TestInventoryAheadOfRecords(t *testing.T) {
	t.Run("unknown key", func(t *testing.T) {
		f := newFixture(t, "w1")
		f.grant("w1", "boot", model.RunningTask{
			ID: model.TaskID{Key: "dc-a:k"}, Attempt: 1, Service: "once", Size: oneSlot, State: model.TaskRunning,
		})
		f.wantFate("dc-a:k", model.Running)
		f.submit("dc-a:k", "once")
		assert.Equal(t, f.countStarts("dc-a:k"), 0, "a repeated submission must join the running task")
		f.report("dc-a:k", 0, model.TaskDone)
		f.wantFate("dc-a:k", model.Done)
		f.wantIdle()
	})
	t.Run("newer attempt", func(t *testing.T) {
		f := newFixture(t, "w1", "w2")
		f.submit("dc-a:k", "batch")
		other := map[model.WorkerID]model.WorkerID{"w1": "w2", "w2": "w1"}[f.record("dc-a:k").Tasks[0].Worker]
		newer := f.inventory("dc-a:k", 0, model.TaskRunning)
		newer.Attempt = 2
		f.grant(other, "boot", newer)
		task := f.record("dc-a:k").Tasks[0]
		assert.Equal(t, task.Worker, other)
		assert.Equal(t, task.Attempt, 2)
		f.report("dc-a:k", 0, model.TaskDone)
		f.wantFate("dc-a:k", model.Done)
		f.wantIdle()
	})
}
