package cell

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/telemetry"
)

const (
	// maxTenantSeries limits the tenants with metrics of their own, four each. Tenants are
	// configured by the thousands, and each series costs memory in every system that collects it.
	maxTenantSeries = 16
	// otherTenants stands for the remaining tenants in the names of metrics.
	otherTenants = "_other"
	// maxMetricNameLength limits the part of a tenant's name in the name of a metric.
	maxMetricNameLength = 64
)

// tenantMetrics are the leader's gauges of the tenants that use most. They are registered only
// while this daemon leads.
type tenantMetrics struct {
	registry metrics.Registry
	// names holds the names of the registered gauges.
	names map[string]bool
	// nextUpdate is when the gauges may be updated again.
	nextUpdate time.Time
}

func newTenantMetrics(r metrics.Registry) *tenantMetrics {
	return &tenantMetrics{registry: r, names: map[string]bool{}}
}

// updateTenantMetrics updates the metrics of the tenants if that is due.
func (l *leader) updateTenantMetrics(now time.Time) {
	if now.Before(l.tenantMetrics.nextUpdate) {
		return
	}
	start := time.Now()
	l.tenantMetrics.update(l.core.TenantUses(maxTenantSeries))
	l.tenantMetrics.nextUpdate = nextReport(now, time.Since(start))
}

// update sets the gauges and removes those of tenants that are not among the largest any more.
func (t *tenantMetrics) update(largest []jobs.TenantUse, rest jobs.TenantUse) {
	stale := t.names
	t.names = make(map[string]bool, len(stale))
	taken := map[string]bool{otherTenants: true}
	for i := range largest {
		u := &largest[i]
		name := telemetry.SanitizeName(u.Name)
		name = name[:min(len(name), maxMetricNameLength)]
		if taken[name] {
			rest.Add(*u)
			continue
		}
		taken[name] = true
		t.set(name, u)
	}
	if len(largest) > 0 {
		t.set(otherTenants, &rest)
	}
	for name := range stale {
		if !t.names[name] {
			t.registry.Unregister(name)
		}
	}
}

// set sets the gauges of one tenant.
func (t *tenantMetrics) set(tenant string, u *jobs.TenantUse) {
	for name, value := range map[string]int64{
		"running_milli_cpu": u.RunningMilliCPU, "limit_used_percent": int64(100 * u.LimitUsed),
		"unfinished_jobs": int64(u.UnfinishedJobs), "refused_jobs": u.Refused,
	} {
		name = "tenant." + name + "." + tenant
		t.names[name] = true
		telemetry.Gauge(t.registry, name).Update(value)
	}
}

// remove removes all gauges: only the leader knows their values.
func (t *tenantMetrics) remove() { t.update(nil, jobs.TenantUse{}) }
