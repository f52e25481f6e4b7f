package jobs

import (
	"slices"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
)

// find returns the tenant of a job, or nil.
func (st *simTenants) find(name string) *simTenant {
	if st == nil {
		return nil
	}
	for _, t := range st.tenants {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// used returns what a tenant has running on all workers.
func (st *simTenants) used(name string) (used model.Size) {
	for _, w := range st.s.workers {
		for _, r := range w.runs {
			if r.task.job.spec.Tenant == name {
				used = used.Add(r.size)
			}
		}
	}
	return used
}

// inForce returns the limits of a tenant by which a start may have been decided that reaches a worker
// now. A leader that finds a tenant removed takes its limit from a record, which may be any before.
func (st *simTenants) inForce(t *simTenant) []model.Size {
	var out []model.Size
	for _, l := range t.limits {
		age := st.s.now.Sub(l.until)
		late := !st.s.now.After(st.s.faults.lateUntil) && age < simMaxDelay+simOrderTime
		if l.until.IsZero() || age < simOrderTime || late || t.removed || st.off {
			out = append(out, l.Size)
		}
	}
	return out
}

// checkQuota checks that a start leaves its tenant within the highest limit that may be in force. The
// rule allows a tenth and one task more; the leader's count is exact, so that this would hide errors.
func (st *simTenants) checkQuota(w *simWorker, req StartRequest, j *simJob) {
	t := st.find(j.spec.Tenant)
	if t == nil {
		return
	}
	used := st.used(t.Name).Add(j.spec.Steps[req.Task.Step].Size)
	var highest model.Size
	for _, limit := range st.inForce(t) {
		highest = highest.Max(tenant.Unlimited(limit))
	}
	if highest.MilliCPU < tenant.Unlimited(model.Size{}).MilliCPU {
		st.limited++
	}
	if !used.Fits(highest) {
		st.s.recordViolation("QUOTA", "%v starts on %s: %s uses %v of %v", req.Task, w.id, t.Name, used, highest)
	}
}

// servesStep reports whether the tenant of a job has to be served if there is room for a step of it: it
// uses less than half of its limit, which also holds the tasks that the step needs. Its single tasks
// may wait for a gang that needs more than half of the limit.
func (st *simTenants) servesStep(j *simJob, step int, needed int) bool {
	t := st.find(j.spec.Tenant)
	if t == nil {
		return true
	}
	if t.removed || st.off {
		return false
	}
	lowest := tenant.Unlimited(model.Size{})
	for _, limit := range st.inForce(t) {
		lowest = lowest.Min(tenant.Unlimited(limit))
	}
	used := st.used(t.Name)
	gangs := func(o *simJob) bool {
		return o.spec.Tenant == t.Name && slices.ContainsFunc(o.spec.Steps, func(def Step) bool {
			return def.Gang && !def.Size.Times(int64(2*def.Count)).Fits(lowest)
		})
	}
	return used.Times(2).Fits(lowest) && used.Add(j.spec.Steps[step].Size.Times(int64(needed))).Fits(lowest) &&
		!slices.ContainsFunc(st.s.unended(), gangs)
}

// holds reports whether the limit of the tenant holds a step of a job.
func (st *simTenants) holds(j *simJob, def *Step) bool {
	t := st.find(j.spec.Tenant)
	return t == nil || def.fitsLimit(tenant.Unlimited(t.Limit))
}
