package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Place, Reserve and Release run thousands of times a second and must not allocate,
// whether the task fits or not. An allocation there would load the garbage collector.
func TestPlaceDoesNotAllocate(t *testing.T) {
	x := newTestIndex(Options{HeadroomPercent: 10, RackSpare: true}, 500, 8)
	fill(x, "s", slots(model.Service, 1), 600)
	fill(x, "b", slots(model.Batch, 1), 1500)
	for _, class := range model.Classes {
		for _, size := range []int64{1, 4, 9} {
			spec := slots(class, size)
			n := testing.AllocsPerRun(100, func() { x.Place(spec) })
			assert.Equal(t, n, 0.0, "class %s, %d slots", class, size)
		}
	}
	spec := slots(model.Interactive, 1)
	id, _ := x.Place(spec)
	n := testing.AllocsPerRun(100, func() {
		x.Reserve(id, task("k", 0), spec)
		x.Release(task("k", 0))
		x.Totals()
		x.NeverFits(spec, 1)
	})
	assert.Equal(t, n, 0.0, "reserve, release, totals and the admission check")
}
