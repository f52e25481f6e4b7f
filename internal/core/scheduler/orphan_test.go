package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Guards against capacity that stays reserved for a leftover of a finished
// request after its worker stopped it.
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

// Guards against a leftover of an earlier attempt that moves the reservation of
// the running attempt off its worker, which then gets too much work.
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
