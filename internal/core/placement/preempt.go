package placement

import (
	"cmp"
	"math"
	"slices"

	"catkinvalve/internal/core/model"
)

const (
	// preemptCandidates is how many workers with a plan are compared.
	preemptCandidates = 32
	// exhaustiveTrials bounds the exhaustive search for the fewest victims on
	// one worker; beyond it a greedy choice is made.
	exhaustiveTrials = 512
)

// Preempt chooses batch tasks on one worker whose end makes room for n: the
// fewest, and among equally many the smallest, of the workers examined. There
// are no victims when n fits already.
func (x *Index) PlanPreemption(n TaskSpec, preemptible func(model.TaskID) bool) ([]model.TaskID, model.WorkerID, bool) {
	n.Size = nonNegative(n.Size)
	if id, ok := x.Place(n); ok {
		return nil, id, true
	}
	need := n.Size.Vector()
	c := cursor{f: &x.reclaim, need: need}
	c.start(x.reclaimRoot, false, -1)
	var best plan
	for seen := 0; seen < preemptCandidates; {
		i := c.next()
		if i == none {
			break
		}
		limit := len(best.victims)
		if limit == 0 {
			limit = math.MaxInt
		}
		p, ok := x.planOn(i, n, limit, preemptible)
		if !ok {
			continue
		}
		seen++
		if best.victims == nil || p.before(best) {
			best = p
		}
	}
	if best.victims == nil {
		return nil, "", false
	}
	return x.tasksOf(best.victims), x.workers[best.worker].ID, true
}

// plan is a choice of victims on one worker.
type plan struct {
	worker  int32
	victims []victim
	share   float64
}

func (p plan) before(o plan) bool {
	return cmp.Or(cmp.Compare(len(p.victims), len(o.victims)), cmp.Compare(p.share, o.share),
		cmp.Compare(p.worker, o.worker)) < 0
}

// victim is a task that may be preempted. share is its dominant share.
type victim struct {
	reservation int32
	size        vec
	share       float64
}

// planOn returns the best choice of at most limit victims on worker i.
func (x *Index) planOn(i int32, n TaskSpec, limit int, preemptible func(model.TaskID) bool) (plan, bool) {
	w := &x.workers[i]
	lack := subVec(n.Size.Vector(), w.free().Vector())
	if n.Class != model.Interactive {
		const slots = 3
		lack[slots] = max(lack[slots], n.Size.Slots-x.slotsLeft(n))
	}
	chosen, ok := fewest(x.victimsOn(w, preemptible), lack, limit)
	if !ok {
		return plan{}, false
	}
	p := plan{worker: i, victims: chosen}
	for _, v := range chosen {
		p.share += v.share
	}
	return p, true
}

// victimsOn returns the worker's preemptible tasks, the smallest first.
func (x *Index) victimsOn(w *worker, preemptible func(model.TaskID) bool) []victim {
	var out []victim
	for _, r := range w.tasks {
		res := &x.reservations[r]
		if res.need.Class == model.Batch && preemptible(res.task) {
			out = append(out, victim{r, res.need.Size.Vector(), res.need.Size.DominantShare(w.Capacity)})
		}
	}
	slices.SortFunc(out, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.share, b.share),
			compareTasks(x.reservations[a.reservation].task, x.reservations[b.reservation].task))
	})
	return out
}

func (x *Index) tasksOf(victims []victim) []model.TaskID {
	out := make([]model.TaskID, len(victims))
	for i, v := range victims {
		out[i] = x.reservations[v.reservation].task
	}
	return out
}
