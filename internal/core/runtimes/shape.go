package runtimes

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Shape is what else than queue and tenant may tell how long the tasks of a step run.
type Shape struct {
	Gang bool
	// Estimated is set if the caller gave an estimate.
	Estimated bool
	// Size and Width are the powers of four below the cores in millicores and the number of tasks.
	Size, Width uint8
	// Image is a hash of the image; 0 for none.
	Image uint32
}

// ShapeOf returns the shape of a step.
func ShapeOf(gang, estimated bool, milliCPU int64, tasks int, image string) Shape {
	s := Shape{Gang: gang, Estimated: estimated, Size: powerOfFour(milliCPU), Width: powerOfFour(int64(tasks))}
	if image != "" {
		s.Image = uint32(xxhash.Sum64String(image))
	}
	return s
}

func powerOfFour(n int64) uint8 { return uint8(bits.Len64(uint64(max(n, 1))) / 2) }
