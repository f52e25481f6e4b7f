package cell

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/telemetry"
)

// Guards against two series of one name, which collectors reject, against more series than stated,
// and against series of tenants or leaders that are gone.
func TestTenantMetrics(t *testing.T) {
	registry := metrics.NewRegistry()
	m := newTenantMetrics(registry)
	m.update([]jobs.TenantUse{{Name: "a b", RunningMilliCPU: 5, LimitUsed: 0.5}, {Name: "a-b", RunningMilliCPU: 3}, {Name: "_other", RunningMilliCPU: 2}}, jobs.TenantUse{RunningMilliCPU: 1})
	var out bytes.Buffer
	assert.NilError(t, telemetry.WriteText(&out, registry))
	for _, line := range []string{"catkinvalve_tenant_running_milli_cpu_a_b 5", "catkinvalve_tenant_limit_used_percent_a_b 50", "catkinvalve_tenant_running_milli_cpu__other 6"} {
		assert.Assert(t, strings.Contains(out.String(), line+"\n"), out.String())
	}
	assert.Equal(t, len(registry.GetAll()), 8)

	var uses []jobs.TenantUse
	for i := range maxTenantSeries {
		uses = append(uses, jobs.TenantUse{Name: fmt.Sprint("t", i)})
	}
	m.update(uses, jobs.TenantUse{})
	assert.Equal(t, len(registry.GetAll()), 4*(maxTenantSeries+1))
	m.remove()
	assert.Equal(t, len(registry.GetAll()), 0)
}

// Guards against a log that a configuration with many faults fills.
func TestConfigProblemsAreBounded(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	d := &Daemon{log: logrus.NewEntry(log)}
	// Each tenant lacks a weight and a key.
	tenants := make([]tenant.Config, 1000)
	for i := range tenants {
		tenants[i].Name = fmt.Sprint("t", i)
	}
	d.logConfigProblems(&ports.CellConfig{Version: 3, Tenants: tenant.NewSet(tenants)})
	assert.Equal(t, strings.Count(out.String(), "event=config_problem"), maxProblemLines+1)
	assert.Assert(t, strings.Contains(out.String(), "count=1980"))
}

// Guards against a report that closes the link to the daemon that asks, and against one that cannot be
// sent although there are no more tenants than a cell may have.
func TestReportOnManyTenantsFits(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	size := func() model.Size { return model.Size{MilliCPU: rng.Int64N(100_000), MemMB: rng.Int64N(100_000)} }
	tenants := make([]jobs.TenantStatus, 20_000)
	for i := range tenants {
		tenants[i] = jobs.TenantStatus{Name: fmt.Sprint("tenant-", i), Limit: size(), Running: size(), WaitingTasks: rng.IntN(1000), Share: rng.Float64(), FairShare: rng.Float64(),
			Refused: map[model.Reason]int64{model.ReasonTenantRate: rng.Int64N(10_000), model.ReasonExceedsLimit: rng.Int64N(100)}}
	}
	report, err := encodeReport(tenants)
	assert.NilError(t, err)
	var decoded []jobs.TenantStatus
	assert.NilError(t, json.Unmarshal(decompressReport(Reply{Report: report}).Report, &decoded))
	assert.DeepEqual(t, decoded, tenants)
	_, err = encodeReport(append(tenants, append(tenants, tenants...)...))
	assert.ErrorContains(t, err, "remove tenants")
}

// loopFunc is a function that the leader loop calls.
type loopFunc func(l *leader, now time.Time)

func (f loopFunc) apply(l *leader, now time.Time) { f(l, now) }

// inLoop calls f in the loop of the leader and waits for its end.
func (d *testDaemon) inLoop(f loopFunc) {
	done := make(chan struct{})
	d.activeLeader.Load().push(loopFunc(func(l *leader, now time.Time) {
		f(l, now)
		close(done)
	}))
	<-done
}

// Guards against a report that each poll makes the leader compute again, or that daemons other
// than the leader cannot read.
func TestTenantReportIsKept(t *testing.T) {
	c := newTestCell(t, 2)
	leading := c.leader(nil)
	names := func(d *testDaemon) (names string) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		reply := d.API().Tenants(ctx)
		var tenants []jobs.TenantStatus
		assert.NilError(t, json.Unmarshal(reply.Report, &tenants), "%+v", reply)
		for i := range tenants {
			names += tenants[i].Name
		}
		return names
	}
	leading.inLoop(func(l *leader, now time.Time) { l.core.SetTenants(now, tenant.NewSet([]tenant.Config{{Name: "a"}})) })
	assert.Equal(t, names(leading), "a")
	leading.inLoop(func(l *leader, now time.Time) {
		l.core.SetTenants(now, tenant.NewSet([]tenant.Config{{Name: "b"}}))
		l.tenantReport.expires = now.Add(time.Minute)
	})
	for _, d := range c.daemons {
		assert.Equal(t, names(d), "a")
	}
	leading.inLoop(func(l *leader, now time.Time) { l.tenantReport.expires = now })
	for _, d := range c.daemons {
		assert.Equal(t, names(d), "b")
	}
}
