package placement

import (
	"fmt"

	"catkinvalve/internal/core/model"
)

// worker of the size that both users have today.
var standardCapacity = model.Size{MilliCPU: 16000, MemMB: 32000, Slots: 8, Conns: 64}

// fleet returns an index of n available standard workers, perRack to a rack.
func newTestIndex(opts Options, n, perRack int) *Index {
	x := New(opts)
	for i := range n {
		addAvailable(x, fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/perRack), standardCapacity)
	}
	return x
}

func addAvailable(x *Index, id, rack string, capacity model.Size) {
	x.Upsert(model.Worker{ID: model.WorkerID(id), Rack: rack, Capacity: capacity})
	x.SetState(model.WorkerID(id), Available)
}

func task(key string, i int) model.TaskID { return model.TaskID{Key: key, Index: i} }

// slots is a need of n slots with a proportional part of a standard worker.
func slots(c model.Class, n int64) TaskSpec {
	return TaskSpec{Class: c, Service: "s", Size: model.Size{MilliCPU: 2000 * n, MemMB: 4000 * n, Slots: n, Conns: 8 * n}}
}

// fill places and reserves tasks until n are placed or one does not fit.
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
