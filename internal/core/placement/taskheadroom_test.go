package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Batch tasks must not leave CPU only in remainders that no interactive task fits
// into. Each interactive task would then wait for a batch task to write its checkpoint.
func TestBatchLeavesHeadroomForInteractiveTasks(t *testing.T) {
	x := New(Options{})
	for _, id := range []model.WorkerID{"w1", "w2"} {
		x.Upsert(model.Worker{ID: id, Rack: string(id), Capacity: model.Size{MilliCPU: 4000, MemMB: 4000, Slots: 8}})
		x.SetState(id, Available)
	}
	batch := TaskSpec{Class: model.Batch, Size: model.Size{MilliCPU: 3500, MemMB: 100, Slots: 1}}
	interactive := TaskSpec{Class: model.Interactive, Size: model.Size{MilliCPU: 1000, MemMB: 100, Slots: 1}}
	x.SetInteractiveTaskHeadroom(interactive.Size, 4)
	first, ok := x.Place(batch)
	assert.Assert(t, ok)
	x.Reserve(first, model.TaskID{Key: "b1"}, batch)
	_, ok = x.Place(batch)
	assert.Assert(t, !ok, "the task used the room reserved for four interactive tasks")
	assert.Equal(t, x.Explain(batch)[model.ReasonHeadroom], 1)
	second, ok := x.Place(interactive)
	assert.Assert(t, ok && second != first)
	x.SetInteractiveTaskHeadroom(interactive.Size, 0)
	_, ok = x.Place(batch)
	assert.Assert(t, ok, "a refusal because of the headroom was cached as a request that fits nowhere")
}
