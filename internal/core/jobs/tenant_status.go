package jobs

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"catkinvalve/internal/core/model"
)

// TenantStatus is the state of one tenant for operators.
type TenantStatus struct {
	Name       string  `json:"name"`
	Configured bool    `json:"configured"`
	Weight     float64 `json:"weight"`
	// Limit has 0 in a dimension without a limit.
	Limit   model.Size `json:"limit"`
	Running model.Size `json:"running"`
	// Unproven is what may run besides on workers that have not answered this leader.
	Unproven       model.Size `json:"unproven"`
	UnfinishedJobs int        `json:"unfinished_jobs"`
	// WaitingTasks counts the tasks that could start if there were capacity, and
	// WaitingForLimit those of them that wait for the tenant's limit.
	WaitingTasks    int `json:"waiting_tasks"`
	WaitingForLimit int `json:"waiting_for_limit"`
	// Share is the part of all capacity that the tenant uses, and FairShare the part that its
	// weight gives it among the tenants with unfinished jobs.
	Share     float64                `json:"share"`
	FairShare float64                `json:"fair_share"`
	Refused   map[model.Reason]int64 `json:"refused,omitempty"`
}

// Tenants returns the state of all tenants, in order of name. Removed ones are left out once they have
// neither jobs nor runs.
func (c *Core) Tenants() []TenantStatus {
	out := make([]TenantStatus, 0, len(c.accounts))
	at := make(map[*account]int, len(c.accounts))
	accounts := make([]*account, 0, len(c.accounts))
	for _, a := range c.accounts {
		if !a.unused() {
			accounts = append(accounts, a)
		}
	}
	slices.SortFunc(accounts, func(a, b *account) int { return cmp.Compare(a.name, b.name) })
	for i, a := range accounts {
		at[a] = i
		out = append(out, c.tenantStatus(a))
	}
	for _, s := range c.ready {
		i, known := at[s.job().account]
		if !known {
			continue
		}
		out[i].WaitingTasks += s.pending
		if s.wait.reason == waitForLimit {
			out[i].WaitingForLimit += s.pending
		}
	}
	return out
}

func (c *Core) tenantStatus(a *account) TenantStatus {
	return TenantStatus{Name: a.name, Configured: a.configured, Weight: a.weight, Limit: a.limit(), Running: a.room.used,
		Unproven: c.unprovenUse.Add(a.awaited), UnfinishedJobs: a.unfinishedJobs, Share: a.share(c.capacity),
		FairShare: c.fairShare(a), Refused: maps.Clone(a.refused)}
}

// String returns what decides on the tenant's jobs, for the log.
func (a *account) String() string {
	return fmt.Sprintf("weight=%g unfinished=%d used_milli_cpu=%d limit_milli_cpu=%d used_mem_mb=%d limit_mem_mb=%d",
		a.weight, a.unfinishedJobs, a.room.used.MilliCPU, a.limit().MilliCPU, a.room.used.MemMB, a.limit().MemMB)
}
