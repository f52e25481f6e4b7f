package placement

import "catkinvalve/internal/core/model"

// dimReasons names the reason for each dimension of a Size.
var dimReasons = [model.Dims]model.Reason{
	model.ReasonCPU, model.ReasonMemory, model.ReasonAccel, model.ReasonSlots, model.ReasonConns,
}

// Explain says why no worker fits: for each reason, the number of workers that
// it applies to. A worker that lacks several dimensions counts for each. It
// looks at all workers and is not for the common path.
func (x *Index) Explain(n TaskSpec) model.Counts {
	n.Size = nonNegative(n.Size)
	limited := !x.withinLimit(n, 1)
	out := model.Counts{}
	for i := range x.workers {
		if x.workers[i].live {
			w := &x.workers[i]
			w.explain(n, limited || x.takesPiece(w, n), out)
		}
	}
	return out
}

func (w *worker) explain(n TaskSpec, limited bool, out model.Counts) {
	switch w.state {
	case NotLeased:
		out[model.ReasonNoLease]++
	case Draining:
		out[model.ReasonDraining]++
	case Quarantined:
		out[model.ReasonQuarantined]++
	default:
		lacks := countLacks(n.Size, w.free(), 1, out)
		if !lacks && !w.open {
			out[model.ReasonNoFit]++
		} else if !lacks && limited {
			out[model.ReasonHeadroom]++
		}
	}
}

// countLacks adds workers to the count of each dimension in which need exceeds
// free, and reports whether there is one.
func countLacks(need, free model.Size, workers int, out model.Counts) bool {
	nv, fv := need.Vector(), free.Vector()
	lacks := false
	for d := range nv {
		if nv[d] > 0 && nv[d] > fv[d] {
			out[dimReasons[d]] += workers
			lacks = true
		}
	}
	return lacks
}

// NeverFits reports whether the tasks could not even run on the empty data
// centre with all workers available, and why. It is false as long as no worker
// is known, because then nothing can be said.
func (x *Index) NeverFits(n TaskSpec, tasks int) (model.Counts, bool) {
	n.Size = nonNegative(n.Size)
	if x.totals.Workers == 0 {
		return nil, false
	}
	room, need := int64(0), n.Size.Vector()
	for shape, count := range x.shapes {
		capacity := shape.Vector()
		room += int64(count) * copies(&need, &capacity)
	}
	limited := n.Class != model.Interactive && n.Size.Slots*int64(tasks) > x.slotsNever(n)
	if room >= int64(tasks) && !limited {
		return nil, false
	}
	return x.whyNever(n, tasks, int64(tasks)-room, limited), true
}

// whyNever counts the workers that are too small, the tasks of a gang that find
// no worker, and the limit of slots.
func (x *Index) whyNever(n TaskSpec, tasks int, missing int64, limited bool) model.Counts {
	out := model.Counts{}
	for shape, count := range x.shapes {
		countLacks(n.Size, shape, count, out)
	}
	if tasks > 1 && missing > 0 {
		out[model.ReasonGang] = int(missing)
	}
	if limited {
		out[model.ReasonHeadroom] = 1
	}
	return out
}
