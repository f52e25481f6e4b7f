package placement

import (
	"cmp"
	"math"
	"slices"

	"catkinvalve/internal/core/model"
)

const (
	// maxPreemptCandidates is the number of workers whose plans are compared.
	maxPreemptCandidates = 32
	// maxExhaustiveSets bounds the number of sets that the exhaustive search for
	// the fewest victims on one worker tries; beyond it the choice is greedy.
	maxExhaustiveSets = 512
)

// PlanPreemption chooses batch tasks on one worker that must be stopped to make room
// for spec, and returns them with the worker. preemptible tells which tasks may be
// chosen. Of the workers examined it takes the one with the fewest victims, among
// several the one with the smallest victims. There are no victims when spec fits
// without preemption. The result is false when preemption on a single worker cannot
// make room.
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

// preemptionPlan is a choice of victims on one worker. dominantShare is the sum of
// their dominant shares.
type preemptionPlan struct {
	worker        int32
	victims       []victim
	dominantShare float64
}

// betterThan reports whether p has fewer victims than o, or as many but smaller ones.
func (p preemptionPlan) betterThan(o preemptionPlan) bool {
	return cmp.Or(cmp.Compare(len(p.victims), len(o.victims)), cmp.Compare(p.dominantShare, o.dominantShare),
		cmp.Compare(p.worker, o.worker)) < 0
}

// victim is a task that may be preempted. dominantShare is the share of the worker's
// capacity that it uses in its dominant dimension.
type victim struct {
	reservation   int32
	size          vec
	dominantShare float64
}

// planOnWorker returns the best choice of at most limit victims on worker i, and
// false when there is none.
func (x *Index) planOnWorker(i int32, spec TaskSpec, limit int, preemptible func(model.TaskID) bool) (preemptionPlan, bool) {
	w := &x.workers[i]
	shortfall := subVec(spec.Size.Vector(), w.free().Vector())
	if spec.Class != model.Interactive {
		const slots = 3 // index of Size.Slots in vec
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

// preemptibleTasks returns the worker's preemptible batch tasks, the smallest first.
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
