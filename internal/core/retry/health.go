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
const totalThresholdFactor = 2

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
type failedRequest struct {
	key string
	// excused is set when the request failed on another worker as well.
	failedElsewhere bool
}

type worker struct {
	failedRequests []failedRequest
	// aside is set from the quarantine to the next success.
	quarantined      bool
	quarantineEnd    time.Time
	quarantineLength time.Duration
	probeActive      bool
	reportedState    State
}

// Health scores workers by the failures of different requests, never by load:
// a worker that fails everything at once is always empty.
type Health struct {
	config       HealthConfig
	workers      map[model.WorkerID]*worker
	quarantined  int
	workerCount  int
	failureTable failureTable
}

// NewHealth returns a Health for which all workers are healthy.
func NewHealth(c HealthConfig) *Health {
	return &Health{config: c, workers: map[model.WorkerID]*worker{},
		failureTable: failureTable{maxKeys: c.MaxKeys, byKey: map[string]*requestFailures{}}}
}

// Failed records that a task of key failed on a worker. A request that fails
// on several workers counts against itself and not against them.
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
	case state == Healthy && w.exceedsThreshold(h.config.FailureThreshold) && h.quarantined < h.maxQuarantined():
		w.quarantined, w.quarantineLength, w.quarantineEnd = true, h.config.BaseQuarantine, now.Add(h.config.BaseQuarantine)
		h.quarantined++
	}
}

// Succeeded records a success, which makes the worker healthy.
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

// StartProbe claims the only probe of a probing worker and reports whether it
// was free. Failed, Succeeded and EndProbe free it.
func (h *Health) StartProbe(now time.Time, id model.WorkerID) bool {
	w := h.workers[id]
	if w == nil || w.state(now) != Probing || w.probeActive {
		return false
	}
	w.probeActive = true
	return true
}

// EndProbe frees the probe of a task that ended without a verdict on its worker.
func (h *Health) EndProbe(id model.WorkerID) {
	if w := h.workers[id]; w != nil {
		w.probeActive = false
	}
}

// SetWorkers sets the number of workers. When fewer may now be set aside, those
// whose quarantine ends first become healthy.
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

// Forget drops a worker that left the instance list.
func (h *Health) RemoveWorker(id model.WorkerID) {
	if w := h.workers[id]; w != nil {
		h.endQuarantine(w)
		delete(h.workers, id)
	}
}

// Changed returns the workers whose state changed since the last call, sorted.
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

// Parked reports whether a request failed too often to be tried again.
func (h *Health) AttemptsExhausted(key string) bool {
	f := h.failureTable.byKey[key]
	return f != nil && f.attempts >= h.config.MaxAttempts
}

// ForgetKey drops what is known about a request that ended. Its failures on
// workers still count.
func (h *Health) RemoveKey(key string) { delete(h.failureTable.byKey, key) }

func (h *Health) maxQuarantined() int {
	return max(1, h.workerCount*h.config.MaxQuarantinedPercent/100)
}

func (h *Health) endQuarantine(w *worker) {
	if w.quarantined {
		h.quarantined--
	}
	w.quarantined, w.probeActive, w.quarantineEnd = false, false, time.Time{}
}

// excuse takes the blame for a request off the workers on which it failed.
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

// blame adds a key, once, up to limit keys.
func (w *worker) addFailedRequest(key string, limit int) {
	if len(w.failedRequests) < limit && !slices.ContainsFunc(w.failedRequests, func(b failedRequest) bool { return b.key == key }) {
		w.failedRequests = append(w.failedRequests, failedRequest{key: key})
	}
}

func (w *worker) exceedsThreshold(threshold int) bool {
	notExcused := 0
	for _, b := range w.failedRequests {
		if !b.failedElsewhere {
			notExcused++
		}
	}
	return notExcused >= threshold || len(w.failedRequests) >= threshold*totalThresholdFactor
}
