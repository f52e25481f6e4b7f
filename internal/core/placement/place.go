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
	placeCandidates = 8
	// targetShift is how far the weights move the target load of a class.
	targetShift = 0.5
)

// Place chooses a worker for a task and reserves nothing. It finds a worker
// whenever an available one fits and the class is within its limit of slots.
// Batch tasks may be passed over to keep room for interactive ones, see
// SetInteractivePieces.
func (x *Index) Place(n TaskSpec) (model.WorkerID, bool) {
	n.Size = nonNegative(n.Size)
	need := n.Size.Vector()
	if !x.withinLimit(n, 1) || x.misses.hit(&need) {
		return "", false
	}
	x.pieces.denied = false
	i := none
	if n.Class == model.Service {
		i = x.placeSpread(n)
	} else {
		i = x.placeByLoad(n)
	}
	if i == none {
		if !x.pieces.denied {
			x.misses.add(&need)
		}
		return "", false
	}
	return x.workers[i].ID, true
}

// target returns the load up to which workers are filled first. Batch and gang
// tasks go to the fullest worker that fits (1), interactive tasks to the least
// loaded one (0); the weights move both towards the middle.
func (o Options) target(c model.Class) float64 {
	if c == model.Interactive {
		return targetShift * max(o.tilt(), 0)
	}
	return 1 + targetShift*min(o.tilt(), 0)
}

// pass is a walk over one tree in one direction.
type pass struct {
	root int32
	down bool
}

// passes returns the order in which workers are tried: from the target load
// down, then from it up; workers with accelerators last.
func (x *Index) passes() [4]pass {
	return [4]pass{{x.plain, true}, {x.plain, false}, {x.accel, true}, {x.accel, false}}
}

func (x *Index) placeByLoad(n TaskSpec) int32 {
	target := x.opts.target(n.Class)
	c := cursor{f: &x.byLoad, need: n.Size.Vector()}
	for _, p := range x.passes() {
		c.start(p.root, p.down, levelBound(target))
		if i := x.bestOf(&c, n, target); i != none {
			return i
		}
	}
	return none
}

// bestOf returns the best of the cursor's next few workers, or none.
func (x *Index) bestOf(c *cursor, n TaskSpec, target float64) int32 {
	best, bestScore := none, math.Inf(1)
	for range placeCandidates {
		i := c.next()
		if i == none {
			break
		}
		w := &x.workers[i]
		if x.takesPiece(w, n) {
			continue
		}
		if s := score(w.used.Add(n.Size).DominantShare(w.Capacity), target); s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// score ranks a worker by its load after placement; lower is better. Loads up
// to the target come first, the closest one best.
func score(load, target float64) float64 {
	if load <= target {
		return target - load
	}
	return 1 + load - target
}
