package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
)

// successor returns a standby with the replicated records, which the test makes the
// next owner.
func (f *fixture) successor(workers ...model.WorkerID) *fixture {
	f.t.Helper()
	s := newStandby(f.t, workers...)
	s.now = f.now
	for _, r := range f.replicas {
		s.c.Restore(s.now, r)
	}
	return s
}

// An owner in its second term must not start tasks on workers whose lease it does not
// hold yet in that term.
func TestNoStartWithoutLeaseInSecondTerm(t *testing.T) {
	f := newFixture(t, "w1")
	f.c.StepDown()
	f.serve(3)
	f.submit("dc-a:k", "batch")
	f.wantTask("dc-a:k", 0, model.TaskQueued)
	assert.Equal(t, f.countStarts("dc-a:k"), 0)
	f.grant("w1", "boot")
	assert.Equal(t, f.countStarts("dc-a:k"), 1)
}

// A daemon that becomes owner again must follow the requests that it delegated in its
// earlier term.
func TestDelegationIsFollowedInSecondTerm(t *testing.T) {
	f := newDelegatedFixture(t)
	f.c.StepDown()
	f.clearCollected()
	f.serve(3)
	assert.Equal(t, len(f.delegations), 1)
	// Without MaybeSent, a failed first call would be taken for a refusal.
	assert.Assert(t, f.delegations[0].MaybeSent)
}

// newWaitingFixture returns an owner without workers whose request dc-a:k is delegated
// to another data centre at the next tick.
func newWaitingFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.submit("dc-a:k", "quick")
	f.now = f.now.Add(time.Second)
	f.c.SetRemoteLoad(f.now, dcOther, "r", membership.Load{Free: oneSlot.Times(4), LargestFree: oneSlot.Times(4), Workers: 1})
	return f
}

// newDelegatedFixture returns an owner that delegated dc-a:k.
func newDelegatedFixture(t *testing.T) *fixture {
	f := newWaitingFixture(t)
	f.tick(0)
	assert.Equal(t, len(f.delegations), 1)
	assert.Assert(t, !f.delegations[0].MaybeSent)
	return f
}

// After a takeover, an ended task must not run again although its worker has forgotten
// it and other tasks of the request still run.
func TestEndedTaskOfRunningRequestSurvivesTakeover(t *testing.T) {
	for _, end := range []model.TaskState{model.TaskDone, model.TaskFailed, model.TaskStopped} {
		f := newFixture(t, "w1")
		r := f.request("dc-a:k", "once")
		r.Tasks = 2
		_, err := f.c.Submit(f.now, r)
		assert.Assert(t, err == nil, "%v", err)
		f.run()
		f.report("dc-a:k", 0, model.TaskRunning)
		f.report("dc-a:k", 1, model.TaskRunning)
		f.report("dc-a:k", 0, end)
		s := f.successor("w1")
		s.grant("w1", "boot", f.inventory("dc-a:k", 1, model.TaskRunning))
		s.serve(2)
		s.tick(time.Second)
		assert.Equal(t, s.countStarts("dc-a:k"), 0, "after %s", end)
	}
}

// After a takeover, a cancelled request whose start the worker never accepted must be
// reported as not run and not as unknown.
func TestCancelledStartThatWasNotAcceptedIsNotRun(t *testing.T) {
	f := newFixture(t, "w1")
	f.submit("dc-a:k", "once")
	f.cancel("dc-a:k")
	f.wantTask("dc-a:k", 0, model.TaskStopping)
	s := f.successor("w1")
	s.c.HandleLeaseGranted(s.now, LeaseGrant{Worker: "w1", BootID: "boot", Capacity: oneSlot.Times(2)})
	s.serve(2)
	s.wantFate("dc-a:k", model.NotRun)
	s.wantIdle()
}

// A new owner must journal recent fates again, because the earlier owner may have died
// before its journal reached the log.
func TestNewOwnerJournalsRecentFates(t *testing.T) {
	f := newFixture(t, "w1")
	f.submit("dc-a:k", "batch")
	f.report("dc-a:k", 0, model.TaskDone)
	s := f.successor("w1")
	s.c.StartServing(s.now, Recovery{Term: 2, PeerSynced: true})
	a := s.c.TakeActions()
	assert.Equal(t, len(a.RecordsToJournal), 1)
	assert.Equal(t, a.RecordsToJournal[0].Fate, model.Done)
}

// A record that another data centre reports must not replace the home's own record,
// although its term, which belongs to that other data centre, is higher.
func TestHomeRecordOutweighsReportOfAnotherDataCentre(t *testing.T) {
	f := newFixture(t, "w1")
	f.submit("dc-a:k", "batch")
	f.report("dc-a:k", 0, model.TaskDone)
	own := f.replicas["dc-a:k"]
	s := newStandby(t, "w1")
	reported := own
	reported.Fate, reported.Term = model.Unknown, own.Term+100
	s.c.RestoreDelegated(dcOther, reported)
	s.c.Restore(s.now, own)
	assert.Equal(t, s.record("dc-a:k").Fate, model.Done)
}

// A drain that an operator requested must survive a change of the owner.
func TestDrainSurvivesTakeover(t *testing.T) {
	f := newFixture(t, "w1", "w2")
	_, found := f.c.Drain(f.now, "w1")
	assert.Assert(t, found)
	s := f.successor("w1", "w2")
	s.c.SetRequestedDrains(s.now, f.c.RequestedDrains())
	s.serve(2)
	s.grant("w1", "boot")
	s.grant("w2", "boot")
	assert.Equal(t, s.c.Workers(s.now)[0].State, "draining")
	assert.Equal(t, s.c.Workers(s.now)[1].State, "available")
}
