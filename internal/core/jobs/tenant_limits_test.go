package jobs

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/tenant"
)

// limited returns a tenant with a weight of 1 and a limit in millicores; 0 is no limit.
func limited(name string, milliCPU int64) tenant.Config {
	return tenant.Config{Name: name, Weight: 1, Limit: model.Size{MilliCPU: milliCPU}}
}

// tenantBench is a bench with a store and with tenants.
type tenantBench struct {
	*testBench
	store *simStore
	// ends lists the runs that have ended on each worker.
	ends map[model.WorkerID][]RunEnd
}

func newTenantBench(t *testing.T, tenants ...tenant.Config) *tenantBench {
	b := &tenantBench{newTestBench(t), newSimStore(), map[model.WorkerID][]RunEnd{}}
	b.setTenants(tenants...)
	return b
}

func (b *tenantBench) setTenants(tenants ...tenant.Config) {
	b.core.SetTenants(b.now, tenant.NewSet(tenants))
}

// save makes all batches durable.
func (b *tenantBench) save() {
	for batch := b.core.TakeBatch(); batch != nil; batch = b.core.TakeBatch() {
		b.store.apply(batch)
		b.core.HandleBatchStored(b.now, batch.Seq)
	}
}

// addWorkers lists workers, answers their first syncs and stores their records.
func (b *tenantBench) addWorkers(ids ...string) {
	var entries []WorkerEntry
	for _, id := range ids {
		entries = append(entries, workerEntry(id))
	}
	b.core.SetWorkers(b.now, entries)
	b.round("")
	b.save()
}

// submitAs submits a job of a tenant and returns the response, or nil if the job is accepted.
func (b *tenantBench) submitAs(name, id string, steps ...Step) *Response {
	resp := b.core.Submit(b.now, &Spec{ID: id, Queue: "q", Tenant: name, Steps: steps}, 1)
	b.save()
	return resp
}

// startsOf returns how many tasks start, and how many of them are of one job.
func startsOf(out Actions, job string) (n int) {
	for _, req := range out.Starts {
		if req.Task.Job == job {
			n++
		}
	}
	return n
}

// succeed returns a new leader of the same cell. Its workers are listed and have not answered.
func (b *tenantBench) succeed(workers []WorkerEntry, tenants ...tenant.Config) *tenantBench {
	b.save()
	cfg := testConfig()
	cfg.Token = b.core.cfg.Token + 1
	next := &tenantBench{&testBench{t: b.t, now: b.now, core: New(cfg)}, b.store, b.ends}
	next.core.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 2, Slack: 2}})
	if tenants != nil {
		next.setTenants(tenants...)
	}
	next.core.Restore(b.now, b.now, b.store.snapshot())
	next.core.SetPreviousLeaderEnd(b.now)
	next.core.SetWorkers(b.now, workers)
	return next
}

// end ends the run of a start, or lists it as stopped.
func (b *tenantBench) end(s *StartRequest, kind EndKind) {
	b.ends[s.Worker] = append(b.ends[s.Worker], RunEnd{Seq: int64(len(b.ends[s.Worker]) + 1), Task: s.Task, Run: s.Run, Kind: kind})
}

// round advances the time, answers all syncs except those with one silent worker, stores all batches
// and confirms and returns the starts.
func (b *tenantBench) round(silent model.WorkerID) Actions {
	out := b.advance(100 * time.Millisecond)
	b.answerWith(out, silent)
	b.save()
	b.confirmStarts(out.Starts)
	return out
}

// startsWithout returns how many tasks of a job start within a time in which one worker does not
// answer.
func (b *tenantBench) startsWithout(silent model.WorkerID, job string, d time.Duration) (n int) {
	for end := b.now.Add(d); b.now.Before(end); {
		n += startsOf(b.round(silent), job)
	}
	return n
}

// answerWith answers all syncs except those with one silent worker; the others list their runs.
func (b *tenantBench) answerWith(out Actions, silent model.WorkerID) {
	listed := b.runningResults()
	for _, req := range out.Syncs {
		r := SyncResult{Worker: req.Worker, SentAt: b.now, Status: CallNoAnswer}
		if req.Worker != silent {
			r = listed[req.Worker]
			r.Worker, r.SentAt, r.Incarnation, r.ClockMs, r.Ends = req.Worker, b.now, 1, b.clockMs(), b.ends[req.Worker]
			r.Running = slices.DeleteFunc(r.Running, func(run RunReport) bool {
				return slices.ContainsFunc(r.Ends, func(e RunEnd) bool { return e.Task == run.Task && e.Run == run.Run })
			})
		}
		b.core.HandleSyncResult(b.now, &r)
	}
}

