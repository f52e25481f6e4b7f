package placement

import (
	"cmp"
	"math"
	"slices"

	"catkinvalve/internal/core/model"
)

const (
	// preemptCandidates is how many workers with a plan are compared.
	maxPreemptCandidates = 32
	// exhaustiveTrials bounds the exhaustive search for the fewest victims on
	// one worker; beyond it a greedy choice is made.
	maxExhaustiveSets = 512
)

// Preempt chooses batch tasks on one worker whose end makes room for n: the
// fewest, and among equally many the smallest, of the workers examined. There
// are no victims when n fits already.
func (x *Index) PlanPreemption(spec TaskSpec, preemptible func(model.TaskID) bool) ([]model.TaskID, model.WorkerID, bool) {
	spec.Size = nonNegative(spec.Size)
	if id, ok := x.Place(spec); ok {
		return nil, id, true
	}
	request := spec.Size.Vector()
	c := cursor{f: &x.batchByLoad, request: request}
	c.start(x.batchRoot, false, -1)
	var best preemptionPlan
	for seen := 0; seen < maxPreemptCandidates; {
		i := c.next()
		if i == none {
			break
		}
		limit := len(best.victims)
		if limit == 0 {
			limit = math.MaxInt
		}
		p, ok := x.planOnWorker(i, spec, limit, preemptible)
		if !ok {
			continue
		}
		seen++
		if best.victims == nil || p.betterThan(best) {
			best = p
		}
	}
	if best.victims == nil {
		return nil, "", false
	}
	return x.taskIDs(best.victims), x.workers[best.worker].ID, true
}

// plan is a choice of victims on one worker.
type preemptionPlan struct {
	worker        int32
	victims       []victim
	dominantShare float64
}

func (p preemptionPlan) betterThan(o preemptionPlan) bool {
	return cmp.Or(cmp.Compare(len(p.victims), len(o.victims)), cmp.Compare(p.dominantShare, o.dominantShare),
		cmp.Compare(p.worker, o.worker)) < 0
}

// victim is a task that may be preempted. share is its dominant share.
type victim struct {
	reservation   int32
	size          vec
	dominantShare float64
}

// planOn returns the best choice of at most limit victims on worker i.
func (x *Index) planOnWorker(i int32, spec TaskSpec, limit int, preemptible func(model.TaskID) bool) (preemptionPlan, bool) {
	w := &x.workers[i]
	shortfall := subVec(spec.Size.Vector(), w.free().Vector())
	if spec.Class != model.Interactive {
		const slots = 3
		shortfall[slots] = max(shortfall[slots], spec.Size.Slots-x.slotsLeft(spec))
	}
	chosen, ok := smallestVictimSet(x.preemptibleTasks(w, preemptible), shortfall, limit)
	if !ok {
		return preemptionPlan{}, false
	}
	p := preemptionPlan{worker: i, victims: chosen}
	for _, v := range chosen {
		p.dominantShare += v.dominantShare
	}
	return p, true
}

// victimsOn returns the worker's preemptible tasks, the smallest first.
func (x *Index) preemptibleTasks(w *worker, preemptible func(model.TaskID) bool) []victim {
	var out []victim
	for _, r := range w.tasks {
		res := &x.reservations[r]
		if res.taskSpec.Class == model.Batch && preemptible(res.task) {
			out = append(out, victim{r, res.taskSpec.Size.Vector(), res.taskSpec.Size.DominantShare(w.Capacity)})
		}
	}
	slices.SortFunc(out, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.dominantShare, b.dominantShare),
			compareTaskIDs(x.reservations[a.reservation].task, x.reservations[b.reservation].task))
	})
	return out
}

func (x *Index) taskIDs(victims []victim) []model.TaskID {
	out := make([]model.TaskID, len(victims))
	for i, v := range victims {
		out[i] = x.reservations[v.reservation].task
	}
	return out
}
