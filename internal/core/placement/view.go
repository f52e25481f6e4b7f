package placement

import "catkinvalve/internal/core/model"

// Totals returns sums over the data centre in constant time.
func (x *Index) Totals() Totals {
	t := x.totals
	maxFree, accel := x.byLoad.maxFree(x.plain), x.byLoad.maxFree(x.accel)
	raiseTo(&maxFree, &accel)
	t.LargestFree = sizeOf(maxFree)
	return t
}

// Worker returns what the index knows about a worker.
func (x *Index) Worker(id model.WorkerID) (WorkerView, bool) {
	i, ok := x.byID[id]
	if !ok {
		return WorkerView{}, false
	}
	return x.workers[i].view(), true
}

// Each calls f for each worker until f returns false. f must not change the
// index.
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
