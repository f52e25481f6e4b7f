package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/text"
)

// On a worker that the old and the new system share, the owner must not use the slots
// of the old system.
func TestSlotsOfTheOldSystemStayFree(t *testing.T) {
	f := newStandby(t, "w1", "w2")
	f.publish(func(c *text.Config) { c.OldSystem.SlotsPerWorker = 1 })
	f.serve(1)
	for _, w := range []model.WorkerID{"w1", "w2"} {
		f.grant(w, "boot")
	}
	for _, key := range []string{"dc-a:1", "dc-a:2", "dc-a:3", "dc-a:4"} {
		f.submit(key, "batch")
	}
	assert.Equal(t, len(f.starts["w1"]), 1)
	assert.Equal(t, len(f.starts["w2"]), 1)
	f.wantTask("dc-a:3", 0, model.TaskQueued)
	f.wantTask("dc-a:4", 0, model.TaskQueued)
}
