package jobs

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
)

// account is what the leader knows of one tenant: what its jobs use of its limit, its share, and
// how far it has used up its rate.
type account struct {
	name string
	// configured is set while the configuration has the tenant.
	configured bool
	weight     float64
	// limitFrom is when the job was accepted from whose record the limit of a tenant that is not
	// configured comes.
	limitFrom time.Time
	// room is the tenant's limit and what its runs use of it, over all workers.
	room resources
	// awaited is what may run on silent workers that have not answered this leader yet.
	awaited model.Size
	// lasting is the part of room.used of runs that do not end by themselves.
	lasting model.Size
	// reserved is kept in the current round for a gang that waits for the limit.
	reserved model.Size
	// limitWaits is set if a task waited for the limit in the last round.
	limitWaits bool
	// unfinishedJobs counts the tenant's accepted jobs that have not ended.
	unfinishedJobs int
	rate           *tenant.Rate
	// overShare is set while the tenant uses more than its share.
	overShare bool
	// refused counts the refused jobs by reason.
	refused map[model.Reason]int64
}

// SetTenants replaces the configuration of the tenants; nil means that there are none. Accounts of
// removed tenants are kept, with their last limits, while they have jobs or runs.
func (c *Core) SetTenants(now time.Time, set *tenant.Set) {
	c.tenants = set
	for _, a := range c.accounts {
		a.configured = false
	}
	if set != nil {
		for i := range set.Tenants {
			c.configureAccount(now, &set.Tenants[i])
		}
	}
	for name, a := range c.accounts {
		switch {
		case a.configured:
		case a.unfinishedJobs == 0 && a.room.used == (model.Size{}) && a.awaited == (model.Size{}):
			delete(c.accounts, name)
		default:
			c.setWeight(now, a, 0)
		}
	}
	c.placementsStale = true
}

func (c *Core) configureAccount(now time.Time, t *tenant.Config) {
	a := c.account(now, t.Name)
	a.configured = true
	a.room.capacity = tenant.Unlimited(t.Limit)
	c.setWeight(now, a, max(t.Weight, 0))
}

// setWeight changes the weight of a tenant.
func (c *Core) setWeight(now time.Time, a *account, weight float64) {
	if a.unfinishedJobs > 0 {
		c.activeWeight += weight - a.weight
	}
	a.weight = weight
	a.rate.Set(now, weight)
}

// account returns the account of a tenant and creates it, without a limit, if it is not known.
func (c *Core) account(now time.Time, name string) *account {
	a := c.accounts[name]
	if a == nil {
		a = newAccount(now, name)
		c.accounts[name] = a
	}
	return a
}

// newAccount returns the account, without a limit, of a tenant that is not known.
func newAccount(now time.Time, name string) *account {
	return &account{name: name, room: resources{capacity: unlimitedSize}, rate: tenant.NewRate(now, 0), refused: map[model.Reason]int64{}}
}

// accountOf returns the account of the tenant to which a job belongs, or nil if it belongs to none.
func (c *Core) accountOf(now time.Time, spec *Spec) *account {
	if spec.Tenant == "" {
		return nil
	}
	return c.account(now, spec.Tenant)
}

// restoreLimit takes the limit of a tenant that is not configured from the record of a job, unless
// that of a job that was accepted later is known.
func (a *account) restoreLimit(r *AcceptedRecord) {
	if a == nil || a.configured || r.Accepted.Before(a.limitFrom) {
		return
	}
	a.limitFrom, a.room.capacity = r.Accepted, tenant.Unlimited(r.TenantLimit)
}

// countUnfinished adds n, 1 or -1, to the unfinished jobs of the leader and of the job's tenant.
func (c *Core) countUnfinished(j *job, n int) {
	c.unfinishedJobs += n
	a := j.account
	if a == nil {
		return
	}
	before := a.unfinishedJobs
	a.unfinishedJobs += n
	switch {
	case before == 0 && n > 0:
		c.activeWeight += a.weight
	case a.unfinishedJobs == 0:
		c.activeWeight -= a.weight
	}
}

// VisibleTo reports whether a job may be seen, cancelled and submitted again with the keys of a
// tenant, which is empty on routes that need no key. A job that is not known is visible, unless
// only submissions of other tenants with its ID wait for a decision.
func (c *Core) VisibleTo(id, tenant string) bool {
	if j := c.jobs[id]; j != nil {
		return c.specVisibleTo(j.spec, j.queue, tenant)
	}
	hidden := false
	for i := range c.deferredSubmissions {
		spec := c.deferredSubmissions[i].spec
		if spec.ID != id {
			continue
		}
		if c.specVisibleTo(spec, c.queues[spec.Queue], tenant) {
			return true
		}
		hidden = true
	}
	return !hidden
}

// specVisibleTo reports whether a tenant may see a job of a queue, which may be nil.
func (c *Core) specVisibleTo(spec *Spec, q *Queue, tenant string) bool {
	return c.tenants == nil || spec.Tenant == "" || spec.Tenant == tenant || q != nil && q.Anonymous
}

// HasTenant reports whether jobs of a tenant may be submitted.
func (c *Core) HasTenant(name string) bool {
	return name == "" || c.tenants == nil || c.tenants.Has(name)
}
