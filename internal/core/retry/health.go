package retry

import (
	"cmp"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// maxWorkersPerKey bounds the workers that are kept per failing request. Two are
// enough to attribute the failures to the request.
const maxWorkersPerKey = 4

// totalThresholdFactor times HealthConfig.FailureThreshold failed requests
// without a success quarantine a worker even if all of them failed on other
// workers as well. Otherwise two workers that fail every request would never be
// quarantined, because each request failed on both.
const totalThresholdFactor = 2

// HealthConfig holds the limits of Health.
type HealthConfig struct {
	// FailureThreshold is the number of different requests that have to fail on a
	// worker, without a success, before it is quarantined.
	FailureThreshold int
	// BaseQuarantine is the length of the first quarantine. Each failed probe
	// doubles it, up to MaxQuarantine.
	BaseQuarantine, MaxQuarantine time.Duration
	// MaxQuarantinedPercent is the share of the workers, but at least 1 worker, that
	// may be quarantined or probing at a time.
	MaxQuarantinedPercent int
	// MaxAttempts is the number of failed attempts after which a request is not
	// retried.
	MaxAttempts int
	// MaxKeys bounds the number of failing requests that are kept.
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

// failedRequest is a request that failed on a worker since the worker's last
// success.
type failedRequest struct {
	key string
	// failedElsewhere is set when the request failed on another worker as well.
	failedElsewhere bool
}

// worker is a worker that is not healthy or has failed requests.
type worker struct {
	failedRequests []failedRequest
	// quarantined is set from the start of the quarantine until the next success,
	// so also while the worker is probing.
	quarantined      bool
	quarantineEnd    time.Time
	quarantineLength time.Duration
	probeActive      bool
	reportedState    State // at the last TakeChangedWorkers
}

// Health rates workers by the failures of different requests. Load is not
// considered: a worker that fails every task immediately has no load. It is not
// safe for concurrent use.
type Health struct {
	config       HealthConfig
	workers      map[model.WorkerID]*worker // without healthy workers that had no failure
	quarantined  int                        // number of workers that are quarantined or probing
	workerCount  int
	failureTable failureTable
}

// NewHealth returns a Health for which all workers are healthy.
func NewHealth(c HealthConfig) *Health {
	return &Health{config: c, workers: map[model.WorkerID]*worker{},
		failureTable: failureTable{maxKeys: c.MaxKeys, byKey: map[string]*requestFailures{}}}
}

// RecordFailure records that a task of the request key failed on a worker. The
// failures of a request on several workers are attributed to the request and
// not to the workers. A failed probe extends the quarantine, unless the request
// failed on another worker too.
func (h *Health) RecordFailure(now time.Time, id model.WorkerID, key string) {
	f := h.failureTable.recordFailure(id, key)
	w := h.workers[id]
	if w == nil {
		w = &worker{}
		h.workers[id] = w
	}
	state := w.state(now)
	w.probeActive = false
	w.addFailedRequest(key, h.config.FailureThreshold*totalThresholdFactor)
	if len(f.workers) > 1 {
		h.markFailedElsewhere(f, key)
	}
	switch {
	case state == Probing && len(f.workers) == 1:
		w.quarantineLength = min(w.quarantineLength*2, h.config.MaxQuarantine)
		w.quarantineEnd = now.Add(w.quarantineLength)
	case state == Healthy && w.reachesThreshold(h.config.FailureThreshold) && h.quarantined < h.maxQuarantined():
		w.quarantined, w.quarantineLength, w.quarantineEnd = true, h.config.BaseQuarantine, now.Add(h.config.BaseQuarantine)
		h.quarantined++
	}
}

// RecordSuccess records a successful task, which makes the worker healthy.
func (h *Health) RecordSuccess(_ time.Time, id model.WorkerID) {
	if w := h.workers[id]; w != nil {
		h.endQuarantine(w)
		w.failedRequests = nil
		if w.reportedState == Healthy {
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

// StartProbe reserves the single probe task of a probing worker and reports
// whether it could. RecordFailure, RecordSuccess and EndProbe release it.
func (h *Health) StartProbe(now time.Time, id model.WorkerID) bool {
	w := h.workers[id]
	if w == nil || w.state(now) != Probing || w.probeActive {
		return false
	}
	w.probeActive = true
	return true
}

// EndProbe releases the probe of a task that ended without telling anything
// about the health of its worker.
func (h *Health) EndProbe(id model.WorkerID) {
	if w := h.workers[id]; w != nil {
		w.probeActive = false
	}
}

// SetWorkerCount sets the number of workers. If this lowers the permitted number
// of quarantined workers, those whose quarantine ends first become healthy.
func (h *Health) SetWorkerCount(n int) {
	h.workerCount = n
	if h.quarantined <= h.maxQuarantined() {
		return
	}
	var ids []model.WorkerID
	for id, w := range h.workers {
		if w.quarantined {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b model.WorkerID) int {
		if c := h.workers[a].quarantineEnd.Compare(h.workers[b].quarantineEnd); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	for _, id := range ids[:h.quarantined-h.maxQuarantined()] {
		h.endQuarantine(h.workers[id])
	}
}

// RemoveWorker removes a worker that left the instance list.
func (h *Health) RemoveWorker(id model.WorkerID) {
	if w := h.workers[id]; w != nil {
		h.endQuarantine(w)
		delete(h.workers, id)
	}
}

// TakeChangedWorkers returns the workers whose state changed since the last
// call, sorted by ID.
func (h *Health) TakeChangedWorkers(now time.Time) []model.WorkerID {
	var changed []model.WorkerID
	for id, w := range h.workers {
		state := w.state(now)
		if state != w.reportedState {
			w.reportedState = state
			changed = append(changed, id)
		}
		if state == Healthy && len(w.failedRequests) == 0 {
			delete(h.workers, id)
		}
	}
	slices.Sort(changed)
	return changed
}

// AttemptsExhausted reports whether a request has failed too often to be
// retried.
func (h *Health) AttemptsExhausted(key string) bool {
	f := h.failureTable.byKey[key]
	return f != nil && f.attempts >= h.config.MaxAttempts
}

// ForgetKey removes the failures of a request that ended. They still count
// against the workers.
func (h *Health) ForgetKey(key string) { delete(h.failureTable.byKey, key) }

// maxQuarantined returns how many workers may be quarantined or probing.
func (h *Health) maxQuarantined() int {
	return max(1, h.workerCount*h.config.MaxQuarantinedPercent/100)
}

// endQuarantine makes a worker healthy. It keeps the worker's failed requests.
func (h *Health) endQuarantine(w *worker) {
	if w.quarantined {
		h.quarantined--
	}
	w.quarantined, w.probeActive, w.quarantineEnd = false, false, time.Time{}
}

// markFailedElsewhere marks a request on all workers on which it failed, so that
// it does not count against them.
func (h *Health) markFailedElsewhere(f *requestFailures, key string) {
	for _, id := range f.workers {
		if w := h.workers[id]; w != nil {
			for i := range w.failedRequests {
				w.failedRequests[i].failedElsewhere = w.failedRequests[i].failedElsewhere || w.failedRequests[i].key == key
			}
		}
	}
}

func (w *worker) state(now time.Time) State {
	switch {
	case !w.quarantined:
		return Healthy
	case now.Before(w.quarantineEnd):
		return Quarantined
	}
	return Probing
}

// addFailedRequest adds a request unless it is present or there are limit
// requests already.
func (w *worker) addFailedRequest(key string, limit int) {
	if len(w.failedRequests) < limit && !slices.ContainsFunc(w.failedRequests, func(r failedRequest) bool { return r.key == key }) {
		w.failedRequests = append(w.failedRequests, failedRequest{key: key})
	}
}

// reachesThreshold reports whether enough different requests failed on the
// worker to quarantine it, see totalThresholdFactor.
func (w *worker) reachesThreshold(threshold int) bool {
	failedOnlyHere := 0
	for _, r := range w.failedRequests {
		if !r.failedElsewhere {
			failedOnlyHere++
		}
	}
	return failedOnlyHere >= threshold || len(w.failedRequests) >= threshold*totalThresholdFactor
}
