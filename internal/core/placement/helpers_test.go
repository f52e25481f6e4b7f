package placement

import (
	"fmt"

	"catkinvalve/internal/core/model"
)

// standardCapacity is the capacity of the workers of both present users of the
// scheduler.
var standardCapacity = model.Size{MilliCPU: 16000, MemMB: 32000, Slots: 8, Conns: 64}

// newTestIndex returns an index of n available workers of standardCapacity, with
// perRack workers in each rack.
func newTestIndex(opts Options, n, perRack int) *Index {
	x := New(opts)
	for i := range n {
		addAvailable(x, fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/perRack), standardCapacity)
	}
	return x
}

// addAvailable adds a worker in state Available.
func addAvailable(x *Index, id, rack string, capacity model.Size) {
	x.Upsert(model.Worker{ID: model.WorkerID(id), Rack: rack, Capacity: capacity})
	x.SetState(model.WorkerID(id), Available)
}

func task(key string, i int) model.TaskID { return model.TaskID{Key: key, Index: i} }

// slots returns the spec of a task with n slots and, for each slot, an eighth of
// the other resources of a standard worker.
func slots(c model.Class, n int64) TaskSpec {
	return TaskSpec{Class: c, Service: "s", Size: model.Size{MilliCPU: 2000 * n, MemMB: 4000 * n, Slots: n, Conns: 8 * n}}
}

// fill places and reserves tasks until n are placed or one does not fit, and returns
// the number placed.
func fill(x *Index, key string, spec TaskSpec, n int) int {
	for i := range n {
		w, ok := x.Place(spec)
		if !ok {
			return i
		}
		x.Reserve(w, task(key, i), spec)
	}
	return n
}
