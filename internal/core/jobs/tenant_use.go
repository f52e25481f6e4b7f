package jobs

import (
	"cmp"
	"slices"

	"catkinvalve/internal/core/model"
)

// TenantUse is what the metrics show of one tenant, or of several together.
type TenantUse struct {
	Name            string
	RunningMilliCPU int64
	// LimitUsed is the used part of the tenant's limit in the scarcest dimension; 0 without a
	// limit. For several tenants it is the largest one.
	LimitUsed      float64
	UnfinishedJobs int
	Refused        int64
}

// Add includes the use of another tenant.
func (u *TenantUse) Add(o TenantUse) {
	u.RunningMilliCPU += o.RunningMilliCPU
	u.LimitUsed = max(u.LimitUsed, o.LimitUsed)
	u.UnfinishedJobs += o.UnfinishedJobs
	u.Refused += o.Refused
}

// rankedAccount is an account with the part of all capacity that it uses.
type rankedAccount struct {
	*account
	share float64
}

// TenantUses returns the use of the limit tenants that use the largest part of the capacity, the
// largest first, and of all others together. The cost is linear in the number of tenants.
func (c *Core) TenantUses(limit int) (largest []TenantUse, rest TenantUse) {
	selected := make([]rankedAccount, 0, limit+1)
	for _, a := range c.accounts {
		if a.unused() {
			continue
		}
		ranked := rankedAccount{a, a.share(c.capacity)}
		at, _ := slices.BinarySearchFunc(selected, ranked, compareUse)
		if at == limit {
			rest.Add(a.use())
			continue
		}
		if selected = slices.Insert(selected, at, ranked); len(selected) > limit {
			rest.Add(selected[limit].use())
			selected = selected[:limit]
		}
	}
	for _, a := range selected {
		largest = append(largest, a.use())
	}
	return largest, rest
}

// compareUse orders accounts by the part of the capacity that they use, the largest first.
func compareUse(a, b rankedAccount) int {
	return cmp.Or(cmp.Compare(b.share, a.share), cmp.Compare(a.name, b.name))
}

// unused reports whether the account is that of a removed tenant without jobs and runs.
func (a *account) unused() bool {
	return !a.configured && a.unfinishedJobs == 0 && a.room.used == (model.Size{})
}

func (a *account) use() TenantUse {
	u := TenantUse{Name: a.name, RunningMilliCPU: a.room.used.MilliCPU, UnfinishedJobs: a.unfinishedJobs, LimitUsed: a.limitUsed()}
	for _, n := range a.refused {
		u.Refused += n
	}
	return u
}

// limitUsed returns the used part of the tenant's limit in the scarcest dimension that has one.
func (a *account) limitUsed() float64 {
	limit, used, share := a.limit(), a.room.used, 0.0
	for _, d := range [][2]int64{{used.MilliCPU, limit.MilliCPU}, {used.MemMB, limit.MemMB}, {used.Accel, limit.Accel}} {
		if d[1] > 0 {
			share = max(share, float64(d[0])/float64(d[1]))
		}
	}
	return share
}
