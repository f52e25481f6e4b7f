package jobs

import (
	"time"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
)

const (
	// shortShare is the share of a pool's capacity in use from which capacity counts as short: for
	// jobs that exceed their tenant's rate, and for the order by shares.
	shortShare = 0.92
	// overShareFactor times its fair share is the use from which a tenant's jobs come after those
	// of others, until it is below underShareFactor times that share. Below, the order by latest
	// start serves all tenants better.
	overShareFactor  = 1.5
	underShareFactor = 1.25
)

// checkTenant reports whether the tenant of a job may submit it now. If not, it returns the reason
// and the delay after which the client may retry. excess is set if the job exceeds the tenant's
// rate: it is accepted only while capacity is not short, and comes after all others then.
func (c *Core) checkTenant(now time.Time, spec *Spec, q *Queue) (excess bool, reason model.Reason, retryAfter time.Duration) {
	a := c.accountOf(now, spec)
	switch excess, reason = c.tenantVerdict(now, spec, q, a, (*tenant.Rate).Take); reason {
	case model.ReasonExceedsLimit:
		retryAfter = retryAfterNeverFits
	case model.ReasonTenantRate:
		c.refusedJobs.add(spec.ID)
		retryAfter = a.rate.RetryAfter(now)
	}
	return excess, reason, retryAfter
}

// tenantVerdict returns whether a job exceeds the rate of its tenant, whose account may be nil, and
// why the job is refused because of its tenant, if it is. withinRate says whether the rate allows one
// more job; it is called only for a job that counts against the rate.
func (c *Core) tenantVerdict(now time.Time, spec *Spec, q *Queue, a *account, withinRate func(*tenant.Rate, time.Time) bool) (excess bool, reason model.Reason) {
	if a == nil || c.tenants == nil {
		return false, ""
	}
	for i := range spec.Steps {
		if !spec.Steps[i].fitsLimit(a.room.capacity) {
			return false, model.ReasonExceedsLimit
		}
	}
	returning := c.refusedJobs.contains(spec.ID)
	if excess = returning || !withinRate(a.rate, now); !excess {
		return false, ""
	}
	if p := c.pools[q.Service]; !a.limitWaits && (p == nil || p.usedShare < shortShare) {
		return true, ""
	}
	return true, model.ReasonTenantRate
}

// fitsLimit reports whether a task of the step, or all tasks of a gang, fit into a limit.
func (s *Step) fitsLimit(limit model.Size) bool {
	size := s.Size
	if s.Gang {
		size = size.Times(int64(s.Count))
	}
	return size.Fits(limit)
}

// maxRefusedJobs limits the refused jobs that are remembered, over all tenants.
const maxRefusedJobs = 4096

// refusedJobs remembers the last jobs that were refused because of their tenant's rate. One that
// comes back takes nothing of the rate from jobs that come for the first time.
type refusedJobs struct {
	ids map[string]bool
	// order holds the IDs in a ring, at whose position next is the oldest.
	order []string
	next  int
}

func newRefusedJobs() refusedJobs { return refusedJobs{ids: map[string]bool{}} }

func (r *refusedJobs) contains(id string) bool { return r.ids[id] }

func (r *refusedJobs) add(id string) {
	if r.ids[id] {
		return
	}
	r.ids[id] = true
	if len(r.order) < maxRefusedJobs {
		r.order = append(r.order, id)
		return
	}
	delete(r.ids, r.order[r.next])
	r.order[r.next] = id
	r.next = (r.next + 1) % maxRefusedJobs
}

// updateShare updates whether the tenant uses more than its fair share and reports whether that has
// changed. It answers the load of tenants that together ask for more than there is in a pool.
func (c *Core) updateShare(a *account, p *pool) (changed bool) {
	if a == nil {
		return false
	}
	factor := overShareFactor
	if a.overShare {
		factor = underShareFactor
	}
	over := p.usedShare >= shortShare && a.share(c.capacity) > factor*c.fairShare(a)
	changed = over != a.overShare
	a.overShare = over
	return changed
}

// fairShare returns the part of all capacity that the tenant's weight gives it among the tenants
// with unfinished jobs.
func (c *Core) fairShare(a *account) float64 {
	if c.activeWeight <= 0 {
		return 0
	}
	return a.weight / c.activeWeight
}

// share returns the tenant's part of the capacity of all workers, in the dimension of which it uses
// the largest part.
func (a *account) share(capacity model.Size) float64 { return a.room.used.DominantShare(capacity) }

// excess reports whether the step's job exceeds the rate of its tenant.
func (s *step) excess() bool { return s.occ.job.excess }

// overShare reports whether the tenant of the step's job uses more than its share.
func (s *step) overShare() bool {
	a := s.occ.job.account
	return a != nil && a.overShare
}
