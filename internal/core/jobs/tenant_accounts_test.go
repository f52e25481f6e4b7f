package jobs

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
)

// Guards against an order in which excess jobs, late jobs or tenants above their share come before
// others of the same priority.
func TestOrderOfTenantsWithinPriority(t *testing.T) {
	newStep := func(priority int, excess, late, over bool, startBy time.Duration) *step {
		j := &job{queue: &Queue{Priority: priority}, excess: excess, account: &account{overShare: over}}
		return &step{occ: &occurrence{job: j}, late: late, startBy: startTime.Add(startBy)}
	}
	want := []*step{
		newStep(0, true, true, true, 9),
		newStep(1, false, false, false, 4),
		newStep(1, false, false, false, 5),
		newStep(1, false, false, true, 3),
		newStep(1, false, true, false, 2),
		newStep(1, false, true, true, 1),
		newStep(1, true, false, false, 0),
		newStep(1, true, false, true, 0),
		newStep(1, true, true, false, 0),
		newStep(2, false, false, false, 0),
	}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, compareSteps)
	for i := range want {
		assert.Assert(t, got[i] == want[i], "place %d", i)
	}
}

// Guards against a tenant that takes all of a full pool: what it uses beyond its share must put its
// jobs behind those of a tenant below its share, by their weights.
func TestTenantBelowItsShareComesFirst(t *testing.T) {
	b := newTenantBench(t, tenant.Config{Name: "a", Weight: 1}, tenant.Config{Name: "b", Weight: 3})
	b.addWorkers("w1")
	assert.Assert(t, b.submitAs("a", "a1", smallStep(8)) == nil)
	assert.Equal(t, len(b.step()), 8)
	b.startsWithout("", "", 1100*time.Millisecond) // a2 is within the rate then
	assert.Assert(t, b.submitAs("a", "a2", smallStep(1)) == nil)
	assert.Assert(t, b.submitAs("b", "b1", smallStep(1)) == nil)
	b.step()
	assert.Assert(t, !b.core.jobs["a2"].excess)
	assert.Equal(t, b.core.ready[0].job().spec.ID, "b1")
	status := b.core.Tenants()
	assert.Equal(t, status[0].FairShare, 0.25)
	assert.Equal(t, status[0].Share, 1.0)
}

// fillPool starts a job of a tenant that uses all cores.
func (b *tenantBench) fillPool(name string) {
	b.t.Helper()
	b.addWorkers("w1")
	assert.Assert(b.t, b.submitAs(name, "full", smallStep(8)) == nil)
	assert.Equal(b.t, len(b.step()), 8)
	b.step()
}

// useUpRate leaves the tenants, with a weight of 1, rate for one job each.
func (b *tenantBench) useUpRate(names ...string) {
	for _, name := range names {
		for b.core.accounts[name].rate.Take(b.now) {
		}
	}
	b.now = b.now.Add(time.Second)
}

// Guards against a refused job that comes back and takes the rate from jobs that come for the first
// time, and against refused clients that are told to come back together.
func TestReturningJobTakesNoRate(t *testing.T) {
	b := newTenantBench(t, limited("a", 0), limited("b", 0))
	b.fillPool("b")
	b.useUpRate("a")
	assert.Assert(t, b.submitAs("a", "within", smallStep(1)) == nil)
	for i := range 4 {
		resp := b.submitAs("a", fmt.Sprint("excess", i), smallStep(1))
		assert.Assert(t, resp != nil, "accepted beyond the rate")
		assert.Equal(t, resp.Reason, model.ReasonTenantRate)
		assert.Equal(t, resp.RetryAfter, time.Duration(i+1)*time.Second)
	}
	b.now = b.now.Add(1100 * time.Millisecond)
	assert.Assert(t, b.submitAs("a", "excess0", smallStep(1)) != nil, "a returning job is accepted in a short pool")
	assert.Assert(t, b.submitAs("a", "fresh", smallStep(1)) == nil, "a returning job took the rate of a fresh one")
	assert.Assert(t, !b.core.jobs["fresh"].excess)
	assert.Equal(t, b.core.Tenants()[0].Refused[model.ReasonTenantRate], int64(5))
}

