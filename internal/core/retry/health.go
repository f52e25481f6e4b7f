package retry

import (
	"cmp"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// maxWorkersPerKey bounds the workers remembered for one failing request. Two
// are enough to put the blame on the request.
const maxWorkersPerKey = 4

// totalFactor times Failures different requests without a success set a worker
// aside even if all of them failed elsewhere too. Without it, two workers that
// fail everything would excuse each other for ever.
const totalFactor = 2

// HealthConfig sets the limits of Health.
type HealthConfig struct {
	// Failures of different requests without a success set a worker aside.
	FailureThreshold int
	// Base is the first quarantine; each failed probe doubles it up to Max.
	BaseQuarantine, MaxQuarantine time.Duration
	// Percent of the workers, at least 1, may be set aside at a time.
	MaxQuarantinedPercent int
	// Attempts that failed park a request.
	MaxAttempts int
	// Keys bounds the failing requests remembered.
	MaxKeys int
}

// State is the health of a worker.
type State uint8

// States of a worker.
const (
	Healthy State = iota
	// Quarantined workers get no work.
	Quarantined
	// Probing workers get one task at a time, see StartProbe.
	Probing
)

// blame is a failed request on a worker since its last success.
type blame struct {
	key string
	// excused is set when the request failed on another worker as well.
	excused bool
}

type worker struct {
	blames []blame
	// aside is set from the quarantine to the next success.
	aside    bool
	until    time.Time
	length   time.Duration
	probe    bool
	reported State
}

// Health scores workers by the failures of different requests, never by load:
// a worker that fails everything at once is always empty.
type Health struct {
	config   HealthConfig
	workers  map[model.WorkerID]*worker
	aside    int
	total    int
	requests requests
}

// NewHealth returns a Health for which all workers are healthy.
func NewHealth(c HealthConfig) *Health {
	return &Health{config: c, workers: map[model.WorkerID]*worker{},
		requests: requests{limit: c.MaxKeys, byKey: map[string]*failures{}}}
}

// Failed records that a task of key failed on a worker. A request that fails
// on several workers counts against itself and not against them.
func (h *Health) RecordFailure(now time.Time, id model.WorkerID, key string) {
	f := h.requests.failed(id, key)
	w := h.workers[id]
	if w == nil {
		w = &worker{}
		h.workers[id] = w
	}
	state := w.state(now)
	w.probe = false
	w.blame(key, h.config.FailureThreshold*totalFactor)
	if len(f.workers) > 1 {
		h.excuse(f, key)
	}
	switch {
	case state == Probing && len(f.workers) == 1:
		w.length = min(w.length*2, h.config.MaxQuarantine)
		w.until = now.Add(w.length)
	case state == Healthy && w.failing(h.config.FailureThreshold) && h.aside < h.allowed():
		w.aside, w.length, w.until = true, h.config.BaseQuarantine, now.Add(h.config.BaseQuarantine)
		h.aside++
	}
}

// Succeeded records a success, which makes the worker healthy.
func (h *Health) RecordSuccess(_ time.Time, id model.WorkerID) {
	if w := h.workers[id]; w != nil {
		h.free(w)
		w.blames = nil
		if w.reported == Healthy {
			delete(h.workers, id)
		}
	}
}

// State returns the health of a worker.
func (h *Health) State(now time.Time, id model.WorkerID) State {
	if w := h.workers[id]; w != nil {
		return w.state(now)
	}
	return Healthy
}

// StartProbe claims the only probe of a probing worker and reports whether it
// was free. Failed, Succeeded and EndProbe free it.
func (h *Health) StartProbe(now time.Time, id model.WorkerID) bool {
	w := h.workers[id]
	if w == nil || w.state(now) != Probing || w.probe {
		return false
	}
	w.probe = true
	return true
}

// EndProbe frees the probe of a task that ended without a verdict on its worker.
func (h *Health) EndProbe(id model.WorkerID) {
	if w := h.workers[id]; w != nil {
		w.probe = false
	}
}

// SetWorkers sets the number of workers. When fewer may now be set aside, those
// whose quarantine ends first become healthy.
func (h *Health) SetWorkerCount(n int) {
	h.total = n
	if h.aside <= h.allowed() {
		return
	}
	var ids []model.WorkerID
	for id, w := range h.workers {
		if w.aside {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b model.WorkerID) int {
		if c := h.workers[a].until.Compare(h.workers[b].until); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	for _, id := range ids[:h.aside-h.allowed()] {
		h.free(h.workers[id])
	}
}

// Forget drops a worker that left the instance list.
func (h *Health) RemoveWorker(id model.WorkerID) {
	if w := h.workers[id]; w != nil {
		h.free(w)
		delete(h.workers, id)
	}
}

// Changed returns the workers whose state changed since the last call, sorted.
func (h *Health) TakeChangedWorkers(now time.Time) []model.WorkerID {
	var changed []model.WorkerID
	for id, w := range h.workers {
		state := w.state(now)
		if state != w.reported {
			w.reported = state
			changed = append(changed, id)
		}
		if state == Healthy && len(w.blames) == 0 {
			delete(h.workers, id)
		}
	}
	slices.Sort(changed)
	return changed
}

// Parked reports whether a request failed too often to be tried again.
func (h *Health) AttemptsExhausted(key string) bool {
	f := h.requests.byKey[key]
	return f != nil && f.attempts >= h.config.MaxAttempts
}

// ForgetKey drops what is known about a request that ended. Its failures on
// workers still count.
func (h *Health) RemoveKey(key string) { delete(h.requests.byKey, key) }

func (h *Health) allowed() int { return max(1, h.total*h.config.MaxQuarantinedPercent/100) }

func (h *Health) free(w *worker) {
	if w.aside {
		h.aside--
	}
	w.aside, w.probe, w.until = false, false, time.Time{}
}

// excuse takes the blame for a request off the workers on which it failed.
func (h *Health) excuse(f *failures, key string) {
	for _, id := range f.workers {
		if w := h.workers[id]; w != nil {
			for i := range w.blames {
				w.blames[i].excused = w.blames[i].excused || w.blames[i].key == key
			}
		}
	}
}

func (w *worker) state(now time.Time) State {
	switch {
	case !w.aside:
		return Healthy
	case now.Before(w.until):
		return Quarantined
	}
	return Probing
}

// blame adds a key, once, up to limit keys.
func (w *worker) blame(key string, limit int) {
	if len(w.blames) < limit && !slices.ContainsFunc(w.blames, func(b blame) bool { return b.key == key }) {
		w.blames = append(w.blames, blame{key: key})
	}
}

func (w *worker) failing(limit int) bool {
	own := 0
	for _, b := range w.blames {
		if !b.excused {
			own++
		}
	}
	return own >= limit || len(w.blames) >= limit*totalFactor
}
