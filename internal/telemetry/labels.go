package telemetry

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"catkinvalve/internal/core/model"
)

const (
	// DefaultMaxPairs is enough for 110 teams with four classes each.
	DefaultMaxPairs = 512
	// maxRoutes limits the latency histograms. The caller and peer APIs together have
	// about 30 routes.
	maxRoutes = 64
	// otherLabel names the histograms that collect the values of labels beyond the limit.
	// The values of a team of this name go to the same histograms.
	otherLabel = "other"
)

// Histograms provides histograms by label. Their number is limited, because callers
// choose the team names and could otherwise exhaust the memory. It is safe for concurrent
// use.
type Histograms struct {
	registry metrics.Registry
	waiting  labelSet
	latency  labelSet
	stages   labelSet
}

// NewHistograms returns histograms that are registered in registry. At most maxPairs
// pairs of team and class, and as many pairs of stage and queue, get a histogram of their
// own; the others share the histograms of otherLabel.
func NewHistograms(registry metrics.Registry, maxPairs int) *Histograms {
	return &Histograms{
		registry: registry,
		waiting:  labelSet{limit: maxPairs, byName: map[string]metrics.Histogram{}},
		latency:  labelSet{limit: maxRoutes, byName: map[string]metrics.Histogram{}},
		stages:   labelSet{limit: maxPairs, byName: map[string]metrics.Histogram{}},
	}
}

// WaitTime returns the histogram of the time between acceptance and start of a team's
// requests of one class, in microseconds. Unknown classes share one label.
func (h *Histograms) WaitTime(team string, class model.Class) metrics.Histogram {
	label := string(class)
	if class.Rank() == len(model.Classes) {
		label = otherLabel
	}
	return h.waiting.get(h.registry, "waiting."+team+"."+label, "waiting."+otherLabel+"."+label)
}

// Latency returns the histogram of a route's response time, in microseconds.
func (h *Histograms) Latency(route string) metrics.Histogram {
	return h.latency.get(h.registry, "latency."+route, "latency."+otherLabel)
}

// Stage returns the histogram of the time from a job's submission or acceptance to a
// stage of its lifecycle, for the jobs of one queue, in microseconds.
func (h *Histograms) Stage(queue, stage string) metrics.Histogram {
	return h.stages.get(h.registry, "stage."+stage+"."+queue, "stage."+stage+"."+otherLabel)
}

// labelSet is a set of at most limit histograms by name, and of overflow histograms,
// which are not counted.
type labelSet struct {
	mu    sync.RWMutex
	limit int
	// counted is the number of histograms in byName without the overflow histograms.
	counted int
	byName  map[string]metrics.Histogram
}

// get returns the histogram of a name. When the name is new and the limit is reached, it
// returns the histogram named overflow.
func (s *labelSet) get(registry metrics.Registry, name, overflow string) metrics.Histogram {
	s.mu.RLock()
	h, ok := s.byName[name]
	s.mu.RUnlock()
	if ok {
		return h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counted >= s.limit {
		name = overflow
	}
	if h, ok := s.byName[name]; ok {
		return h
	}
	if name != overflow {
		s.counted++
	}
	// A daemon that is elected leader again continues with the histograms of its earlier
	// term.
	h, ok = registry.GetOrRegister(name, NewHistogram).(metrics.Histogram)
	if !ok {
		h = NewHistogram() // Another kind of metric is registered under this name.
	}
	s.byName[name] = h
	return h
}
