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
func (m *noFitCache) covers(request *vec) bool {
	for i := range m.requests[:m.count] {
		if fits(&m.requests[i], request) {
			return true
		}
	}
	return false
}

// add remembers a request that fits on no worker and drops the larger ones, which it
// covers.
func (m *noFitCache) add(request *vec) {
	for i := m.count - 1; i >= 0; i-- {
		if fits(request, &m.requests[i]) {
			m.drop(i)
		}
	}
	if m.count < maxNoFitEntries {
		m.requests[m.count] = *request
		m.count++
		return
	}
	m.requests[m.next] = *request
	m.next = (m.next + 1) % maxNoFitEntries
}

// dropFitting drops the requests that fit on a worker with this free capacity.
func (m *noFitCache) dropFitting(free *vec) {
	for i := m.count - 1; i >= 0; i-- {
		if fits(&m.requests[i], free) {
			m.drop(i)
		}
	}
}

func (m *noFitCache) drop(i int) {
	m.count--
	m.requests[i] = m.requests[m.count]
}
