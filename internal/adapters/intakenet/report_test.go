package intakenet

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/intake"
)

// Guards against counts that the metrics or the log miss.
func TestReportCountsEachRefusalOnce(t *testing.T) {
	registry, log := metrics.NewRegistry(), logrus.New()
	log.SetLevel(logrus.PanicLevel)
	limiter := intake.NewLimiter(intake.Limits{Conns: 1, MinIdle: 1})
	r := NewReport(registry, logrus.NewEntry(log), "callers", limiter)
	now := r.loggedAt
	for range 3 {
		_, _ = limiter.Open(now, nil)
		r.Update()
	}
	assert.Equal(t, registry.Get("intake.callers.refused_conns").(metrics.Counter).Count(), int64(2))
	assert.Equal(t, registry.Get("intake.callers.conns").(metrics.Gauge).Value(), int64(1))
	assert.Equal(t, r.logged.RefusedConns, int64(0), "a second line within the interval")
}
