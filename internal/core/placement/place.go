package placement

import (
	"math"

	"catkinvalve/internal/core/model"
)

const (
	// maxPlaceCandidates is the number of fitting workers that are compared for
	// one task. The tree orders workers by their level of load before the task is
	// added; comparing several corrects for the width of a level and for workers
	// of different capacity.
	maxPlaceCandidates = 8
	// maxTargetShift is how far the weights can move the target load of a class.
	maxTargetShift = 0.5
)

// Place chooses a worker for a task without reserving capacity. It succeeds
// whenever the task fits on an available worker and its class is within its slot
// limit. Only batch tasks may also be refused to preserve the room reserved by
// SetInteractiveTaskHeadroom.
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

// targetLoad returns the load, from 0 to 1, up to which workers are filled first.
// By default batch and gang tasks go to the fullest worker that fits (1) and
// interactive tasks to the least loaded one (0); the weights move both towards 0.5.
func (o Options) targetLoad(c model.Class) float64 {
	if c == model.Interactive {
		return maxTargetShift * max(o.packingBias(), 0)
	}
	return 1 + maxTargetShift*min(o.packingBias(), 0)
}

// treeScan is a scan of one tree in one direction.
type treeScan struct {
	root       int32
	descending bool
}

// scanOrder returns the scans that visit all workers in the order in which they
// are tried: from the target load downwards, then upwards, and workers with
// accelerators last.
func (x *Index) scanOrder() [4]treeScan {
	return [4]treeScan{{x.plain, true}, {x.plain, false}, {x.accel, true}, {x.accel, false}}
}

// placeByLoad returns the index of the worker whose load after placement is best
// for the class of spec, or none.
func (x *Index) placeByLoad(spec TaskSpec) int32 {
	targetLoad := x.opts.targetLoad(spec.Class)
	c := cursor{f: &x.byLoad, request: spec.Size.Vector()}
	for _, scan := range x.scanOrder() {
		c.start(scan.root, scan.descending, maxLevelKey(targetLoad))
		if i := x.bestCandidate(&c, spec, targetLoad); i != none {
			return i
		}
	}
	return none
}

// bestCandidate returns the best-scoring of the cursor's next workers, or none. It
// skips workers on which a batch task would use the interactive task headroom.
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

// score rates a worker by its load after placement; lower is better. Loads up to
// the target are better than all loads above it, and a load closer to the target is
// better than one further away.
func score(load, targetLoad float64) float64 {
	if load <= targetLoad {
		return targetLoad - load
	}
	return 1 + load - targetLoad
}
