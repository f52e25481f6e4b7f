package placement

import (
	"cmp"

	"catkinvalve/internal/core/model"
)

// detach removes the worker's contribution from all trees and sums. Every change of a
// worker must be made between a call of detach and a call of attach.
func (x *Index) detach(i int32) {
	w := &x.workers[i]
	x.addToSums(w, -1)
	if w.schedulable {
		*x.loadRoot(w) = x.byLoad.remove(*x.loadRoot(w), i)
		r := &x.racks[w.rack]
		r.root = x.byRack.remove(r.root, i)
		w.schedulable = false
	}
	if w.inBatchTree {
		x.batchRoot = x.batchByLoad.remove(x.batchRoot, i)
		w.inBatchTree = false
	}
}

// attach adds the worker's contribution to all trees and sums.
func (x *Index) attach(i int32) {
	w := &x.workers[i]
	free := w.free()
	w.schedulable = w.state == Available && !anyNegative(free)
	w.inBatchTree = w.state == Available && w.batchUsed != (model.Size{})
	load := w.used.DominantShare(w.Capacity)
	if w.schedulable {
		freeVec := free.Vector()
		*x.loadRoot(w) = x.byLoad.insert(*x.loadRoot(w), i, loadKey(load, &freeVec), freeVec)
		x.noFitCache.dropFitting(&freeVec)
		r := &x.racks[w.rack]
		r.root = x.byRack.insert(r.root, i, load+acceleratorOffset(w.Capacity), freeVec)
	}
	if w.inBatchTree {
		x.batchRoot = x.batchByLoad.insert(x.batchRoot, i, load, free.Add(w.batchUsed).Vector())
	}
	x.addToSums(w, 1)
	x.updateRackTree(w.rack)
}

// acceleratorOffset is added to the load of a worker to order workers with
// accelerators after all others of a rack.
func acceleratorOffset(capacity model.Size) float64 {
	if capacity.Accel > 0 {
		return 1 << 20
	}
	return 0
}

// loadRoot returns the root of the byLoad tree that the worker belongs to.
func (x *Index) loadRoot(w *worker) *int32 {
	if w.Capacity.Accel > 0 {
		return &x.accel
	}
	return &x.plain
}

// addToSums adds the worker to all sums (sign 1) or subtracts it (sign -1).
func (x *Index) addToSums(w *worker, sign int64) {
	r := &x.racks[w.rack]
	capacity := w.Capacity.Times(sign)
	x.totals.Workers += int(sign)
	x.totals.Capacity = x.totals.Capacity.Add(capacity)
	r.slots += capacity.Slots
	x.workersByCapacity[w.Capacity] += int(sign)
	if sign < 0 && x.workersByCapacity[w.Capacity] == 0 {
		delete(x.workersByCapacity, w.Capacity)
	}
	if w.state == Available {
		x.totals.Available = x.totals.Available.Add(capacity)
		x.limits.restrictedSlots += sign * w.restrictedSlots
		x.limits.nonPreemptibleSlots += sign * w.nonPreemptibleSlots
		r.availableSlots += capacity.Slots
	}
	if w.schedulable {
		x.totals.Free = x.totals.Free.Add(w.free().Times(sign))
		x.taskHeadroom.free += sign * x.headroomTasksIn(w.free())
		r.used = r.used.Add(w.used.Times(sign))
		r.capacity = r.capacity.Add(capacity)
	}
}

// addUsage adds size, which may be negative, to the usage of worker i by tasks like
// spec.
func (x *Index) addUsage(i int32, spec TaskSpec, size model.Size) {
	w := &x.workers[i]
	w.used = w.used.Add(size)
	if spec.Class == model.Batch {
		w.batchUsed = w.batchUsed.Add(size)
	}
	if spec.Class != model.Interactive {
		w.restrictedSlots += size.Slots
	}
	if spec.Class != model.Interactive && !spec.Preemptible {
		w.nonPreemptibleSlots += size.Slots
	}
}

// compareTaskIDs orders tasks by key, then by index.
func compareTaskIDs(a, b model.TaskID) int {
	return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Index, b.Index))
}
