package placement

import (
	"cmp"

	"catkinvalve/internal/core/model"
)

// Every change of a worker is enclosed in detach and attach: detach takes the
// worker's contribution out of all trees and sums, attach adds the new one.

func (x *Index) detach(i int32) {
	w := &x.workers[i]
	x.account(w, -1)
	if w.open {
		*x.loadRoot(w) = x.byLoad.remove(*x.loadRoot(w), i)
		r := &x.racks[w.rack]
		r.root = x.byRack.remove(r.root, i)
		w.open = false
	}
	if w.reclaimable {
		x.reclaimRoot = x.reclaim.remove(x.reclaimRoot, i)
		w.reclaimable = false
	}
}

func (x *Index) attach(i int32) {
	w := &x.workers[i]
	free := w.free()
	w.open = w.state == Available && !anyNegative(free)
	w.reclaimable = w.state == Available && w.batch != (model.Size{})
	load := w.used.DominantShare(w.Capacity)
	if w.open {
		own := free.Vector()
		*x.loadRoot(w) = x.byLoad.insert(*x.loadRoot(w), i, loadKey(load, &own), own)
		x.misses.opened(&own)
		r := &x.racks[w.rack]
		r.root = x.byRack.insert(r.root, i, load+accelPenalty(w.Capacity), own)
	}
	if w.reclaimable {
		x.reclaimRoot = x.reclaim.insert(x.reclaimRoot, i, load, free.Add(w.batch).Vector())
	}
	x.account(w, 1)
	x.refreshRack(w.rack)
}

// accelPenalty orders workers with accelerators after all others of a rack.
func accelPenalty(capacity model.Size) float64 {
	if capacity.Accel > 0 {
		return 1 << 20
	}
	return 0
}

func (x *Index) loadRoot(w *worker) *int32 {
	if w.Capacity.Accel > 0 {
		return &x.accel
	}
	return &x.plain
}

// account adds (sign 1) or subtracts (sign -1) the worker in all sums.
func (x *Index) account(w *worker, sign int64) {
	r := &x.racks[w.rack]
	capacity := w.Capacity.Times(sign)
	x.totals.Workers += int(sign)
	x.totals.Capacity = x.totals.Capacity.Add(capacity)
	r.slots += capacity.Slots
	x.shapes[w.Capacity] += int(sign)
	if sign < 0 && x.shapes[w.Capacity] == 0 {
		delete(x.shapes, w.Capacity)
	}
	if w.state == Available {
		x.totals.Available = x.totals.Available.Add(capacity)
		x.limits.restricted += sign * w.restricted
		x.limits.firm += sign * w.firm
		r.availableSlots += capacity.Slots
	}
	if w.open {
		x.totals.Free = x.totals.Free.Add(w.free().Times(sign))
		x.pieces.free += sign * x.piecesIn(w.free())
		r.used = r.used.Add(w.used.Times(sign))
		r.capacity = r.capacity.Add(capacity)
	}
}

// charge adds size to what the worker has in use for a task of this need.
func (x *Index) charge(i int32, n TaskSpec, size model.Size) {
	w := &x.workers[i]
	w.used = w.used.Add(size)
	if n.Class == model.Batch {
		w.batch = w.batch.Add(size)
	}
	if n.Class != model.Interactive {
		w.restricted += size.Slots
	}
	if n.Class != model.Interactive && !n.Preemptible {
		w.firm += size.Slots
	}
}

func compareTasks(a, b model.TaskID) int {
	return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Index, b.Index))
}
