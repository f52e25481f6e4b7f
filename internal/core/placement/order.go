package placement

import (
	"math"
	"math/bits"

	"catkinvalve/internal/core/model"
)

const (
	// loadLevels is the number of steps of load by which workers are ordered.
	// Within a level they are ordered by what they have left, so that subtrees
	// hold similar workers and a search can skip those that do not fit. More
	// levels order by load more exactly but skip less.
	loadLevels = 16
	// signatureBits is the precision of one dimension of a signature.
	mortonBits = 6
)

// loadKey orders workers by level of load, then by similarity of free, those
// with most left first: a walk towards lower loads meets small rests first, so
// that batch tasks leave large workers whole.
func loadKey(load float64, free *vec) float64 {
	const scale = 1 << (mortonBits * model.Dims)
	return math.Floor(load*loadLevels) + float64(scale-1-mortonCode(free))/scale
}

// levelBound is the largest key of workers whose level is at most that of load.
func maxLevelKey(load float64) float64 {
	return math.Nextafter(math.Floor(load*loadLevels)+1, 0)
}

// signature interleaves the bits of the logarithms of all dimensions (a Morton
// code): vectors with near signatures are similar in every dimension.
func mortonCode(free *vec) uint64 {
	var logs [model.Dims]uint64
	for d := range free {
		logs[d] = halfLog2(uint64(max(free[d], 0)))
	}
	code := uint64(0)
	for bit := mortonBits - 1; bit >= 0; bit-- {
		for d := range logs {
			code = code<<1 | logs[d]>>bit&1
		}
	}
	return code
}

// halfLog2 returns the logarithm of v in steps of half an octave, up to 63.
func halfLog2(v uint64) uint64 {
	n := uint64(bits.Len64(v))
	if n < 2 {
		return n
	}
	return min(2*(n-1)+v>>(n-2)&1, 1<<mortonBits-1)
}
