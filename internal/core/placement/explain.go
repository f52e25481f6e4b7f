package placement

import "catkinvalve/internal/core/model"

// dimensionReasons maps each dimension of model.Size.Vector to its reason.
var dimensionReasons = [model.Dims]model.Reason{
	model.ReasonCPU, model.ReasonMemory, model.ReasonAccel, model.ReasonSlots, model.ReasonConns,
}

// Explain returns why the task fits on no worker: for each reason, the number of
// workers that it applies to. A worker that is short of several dimensions counts
// for each of them. Explain visits all workers and is too slow for the placement of
// every task.
func (x *Index) Explain(spec TaskSpec) model.Counts {
	spec.Size = nonNegative(spec.Size)
	limited := !x.withinSlotLimit(spec, 1)
	out := model.Counts{}
	for i := range x.workers {
		if x.workers[i].live {
			w := &x.workers[i]
			w.explain(spec, limited || x.breaksTaskHeadroom(w, spec), out)
		}
	}
	return out
}

// explain adds the reasons why the task does not fit on w to out. limited tells
// whether a slot limit or headroom excludes the task.
func (w *worker) explain(spec TaskSpec, limited bool, out model.Counts) {
	switch w.state {
	case NotLeased:
		out[model.ReasonNoLease]++
	case Draining:
		out[model.ReasonDraining]++
	case Quarantined:
		out[model.ReasonQuarantined]++
	default:
		short := countShortages(spec.Size, w.free(), 1, out)
		if !short && !w.schedulable {
			out[model.ReasonNoFit]++
		} else if !short && limited {
			out[model.ReasonHeadroom]++
		}
	}
}

// countShortages adds workers to the count of each dimension in which request
// exceeds free, and reports whether there is one.
func countShortages(request, free model.Size, workers int, out model.Counts) bool {
	requested, available := request.Vector(), free.Vector()
	short := false
	for d := range requested {
		if requested[d] > 0 && requested[d] > available[d] {
			out[dimensionReasons[d]] += workers
			short = true
		}
	}
	return short
}

// NeverFits reports whether the tasks could not run together even with all workers
// available and empty, and returns the reasons. It is false while no worker is
// known, because the capacity is unknown then.
func (x *Index) NeverFits(spec TaskSpec, tasks int) (model.Counts, bool) {
	spec.Size = nonNegative(spec.Size)
	if x.totals.Workers == 0 {
		return nil, false
	}
	fitting, request := int64(0), spec.Size.Vector()
	for workerCapacity, count := range x.workersByCapacity {
		capacity := workerCapacity.Vector()
		fitting += int64(count) * fitCount(&request, &capacity)
	}
	limited := spec.Class != model.Interactive && spec.Size.Slots*int64(tasks) > x.slotLimitWhenEmpty(spec)
	if fitting >= int64(tasks) && !limited {
		return nil, false
	}
	return x.neverFitReasons(spec, tasks, int64(tasks)-fitting, limited), true
}

// neverFitReasons counts the workers that are too small, the tasks of a gang that
// fit on no worker (missing), and the slot limit.
func (x *Index) neverFitReasons(spec TaskSpec, tasks int, missing int64, limited bool) model.Counts {
	out := model.Counts{}
	for workerCapacity, count := range x.workersByCapacity {
		countShortages(spec.Size, workerCapacity, count, out)
	}
	if tasks > 1 && missing > 0 {
		out[model.ReasonGang] = int(missing)
	}
	if limited {
		out[model.ReasonHeadroom] = 1
	}
	return out
}
