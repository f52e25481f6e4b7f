package placement

import (
	"math"

	"catkinvalve/internal/core/model"
)

const (
	// placeCandidates is how many fitting workers are compared for one task.
	// The order of the tree ranks them by level of load before the task;
	// comparing a few corrects for the width of a level and for workers of
	// different capacity.
	maxPlaceCandidates = 8
	// targetShift is how far the weights move the target load of a class.
	maxTargetShift = 0.5
)

// Place chooses a worker for a task and reserves nothing. It finds a worker
// whenever an available one fits and the class is within its limit of slots.
// Batch tasks may be passed over to keep room for interactive ones, see
// SetInteractivePieces.
func (x *Index) Place(spec TaskSpec) (model.WorkerID, bool) {
	spec.Size = nonNegative(spec.Size)
	request := spec.Size.Vector()
	if !x.withinSlotLimit(spec, 1) || x.noFitCache.covers(&request) {
		return "", false
	}
	x.taskHeadroom.denied = false
	i := none
	if spec.Class == model.Service {
		i = x.placeSpread(spec)
	} else {
		i = x.placeByLoad(spec)
	}
	if i == none {
		if !x.taskHeadroom.denied {
			x.noFitCache.add(&request)
		}
		return "", false
	}
	return x.workers[i].ID, true
}

// target returns the load up to which workers are filled first. Batch and gang
// tasks go to the fullest worker that fits (1), interactive tasks to the least
// loaded one (0); the weights move both towards the middle.
func (o Options) targetLoad(c model.Class) float64 {
	if c == model.Interactive {
		return maxTargetShift * max(o.packingBias(), 0)
	}
	return 1 + maxTargetShift*min(o.packingBias(), 0)
}

// pass is a walk over one tree in one direction.
type treeScan struct {
	root       int32
	descending bool
}

// passes returns the order in which workers are tried: from the target load
// down, then from it up; workers with accelerators last.
func (x *Index) scanOrder() [4]treeScan {
	return [4]treeScan{{x.plain, true}, {x.plain, false}, {x.accel, true}, {x.accel, false}}
}

func (x *Index) placeByLoad(spec TaskSpec) int32 {
	targetLoad := x.opts.targetLoad(spec.Class)
	c := cursor{f: &x.byLoad, request: spec.Size.Vector()}
	for _, p := range x.scanOrder() {
		c.start(p.root, p.descending, maxLevelKey(targetLoad))
		if i := x.bestCandidate(&c, spec, targetLoad); i != none {
			return i
		}
	}
	return none
}

// bestOf returns the best of the cursor's next few workers, or none.
func (x *Index) bestCandidate(c *cursor, spec TaskSpec, targetLoad float64) int32 {
	best, bestScore := none, math.Inf(1)
	for range maxPlaceCandidates {
		i := c.next()
		if i == none {
			break
		}
		w := &x.workers[i]
		if x.breaksTaskHeadroom(w, spec) {
			continue
		}
		if s := score(w.used.Add(spec.Size).DominantShare(w.Capacity), targetLoad); s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// score ranks a worker by its load after placement; lower is better. Loads up
// to the target come first, the closest one best.
func score(load, targetLoad float64) float64 {
	if load <= targetLoad {
		return targetLoad - load
	}
	return 1 + load - targetLoad
}
