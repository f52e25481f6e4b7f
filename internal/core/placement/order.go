package placement

import (
	"math"
	"math/bits"

	"catkinvalve/internal/core/model"
)

const (
	// loadLevels is the number of levels into which the load of workers is
	// divided. Within a level workers are ordered by their free capacity, so that
	// a subtree holds similar workers and a search can skip whole subtrees that do
	// not fit. More levels order workers by load more exactly but skip less.
	loadLevels = 16
	// mortonBits is the number of bits of one dimension in a Morton code.
	mortonBits = 6
)

// loadKey returns the key that orders workers by level of load, then by the Morton
// code of their free capacity, the largest first. A scan towards lower loads
// therefore meets small remainders first, so that batch tasks leave the workers with
// much free capacity unfragmented.
func loadKey(load float64, free *vec) float64 {
	const scale = 1 << (mortonBits * model.Dims)
	return math.Floor(load*loadLevels) + float64(scale-1-mortonCode(free))/scale
}

// maxLevelKey returns the largest key of workers whose level is at most that of
// load.
func maxLevelKey(load float64) float64 {
	return math.Nextafter(math.Floor(load*loadLevels)+1, 0)
}

// mortonCode interleaves the bits of the logarithms of all dimensions (a Morton
// code), so that vectors with close codes are similar in every dimension.
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

// halfLog2 returns the logarithm of v in steps of half an octave, at most 63.
func halfLog2(v uint64) uint64 {
	n := uint64(bits.Len64(v))
	if n < 2 {
		return n
	}
	return min(2*(n-1)+v>>(n-2)&1, 1<<mortonBits-1)
}
