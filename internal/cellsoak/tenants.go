package cellsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"catkinvalve/internal/cell"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
	"catkinvalve/internal/pause"
	"catkinvalve/platform"
)

const (
	// fixedTenants keep their limits during a run, changingTenants do not, and one more tenant has no
	// limit.
	fixedTenants, changingTenants = 2, 2
	// minLimit and maxLimit bound the drawn limits in millicores. The largest gang needs 12,000.
	minLimit, maxLimit = 4000, 20_000
	// finalLimit is the limit at the end of a run, so that all accepted jobs can end.
	finalLimit = 24_000
	// tenantWeight is the rate of each tenant in jobs per second. Weights below it cause refusals.
	tenantWeight = 4
	// minTenantChange and maxTenantChange bound the time between two changes of tenants.
	minTenantChange, maxTenantChange = 800 * time.Millisecond, 3 * time.Second
	// limitLinger is how long after its replacement a limit may still be in force: a new leader may
	// have to start from a copy of an earlier configuration while the store does not serve it, and a
	// start may be executed 6 s late.
	limitLinger = 20 * time.Second
)

// tenants are the tenants of a run. They have random numbers of their own, so that the schedule and
// the jobs of a seed are the same with and without tenants. checker.mu guards them.
type tenants struct {
	rng     *rand.Rand
	list    []*platform.StandinTenant
	lastKey int
	// removedKeys lists the keys that no tenant has any more.
	removedKeys []string
}

// newTenants draws the tenants of a run and records their limits.
func newTenants(seed uint64, c *checker) *tenants {
	ts := &tenants{rng: rand.New(rand.NewPCG(seed, 4))}
	for i := range fixedTenants + changingTenants + 1 {
		t := &platform.StandinTenant{Config: tenant.Config{Name: fmt.Sprint("tenant-", i), Weight: tenantWeight}}
		if i < fixedTenants+changingTenants {
			t.Limit = ts.drawLimit()
		}
		t.APIKeys = []string{ts.newKey()}
		ts.list = append(ts.list, t)
		c.limitChanged(t.Name, t.Limit)
	}
	return ts
}

func (ts *tenants) drawLimit() model.Size {
	return model.Size{MilliCPU: minLimit + ts.rng.Int64N(maxLimit-minLimit)}
}

func (ts *tenants) newKey() string {
	ts.lastKey++
	return fmt.Sprintf("key-%d-%016x", ts.lastKey, ts.rng.Uint64())
}

// draw returns the name of the tenant of the next job.
func (ts *tenants) draw() string {
	if ts == nil {
		return ""
	}
	return ts.list[ts.rng.IntN(len(ts.list))].Name
}

// key returns the newest key of a tenant; empty if there is no such tenant.
func (ts *tenants) key(name string) string {
	if ts == nil {
		return ""
	}
	for _, t := range ts.list {
		if t.Name == name {
			return t.APIKeys[len(t.APIKeys)-1]
		}
	}
	return ""
}

// change changes the limit, the weight or the keys of a tenant.
func (ts *tenants) change(c *checker) {
	t := ts.list[fixedTenants+ts.rng.IntN(changingTenants+1)]
	switch ts.rng.IntN(5) {
	case 0:
		t.Limit = model.Size{MilliCPU: 1 + ts.rng.Int64N(minLimit)}
	case 1:
		t.Limit = ts.drawLimit()
	case 2:
		t.Limit = model.Size{}
	case 3:
		t.Weight = tenantWeight * float64(ts.rng.IntN(3))
	case 4:
		ts.removedKeys = append(ts.removedKeys, t.APIKeys...)
		t.APIKeys = []string{ts.newKey()}
	}
	c.limitChanged(t.Name, t.Limit)
}

// interval draws the time until the next change.
func (ts *tenants) interval(c *checker) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return minTenantChange + time.Duration(ts.rng.Int64N(int64(maxTenantChange-minTenantChange)))
}

// changeTenants changes tenants and publishes them again and again until ctx ends. Then all tenants get
// limits under which all jobs can end.
func (c *soakCell) changeTenants(ctx context.Context) error {
	for pause.For(ctx, c.tenants.interval(c.checker)) {
		c.checker.mu.Lock()
		c.tenants.change(c.checker)
		c.checker.mu.Unlock()
		if err := c.publishConfig(); err != nil {
			return err
		}
	}
	c.checker.mu.Lock()
	for _, t := range c.tenants.list {
		t.Limit, t.Weight = model.Size{MilliCPU: finalLimit}, tenantWeight
		c.checker.limitChanged(t.Name, t.Limit)
	}
	c.checker.mu.Unlock()
	return c.publishConfig()
}

// callerOf returns a client with the key of a tenant.
func (c *soakCell) callerOf(name string) *platform.Caller {
	caller := c.caller
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	caller.Key = c.tenants.key(name)
	return &caller
}

// checkKeys adds a violation for each daemon that takes a removed or an unknown key at the end of a run.
func (c *soakCell) checkKeys(ctx context.Context) {
	if c.tenants == nil {
		return
	}
	for _, key := range append([]string{"", "unknown"}, c.tenants.removedKeys...) {
		caller := c.caller
		caller.Key = key
		for _, d := range c.daemons {
			if verdict, _, err := caller.State(ctx, d.settings.CallerAddress, urgentPrefix, fmt.Sprintf("%016x", 0)); err == nil && verdict != cell.VerdictUnauthorized {
				c.addViolation("KEYS: %s answers a request with key %q with verdict %d", d.settings.Node, key, verdict)
			}
		}
	}
}

// limitPeriod is a limit and when it was replaced; zero if it was not.
type limitPeriod struct {
	model.Size
	replaced time.Time
}

// limitChanged records the limit of a tenant before it is published.
func (c *checker) limitChanged(name string, limit model.Size) {
	periods := c.limits[name]
	if n := len(periods); n > 0 {
		periods[n-1].replaced = time.Now()
	}
	c.limits[name] = append(periods, limitPeriod{Size: limit})
}

// checkQuota checks that a start leaves its tenant within the highest limit that may be in force. The
// rule allows a tenth and one task more; the leader's count is exact.
func (c *checker) checkQuota(w *worker, j *trackedJob, task fmt.Stringer) {
	if j.tenant == "" {
		return
	}
	var highest model.Size
	for _, l := range c.limits[j.tenant] {
		if l.replaced.IsZero() || time.Since(l.replaced) < limitLinger {
			highest = highest.Max(tenant.Unlimited(l.Size))
		}
	}
	if used := c.used[j.tenant]; !used.Fits(highest) {
		c.addViolation("QUOTA: %s starts %s: %s uses %v of %v", w.id, task, j.tenant, used, highest)
	}
}
