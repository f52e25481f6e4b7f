package retry

import (
	"slices"

	"catkinvalve/internal/core/model"
)

// requestFailures holds the failed attempts of one request.
type requestFailures struct {
	key      string
	attempts int
	workers  []model.WorkerID // at most maxWorkersPerKey
}

// failureTable counts failed attempts per key for the most recently added keys.
type failureTable struct {
	maxKeys int
	byKey   map[string]*requestFailures
	// byAge lists the entries, oldest first. An entry that was removed from byKey
	// stays here until it becomes the oldest.
	byAge []*requestFailures
}

// recordFailure counts a failed attempt and returns the entry of the request.
func (t *failureTable) recordFailure(worker model.WorkerID, key string) *requestFailures {
	f := t.byKey[key]
	if f == nil {
		t.evict()
		f = &requestFailures{key: key}
		t.byKey[key] = f
		t.byAge = append(t.byAge, f)
	}
	f.attempts++
	if !slices.Contains(f.workers, worker) && len(f.workers) < maxWorkersPerKey {
		f.workers = append(f.workers, worker)
	}
	return f
}

// evict removes the oldest entries until there is room for one more.
func (t *failureTable) evict() {
	for len(t.byAge) >= t.maxKeys && len(t.byAge) > 0 {
		if oldest := t.byAge[0]; t.byKey[oldest.key] == oldest {
			delete(t.byKey, oldest.key)
		}
		t.byAge = t.byAge[1:]
	}
}
