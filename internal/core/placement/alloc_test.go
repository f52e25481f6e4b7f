package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Guards against garbage on the path that runs thousands of times a second,
// whether the task fits or not.
func TestPlaceDoesNotAllocate(t *testing.T) {
	x := fleet(Options{HeadroomPercent: 10, RackSpare: true}, 500, 8)
	fill(x, "s", slots(model.Service, 1), 600)
	fill(x, "b", slots(model.Batch, 1), 1500)
	for _, class := range model.Classes {
		for _, size := range []int64{1, 4, 9} {
			need := slots(class, size)
			n := testing.AllocsPerRun(100, func() { x.Place(need) })
			assert.Equal(t, n, 0.0, "class %s, %d slots", class, size)
		}
	}
	need := slots(model.Interactive, 1)
	id, _ := x.Place(need)
	n := testing.AllocsPerRun(100, func() {
		x.Reserve(id, task("k", 0), need)
		x.Release(task("k", 0))
		x.Totals()
		x.NeverFits(need, 1)
	})
	assert.Equal(t, n, 0.0, "reserve, release, totals and the admission check")
}
