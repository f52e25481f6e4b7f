package jobs

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
)

// useCore returns a core with tenants of which tenant i runs i millicores.
func useCore(tenants int) *Core {
	c := New(testConfig())
	var configs []tenant.Config
	for i := range tenants {
		configs = append(configs, tenant.Config{Name: fmt.Sprintf("t%05d", i), Weight: 1, Limit: model.Size{MilliCPU: 100_000, MemMB: 1}})
	}
	c.SetTenants(startTime, tenant.NewSet(configs))
	c.capacity = model.Size{MilliCPU: 1 << 30}
	for i := range tenants {
		a := c.accounts[fmt.Sprintf("t%05d", i)]
		a.room.used.MilliCPU = int64(i)
		a.refused[model.ReasonTenantRate] = 2
	}
	return c
}

// Guards against metrics that leave out a tenant, count one twice, or keep one that is gone.
func TestTenantUses(t *testing.T) {
	c := useCore(40)
	largest, rest := c.TenantUses(16)
	assert.Equal(t, len(largest), 16)
	assert.DeepEqual(t, largest[0], TenantUse{Name: "t00039", RunningMilliCPU: 39, LimitUsed: 0.00039, Refused: 2})
	assert.Equal(t, largest[15].Name, "t00024")
	assert.DeepEqual(t, rest, TenantUse{RunningMilliCPU: 23 * 24 / 2, LimitUsed: 0.00023, Refused: 48})

	c.accounts["t00039"].configured = false
	c.accounts["t00038"].configured, c.accounts["t00038"].room.used = false, model.Size{}
	largest, _ = c.TenantUses(16)
	assert.Equal(t, largest[0].Name+largest[1].Name, "t00039t00037")
}

// Measures the report and the selection for the metrics, each at most once a second.
func BenchmarkTenantReports(b *testing.B) {
	for _, n := range []int{20, 2_000, 20_000} {
		c := useCore(n)
		b.Run(fmt.Sprintf("uses/%d", n), func(b *testing.B) {
			for b.Loop() {
				c.TenantUses(16)
			}
		})
		b.Run(fmt.Sprintf("status/%d", n), func(b *testing.B) {
			for b.Loop() {
				c.Tenants()
			}
		})
	}
}
