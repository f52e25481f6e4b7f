package placement

// missLimit is how many needs that fit nowhere are remembered.
const missLimit = 64

// misses remembers needs that fit on no open worker, so that tasks that wait
// for room are refused without a search. A need fails when it is at least as
// large as a remembered one in every dimension. An entry is dropped as soon as
// a worker has room for it.
type misses struct {
	needs [missLimit]vec
	used  int
	// next is the entry that is replaced when all are in use.
	next int
}

// hit reports whether need is known to fit nowhere.
func (m *misses) hit(need *vec) bool {
	for i := range m.needs[:m.used] {
		if fits(&m.needs[i], need) {
			return true
		}
	}
	return false
}

// add remembers a need that fits nowhere in place of larger ones.
func (m *misses) add(need *vec) {
	for i := m.used - 1; i >= 0; i-- {
		if fits(need, &m.needs[i]) {
			m.drop(i)
		}
	}
	if m.used < missLimit {
		m.needs[m.used] = *need
		m.used++
		return
	}
	m.needs[m.next] = *need
	m.next = (m.next + 1) % missLimit
}

// opened drops the needs that a worker with this free capacity can take.
func (m *misses) opened(free *vec) {
	for i := m.used - 1; i >= 0; i-- {
		if fits(&m.needs[i], free) {
			m.drop(i)
		}
	}
}

func (m *misses) drop(i int) {
	m.used--
	m.needs[i] = m.needs[m.used]
}
