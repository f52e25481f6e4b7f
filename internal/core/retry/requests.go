package retry

import (
	"slices"

	"catkinvalve/internal/core/model"
)

// failures is what is known about the failed attempts of one request.
type requestFailures struct {
	key      string
	attempts int
	workers  []model.WorkerID
}

// requests counts failed attempts per key for the most recently added keys.
type failureTable struct {
	maxKeys int
	byKey   map[string]*requestFailures
	// order lists entries by age, also forgotten ones until they come up.
	byAge []*requestFailures
}

// failed counts an attempt and returns the entry.
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

// evict makes room for one key.
func (r *failureTable) evict() {
	for len(r.byAge) >= r.maxKeys && len(r.byAge) > 0 {
		if oldest := r.byAge[0]; r.byKey[oldest.key] == oldest {
			delete(r.byKey, oldest.key)
		}
		r.byAge = r.byAge[1:]
	}
}