// Guards against a memory of refused jobs that grows with the number of refusals or forgets the
// latest ones.
func TestMemoryOfRefusedJobsIsBounded(t *testing.T) {
	r := newRefusedJobs()
	for i := range 3 * maxRefusedJobs {
		r.add(fmt.Sprint(i))
		r.add(fmt.Sprint(i))
	}
	assert.Equal(t, len(r.ids), maxRefusedJobs)
	assert.Assert(t, r.contains(fmt.Sprint(2*maxRefusedJobs)))
	assert.Assert(t, !r.contains(fmt.Sprint(2*maxRefusedJobs-1)))
}

// Guards against excess jobs that are refused while there is room, or that are not marked as such.
func TestExcessJobsUseFreeCapacity(t *testing.T) {
	b := newTenantBench(t, limited("a", 0))
	b.addWorkers("w1")
	b.useUpRate("a")
	for i := range 4 {
		id := fmt.Sprint("j", i)
		assert.Assert(t, b.submitAs("a", id, smallStep(1)) == nil)
		assert.Equal(t, b.core.jobs[id].excess, i > 0)
	}
}

// Guards against jobs of one tenant that another one sees, cancels or replaces, and against jobs that
// their own callers do not see after a change of the configuration.
func TestVisibilityOfJobs(t *testing.T) {
	b := newTenantBench(t, limited("a", 0), limited("b", 0))
	b.addWorkers("w1")
	assert.Assert(t, b.submitAs("a", "of-a", smallStep(1)) == nil)
	assert.Assert(t, b.submitAs("", "of-nobody", smallStep(1)) == nil)
	check := func(when string, want map[string]bool) {
		t.Helper()
		for name, visible := range want {
			assert.Equal(t, b.core.VisibleTo("of-a", name), visible, "%s, to %q", when, name)
			assert.Assert(t, b.core.VisibleTo("of-nobody", name), "%s, job without a tenant, to %q", when, name)
			assert.Assert(t, b.core.VisibleTo("unknown", name))
		}
	}
	check("with keys", map[string]bool{"a": true, "b": false, "": false})
	resp := b.submitAs("b", "of-a", smallStep(2))
	assert.Equal(t, resp.Kind, ResponseConflict)
	assert.Equal(t, resp.Reason, model.Reason("id_in_use"))
	assert.Equal(t, b.core.jobs["of-a"].spec.Steps[0].Count, 1)
	assert.Equal(t, b.submitAs("a", "of-a", smallStep(1)).Kind, ResponseAccepted)
	b.setTenants(limited("b", 0))
	check("without its tenant", map[string]bool{"a": true, "b": false, "": false})
	assert.Assert(t, !b.core.HasTenant("a") && b.core.HasTenant("b") && b.core.HasTenant(""))
	b.core.SetTenants(b.now, nil)
	check("without tenants", map[string]bool{"": true})
	b.setTenants(limited("a", 0))
	check("with keys again", map[string]bool{"a": true, "b": false, "": false})
	ended := b.core.jobs["of-a"]
	b.core.Cancel(b.now, ended.spec.ID, 7)
	b.save()
	check("cancelled", map[string]bool{"a": true, "b": false, "": false})
	next := b.succeed(nil, limited("a", 0), limited("b", 0))
	assert.Assert(t, next.core.VisibleTo("of-a", "a") && !next.core.VisibleTo("of-a", "b"), "cancelled, at a successor")
}

// Guards against a successor that forgets to which tenant a job belongs, that it is excess, or the
// last limit of a tenant that was removed.
func TestSuccessorRestoresTenants(t *testing.T) {
	b := newTenantBench(t, limited("a", 2000))
	b.addWorkers("w1", "w2")
	b.useUpRate("a")
	assert.Assert(t, b.submitAs("a", "j1", smallStep(1)) == nil)
	assert.Assert(t, b.submitAs("a", "j2", smallStep(6)) == nil)
	next := b.succeed([]WorkerEntry{workerEntry("w1"), workerEntry("w2")}, limited("b", 0))
	assert.Equal(t, next.core.jobs["j1"].spec.Tenant, "a")
	assert.Assert(t, !next.core.jobs["j1"].excess && next.core.jobs["j2"].excess)
	assert.Equal(t, next.startsWithout("", "j1", 200*time.Millisecond)+next.startsWithout("", "j2", time.Second), 1, "the last limit is 2 cores, of which j1 uses one")
	assert.Equal(t, next.core.Tenants()[0].Limit, model.Size{MilliCPU: 2000})
	assert.Equal(t, next.core.Tenants()[0].UnfinishedJobs, 2)
}

