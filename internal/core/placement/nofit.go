package placement

// missLimit is how many needs that fit nowhere are remembered.
const maxNoFitEntries = 64

// misses remembers needs that fit on no open worker, so that tasks that wait
// for room are refused without a search. A need fails when it is at least as
// large as a remembered one in every dimension. An entry is dropped as soon as
// a worker has room for it.
type noFitCache struct {
	requests [maxNoFitEntries]vec
	count    int
	// next is the entry that is replaced when all are in use.
	next int
}

// hit reports whether need is known to fit nowhere.
func (m *noFitCache) covers(request *vec) bool {
	for i := range m.requests[:m.count] {
		if fits(&m.requests[i], request) {
			return true
		}
	}
	return false
}

// add remembers a need that fits nowhere in place of larger ones.
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

// opened drops the needs that a worker with this free capacity can take.
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
