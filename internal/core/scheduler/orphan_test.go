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
	b := newFixture(t, "w1")
	b.submit("dc-a:k", "batch")
	b.report("dc-a:k", 0, model.TaskDone)
	left := b.inventory("dc-a:k", 0, model.TaskRunning)
	b.grant("w1", "boot", left)
	assert.Equal(t, len(b.stops["w1"]), 1)
	b.c.HandleTaskReport(b.now, "w1", TaskReport{ID: left.ID, Attempt: left.Attempt, State: model.TaskStopped})
	b.run()
	b.wantIdle()
}

// An orphaned earlier attempt must not replace the reservation of the running attempt
// on another worker, which would then be overcommitted.
func TestOrphanedAttemptKeepsReservationOfLaterAttempt(t *testing.T) {
	b := newFixture(t, "w1")
	b.submit("dc-a:k", "batch")
	left := b.inventory("dc-a:k", 0, model.TaskRunning)
	b.c.HandleLeaseLost(b.now, "w1")
	b.listWorkers("w1", "w2")
	b.grant("w2", "boot")
	b.tick(time.Minute)
	b.tick(time.Second)
	assert.Equal(t, b.record("dc-a:k").Tasks[0].Worker, model.WorkerID("w2"))
	b.grant("w1", "boot", left)
	for _, w := range b.c.Workers(b.now) {
		assert.Equal(t, w.Reserved, oneSlot, "worker %s", w.Worker.ID)
	}
	b.c.HandleTaskReport(b.now, "w1", TaskReport{ID: left.ID, Attempt: left.Attempt, State: model.TaskStopped})
	b.report("dc-a:k", 0, model.TaskDone)
	b.wantFate("dc-a:k", model.Done)
	b.wantIdle()
}
