package soak

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/text"
)

// Guards against generated configuration texts that no daemon accepts.
func TestConfigText(t *testing.T) {
	for _, a := range confirmShares {
		for n := range 2 {
			_, problems := text.Parse("soak", []byte(configText(a, planShare(n))))
			assert.Equal(t, len(problems), 0, "%v", problems)
		}
	}
}

// Guards against schedules that differ between runs of one seed, lack a required
// kind or contain conflicting faults.
func TestSchedule(t *testing.T) {
	for _, length := range []time.Duration{7 * time.Second, 60 * time.Second} {
		for seed := range uint64(300) {
			s := NewSchedule(seed, length, nil)
			assert.DeepEqual(t, s, NewSchedule(seed, length, nil))
			for _, k := range requiredKinds {
				assert.Assert(t, slices.ContainsFunc(s, func(f Fault) bool { return f.Kind == k }), "seed %d, %s: no %s", seed, length, k)
			}
			for i, f := range s {
				assert.Assert(t, f.At < length, "seed %d: %s", seed, f)
				for _, o := range s[i+1:] {
					assert.Assert(t, !conflicts(f, o) && !conflicts(o, f), "seed %d: %s conflicts with %s", seed, f, o)
				}
			}
		}
	}
	assert.Assert(t, !slices.Equal(NewSchedule(1, time.Minute, nil), NewSchedule(2, time.Minute, nil)))
}

// Guards against a load that differs between two runs of one seed.
func TestPlanIsRepeatable(t *testing.T) {
	a, b := newPlanner(5, 50, 6), newPlanner(5, 50, 6)
	for range 500 {
		x, y := a.next(), b.next()
		assert.DeepEqual(t, x.req, y.req)
		assert.DeepEqual(t, x.callers, y.callers)
		assert.Equal(t, x.at, y.at)
	}
}
