// Package estimate corrects declared task sizes by what tasks of the same
// service were measured to use. It does no I/O and is not safe for concurrent
// use.
package estimate

import (
	"math"

	"catkinvalve/internal/core/model"
)

const (
	// Quantile of used/declared that a task is planned with.
	PlanningQuantile = 0.95
	// FloorFactor and CeilingFactor bound the correction. Declared sizes were
	// seen to be wrong by up to ten in both directions.
	MinFactor = 0.1
	MaxFactor = 10.0
	// TrustedDownSamples is how many samples it takes to trust a smaller size
	// fully: with fewer than 20 the 95th percentile is only the maximum.
	FullDecreaseSamples = 20
	// TrustedUpSamples is how many samples it takes to trust a larger size
	// fully. It is smaller because planning too little overloads a worker,
	// while planning too much only wastes room.
	FullIncreaseSamples = 4
	// UndeclaredMilliCPU and UndeclaredMemMB stand for a declared size of 0
	// once usage was measured; a factor of 0 could never be corrected.
	UndeclaredMilliCPU = 100
	UndeclaredMemMB    = 64
)

// corrected is the number of leading dimensions of a Size that are corrected:
// processors, memory and accelerators. Slots and connections are counted, not
// measured.
const correctedDims = 3

// Options configure an Estimator.
type Options struct {
	// MaxWorker bounds planned processors, memory and accelerators; a
	// dimension that is 0 is not bounded.
	MaxWorkerSize model.Size
}

// Estimator keeps usage histograms of fixed size for each service.
type Estimator struct {
	opts  Options
	usage map[string]*[correctedDims]usageStats
}

// dimension holds what was measured of one dimension of a service: the ratio
// of use to the declared size, and the use itself.
type usageStats struct {
	ratios, amounts histogram
}

// informativeSpread is how much narrower the amounts must be than the ratios
// before they replace them. Declared sizes that differ for a reason make the
// ratios the narrower ones.
const minSpreadRatio = 1.5

// plan returns the size to reserve for a declared one. When declared sizes are
// wrong by a different factor each time, they say nothing about a request, and
// the high quantile of the ratio would plan nearly every task too large; the
// quantile of the use itself is planned then.
func (d *usageStats) plannedSize(declared int64) int64 {
	byRatio := math.Ceil(float64(declared) * d.ratios.correctionFactor())
	if d.amounts.total < FullDecreaseSamples || d.amounts.spread()*minSpreadRatio > d.ratios.spread() {
		return int64(byRatio)
	}
	amount := math.Ceil(d.amounts.quantile(PlanningQuantile))
	minSize, maxSize := float64(declared)*MinFactor, float64(declared)*MaxFactor
	return int64(math.Ceil(min(max(amount, minSize), maxSize)))
}

// New returns an estimator without samples.
func New(o Options) *Estimator {
	return &Estimator{opts: o, usage: map[string]*[correctedDims]usageStats{}}
}

// SetMaxWorker changes the bound on planned sizes.
func (e *Estimator) SetMaxWorkerSize(s model.Size) { e.opts.MaxWorkerSize = s }

// Observe adds one measurement of a task of a service. The peak use of a task
// is the most useful sample.
func (e *Estimator) Observe(service string, declared, used model.Size) {
	stats := e.usage[service]
	if stats == nil {
		stats = new([correctedDims]usageStats)
		for d := range stats {
			stats[d] = usageStats{newHistogram(lowestRatioOctave, ratioOctaves), newHistogram(lowestAmountOctave, amountOctaves)}
		}
		e.usage[service] = stats
	}
	dv, uv := baseSize(declared), used.Vector()
	for d := range stats {
		if dv[d] > 0 {
			stats[d].ratios.add(float64(max(uv[d], 0)) / float64(dv[d]))
			stats[d].amounts.add(float64(max(uv[d], 0)))
		}
	}
}

// Forget drops the samples of a service that is no longer configured.
func (e *Estimator) RemoveService(service string) { delete(e.usage, service) }

// Known reports whether a service has samples.
func (e *Estimator) HasSamples(service string) bool { return e.usage[service] != nil }

// Plan returns the size to reserve for a task of a service.
func (e *Estimator) PlannedSize(service string, declared model.Size) model.Size {
	out, limit := declared.Vector(), e.opts.MaxWorkerSize.Vector()
	stats, bases := e.usage[service], baseSize(declared)
	for d := range correctedDims {
		if stats != nil && stats[d].ratios.total > 0 && bases[d] > 0 {
			out[d] = stats[d].plannedSize(bases[d])
		}
		if limit[d] > 0 {
			out[d] = min(out[d], limit[d])
		}
	}
	return model.Size{MilliCPU: out[0], MemMB: out[1], Accel: out[2], Slots: out[3], Conns: out[4]}
}

// base returns the declared size that factors refer to.
func baseSize(declared model.Size) [model.Dims]int64 {
	if declared.MilliCPU <= 0 {
		declared.MilliCPU = UndeclaredMilliCPU
	}
	if declared.MemMB <= 0 {
		declared.MemMB = UndeclaredMemMB
	}
	return declared.Vector()
}
