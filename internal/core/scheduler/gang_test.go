package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/text"
)

// newGangFixture returns an owner whose gang dc-a:g runs with both tasks.
func newGangFixture(t *testing.T) *fixture {
	b := newFixture(t, "w1", "w2")
	b.submit("dc-a:g", "gang")
	b.report("dc-a:g", 0, model.TaskRunning)
	b.report("dc-a:g", 1, model.TaskRunning)
	return b
}

// After one of its tasks failed, a gang must be stopped and started again as a whole,
// however its other tasks end.
func TestGangRestartsAsAWhole(t *testing.T) {
	for _, end := range []model.TaskState{model.TaskStopped, model.TaskDone, model.TaskFailed} {
		t.Run(string(end), func(t *testing.T) {
			b := newGangFixture(t)
			b.report("dc-a:g", 0, model.TaskFailed)
			b.wantTask("dc-a:g", 1, model.TaskStopping)
			b.report("dc-a:g", 1, end)
			b.tick(time.Second)
			b.wantTask("dc-a:g", 0, model.TaskStarting)
			b.wantTask("dc-a:g", 1, model.TaskStarting)
			b.report("dc-a:g", 0, model.TaskDone)
			b.report("dc-a:g", 1, model.TaskDone)
			b.wantFate("dc-a:g", model.Done)
			b.wantIdle()
		})
	}
}

// A gang must start again if the worker of one task restarts while the gang is being
// stopped, although the stop of that task is never confirmed.
func TestGangLosesWorkerWhileStopping(t *testing.T) {
	b := newGangFixture(t)
	b.report("dc-a:g", 0, model.TaskFailed)
	w := b.record("dc-a:g").Tasks[1].Worker
	b.grant(w, "boot-2")
	b.tick(time.Second)
	b.wantTask("dc-a:g", 0, model.TaskStarting)
	b.wantTask("dc-a:g", 1, model.TaskStarting)
}

// A non-idempotent gang of which one start was refused must not run a task twice. It
// must end if a task ran, and start again otherwise.
func TestNonIdempotentGangDoesNotRestart(t *testing.T) {
	for _, tc := range []struct {
		name string
		ran  bool
		want model.Fate
	}{{"one task ran", true, model.Unknown}, {"nothing ran", false, model.Done}} {
		t.Run(tc.name, func(t *testing.T) {
			b := newFixture(t, "w1", "w2")
			b.publish(func(c *text.Config) { c.Services[2].Idempotent = false })
			b.submit("dc-a:g", "gang")
			b.reportNotStarted("dc-a:g", 0)
			b.wantTask("dc-a:g", 1, model.TaskStopping)
			if tc.ran {
				b.report("dc-a:g", 1, model.TaskRunning)
				b.report("dc-a:g", 1, model.TaskStopped)
			} else {
				b.reportNotStarted("dc-a:g", 1)
				b.report("dc-a:g", 0, model.TaskDone)
				b.report("dc-a:g", 1, model.TaskDone)
			}
			b.tick(time.Second)
			b.wantFate("dc-a:g", tc.want)
			b.wantIdle()
		})
	}
}

// All tasks of a gang must be stopped at once after one failed, not one after another.
func TestGangStopsAllTasksAtOnce(t *testing.T) {
	b := newFixture(t, "w1", "w2")
	r := b.request("dc-a:g", "gang")
	r.Tasks = 4
	_, err := b.c.Submit(b.now, r)
	assert.Assert(t, err == nil, "%v", err)
	b.run()
	for i := range r.Tasks {
		b.report("dc-a:g", i, model.TaskRunning)
	}
	b.report("dc-a:g", 0, model.TaskFailed)
	assert.Equal(t, len(b.stops["w1"])+len(b.stops["w2"]), 3)
}
