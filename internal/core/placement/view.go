package placement

import "catkinvalve/internal/core/model"

// Totals returns the sums over the data centre's workers in constant time.
func (x *Index) Totals() Totals {
	t := x.totals
	maxFree, accel := x.byLoad.maxFree(x.plain), x.byLoad.maxFree(x.accel)
	raiseTo(&maxFree, &accel)
	t.LargestFree = sizeOf(maxFree)
	return t
}

// Worker returns the index's data about a worker, and false when the worker is
// unknown.
func (x *Index) Worker(id model.WorkerID) (WorkerView, bool) {
	i, ok := x.byID[id]
	if !ok {
		return WorkerView{}, false
	}
	return x.workers[i].view(), true
}

// ForEachWorker calls visit for each worker until visit returns false. visit must
// not change the index.
func (x *Index) ForEachWorker(visit func(WorkerView) bool) {
	for i := range x.workers {
		if x.workers[i].live && !visit(x.workers[i].view()) {
			return
		}
	}
}

func (w *worker) view() WorkerView {
	free := w.free()
	return WorkerView{Worker: w.Worker, State: w.state, Used: w.used, Free: free,
		Tasks: len(w.tasks), Overcommitted: anyNegative(free)}
}