// Guards against starts beyond the limit while earlier ones are unanswered, or while it is not clear
// whether the worker has got them.
func TestLimitCountsStartsWithoutAnswer(t *testing.T) {
	b := newTenantBench(t, limited("a", 3000))
	b.addWorkers("w1", "w2")
	assert.Assert(t, b.submitAs("a", "j", smallStep(6)) == nil)
	starts := b.advance(0).Starts
	assert.Equal(t, len(starts), 3)
	assert.Equal(t, len(b.advance(stepTime).Starts), 0, "beside unanswered starts")
	for _, s := range starts {
		b.core.HandleStartResult(b.now, &StartResult{Worker: s.Worker, Task: s.Task, Run: s.Run, Status: CallNoAnswer})
	}
	assert.Equal(t, len(b.advance(stepTime).Starts), 0, "beside unclear starts")
}

// Guards against starts in the place of runs whose stop is not confirmed: they may run on.
func TestLimitCountsRunsUntilTheyAreGone(t *testing.T) {
	b := newTenantBench(t, limited("a", 3000))
	b.addWorkers("w1", "w2")
	assert.Assert(t, b.submitAs("a", "old", smallStep(3)) == nil)
	starts := b.round("").Starts
	assert.Equal(t, len(starts), 3)
	b.core.Cancel(b.now, "old", 2)
	assert.Assert(t, b.submitAs("a", "new", smallStep(3)) == nil)
	out := b.round("")
	assert.Equal(t, len(out.Stops), 3)
	assert.Equal(t, len(out.Starts), 0, "beside runs that are being stopped")
	for _, s := range out.Stops {
		b.core.HandleStopResult(b.now, &StopResult{Worker: s.Worker, Task: s.Task, Run: s.Run, Status: CallOK, SentAt: b.now, ClockMs: b.clockMs()})
	}
	assert.Equal(t, b.startsWithout("", "new", time.Second), 0, "beside runs whose stop is only acknowledged")
	for i := range starts {
		b.end(&starts[i], EndStopped)
	}
	assert.Equal(t, b.startsWithout("", "new", time.Second), 3)
}

// Guards against a successor that starts tasks of a limited tenant beside runs of its predecessor
// that no list has shown yet, and against one that keeps other tenants waiting for that.
func TestSuccessorCountsWhatMayRunUnseen(t *testing.T) {
	b := newTenantBench(t, limited("a", 3000))
	b.addWorkers("w1")
	assert.Assert(t, b.submitAs("a", "j", smallStep(3)) == nil)
	assert.Equal(t, len(b.advance(0).Starts), 3)
	next := b.succeed([]WorkerEntry{workerEntry("w1"), workerEntry("w2")}, limited("a", 3000), limited("b", 0))
	next.answerWith(next.advance(0), "w1")
	next.save()
	assert.Assert(t, next.submitAs("a", "fresh", smallStep(1)) == nil)
	assert.Assert(t, next.submitAs("b", "other", smallStep(1)) == nil)
	out := next.advance(stepTime)
	assert.Equal(t, startsOf(out, "other"), 1, "a tenant without a limit waits")
	assert.Equal(t, startsOf(out, "fresh"), 0)
	next.answerWith(out, "w1")
	lease := b.core.cfg.LeaseDuration
	assert.Equal(t, next.startsWithout("w1", "fresh", lease-200*time.Millisecond), 0, "within the lease")
	assert.Equal(t, next.startsWithout("w1", "j", time.Second), 3, "after the lease")
}

// Guards against a successor that does not count the runs which a worker lists, whether their job
// still needs them or was cancelled.
func TestSuccessorCountsAdoptedRuns(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		b := newTenantBench(t, limited("a", 3000))
		b.addWorkers("w1")
		assert.Assert(t, b.submitAs("a", "j", smallStep(3)) == nil)
		starts := b.round("").Starts
		if cancelled {
			b.core.Cancel(b.now, "j", 2)
		}
		next := b.succeed([]WorkerEntry{workerEntry("w1"), workerEntry("w2")}, limited("a", 3000))
		var listed SyncResult
		for _, s := range starts {
			listed.Running = append(listed.Running, RunReport{Task: s.Task, Run: s.Run})
		}
		next.answerSyncs(next.advance(0), map[model.WorkerID]SyncResult{"w1": listed})
		assert.Assert(t, next.submitAs("a", "fresh", smallStep(1)) == nil)
		assert.Equal(t, next.startsWithout("", "fresh", time.Second), 0)
		for i := range starts {
			next.end(&starts[i], EndDone)
		}
		assert.Equal(t, next.startsWithout("", "fresh", time.Second), 1)
	}
}

// Guards against a worker that was silent before the change of leader and is not counted, or counts
// with more than the tasks in its record.
func TestSilentWorkerCountsWithTheTasksOfItsRecord(t *testing.T) {
	b := newTenantBench(t, limited("a", 3000))
	b.addWorkers("w1")
	assert.Assert(t, b.submitAs("a", "j", smallStep(2)) == nil)
	out := b.advance(0)
	b.confirmStarts(out.Starts)
	b.answerWith(out, "w1")
	b.startsWithout("w1", "j", time.Second)
	assert.Assert(t, b.store.workers["w1"].Silent)
	next := b.succeed([]WorkerEntry{workerEntry("w1"), workerEntry("w2")}, limited("a", 3000))
	next.answerWith(next.advance(0), "w1")
	next.save()
	assert.Assert(t, next.submitAs("a", "fresh", smallStep(3)) == nil)
	assert.Equal(t, next.startsWithout("w1", "fresh", time.Second), 1)
}

