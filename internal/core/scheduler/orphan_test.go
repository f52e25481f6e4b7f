package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// The capacity of an orphaned attempt of a finished request must be released once its
// worker has stopped it.
func TestOrphanedAttemptReleasesCapacity(t *testing.T) {
	f := newFixture(t, "w1")
	f.submit("dc-a:k", "batch")
	f.report("dc-a:k", 0, model.TaskDone)
	orphan := f.inventory("dc-a:k", 0, model.TaskRunning)
	f.grant("w1", "boot", orphan)
	assert.Equal(t, len(f.stops["w1"]), 1)
	f.c.HandleTaskReport(f.now, "w1", TaskReport{ID: orphan.ID, Attempt: orphan.Attempt, State: model.TaskStopped})
	f.run()
	f.wantIdle()
}

// An orphaned earlier attempt must not replace the reservation of the running attempt
// on another worker, which would then be overcommitted.
func TestOrphanedAttemptKeepsReservationOfLaterAttempt(t *testing.T) {
	f := newFixture(t, "w1")
	f.submit("dc-a:k", "batch")
	orphan := f.inventory("dc-a:k", 0, model.TaskRunning)
	f.c.HandleLeaseLost(f.now, "w1")
	f.listWorkers("w1", "w2")
	f.grant("w2", "boot")
	f.tick(time.Minute)
	f.tick(time.Second)
	assert.Equal(t, f.record("dc-a:k").Tasks[0].Worker, model.WorkerID("w2"))
	f.grant("w1", "boot", orphan)
	for _, w := range f.c.Workers(f.now) {
		assert.Equal(t, w.Reserved, oneSlot, "worker %s", w.Worker.ID)
	}
	f.c.HandleTaskReport(f.now, "w1", TaskReport{ID: orphan.ID, Attempt: orphan.Attempt, State: model.TaskStopped})
	f.report("dc-a:k", 0, model.TaskDone)
	f.wantFate("dc-a:k", model.Done)
	f.wantIdle()
}
