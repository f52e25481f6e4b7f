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
	running := func(b *fixture) { b.report("dc-a:k", 0, model.TaskRunning) }
	end := func(state model.TaskState) func(*fixture) {
		return func(b *fixture) { b.report("dc-a:k", 0, state) }
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
		{"starting, refused", []model.WorkerID{"w1"}, nothing, func(b *fixture) { b.reportNotStarted("dc-a:k", 0) }, model.NotRun, 1},
		{"starting, ran", []model.WorkerID{"w1"}, nothing, end(model.TaskDone), model.Done, 1},
		{"running, stopped", []model.WorkerID{"w1"}, running, end(model.TaskStopped), model.Cancelled, 1},
		{"running, finished first", []model.WorkerID{"w1"}, running, end(model.TaskDone), model.Done, 1},
		{"running, failed first", []model.WorkerID{"w1"}, running, end(model.TaskFailed), model.Done, 1},
		{"running, worker restarted", []model.WorkerID{"w1"}, running, func(b *fixture) { b.grant("w1", "boot-2") }, model.Unknown, 1},
		{"stopping, no answer", []model.WorkerID{"w1"}, running, nothing, model.Running, 1},
		{"done", []model.WorkerID{"w1"}, end(model.TaskDone), nothing, model.Done, 0},
	} {
		for _, service := range []string{"batch", "once"} {
			t.Run(tc.name+"/"+service, func(t *testing.T) {
				b := newFixture(t, tc.workers...)
				b.submit("dc-a:k", service)
				tc.before(b)
				b.cancel("dc-a:k")
				b.cancel("dc-a:k")
				tc.after(b)
				b.tick(time.Second)
				b.wantFate("dc-a:k", tc.want)
				assert.Equal(t, len(b.stops["w1"]), tc.stops)
				assert.Assert(t, b.countStarts("dc-a:k") <= 1)
				if tc.want.Terminal() {
					b.wantIdle()
				}
			})
		}
	}
}

// A start must not be sent after callers were told not_run. The cancellation arrives
// while the start waits for the acknowledgement of the standbys.
func TestCancelBeforeReplication(t *testing.T) {
	b := newFixture(t, "w1")
	b.withholdAcks = true
	b.submit("dc-a:k", "once")
	b.wantTask("dc-a:k", 0, model.TaskStarting)
	b.cancel("dc-a:k")
	b.c.HandleReplicated("dc-a:k", b.record("dc-a:k").Version)
	b.run()
	b.wantFate("dc-a:k", model.NotRun)
	assert.Equal(t, b.countStarts("dc-a:k"), 0)
	b.wantIdle()
}

// A cancellation must survive a change of the owner.
func TestCancellationSurvivesTakeover(t *testing.T) {
	b := newFixture(t, "w1")
	b.submit("dc-a:k", "batch")
	b.report("dc-a:k", 0, model.TaskRunning)
	b.cancel("dc-a:k")
	s := b.successor("w1")
	s.grant("w1", "boot", b.inventory("dc-a:k", 0, model.TaskRunning))
	s.serve(2)
	assert.Equal(t, len(s.stops["w1"]), 1)
	s.report("dc-a:k", 0, model.TaskStopped)
	s.wantFate("dc-a:k", model.Cancelled)
	s.wantIdle()
}

// A request that is cancelled before its delegation was sent must not be delegated.
func TestCancelBeforeDelegation(t *testing.T) {
	b := newWaitingFixture(t)
	b.withholdAcks = true
	b.tick(0)
	assert.Equal(t, b.record("dc-a:k").DelegatedTo, dcOther)
	b.cancel("dc-a:k")
	b.c.HandleReplicated("dc-a:k", b.record("dc-a:k").Version)
	b.run()
	b.wantFate("dc-a:k", model.NotRun)
	assert.Equal(t, len(b.delegations)+len(b.delegationCancels), 0)
	b.wantIdle()
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
	b := newFixture(t, "w1")
	b.submit("dc-a:k", "batch")
	b.report("dc-a:k", 0, model.TaskRunning)
	b.c.Drain(b.now, "w1")
	b.tick(time.Second)
	b.now = b.now.Add(time.Second)
	b.c.SetRemoteLoad(b.now, dcOther, "r", membership.Load{Free: oneSlot.Times(4), LargestFree: oneSlot.Times(4), Workers: 1})
	b.report("dc-a:k", 0, model.TaskStopped)
	assert.Equal(t, len(b.delegations), 1)
	b.cancel("dc-a:k")
	b.c.HandleDelegationReport(b.now, DelegationReport{Key: "dc-a:k", NotRun: true})
	b.run()
	b.wantFate("dc-a:k", model.Cancelled)
	b.wantIdle()
}
