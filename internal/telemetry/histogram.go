package telemetry

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxTrackedMicros is the largest duration that a histogram records, 24 hours in
	// microseconds. Longer ones are recorded as this value.
	maxTrackedMicros = int64(24 * time.Hour / time.Microsecond)
	// significantDigits makes quantiles accurate to 1%. A third digit would take up to
	// ten times the memory per histogram.
	significantDigits = 2
)

// histogram implements metrics.Histogram with a packed HdrHistogram, which is sparse, so
// that hundreds of histograms fit into a daemon's memory budget. It is safe for
// concurrent use.
type histogram struct {
	mu  sync.Mutex
	hdr *hdrhistogram.PackedHistogram
	sum int64
}

// NewHistogram returns a histogram of durations in microseconds.
func NewHistogram() metrics.Histogram {
	return &histogram{hdr: newPacked()}
}

func newPacked() *hdrhistogram.PackedHistogram {
	return hdrhistogram.NewPacked(1, maxTrackedMicros, significantDigits)
}

// ObserveSince adds the time elapsed since start to h, in microseconds.
func ObserveSince(h metrics.Histogram, start time.Time) {
	h.Update(time.Since(start).Microseconds())
}

// Update implements metrics.Histogram. Negative values are recorded as 0, and values
// above the tracked range as its maximum.
func (h *histogram) Update(v int64) {
	v = min(max(v, 0), maxTrackedMicros)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hdr.RecordValue(v) == nil {
		h.sum += v
	}
}

// Clear implements metrics.Histogram.
func (h *histogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hdr, h.sum = newPacked(), 0
}

// Snapshot implements metrics.Histogram.
func (h *histogram) Snapshot() metrics.Histogram {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &histogram{hdr: h.hdr.Clone(), sum: h.sum}
}

// Count implements metrics.Histogram.
func (h *histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hdr.TotalCount()
}

// Max implements metrics.Histogram.
func (h *histogram) Max() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hdr.Max()
}

// Min implements metrics.Histogram.
func (h *histogram) Min() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hdr.TotalCount() == 0 {
		return 0
	}
	return h.hdr.Min()
}

// Sum implements metrics.Histogram.
func (h *histogram) Sum() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sum
}

// Mean implements metrics.Histogram.
func (h *histogram) Mean() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := h.hdr.TotalCount(); n > 0 {
		return float64(h.sum) / float64(n)
	}
	return 0
}

// StdDev implements metrics.Histogram.
func (h *histogram) StdDev() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hdr.TotalCount() == 0 {
		return 0
	}
	return h.hdr.StdDev()
}

// Variance implements metrics.Histogram.
func (h *histogram) Variance() float64 { return math.Pow(h.StdDev(), 2) }

// Percentile implements metrics.Histogram; p is between 0 and 1.
func (h *histogram) Percentile(p float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hdr.TotalCount() == 0 {
		return 0
	}
	return float64(h.hdr.ValueAtPercentile(p * 100))
}

// Percentiles implements metrics.Histogram.
func (h *histogram) Percentiles(ps []float64) []float64 {
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = h.Percentile(p)
	}
	return values
}

// Sample implements metrics.Histogram. It returns an empty sample, because single values
// are not stored.
func (h *histogram) Sample() metrics.Sample { return metrics.NilSample{} }