// Guards against a tenant that is removed and added again and whose runs from before are forgotten:
// those on a silent worker, and those of a cancelled job that a worker lists only afterwards.
func TestReturnedTenantKeepsItsUse(t *testing.T) {
	for _, silent := range []bool{false, true} {
		b := newTenantBench(t, limited("a", 3000))
		b.addWorkers("w1")
		assert.Assert(t, b.submitAs("a", "j", smallStep(3)) == nil)
		starts := b.round("").Starts
		if silent {
			b.startsWithout("w1", "j", 2*time.Second)
			assert.Assert(t, b.store.workers["w1"].Silent)
		}
		next := b.succeed([]WorkerEntry{workerEntry("w1"), workerEntry("w2")}, limited("a", 3000))
		next.core.Cancel(next.now, "j", 2)
		next.setTenants(limited("b", 0))
		next.setTenants(limited("a", 3000), limited("b", 0))
		silentWorker := model.WorkerID("w1")
		if !silent {
			var listed SyncResult
			for _, s := range starts {
				listed.Running = append(listed.Running, RunReport{Task: s.Task, Run: s.Run})
			}
			next.answerSyncs(next.advance(0), map[model.WorkerID]SyncResult{"w1": listed})
			silentWorker = ""
		}
		assert.Assert(t, next.submitAs("a", "fresh", smallStep(3)) == nil)
		assert.Equal(t, next.startsWithout(silentWorker, "fresh", time.Second), 0)
	}
}

// Guards against limits that hold only in part once the configuration has no tenants any more: jobs
// that were accepted before run under the last limit of their tenant.
func TestLimitHoldsAfterTenantsAreSwitchedOff(t *testing.T) {
	b := newTenantBench(t, limited("a", 3000))
	b.addWorkers("w1")
	assert.Assert(t, b.submitAs("a", "j", smallStep(3)) == nil)
	assert.Equal(t, len(b.round("w1").Starts), 3)
	assert.Assert(t, b.submitAs("a", "waiting", smallStep(1)) == nil)
	next := b.succeed([]WorkerEntry{workerEntry("w1"), workerEntry("w2")})
	next.round("w1")
	assert.Assert(t, next.submitAs("a", "fresh", smallStep(1)) == nil)
	assert.Equal(t, next.startsWithout("w1", "fresh", time.Second), 0)
}

// Guards against a successor that takes an earlier limit of a removed tenant for its last one.
func TestLastLimitOfRemovedTenantApplies(t *testing.T) {
	for _, limits := range [][2]int64{{6000, 2000}, {2000, 6000}, {0, 2000}, {2000, 0}} {
		b := newTenantBench(t, limited("a", limits[0]))
		b.addWorkers("w1")
		assert.Assert(t, b.submitAs("a", "z", smallStep(1)) == nil)
		b.startsWithout("", "z", time.Second)
		b.setTenants(limited("a", limits[1]))
		assert.Assert(t, b.submitAs("a", "a", smallStep(1)) == nil)
		next := b.succeed(nil, limited("b", 0))
		assert.Equal(t, next.core.Tenants()[0].Limit, model.Size{MilliCPU: limits[1]}, "first %d", limits[0])
	}
}

// Guards against a caller who cancels a job of another tenant that a new leader has not decided on
// yet, because it has not read the list of workers.
func TestDeferredSubmissionIsHiddenFromOtherTenants(t *testing.T) {
	b := newTenantBench(t, limited("a", 0), limited("b", 0))
	assert.Assert(t, b.submitAs("a", "j", smallStep(1)) == nil)
	assert.Assert(t, b.core.VisibleTo("j", "a"))
	assert.Assert(t, !b.core.VisibleTo("j", "b"), "before the decision")
	assert.Assert(t, !b.core.VisibleTo("j", ""), "before the decision, without a key")
	b.addWorkers("w1")
	assert.Assert(t, !b.core.VisibleTo("j", "b"), "after the decision")
}

// Guards against a negative weight that takes the share of the other tenants.
func TestNegativeWeightIsNone(t *testing.T) {
	b := newTenantBench(t, tenant.Config{Name: "a", Weight: -1}, tenant.Config{Name: "b", Weight: 1})
	b.addWorkers("w1")
	assert.Assert(t, b.submitAs("a", "j1", smallStep(1)) == nil)
	assert.Assert(t, b.submitAs("b", "j2", smallStep(1)) == nil)
	status := b.core.Tenants()
	assert.Equal(t, status[0].FairShare, 0.0)
	assert.Equal(t, status[1].FairShare, 1.0)
}
