// Package estimate corrects the declared sizes of tasks by the measured usage of
// earlier tasks of the same service. It does no I/O and is not safe for
// concurrent use.
package estimate

import (
	"math"

	"catkinvalve/internal/core/model"
)

const (
	// PlanningQuantile is the quantile of the measurements (used/declared, or used)
	// for which a task is planned.
	PlanningQuantile = 0.95
	// MinFactor and MaxFactor bound the ratio of planned to declared size. Declared
	// sizes were observed to be wrong by a factor of up to 10 in both directions.
	MinFactor = 0.1
	MaxFactor = 10.0
	// FullDecreaseSamples is the number of samples from which a correction to a
	// smaller size is applied in full: with fewer than 20, the 95th percentile is
	// only the maximum.
	FullDecreaseSamples = 20
	// FullIncreaseSamples is the same for a correction to a larger size. It is
	// lower because too small a plan overloads a worker, while too large a plan
	// only wastes capacity.
	FullIncreaseSamples = 4
	// UndeclaredMilliCPU and UndeclaredMemMB replace a declared size of 0 when
	// usage has been measured, because no factor can correct a size of 0.
	UndeclaredMilliCPU = 100
	UndeclaredMemMB    = 64
)

// correctedDims is the number of leading dimensions of model.Size.Vector that
// are corrected: processors, memory and accelerators. Slots and connections are
// allocated by count and not measured.
const correctedDims = 3

// Options configure an Estimator.
type Options struct {
	// MaxWorkerSize bounds the planned processors, memory and accelerators; a
	// dimension of 0 is not bounded.
	MaxWorkerSize model.Size
}

// Estimator keeps usage histograms per service. Memory per service is constant.
type Estimator struct {
	opts  Options
	usage map[string]*[correctedDims]usageStats
}

// usageStats holds the measurements of one dimension of a service: the ratios of
// used to declared size, and the used amounts.
type usageStats struct {
	ratios, amounts histogram
}

// minSpreadRatio is the factor by which the spread of the ratios must exceed
// that of the amounts before plans use the amounts. If declared sizes vary with
// the actual usage, the ratios have the smaller spread.
const minSpreadRatio = 1.5

// plannedSize returns the amount to reserve for a declared amount. Declared
// sizes that are wrong by a different factor each time are not informative, and
// a high quantile of the ratios would make nearly every plan too large; the
// quantile of the used amounts is planned in this case.
func (u *usageStats) plannedSize(declared int64) int64 {
	byRatio := math.Ceil(float64(declared) * u.ratios.correctionFactor())
	if u.amounts.total < FullDecreaseSamples || u.amounts.spread()*minSpreadRatio > u.ratios.spread() {
		return int64(byRatio)
	}
	amount := math.Ceil(u.amounts.quantile(PlanningQuantile))
	minSize, maxSize := float64(declared)*MinFactor, float64(declared)*MaxFactor
	return int64(math.Ceil(min(max(amount, minSize), maxSize)))
}

// New returns an estimator without samples.
func New(o Options) *Estimator {
	return &Estimator{opts: o, usage: map[string]*[correctedDims]usageStats{}}
}

// SetMaxWorkerSize changes the bound on planned sizes, see Options.MaxWorkerSize.
func (e *Estimator) SetMaxWorkerSize(s model.Size) { e.opts.MaxWorkerSize = s }

// Observe adds a measurement of the usage of one task of a service. Callers
// should pass the peak usage.
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

// RemoveService drops the samples of a service that is no longer configured.
func (e *Estimator) RemoveService(service string) { delete(e.usage, service) }

// HasSamples reports whether usage of a service was measured.
func (e *Estimator) HasSamples(service string) bool { return e.usage[service] != nil }

// PlannedSize returns the size to reserve for a task of a service with the given
// declared size.
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

// baseSize returns the declared size to which ratios and factors refer. It
// replaces undeclared processors and memory by defaults.
func baseSize(declared model.Size) [model.Dims]int64 {
	if declared.MilliCPU <= 0 {
		declared.MilliCPU = UndeclaredMilliCPU
	}
	if declared.MemMB <= 0 {
		declared.MemMB = UndeclaredMemMB
	}
	return declared.Vector()
}
