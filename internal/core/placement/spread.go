package placement

import "math"

const (
	// maxSpreadRacks is the number of racks with room that are compared for one
	// service task. In data centres with at most this many racks the choice of the
	// rack is exact.
	maxSpreadRacks = 32
	// maxSpreadWorkers is the number of fitting workers compared in one rack.
	maxSpreadWorkers = 8
)

// placeSpread chooses the rack with the fewest tasks of the same service, the least
// loaded one of several, and in it the worker with the fewest of them. It returns
// the index of the worker, or none.
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
			continue // the maxima of the rack's tree come from different workers
		}
		seen++
		if sameService := x.racks[r].services[spec.Service]; sameService < fewest {
			best, fewest = i, sameService
		}
	}
	return best
}

// placeInRack returns the worker of rack r with the fewest tasks of the same
// service, or none.
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
