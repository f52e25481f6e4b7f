package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/text"
)

// activeInstances returns the number of service instances that run or start.
func (f *fixture) activeInstances() int {
	n := 0
	for _, e := range f.c.entries {
		if e.serviceInstance && e.rec.Tasks[0].State.HoldsWorker() && e.rec.Tasks[0].State != model.TaskStopping {
			n++
		}
	}
	return n
}

// publishInstances publishes a number of instances for both data centres, of which dc-a
// runs every second one. It confirms the stops that follow.
func (f *fixture) publishInstances(instances int) {
	f.publish(func(c *text.Config) { c.Services[4].Instances = instances })
	for key, e := range f.c.entries {
		if e.serviceInstance && e.rec.Tasks[0].State == model.TaskStopping {
			f.report(key, 0, model.TaskStopped)
		}
	}
}

// Instances must be started and stopped as their configured number changes, also when
// an instance that was stopped is wanted again.
func TestInstancesFollowConfig(t *testing.T) {
	f := newFixture(t, "w1", "w2")
	for _, n := range []int{4, 2, 4, 0, 2, 0} {
		f.publishInstances(n)
		f.tick(time.Second)
		assert.Equal(t, f.activeInstances(), n/2, "with %d instances in both data centres", n)
	}
	f.wantIdle()
}

// An instance that ends, fails or is stopped must be started again.
func TestInstanceStartsAgainWhenItEnds(t *testing.T) {
	for _, end := range []model.TaskState{model.TaskDone, model.TaskFailed, model.TaskStopped} {
		t.Run(string(end), func(t *testing.T) {
			f := newFixture(t, "w1")
			f.publishInstances(1)
			assert.Equal(t, f.activeInstances(), 1)
			for key := range f.c.entries {
				f.report(key, 0, model.TaskRunning)
				f.report(key, 0, end)
			}
			f.tick(time.Second)
			assert.Equal(t, f.activeInstances(), 1)
		})
	}
}

// After a takeover, instances that still run must not be started a second time.
func TestInstancesSurviveTakeover(t *testing.T) {
	f := newFixture(t, "w1")
	f.publishInstances(2)
	f.publishInstances(0)
	f.publishInstances(2)
	assert.Equal(t, f.activeInstances(), 1)
	s := f.successor("w1")
	s.publish(func(c *text.Config) { c.Services[4].Instances = 2 })
	var running []model.RunningTask
	for key, e := range f.c.entries {
		if e.rec.Tasks[0].State.HoldsWorker() {
			running = append(running, f.inventory(key, 0, model.TaskRunning))
		}
	}
	s.grant("w1", "boot", running...)
	s.serve(2)
	assert.Equal(t, s.activeInstances(), 1)
	assert.Equal(t, len(s.starts), 0)
	assert.Equal(t, len(s.stops), 0)
}
