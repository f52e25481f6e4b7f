package tenant

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// takeAll returns how many jobs that arrive at the same time are within the rate.
func takeAll(r *Rate, now time.Time) int {
	n := 0
	for r.Take(now) {
		n++
	}
	return n
}

// Guards against a new leader that treats the first jobs of every tenant as excess, and against
// unused rate that adds up for longer than a second.
func TestUnusedRateAddsUpForOneSecond(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		jobs      int
	}{{0, 0}, {0.2, minBurst}, {1, minBurst}, {2.5, minBurst}, {40, 40}} {
		r := NewRate(testStart, c.perSecond)
		assert.Equal(t, takeAll(r, testStart), c.jobs, "%g a second, at the start", c.perSecond)
		assert.Equal(t, takeAll(r, testStart.Add(time.Minute)), c.jobs, "%g a second, after a minute without jobs", c.perSecond)
	}
}

// Guards against a rate that is full again after each change of the configuration.
func TestChangeOfRateGrantsNoFurtherJobs(t *testing.T) {
	r := NewRate(testStart, 10)
	takeAll(r, testStart)
	r.Set(testStart, 20)
	assert.Equal(t, takeAll(r, testStart), 0)
	r.Set(testStart, 10)
	assert.Equal(t, takeAll(r, testStart), 0)
	assert.Equal(t, takeAll(r, testStart.Add(500*time.Millisecond)), 5)
}

// Guards against refused clients that all come back at the same time, before there is rate for them,
// or later than maxRetryAfter.
func TestRefusedClientsComeBackOneAfterTheOther(t *testing.T) {
	r := NewRate(testStart, 2)
	for i := range 100 {
		want := min(minRetryAfter+time.Duration(i)*time.Second/2, maxRetryAfter)
		assert.Equal(t, r.RetryAfter(testStart), want)
	}
	later := testStart.Add(time.Minute)
	assert.Equal(t, r.RetryAfter(later), minRetryAfter, "the backlog is over")
	assert.Equal(t, NewRate(testStart, 0).RetryAfter(testStart), maxRetryAfter, "without a rate")
}

// Guards against a key that is taken for one of another tenant, against a request without a key that
// counts as one of a tenant, and against keys of a tenant without a name, whose jobs would be seen
// by all.
func TestKeysAreLookedUp(t *testing.T) {
	s := NewSet([]Config{
		{Name: "a", Keys: []KeyDigest{Digest("k1"), Digest("shared")}},
		{Name: "b", Keys: []KeyDigest{Digest("k2"), Digest("shared"), Digest("")}},
		{Name: "", Keys: []KeyDigest{Digest("k3")}},
	})
	for key, want := range map[string]string{"k1": "a", "shared": "a", "k2": "b"} {
		name, known := s.ByKey(key)
		assert.Assert(t, known, "%q", key)
		assert.Equal(t, name, want)
	}
	for _, key := range []string{"", "k3", "k", "K1"} {
		_, known := s.ByKey(key)
		assert.Assert(t, !known, "%q is a key", key)
	}
}

// Guards against configurations that are hardly meant and are not reported.
func TestProblemsOfTenants(t *testing.T) {
	key := Digest("k")
	s := NewSet([]Config{
		{Name: "good", Weight: 1, Keys: []KeyDigest{key}, Limit: model.Size{MilliCPU: 4000}},
		{Name: "no weight", Keys: []KeyDigest{Digest("k1")}},
		{Name: "small", Weight: 1, Keys: []KeyDigest{Digest("k2")}, Limit: model.Size{MilliCPU: 500}},
		{Name: "no key", Weight: 1},
		{Name: "same key", Weight: 1, Keys: []KeyDigest{key}},
		{Name: "empty key", Weight: 1, Keys: []KeyDigest{Digest("")}},
		{Weight: 1, Keys: []KeyDigest{Digest("k3")}},
	})
	var tenants []string
	for _, p := range s.Problems(model.Size{MilliCPU: 1000, MemMB: 1 << 30}) {
		tenants = append(tenants, p.Tenant)
	}
	assert.DeepEqual(t, tenants, []string{"no weight", "small", "no key", "same key", "empty key", ""})
}
