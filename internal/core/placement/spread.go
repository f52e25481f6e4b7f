package placement

import "math"

const (
	// spreadRacks is how many racks with room are compared for one service
	// task. Data centres of up to this many racks are spread exactly.
	spreadRacks = 32
	// spreadWorkers is how many fitting workers of one rack are compared.
	spreadWorkers = 8
)

// placeSpread chooses the least loaded of the racks with the fewest tasks of
// the same service, and in it the worker with the fewest of them.
func (x *Index) placeSpread(n TaskSpec) int32 {
	need := n.Size.Vector()
	racks := cursor{f: &x.rackLoad, need: need}
	workers := cursor{f: &x.byRack, need: need}
	best, fewest := none, math.MaxInt
	racks.start(x.rackRoot, false, -1)
	for seen := 0; seen < spreadRacks && fewest > 0; {
		r := racks.next()
		if r == none {
			break
		}
		i := x.spreadInRack(&workers, n, r)
		if i == none {
			continue // the rack's free values are on different workers
		}
		seen++
		if same := x.racks[r].services[n.Service]; same < fewest {
			best, fewest = i, same
		}
	}
	return best
}

func (x *Index) spreadInRack(c *cursor, n TaskSpec, r int32) int32 {
	best, fewest := none, math.MaxInt
	c.start(x.racks[r].root, false, -1)
	for seen := 0; seen < spreadWorkers && fewest > 0; seen++ {
		i := c.next()
		if i == none {
			break
		}
		if same := x.workers[i].services[n.Service]; same < fewest {
			best, fewest = i, same
		}
	}
	return best
}
