package placement

// maxNoFitEntries is the number of requests that a noFitCache remembers.
const maxNoFitEntries = 64

// noFitCache remembers requests that fit on no schedulable worker, so that waiting
// tasks are refused without a search. It covers a request that is at least as large
// as a remembered one in every dimension. An entry is dropped as soon as it fits on
// a worker.
type noFitCache struct {
	requests [maxNoFitEntries]vec
	count    int
	// next is the entry to replace when all are in use.
	next int
}

// covers reports whether request is known to fit on no worker.
func (c *noFitCache) covers(request *vec) bool {
	for i := range c.requests[:c.count] {
		if fits(&c.requests[i], request) {
			return true
		}
	}
	return false
}

// add remembers a request that fits on no worker and drops the larger ones, which it
// covers.
func (c *noFitCache) add(request *vec) {
	for i := c.count - 1; i >= 0; i-- {
		if fits(request, &c.requests[i]) {
			c.drop(i)
		}
	}
	if c.count < maxNoFitEntries {
		c.requests[c.count] = *request
		c.count++
		return
	}
	c.requests[c.next] = *request
	c.next = (c.next + 1) % maxNoFitEntries
}

// dropFitting drops the requests that fit on a worker with this free capacity.
func (c *noFitCache) dropFitting(free *vec) {
	for i := c.count - 1; i >= 0; i-- {
		if fits(&c.requests[i], free) {
			c.drop(i)
		}
	}
}

// drop removes entry i and moves the last entry to its place.
func (c *noFitCache) drop(i int) {
	c.count--
	c.requests[i] = c.requests[c.count]
}
