package retry

import (
	"slices"

	"catkinvalve/internal/core/model"
)

// failures is what is known about the failed attempts of one request.
type failures struct {
	key      string
	attempts int
	workers  []model.WorkerID
}

// requests counts failed attempts per key for the most recently added keys.
type requests struct {
	limit int
	byKey map[string]*failures
	// order lists entries by age, also forgotten ones until they come up.
	order []*failures
}

// failed counts an attempt and returns the entry.
func (r *requests) failed(worker model.WorkerID, key string) *failures {
	f := r.byKey[key]
	if f == nil {
		r.evict()
		f = &failures{key: key}
		r.byKey[key] = f
		r.order = append(r.order, f)
	}
	f.attempts++
	if !slices.Contains(f.workers, worker) && len(f.workers) < maxWorkersPerKey {
		f.workers = append(f.workers, worker)
	}
	return f
}

// evict makes room for one key.
func (r *requests) evict() {
	for len(r.order) >= r.limit && len(r.order) > 0 {
		if oldest := r.order[0]; r.byKey[oldest.key] == oldest {
			delete(r.byKey, oldest.key)
		}
		r.order = r.order[1:]
	}
}
