package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
)

// Checks the fate of a request that is cancelled in each state of its task. A task that
// was never sent is not_run; otherwise the worker's report decides.
func TestCancelInEachState(t *testing.T) {
	running := func(f *fixture) { f.report("dc-a:k", 0, model.TaskRunning) }
	end := func(state model.TaskState) func(*fixture) {
		return func(f *fixture) { f.report("dc-a:k", 0, state) }
	}
	nothing := func(*fixture) {}
	for _, tc := range []struct {
		name          string
		workers       []model.WorkerID
		before, after func(*fixture)
		want          model.Fate
		stops         int
	}{
		{"queued", nil, nothing, nothing, model.NotRun, 0},
		{"starting, refused", []model.WorkerID{"w1"}, nothing, func(f *fixture) { f.reportNotStarted("dc-a:k", 0) }, model.NotRun, 1},
		{"starting, ran", []model.WorkerID{"w1"}, nothing, end(model.TaskDone), model.Done, 1},
		{"running, stopped", []model.WorkerID{"w1"}, running, end(model.TaskStopped), model.Cancelled, 1},
		{"running, finished first", []model.WorkerID{"w1"}, running, end(model.TaskDone), model.Done, 1},
		{"running, failed first", []model.WorkerID{"w1"}, running, end(model.TaskFailed), model.Done, 1},
		{"running, worker restarted", []model.WorkerID{"w1"}, running, func(f *fixture) { f.grant("w1", "boot-2") }, model.Unknown, 1},
		{"stopping, no answer", []model.WorkerID{"w1"}, running, nothing, model.Running, 1},
		{"done", []model.WorkerID{"w1"}, end(model.TaskDone), nothing, model.Done, 0},
	} {
		for _, service := range []string{"batch", "once"} {
			t.Run(tc.name+"/"+service, func(t *testing.T) {
				f := newFixture(t, tc.workers...)
				f.submit("dc-a:k", service)
				tc.before(f)
				f.cancel("dc-a:k")
				f.cancel("dc-a:k")
				tc.after(f)
				f.tick(time.Second)
				f.wantFate("dc-a:k", tc.want)
				assert.Equal(t, len(f.stops["w1"]), tc.stops)
				assert.Assert(t, f.countStarts("dc-a:k") <= 1)
				if tc.want.Terminal() {
					f.wantIdle()
				}
			})
		}
	}
}

// A start must not be sent after callers were told not_run. The cancellation arrives
// while the start waits for the acknowledgement of the standbys.
func TestCancelBeforeReplication(t *testing.T) {
	f := newFixture(t, "w1")
	f.withholdAcks = true
	f.submit("dc-a:k", "once")
	f.wantTask("dc-a:k", 0, model.TaskStarting)
	f.cancel("dc-a:k")
	f.c.HandleReplicated("dc-a:k", f.record("dc-a:k").Version)
	f.run()
	f.wantFate("dc-a:k", model.NotRun)
	assert.Equal(t, f.countStarts("dc-a:k"), 0)
	f.wantIdle()
}

// A cancellation must survive a change of the owner.
func TestCancellationSurvivesTakeover(t *testing.T) {
	f := newFixture(t, "w1")
	f.submit("dc-a:k", "batch")
	f.report("dc-a:k", 0, model.TaskRunning)
	f.cancel("dc-a:k")
	s := f.successor("w1")
	s.grant("w1", "boot", f.inventory("dc-a:k", 0, model.TaskRunning))
	s.serve(2)
	assert.Equal(t, len(s.stops["w1"]), 1)
	s.report("dc-a:k", 0, model.TaskStopped)
	s.wantFate("dc-a:k", model.Cancelled)
	s.wantIdle()
}

// A request that is cancelled before its delegation was sent must not be delegated.
func TestCancelBeforeDelegation(t *testing.T) {
	f := newWaitingFixture(t)
	f.withholdAcks = true
	f.tick(0)
	assert.Equal(t, f.record("dc-a:k").DelegatedTo, dcOther)
	f.cancel("dc-a:k")
	f.c.HandleReplicated("dc-a:k", f.record("dc-a:k").Version)
	f.run()
	f.wantFate("dc-a:k", model.NotRun)
	assert.Equal(t, len(f.delegations)+len(f.delegationCancels), 0)
	f.wantIdle()
}

// A cancelled request that an earlier owner delegated must not be reported as not_run,
// because it may run in the other data centre.
func TestCancelAfterTakeoverOfDelegation(t *testing.T) {
	s := newDelegatedFixture(t).successor()
	s.withholdAcks = true
	s.serve(2)
	s.cancel("dc-a:k")
	assert.Assert(t, !s.record("dc-a:k").Fate.Terminal())
	assert.Equal(t, len(s.delegationCancels), 1)
	s.withholdAcks = false
	s.c.HandleReplicated("dc-a:k", s.record("dc-a:k").Version)
	s.run()
	assert.Equal(t, len(s.delegations), 1)
	s.c.HandleDelegationReport(s.now, DelegationReport{Key: "dc-a:k", Record: &model.Record{Fate: model.Cancelled, Tasks: []model.TaskRecord{{}}}})
	s.run()
	s.wantFate("dc-a:k", model.Cancelled)
	s.wantIdle()
}

// A cancelled request that ran at home, was stopped by a drain and was then refused by
// another data centre must not be reported as not_run.
func TestCancelOfRefusedDelegationThatRan(t *testing.T) {
	f := newFixture(t, "w1")
	f.submit("dc-a:k", "batch")
	f.report("dc-a:k", 0, model.TaskRunning)
	f.c.Drain(f.now, "w1")
	f.tick(time.Second)
	f.now = f.now.Add(time.Second)
	f.c.SetRemoteLoad(f.now, dcOther, "r", membership.Load{Free: oneSlot.Times(4), LargestFree: oneSlot.Times(4), Workers: 1})
	f.report("dc-a:k", 0, model.TaskStopped)
	assert.Equal(t, len(f.delegations), 1)
	f.cancel("dc-a:k")
	f.c.HandleDelegationReport(f.now, DelegationReport{Key: "dc-a:k", NotRun: true})
	f.run()
	f.wantFate("dc-a:k", model.Cancelled)
	f.wantIdle()
}
