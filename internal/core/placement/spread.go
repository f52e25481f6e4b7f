package placement

import "math"

const (
	// spreadRacks is how many racks with room are compared for one service
	// task. Data centres of up to this many racks are spread exactly.
	maxSpreadRacks = 32
	// spreadWorkers is how many fitting workers of one rack are compared.
	maxSpreadWorkers = 8
)

// placeSpread chooses the least loaded of the racks with the fewest tasks of
// the same service, and in it the worker with the fewest of them.
func (x *Index) placeSpread(spec TaskSpec) int32 {
	request := spec.Size.Vector()
	racks := cursor{f: &x.racksByLoad, request: request}
	workers := cursor{f: &x.byRack, request: request}
	best, fewest := none, math.MaxInt
	racks.start(x.rackRoot, false, -1)
	for seen := 0; seen < maxSpreadRacks && fewest > 0; {
		r := racks.next()
		if r == none {
			break
		}
		i := x.placeInRack(&workers, spec, r)
		if i == none {
			continue // the rack's free values are on different workers
		}
		seen++
		if sameService := x.racks[r].services[spec.Service]; sameService < fewest {
			best, fewest = i, sameService
		}
	}
	return best
}

func (x *Index) placeInRack(c *cursor, spec TaskSpec, r int32) int32 {
	best, fewest := none, math.MaxInt
	c.start(x.racks[r].root, false, -1)
	for seen := 0; seen < maxSpreadWorkers && fewest > 0; seen++ {
		i := c.next()
		if i == none {
			break
		}
		if sameService := x.workers[i].services[spec.Service]; sameService < fewest {
			best, fewest = i, sameService
		}
	}
	return best
}
