package estimate

import "math"

const (
	// bucketsPerOctave makes a bucket 9% wide. Plans use the upper edge of a
	// bucket, so they are up to 9% too large but never too small. There is an edge
	// at 1, so the plan of a service that uses what it declares is not changed.
	bucketsPerOctave = 8
	// The range of ratios, 1/16 to 16, is slightly wider than that of the
	// correction factors. Amounts range from 1 to 16 Mi, in millicores or MiB.
	lowestRatioOctave, ratioOctaves   = -4, 8
	lowestAmountOctave, amountOctaves = 0, 24
	// decayWeight is the total weight at which all counts are halved, so that
	// plans follow a change of usage within a few hundred tasks.
	decayWeight = 512
)

// histogram counts values in logarithmic buckets. The first and the last bucket
// also hold the values below and above the range.
type histogram struct {
	counts       []float32
	total        float32 // sum of counts
	lowestOctave float64 // log2 of the upper edge of the first bucket
}

func newHistogram(firstOctave, octaves int) histogram {
	return histogram{counts: make([]float32, octaves*bucketsPerOctave+1), lowestOctave: float64(firstOctave)}
}

func (h *histogram) add(value float64) {
	h.counts[h.bucketIndex(value)]++
	h.total++
	if h.total < decayWeight {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// bucketIndex returns the bucket of a value; values of 0 or less are in the
// first one.
func (h *histogram) bucketIndex(value float64) int {
	if value <= 0 {
		return 0
	}
	b := math.Ceil((math.Log2(value) - h.lowestOctave) * bucketsPerOctave)
	return int(min(max(b, 0), float64(len(h.counts)-1)))
}

// quantile returns the upper edge of the bucket that contains the q-quantile.
func (h *histogram) quantile(q float64) float64 {
	rank, sum, lastNonEmpty := float32(q)*h.total, float32(0), 0
	for i, c := range h.counts {
		if sum += c; sum >= rank {
			return h.upperEdge(i)
		}
		if c > 0 {
			lastNonEmpty = i
		}
	}
	return h.upperEdge(lastNonEmpty)
}

// upperEdge returns the largest value of a bucket.
func (h *histogram) upperEdge(bucket int) float64 {
	return math.Exp2(float64(bucket)/bucketsPerOctave + h.lowestOctave)
}

// spread returns the ratio of the planning quantile to the median.
func (h *histogram) spread() float64 { return h.quantile(PlanningQuantile) / h.quantile(0.5) }

// correctionFactor returns the planning quantile of the ratios within MinFactor
// and MaxFactor. With few samples it is weighted with the factor 1, which stands
// for the declared size.
func (h *histogram) correctionFactor() float64 {
	q := min(max(h.quantile(PlanningQuantile), MinFactor), MaxFactor)
	fullWeightSamples := float64(FullDecreaseSamples)
	if q > 1 {
		fullWeightSamples = FullIncreaseSamples
	}
	weight := min(float64(h.total)/fullWeightSamples, 1)
	return 1 + (q-1)*weight
}
