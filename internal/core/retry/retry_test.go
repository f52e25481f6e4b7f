package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"catkinvalve/internal/core/model"
	_ "catkinvalve/internal/propseed"
)

var start = time.Unix(1_000_000, 0)

func newHealth(workers int) *Health {
	h := NewHealth(HealthConfig{FailureThreshold: 5, BaseQuarantine: time.Second, MaxQuarantine: 4 * time.Second, MaxQuarantinedPercent: 10, MaxAttempts: 3, MaxKeys: 100})
	h.SetWorkerCount(workers)
	return h
}

// failDistinct records failures of n different requests on a worker.
func failDistinct(h *Health, now time.Time, id model.WorkerID, prefix string, n int) {
	for i := range n {
		h.RecordFailure(now, id, fmt.Sprint(prefix, i))
	}
}

// Retries must stay within the share of admitted first attempts for any sequence
// of calls, also for names that share a budget.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(BudgetConfig{Percent: 10, Burst: 2, MaxNames: 2})
		first, retries := map[string]int{}, map[string]int{}
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
			if rapid.Bool().Draw(t, "first") {
				b.RecordAdmission(name)
				first[name]++
			} else if b.Allow(name) {
				retries[name]++
			}
		}
		assert.Assert(t, len(b.credit) <= 2)
		extraFirst, extraRetries := 0, 0
		for name := range map[string]bool{"a": true, "b": true, "c": true, "d": true} {
			if _, own := b.credit[name]; own {
				assert.Assert(t, retries[name] <= 2+first[name]/10, name)
				continue
			}
			extraFirst, extraRetries = extraFirst+first[name], extraRetries+retries[name]
		}
		assert.Assert(t, extraRetries <= 2+extraFirst/10)
	})
}

// The delay must stay within its maximum for any retry number, without overflow.
func TestBackoff(t *testing.T) {
	b := Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	for retry, want := range map[int]time.Duration{0: b.Base, 1: b.Base, 2: 2 * b.Base, 4: 8 * b.Base, 5: b.Max, 1 << 40: b.Max} {
		assert.Equal(t, b.MaxDelay(retry), want)
	}
	random, sum := rand.New(rand.NewPCG(1, 2)), time.Duration(0)
	for range 1000 {
		d := b.Delay(3, random)
		assert.Assert(t, d >= 0 && d <= 4*b.Base)
		sum += d
	}
	assert.Assert(t, sum > 190*time.Second && sum < 210*time.Second, "mean of full jitter is half of the limit")
}

// A worker that fails every task must be quarantined, for longer after each
// failed probe, and become healthy after a success.
func TestQuarantine(t *testing.T) {
	h := newHealth(10)
	failDistinct(h, start, "w", "k", 4)
	h.RecordFailure(start, "w", "k0")
	assert.Equal(t, h.State(start, "w"), Healthy, "four different requests")
	h.RecordFailure(start, "w", "k4")
	assert.Equal(t, h.State(start, "w"), Quarantined)
	assert.DeepEqual(t, h.TakeChangedWorkers(start), []model.WorkerID{"w"})
	assert.Equal(t, len(h.TakeChangedWorkers(start)), 0)

	now := start
	for i, length := range []time.Duration{1, 2, 4, 4} {
		assert.Assert(t, !h.StartProbe(now.Add(length*time.Second-1), "w"))
		now = now.Add(length * time.Second)
		assert.Equal(t, h.State(now, "w"), Probing)
		assert.DeepEqual(t, h.TakeChangedWorkers(now), []model.WorkerID{"w"})
		assert.Assert(t, h.StartProbe(now, "w"))
		assert.Assert(t, !h.StartProbe(now, "w"), "one probe at a time")
		h.RecordFailure(now, "w", fmt.Sprint("probe", i))
		h.TakeChangedWorkers(now)
	}
	h.RecordSuccess(now, "w")
	assert.DeepEqual(t, h.TakeChangedWorkers(now), []model.WorkerID{"w"})
	assert.Equal(t, h.State(now, "w"), Healthy)
	assert.Equal(t, len(h.workers), 0)
}

// A request that fails on every worker must not quarantine workers, and must not
// be retried without end.
func TestFailingRequest(t *testing.T) {
	h := newHealth(10)
	for i := range 5 {
		for _, id := range []model.WorkerID{"v", "w", "x"} {
			assert.Assert(t, !h.AttemptsExhausted(fmt.Sprint("bad", i)))
			h.RecordFailure(start, id, fmt.Sprint("bad", i))
		}
		assert.Assert(t, h.AttemptsExhausted(fmt.Sprint("bad", i)))
	}
	assert.Equal(t, len(h.TakeChangedWorkers(start)), 0)
	h.ForgetKey("bad0")
	assert.Assert(t, !h.AttemptsExhausted("bad0"))
	// The stale entry of a removed key must not evict a new entry of the same key.
	for range 3 {
		h.RecordFailure(start, "y", "bad0")
	}
	failDistinct(h, start, "z", "other", 96)
	assert.Assert(t, h.AttemptsExhausted("bad0") && !h.AttemptsExhausted("bad1"))
}

// Two workers that fail every request must both be quarantined, although each
// request failed elsewhere too.
func TestFailingWorkersTogether(t *testing.T) {
	h := newHealth(20)
	for i := range 10 {
		h.RecordFailure(start, "w1", fmt.Sprint(i))
		h.RecordFailure(start, "w2", fmt.Sprint(i))
	}
	assert.DeepEqual(t, h.TakeChangedWorkers(start), []model.WorkerID{"w1", "w2"})
}

// At most a tenth of the workers (but at least 1) may be quarantined or probing,
// and memory must stay bounded.
func TestHealthBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, now, total := newHealth(30), start, 30
		h.config.MaxKeys, h.failureTable.maxKeys = 8, 8
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			id := model.WorkerID(rapid.StringMatching("w[0-5]").Draw(t, "worker"))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				h.RecordSuccess(now, id)
			case 1:
				now = now.Add(time.Second)
				h.StartProbe(now, id)
			case 2:
				total = rapid.IntRange(0, 40).Draw(t, "total")
				h.SetWorkerCount(total)
			case 3:
				h.RemoveWorker(id)
				h.ForgetKey(rapid.StringMatching("[a-f]").Draw(t, "key"))
			default:
				failDistinct(h, now, id, rapid.StringMatching("[a-f]").Draw(t, "key"), 5)
			}
			unhealthy := 0
			for i := range 6 {
				if h.State(now, model.WorkerID(fmt.Sprint("w", i))) != Healthy {
					unhealthy++
				}
			}
			assert.Assert(t, unhealthy <= max(1, total/10), "%d of %d workers unhealthy", unhealthy, total)
			assert.Assert(t, len(h.failureTable.byKey) <= 8 && len(h.failureTable.byAge) <= 8)
			assert.Assert(t, slices.IsSorted(h.TakeChangedWorkers(now)))
		}
	})
}

// A smaller burst must also apply to names that have accumulated more credit.
func TestBudgetConfigure(t *testing.T) {
	b := NewBudget(BudgetConfig{Percent: 10, Burst: 5, MaxNames: 2})
	b.RecordAdmission("a")
	b.Configure(BudgetConfig{Percent: 10, Burst: 1, MaxNames: 2})
	assert.Assert(t, b.Allow("a"))
	assert.Assert(t, !b.Allow("a"))
}
