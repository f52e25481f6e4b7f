package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/text"
)

// Guards against old and new system holding the same slot: on a worker that both
// use, the owner starts only on the slots that the old system doesn't have.
func TestSlotsOfTheOldSystemStayFree(t *testing.T) {
	b := newStandby(t, "w1", "w2")
	b.publish(func(c *text.Config) { c.OldSystem.SlotsPerWorker = 1 })
	b.serve(1)
	for _, w := range []model.WorkerID{"w1", "w2"} {
		b.grant(w, "boot")
	}
	for _, key := range []string{"dc-a:1", "dc-a:2", "dc-a:3", "dc-a:4"} {
		b.submit(key, "batch")
	}
	assert.Equal(t, len(b.starts["w1"]), 1)
	assert.Equal(t, len(b.starts["w2"]), 1)
	b.wantTask("dc-a:3", 0, model.TaskQueued)
	b.wantTask("dc-a:4", 0, model.TaskQueued)
}