// Guards against starts beside a run of a job that the leader does not know any more: it may be of any
// tenant and as large as its worker.
func TestUnknownRunCountsWithItsWholeWorker(t *testing.T) {
	b := newTenantBench(t, limited("a", 3000), limited("b", 0))
	b.addWorkers("w1", "w2")
	unknown := SyncResult{Running: []RunReport{{Task: TaskRef{Job: "forgotten"}, Run: 1}}}
	b.answerSyncs(b.advance(2*time.Second), map[model.WorkerID]SyncResult{"w1": unknown})
	assert.Assert(t, b.submitAs("a", "j", smallStep(1)) == nil)
	assert.Assert(t, b.submitAs("b", "other", smallStep(1)) == nil)
	out := b.round("")
	assert.Equal(t, startsOf(out, "other"), 1)
	assert.Equal(t, startsOf(out, "j")+b.startsWithout("", "j", time.Second), 0)
	b.ends["w1"] = []RunEnd{{Seq: 1, Task: TaskRef{Job: "forgotten"}, Run: 1, Kind: EndStopped}}
	assert.Equal(t, b.startsWithout("", "j", time.Second), 1)
}

// Guards against jobs that are accepted although the limit can never hold one of their tasks, or all
// tasks of a gang.
func TestJobLargerThanLimitIsRefused(t *testing.T) {
	b := newTenantBench(t, limited("a", 3000), limited("b", 0))
	b.addWorkers("w1", "w2")
	large, gang := smallStep(1), smallStep(4)
	large.Size.MilliCPU, gang.Gang = 4000, true
	for id, step := range map[string]Step{"large": large, "gang": gang} {
		resp := b.submitAs("a", id, step)
		assert.Assert(t, resp != nil, "%s is accepted", id)
		assert.Equal(t, resp.Kind, ResponseRefused)
		assert.Equal(t, resp.Reason, model.ReasonExceedsLimit)
		assert.Equal(t, resp.RetryAfter, 30*time.Second)
		assert.Assert(t, b.submitAs("b", id+"b", step) == nil, "%s of a tenant without a limit", id)
	}
	assert.Assert(t, b.submitAs("a", "tasks", smallStep(4)) == nil, "tasks that need not run together")
}

// Guards against runs that are stopped, and tasks that are started, when a limit is lowered below
// what runs, and against tasks that wait on after it was removed.
func TestLimitChangesDuringRuns(t *testing.T) {
	b := newTenantBench(t, limited("a", 4000))
	b.addWorkers("w1", "w2")
	assert.Assert(t, b.submitAs("a", "j", smallStep(8)) == nil)
	starts := b.round("").Starts
	assert.Equal(t, len(starts), 4)
	b.setTenants(limited("a", 2000))
	for i, want := range []int{0, 0, 1, 1} {
		b.end(&starts[i], EndDone)
		b.round("")
		out := b.round("")
		assert.Equal(t, len(out.Stops), 0)
		assert.Equal(t, len(out.Starts), want, "after %d ends", i+1)
	}
	status := b.core.Tenants()[0]
	assert.Equal(t, status.WaitingForLimit, 2)
	b.setTenants(limited("a", 0))
	assert.Equal(t, len(b.advance(stepTime).Starts), 2)
}

// Guards against a gang that waits for the limit of its tenant for ever because its tenant's single
// tasks take whatever becomes free, and against one that can never start and keeps the limit from
// them. The first job is a lasting one or ends.
func TestGangThatWaitsForLimitIsNotStarved(t *testing.T) {
	for _, lasting := range []bool{false, true} {
		b := newTenantBench(t, limited("a", 4000))
		b.addWorkers("w1", "w2")
		first, gang := smallStep(1), smallStep(4)
		first.LongRunning, gang.Gang = lasting, true
		assert.Assert(t, b.submitAs("a", "first", first) == nil)
		running := b.round("").Starts
		assert.Assert(t, b.submitAs("a", "gang", gang) == nil)
		late := smallStep(1)
		late.Estimate = 10 * time.Second
		assert.Assert(t, b.submitAs("a", "task", late) == nil)
		starts := b.round("").Starts
		if lasting {
			assert.Equal(t, len(starts), 1, "a single task waits for a gang that can never start")
			continue
		}
		assert.Equal(t, len(starts), 0, "a single task takes what the gang waits for")
		b.end(&running[0], EndDone)
		assert.Equal(t, b.startsWithout("", "gang", 300*time.Millisecond), 4)
	}
}
