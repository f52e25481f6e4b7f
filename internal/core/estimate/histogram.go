package estimate

import "math"

const (
	// bucketsPerOctave makes a bucket 9% wide. Plans use the upper edge, so
	// that they are up to 9% too large but never too small. The edge at 1
	// keeps a service that uses what it declares at its declared size.
	bucketsPerOctave = 8
	// lowestOctave and octaves cover ratios from 1/16 to 16, a little more
	// than the range of correction factors.
	lowestOctave = -4
	octaves      = 8
	buckets      = octaves*bucketsPerOctave + 1
	// decayAt is the weight at which all counts are halved, so that a service
	// whose use changes is followed within a few hundred tasks.
	decayAt = 512
)

// histogram counts ratios in logarithmic buckets. Bucket 0 holds all ratios at
// or below the range, the last bucket all above it.
type histogram struct {
	counts [buckets]float32
	total  float32
}

func (h *histogram) add(ratio float64) {
	h.counts[bucketOf(ratio)]++
	h.total++
	if h.total < decayAt {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

func bucketOf(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	b := math.Ceil((math.Log2(ratio) - lowestOctave) * bucketsPerOctave)
	return int(min(max(b, 0), buckets-1))
}

// quantile returns the upper edge of the bucket that holds the Quantile.
func (h *histogram) quantile() float64 {
	rank, sum := float32(Quantile)*h.total, float32(0)
	for i, c := range h.counts {
		if sum += c; sum >= rank {
			return math.Exp2(float64(i)/bucketsPerOctave + lowestOctave)
		}
	}
	return CeilingFactor
}

// factor returns the correction: the quantile, blended with the declared size
// (factor 1) while there are few samples.
func (h *histogram) factor() float64 {
	q := min(max(h.quantile(), FloorFactor), CeilingFactor)
	trusted := float64(TrustedDownSamples)
	if q > 1 {
		trusted = TrustedUpSamples
	}
	weight := min(float64(h.total)/trusted, 1)
	return 1 + (q-1)*weight
}
