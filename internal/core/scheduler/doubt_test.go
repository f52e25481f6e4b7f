package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// stopTimeout is longer than tasks of an unreachable worker may run on: the lease TTL
// and the task grace of testConfig and lostMargin, 35 s together.
const stopTimeout = 36 * time.Second

// newFixtureInDoubt returns an owner that has no synced peer. Its worker w2 has granted
// a lease, w1 has not. The restored record of dc-a:k says queued.
func newFixtureInDoubt(t *testing.T, service string, deadline time.Duration) *fixture {
	f := newFixture(t)
	r := f.request("dc-a:k", service)
	if deadline > 0 {
		r.Deadline = f.now.Add(deadline)
	}
	_, err := f.c.Submit(f.now, r)
	assert.Assert(t, err == nil, "%v", err)
	f.run()
	s := f.successor("w1", "w2")
	s.grant("w2", "boot")
	s.c.StartServing(s.now, Recovery{Term: 2, JournalRead: true})
	s.run()
	assert.Assert(t, s.c.InDoubt())
	return s
}

// In doubt, a restored request must not be started from a record that may be out of
// date: the lost owner may have started it on a worker that is not reachable now.
func TestRestoredRequestWaitsInDoubt(t *testing.T) {
	listed := func(state model.TaskState) []model.RunningTask {
		return []model.RunningTask{{
			ID: model.TaskID{Key: "dc-a:k"}, Attempt: 1, Service: "once", Size: oneSlot, State: state, OK: true,
		}}
	}
	for _, tc := range []struct {
		name, service string
		deadline      time.Duration
		act           func(*fixture)
		want          model.Fate
		starts        int
	}{
		{"nothing new", "once", 0, func(f *fixture) { f.tick(time.Second) }, model.Queued, 0},
		{"after the grace", "once", 0, func(f *fixture) { f.tick(stopTimeout) }, model.Queued, 0},
		{"after the grace, idempotent", "batch", 0, func(f *fixture) { f.tick(stopTimeout) }, model.Queued, 1},
		{"the worker has nothing", "once", 0, func(f *fixture) { f.grant("w1", "boot") }, model.Queued, 1},
		{"the worker runs it", "once", 0, func(f *fixture) { f.grant("w1", "boot", listed(model.TaskRunning)...) }, model.Running, 0},
		{"the worker ran it", "once", 0, func(f *fixture) { f.grant("w1", "boot", listed(model.TaskDone)...) }, model.Done, 0},
		{"the worker left", "once", 0, func(f *fixture) { f.listWorkers("w2"); f.tick(0) }, model.Queued, 1},
		{"deadline", "once", time.Second, func(f *fixture) { f.tick(2 * time.Second) }, model.Unknown, 0},
		{"cancelled", "once", 0, func(f *fixture) { f.cancel("dc-a:k") }, model.Unknown, 0},
		{"worker, then cancelled", "gang", 0, func(f *fixture) { f.grant("w1", "boot-2"); f.cancel("dc-a:k") }, model.Queued, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixtureInDoubt(t, tc.service, tc.deadline)
			tc.act(f)
			f.wantFate("dc-a:k", tc.want)
			assert.Equal(t, f.countStarts("dc-a:k"), tc.starts)
		})
	}
}

// In doubt, a key that may have run before the loss must be refused and a request
// issued after it accepted. The doubt must end once all workers have granted leases.
func TestDoubtBeginsAndEnds(t *testing.T) {
	f := newFixtureInDoubt(t, "once", 0)
	doubtSince := f.now
	submit := func(key, service string, issuedAt time.Time) *fault.Error {
		r := f.request(key, service)
		r.IssuedAt = issuedAt
		_, err := f.c.Submit(f.now, r)
		f.run()
		return err
	}
	wantFault(t, submit("dc-a:1", "once", time.Time{}), fault.FateInDoubt)
	wantFault(t, submit("dc-a:1", "once", doubtSince), fault.FateInDoubt)
	wantFault(t, submit("dc-a:2", "batch", time.Time{}), fault.FateInDoubt)
	assert.Assert(t, submit("dc-a:3", "once", doubtSince.Add(time.Second)) == nil)
	_, err := f.c.Fate("dc-a:1")
	wantFault(t, err, fault.FateInDoubt)
	f.tick(stopTimeout)
	wantFault(t, submit("dc-a:1", "once", time.Time{}), fault.FateInDoubt)
	assert.Assert(t, submit("dc-a:2", "batch", time.Time{}) == nil)
	f.grant("w1", "boot")
	assert.Assert(t, !f.c.InDoubt())
	assert.Assert(t, submit("dc-a:1", "once", time.Time{}) == nil)
	_, err = f.c.Fate("dc-a:4")
	wantFault(t, err, fault.NotFound)
}

// The doubt must last until every source of records was read, or until the retention
// has passed.
func TestDoubtNeedsEverySource(t *testing.T) {
	for _, tc := range []struct {
		name     string
		recovery Recovery
		answer   func(*fixture)
	}{
		{"journal", Recovery{Term: 1}, func(f *fixture) { f.c.HandleJournalRead(f.now) }},
		{"other data centre", Recovery{Term: 1, JournalRead: true, PendingDataCentres: []model.DataCentre{dcOther}}, func(f *fixture) { f.c.HandleDataCentreAnswer(f.now, dcOther) }},
		{"worker", Recovery{Term: 1, JournalRead: true}, func(f *fixture) { f.grant("w1", "boot") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newStandby(t, "w1")
			if tc.name != "worker" {
				f.grant("w1", "boot")
			}
			f.c.StartServing(f.now, tc.recovery)
			f.tick(time.Second)
			assert.Assert(t, f.c.InDoubt())
			tc.answer(f)
			assert.Assert(t, !f.c.InDoubt())
		})
	}
	t.Run("retention", func(t *testing.T) {
		f := newStandby(t, "w1")
		f.c.StartServing(f.now, Recovery{Term: 1})
		f.tick(DefaultRetention + time.Second)
		assert.Assert(t, !f.c.InDoubt())
	})
}

// A restored request past its deadline must be reported as unknown, not as cancelled:
// the lost owner may have started another attempt on a worker that is not reachable.
func TestLateAttemptInDoubtIsUnknown(t *testing.T) {
	f := newFixture(t, "w1")
	r := f.request("dc-a:k", "batch")
	r.Deadline = f.now.Add(5 * time.Second)
	_, err := f.c.Submit(f.now, r)
	assert.Assert(t, err == nil, "%v", err)
	f.run()
	f.report("dc-a:k", 0, model.TaskRunning)
	f.report("dc-a:k", 0, model.TaskFailed)
	s := f.successor("w1")
	s.c.StartServing(s.now, Recovery{Term: 2, JournalRead: true})
	s.tick(6 * time.Second)
	s.wantFate("dc-a:k", model.Unknown)
}
