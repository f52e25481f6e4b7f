package runtimes

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drawnModel returns a model of a queue with runs of many tenants and shapes.
func drawnModel(seed uint64, runs int) *Model {
	m, rng := New(), rand.New(rand.NewPCG(seed, 2))
	for range runs {
		took := seconds(rng.ExpFloat64())
		m.Observe(drawnKey(rng), took, rng.IntN(5) > 0)
	}
	return m
}

func drawnKey(rng *rand.Rand) Key {
	estimate := seconds(float64(rng.IntN(3)) * rng.ExpFloat64())
	tenant := []string{"", "a", "b", fmt.Sprint(rng.IntN(1000))}[rng.IntN(4)]
	return Key{Queue: "q", Tenant: tenant, Estimate: estimate, Shape: ShapeOf(rng.IntN(2) == 0, estimate > 0, rng.Int64N(9000), rng.IntN(50), fmt.Sprint(rng.IntN(3)))}
}

// Guards against a successor that predicts other run times than the leader before it, now or after
// further runs.
func TestSuccessorPredictsTheSame(t *testing.T) {
	for _, runs := range []int{3, 96, 2000} {
		m, next := drawnModel(1, runs), New()
		assert.NilError(t, next.Restore("q", m.Encode("q")))
		// Encoding once more gives both the same state: that of all observed runs.
		assert.NilError(t, m.Restore("q", m.Encode("q")))
		rng := rand.New(rand.NewPCG(3, 3))
		for range 200 {
			k := drawnKey(rng)
			assert.Equal(t, next.Quantile(k, 0.9), m.Quantile(k, 0.9))
			assert.Equal(t, next.Remaining(k, time.Second, 0.5), m.Remaining(k, time.Second, 0.5))
			m.Observe(k, time.Second, true)
			next.Observe(k, time.Second, true)
		}
	}
}

// Guards against a damaged, cut or oversized record that is used or stops the leader.
func TestDamagedRecordIsRefused(t *testing.T) {
	good := drawnModel(1, 2000).Encode("q")
	bad := [][]byte{nil, good[:len(good)-1], good[:checksumBytes], append(good[:len(good):len(good)], 0), make([]byte, MaxEncodedBytes+1)}
	for i := range good {
		flipped := append([]byte(nil), good...)
		flipped[i] ^= 1 << (i % 8)
		bad = append(bad, flipped)
	}
	m := New()
	for _, data := range bad {
		var damaged *DamagedError
		assert.Assert(t, errors.As(m.Restore("q", data), &damaged))
	}
	assert.Equal(t, len(m.Queues()), 0)
}

// Guards against state that grows with the queues, tenants and shapes that callers use.
func TestStateIsBounded(t *testing.T) {
	m := New()
	for i := range 3 * maxQueues {
		for tenant := range 3 * maxGroups {
			k := Key{Queue: fmt.Sprint(i), Tenant: fmt.Sprintf("%0*d", 1+tenant%(maxTenantBytes+5), tenant), Shape: ShapeOf(tenant%2 == 0, false, int64(tenant)*100, tenant, "")}
			m.Observe(k, time.Second, true)
		}
	}
	assert.Equal(t, len(m.Queues()), maxQueues)
	full := New()
	for i := range 200 * maxGroups {
		full.Observe(Key{Queue: "q", Tenant: fmt.Sprintf("%0*d", maxTenantBytes, i%(maxGroups/2))}, time.Second, true)
	}
	size := len(full.Encode("q"))
	assert.Assert(t, size <= MaxEncodedBytes && size > MaxEncodedBytes*9/10, "%d bytes, the limit is %d", size, MaxEncodedBytes)
}

// Guards against many tenants with few runs each that keep every tenant from being learned.
func TestManyTenantsDoNotReplaceEachOther(t *testing.T) {
	m := New()
	usual := Key{Queue: "q", Tenant: "usual"}
	for i := range 400 {
		m.Observe(usual, time.Minute, true)
		for n := range 5 {
			m.Observe(Key{Queue: "q", Tenant: fmt.Sprint("rare", i, n)}, time.Second, true)
		}
	}
	got := m.Quantile(usual, 0.5).Time
	assert.Assert(t, got > 50*time.Second && got < 70*time.Second, "%v", got)
}

// Guards against predictions other than the caller's estimate while there are hardly any runs.
func TestEstimateHoldsWithoutRuns(t *testing.T) {
	m, k := New(), Key{Queue: "q", Estimate: 7 * time.Second}
	for range minRuns - 1 {
		assert.Equal(t, m.Quantile(k, 0.9), Prediction{Time: 7 * time.Second})
		m.Observe(k, time.Second, true)
		m.Observe(k, time.Second, false)
	}
	assert.Equal(t, m.Quantile(k, 0.9), Prediction{Time: 7 * time.Second})
}

// Guards against a decoder that panics, or a model that cannot be used or stored again, whatever
// a record contains.
func FuzzDecode(f *testing.F) {
	for _, runs := range []int{0, 5, 300} {
		m := drawnModel(1, runs)
		m.queues["q"] = cmp.Or(m.queues["q"], newQueue())
		f.Add(m.Encode("q")[checksumBytes:])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		q, err := decodeBody(body)
		if err != nil {
			return
		}
		m := &Model{queues: map[string]*queue{"q": q}}
		k := Key{Queue: "q", Estimate: time.Second}
		m.Observe(k, time.Second, true)
		assert.Assert(t, m.Quantile(k, 0.9).Time >= 0)
		assert.Assert(t, m.Remaining(k, time.Hour, 0.5).Time >= 0)
		assert.NilError(t, New().Restore("q", m.Encode("q")))
	})
}
