package estimate

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"catkinvalve/internal/core/model"
	_ "catkinvalve/internal/propseed"
)

var declared = model.Size{MilliCPU: 1000, MemMB: 2000, Slots: 1, Conns: 4}

// observeSamples adds n samples of a task that uses factor times its declared size.
func observeSamples(e *Estimator, n int, factor float64) {
	used := declared
	used.MilliCPU = int64(float64(used.MilliCPU) * factor)
	used.MemMB = int64(float64(used.MemMB) * factor)
	for range n {
		e.Observe("s", declared, used)
	}
}

// Plans must correct declared sizes that are wrong by a factor of 10, but must
// not follow the first few samples completely.
func TestPlanFollowsUsage(t *testing.T) {
	for _, c := range []struct {
		name            string
		samples         int
		factor          float64
		lowest, highest float64
	}{
		{"no samples", 0, 1, 1, 1},
		{"exact", 100, 1, 1, 1},
		{"ten times too large", 100, 0.1, 0.1, 0.11},
		{"ten times too small", 100, 10, 9.9, 10},
		{"below the minimum factor", 100, 0.001, 0.1, 0.1},
		{"above the maximum factor", 100, 100, 10, 10},
		{"one small sample", 1, 0.1, 0.9, 0.99},
		{"one large sample", 1, 10, 3, 4},
		{"four large samples", 4, 10, 9.9, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := New(Options{})
			observeSamples(e, c.samples, c.factor)
			got := float64(e.PlannedSize("s", declared).MemMB) / float64(declared.MemMB)
			assert.Assert(t, got >= c.lowest-0.001 && got <= c.highest+0.001, "factor %v", got)
		})
	}
}

// Plans must use a high quantile and not the mean: one task in ten that uses
// much more determines the plan.
func TestPlanUsesHighQuantile(t *testing.T) {
	e := New(Options{})
	observeSamples(e, 90, 0.2)
	observeSamples(e, 10, 2)
	assert.Assert(t, e.PlannedSize("s", declared).MilliCPU >= 2000)
}

// Plans must follow a change of usage, and a removed service must have no
// samples.
func TestPlanFollowsChange(t *testing.T) {
	e := New(Options{})
	observeSamples(e, 10000, 4)
	observeSamples(e, 4*decayWeight, 0.5)
	assert.Equal(t, e.PlannedSize("s", declared).MilliCPU, int64(500))
	e.RemoveService("s")
	assert.Equal(t, e.PlannedSize("s", declared), declared)
}

// A declared size of 0 must be replaced by the measured usage.
func TestUndeclaredSizeIsPlannedOnceMeasured(t *testing.T) {
	e := New(Options{})
	none := model.Size{Slots: 1}
	assert.Equal(t, e.PlannedSize("s", none), none)
	for range 20 {
		e.Observe("s", none, model.Size{MilliCPU: 200, MemMB: 128})
	}
	assert.Equal(t, e.PlannedSize("s", none), model.Size{MilliCPU: 200, MemMB: 128, Slots: 1})
}

// Plans must stay within the bounds and must not change slots or connections.
func TestPlanStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Custom(func(t *rapid.T) model.Size {
			n := rapid.Int64Range(0, 100000)
			return model.Size{MilliCPU: n.Draw(t, "cpu"), MemMB: n.Draw(t, "mem"), Accel: n.Draw(t, "accel"),
				Slots: n.Draw(t, "slots"), Conns: n.Draw(t, "conns")}
		})
		limit := model.Size{MilliCPU: 64000, MemMB: 50000, Accel: 8, Slots: 8, Conns: 64}
		e := New(Options{MaxWorkerSize: limit})
		for range rapid.IntRange(0, 40).Draw(t, "samples") {
			e.Observe("s", size.Draw(t, "declared"), size.Draw(t, "used"))
		}
		d := size.Draw(t, "plan")
		got := e.PlannedSize("s", d)
		assert.Equal(t, got.Slots, d.Slots)
		assert.Equal(t, got.Conns, d.Conns)
		dv, gv, lv := baseSize(d), got.Vector(), limit.Vector()
		for i := range correctedDims {
			assert.Assert(t, gv[i] <= lv[i], "dimension %d: %d", i, gv[i])
			low := min(math.Floor(float64(dv[i])*MinFactor), float64(lv[i]))
			high := math.Ceil(float64(dv[i]) * MaxFactor)
			undeclared := d.Vector()[i] == 0 && gv[i] == 0
			assert.Assert(t, undeclared || float64(gv[i]) >= low && float64(gv[i]) <= high, "dimension %d: %d", i, gv[i])
		}
	})
}
