package estimate

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Plans must not become ten times too large when each request of a service
// declares a size that is wrong by a different factor.
func TestUninformativeDeclarationsAreReplacedByUse(t *testing.T) {
	e, random := New(Options{}), rand.New(rand.NewPCG(1, 1))
	for range 400 {
		declared := int64(1000 * math.Pow(10, 2*random.Float64()-1))
		e.Observe("s", model.Size{MilliCPU: declared, MemMB: declared}, model.Size{MilliCPU: 1000, MemMB: 1000})
	}
	for _, declared := range []int64{100, 1000, 10_000} {
		p := e.PlannedSize("s", model.Size{MilliCPU: declared, MemMB: declared})
		assert.Assert(t, p.MilliCPU >= 1000 && p.MilliCPU < 1200, "declared %d is planned as %d", declared, p.MilliCPU)
	}
}

// Large requests with a correct declared size must not be planned like the many
// small requests of the same service.
func TestInformativeDeclarationsAreKept(t *testing.T) {
	e := New(Options{})
	for i := range 400 {
		size := model.Size{MilliCPU: 1000, MemMB: 1000}
		if i%50 == 0 {
			size = model.Size{MilliCPU: 8000, MemMB: 8000}
		}
		e.Observe("s", size, size)
	}
	assert.Equal(t, e.PlannedSize("s", model.Size{MilliCPU: 8000, MemMB: 8000}).MilliCPU, int64(8000))
}
