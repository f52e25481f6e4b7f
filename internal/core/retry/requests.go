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
func (r *failureTable) recordFailure(worker model.WorkerID, key string) *requestFailures {
	f := r.byKey[key]
	if f == nil {
		r.evict()
		f = &requestFailures{key: key}
		r.byKey[key] = f
		r.byAge = append(r.byAge, f)
	}
	f.attempts++
	if !slices.Contains(f.workers, worker) && len(f.workers) < maxWorkersPerKey {
		f.workers = append(f.workers, worker)
	}
	return f
}

// evict removes the oldest entries until there is room for one more.
func (r *failureTable) evict() {
	for len(r.byAge) >= r.maxKeys && len(r.byAge) > 0 {
		if oldest := r.byAge[0]; r.byKey[oldest.key] == oldest {
			delete(r.byKey, oldest.key)
		}
		r.byAge = r.byAge[1:]
	}
}
