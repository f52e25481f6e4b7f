package telemetry

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"catkinvalve/internal/core/model"
)

const (
	// DefaultPairs is room for 110 teams with four classes each.
	DefaultMaxPairs = 512
	// maxRoutes bounds the latency histograms; the caller and peer APIs
	// together have about 30 routes.
	maxRoutes = 64
	// otherLabel collects what exceeds the bound. A team of this name shares it.
	otherLabel = "other"
)

// Histograms holds histograms by label. The number of labels is bounded,
// because team names come from callers.
type Histograms struct {
	registry metrics.Registry
	waiting  labelSet
	latency  labelSet
	stages   labelSet
}

// NewHistograms returns histograms that are registered in registry. At most
// maxPairs pairs of team and class get a histogram of their own.
func NewHistograms(registry metrics.Registry, maxPairs int) *Histograms {
	return &Histograms{
		registry: registry,
		waiting:  labelSet{limit: maxPairs, byName: map[string]metrics.Histogram{}},
		latency:  labelSet{limit: maxRoutes, byName: map[string]metrics.Histogram{}},
		stages:   labelSet{limit: maxPairs, byName: map[string]metrics.Histogram{}},
	}
}

// Waiting returns the histogram of the time between acceptance and start, in
// microseconds, of a team's requests of one class.
func (h *Histograms) WaitTime(team string, class model.Class) metrics.Histogram {
	label := string(class)
	if class.Rank() == len(model.Classes) {
		label = otherLabel
	}
	return h.waiting.get(h.registry, "waiting."+team+"."+label, "waiting."+otherLabel+"."+label)
}

// Latency returns the histogram of a route's response time in microseconds.
func (h *Histograms) Latency(route string) metrics.Histogram {
	return h.latency.get(h.registry, "latency."+route, "latency."+otherLabel)
}

// Stage returns the histogram of the time from a job's submission or acceptance
// to a stage of its way, in microseconds, for the jobs of one queue.
func (h *Histograms) Stage(queue, stage string) metrics.Histogram {
	return h.stages.get(h.registry, "stage."+stage+"."+queue, "stage."+stage+"."+otherLabel)
}

// labelSet is a bounded set of histograms by name. Names of the overflow
// histograms do not count towards the limit; there is one per class.
type labelSet struct {
	mu     sync.RWMutex
	limit  int
	labels int
	byName map[string]metrics.Histogram
}

func (s *labelSet) get(registry metrics.Registry, name, overflow string) metrics.Histogram {
	s.mu.RLock()
	h, ok := s.byName[name]
	s.mu.RUnlock()
	if ok {
		return h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.labels >= s.limit {
		name = overflow
	}
	if h, ok := s.byName[name]; ok {
		return h
	}
	if name != overflow {
		s.labels++
	}
	// A daemon that leads again goes on with the histograms of its earlier lead.
	h, ok = registry.GetOrRegister(name, NewHistogram).(metrics.Histogram)
	if !ok {
		h = NewHistogram() // Another kind of metric has the name.
	}
	s.byName[name] = h
	return h
}
