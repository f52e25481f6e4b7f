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
	f := newFixture(t, "w1", "w2")
	f.submit("dc-a:g", "gang")
	f.report("dc-a:g", 0, model.TaskRunning)
	f.report("dc-a:g", 1, model.TaskRunning)
	return f
}

// After one of its tasks failed, a gang must be stopped and started again as a whole,
// however its other tasks end.
func TestGangRestartsAsAWhole(t *testing.T) {
	for _, end := range []model.TaskState{model.TaskStopped, model.TaskDone, model.TaskFailed} {
		t.Run(string(end), func(t *testing.T) {
			f := newGangFixture(t)
			f.report("dc-a:g", 0, model.TaskFailed)
			f.wantTask("dc-a:g", 1, model.TaskStopping)
			f.report("dc-a:g", 1, end)
			f.tick(time.Second)
			f.wantTask("dc-a:g", 0, model.TaskStarting)
			f.wantTask("dc-a:g", 1, model.TaskStarting)
			f.report("dc-a:g", 0, model.TaskDone)
			f.report("dc-a:g", 1, model.TaskDone)
			f.wantFate("dc-a:g", model.Done)
			f.wantIdle()
		})
	}
}

// A gang must start again if the worker of one task restarts while the gang is being
// stopped, although the stop of that task is never confirmed.
func TestGangLosesWorkerWhileStopping(t *testing.T) {
	f := newGangFixture(t)
	f.report("dc-a:g", 0, model.TaskFailed)
	w := f.record("dc-a:g").Tasks[1].Worker
	f.grant(w, "boot-2")
	f.tick(time.Second)
	f.wantTask("dc-a:g", 0, model.TaskStarting)
	f.wantTask("dc-a:g", 1, model.TaskStarting)
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
			f := newFixture(t, "w1", "w2")
			f.publish(func(c *text.Config) { c.Services[2].Idempotent = false })
			f.submit("dc-a:g", "gang")
			f.reportNotStarted("dc-a:g", 0)
			f.wantTask("dc-a:g", 1, model.TaskStopping)
			if tc.ran {
				f.report("dc-a:g", 1, model.TaskRunning)
				f.report("dc-a:g", 1, model.TaskStopped)
			} else {
				f.reportNotStarted("dc-a:g", 1)
				f.report("dc-a:g", 0, model.TaskDone)
				f.report("dc-a:g", 1, model.TaskDone)
			}
			f.tick(time.Second)
			f.wantFate("dc-a:g", tc.want)
			f.wantIdle()
		})
	}
}

// All tasks of a gang must be stopped at once after one failed, not one after another.
func TestGangStopsAllTasksAtOnce(t *testing.T) {
	f := newFixture(t, "w1", "w2")
	r := f.request("dc-a:g", "gang")
	r.Tasks = 4
	_, err := f.c.Submit(f.now, r)
	assert.Assert(t, err == nil, "%v", err)
	f.run()
	for i := range r.Tasks {
		f.report("dc-a:g", i, model.TaskRunning)
	}
	f.report("dc-a:g", 0, model.TaskFailed)
	assert.Equal(t, len(f.stops["w1"])+len(f.stops["w2"]), 3)
}

// A gang that would have to wait for a service to end, which lasts, must not keep workers from
// batch tasks.
func TestGangBehindServiceReservesNoWorkers(t *testing.T) {
	f := newFixture(t, "w1", "w2")
	f.publish(func(c *text.Config) {
		for i := range c.Services {
			c.Services[i].RunMS = 0
		}
	})
	f.submit("dc-a:s", "web")
	f.report("dc-a:s", 0, model.TaskRunning)
	r := f.request("dc-a:g", "gang")
	r.Tasks = 4
	_, err := f.c.Submit(f.now, r)
	assert.Assert(t, err == nil, "%v", err)
	f.run()
	f.submit("dc-a:b", "batch")
	f.tick(time.Second)
	f.wantTask("dc-a:b", 0, model.TaskStarting)
}
