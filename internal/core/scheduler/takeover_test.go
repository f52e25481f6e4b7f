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
func (b *fixture) successor(workers ...model.WorkerID) *fixture {
	b.t.Helper()
	s := newStandby(b.t, workers...)
	s.now = b.now
	for _, r := range b.replicas {
		s.c.Restore(s.now, r)
	}
	return s
}

// An owner in its second term must not start tasks on workers whose lease it does not
// hold yet in that term.
func TestNoStartWithoutLeaseInSecondTerm(t *testing.T) {
	b := newFixture(t, "w1")
	b.c.StepDown()
	b.serve(3)
	b.submit("dc-a:k", "batch")
	b.wantTask("dc-a:k", 0, model.TaskQueued)
	assert.Equal(t, b.countStarts("dc-a:k"), 0)
	b.grant("w1", "boot")
	assert.Equal(t, b.countStarts("dc-a:k"), 1)
}

// A daemon that becomes owner again must follow the requests that it delegated in its
// earlier term.
func TestDelegationIsFollowedInSecondTerm(t *testing.T) {
	b := newDelegatedFixture(t)
	b.c.StepDown()
	b.clearCollected()
	b.serve(3)
	assert.Equal(t, len(b.delegations), 1)
	// Without MaybeSent, a failed first call would be taken for a refusal.
	assert.Assert(t, b.delegations[0].MaybeSent)
}

// newWaitingFixture returns an owner without workers whose request dc-a:k is delegated
// to another data centre at the next tick.
func newWaitingFixture(t *testing.T) *fixture {
	b := newFixture(t)
	b.submit("dc-a:k", "quick")
	b.now = b.now.Add(time.Second)
	b.c.SetRemoteLoad(b.now, dcOther, "r", membership.Load{Free: oneSlot.Times(4), LargestFree: oneSlot.Times(4), Workers: 1})
	return b
}

// newDelegatedFixture returns an owner that delegated dc-a:k.
func newDelegatedFixture(t *testing.T) *fixture {
	b := newWaitingFixture(t)
	b.tick(0)
	assert.Equal(t, len(b.delegations), 1)
	assert.Assert(t, !b.delegations[0].MaybeSent)
	return b
}

// After a takeover, an ended task must not run again although its worker has forgotten
// it and other tasks of the request still run.
func TestEndedTaskOfRunningRequestSurvivesTakeover(t *testing.T) {
	for _, end := range []model.TaskState{model.TaskDone, model.TaskFailed, model.TaskStopped} {
		b := newFixture(t, "w1")
		r := b.request("dc-a:k", "once")
		r.Tasks = 2
		_, err := b.c.Submit(b.now, r)
		assert.Assert(t, err == nil, "%v", err)
		b.run()
		b.report("dc-a:k", 0, model.TaskRunning)
		b.report("dc-a:k", 1, model.TaskRunning)
		b.report("dc-a:k", 0, end)
		s := b.successor("w1")
		s.grant("w1", "boot", b.inventory("dc-a:k", 1, model.TaskRunning))
		s.serve(2)
		s.tick(time.Second)
		assert.Equal(t, s.countStarts("dc-a:k"), 0, "after %s", end)
	}
}

// After a takeover, a cancelled request whose start the worker never accepted must be
// reported as not run and not as unknown.
func TestCancelledStartThatWasNotAcceptedIsNotRun(t *testing.T) {
	b := newFixture(t, "w1")
	b.submit("dc-a:k", "once")
	b.cancel("dc-a:k")
	b.wantTask("dc-a:k", 0, model.TaskStopping)
	s := b.successor("w1")
	s.c.HandleLeaseGranted(s.now, LeaseGrant{Worker: "w1", BootID: "boot", Capacity: oneSlot.Times(2)})
	s.serve(2)
	s.wantFate("dc-a:k", model.NotRun)
	s.wantIdle()
}

// A new owner must journal recent fates again, because the earlier owner may have died
// before its journal reached the log.
func TestNewOwnerJournalsRecentFates(t *testing.T) {
	b := newFixture(t, "w1")
	b.submit("dc-a:k", "batch")
	b.report("dc-a:k", 0, model.TaskDone)
	s := b.successor("w1")
	s.c.StartServing(s.now, Recovery{Term: 2, PeerSynced: true})
	a := s.c.TakeActions()
	assert.Equal(t, len(a.RecordsToJournal), 1)
	assert.Equal(t, a.RecordsToJournal[0].Fate, model.Done)
}

// A record that another data centre reports must not replace the home's own record,
// although its term, which belongs to that other data centre, is higher.
func TestHomeRecordOutweighsReportOfAnotherDataCentre(t *testing.T) {
	b := newFixture(t, "w1")
	b.submit("dc-a:k", "batch")
	b.report("dc-a:k", 0, model.TaskDone)
	own := b.replicas["dc-a:k"]
	s := newStandby(t, "w1")
	reported := own
	reported.Fate, reported.Term = model.Unknown, own.Term+100
	s.c.RestoreDelegated(dcOther, reported)
	s.c.Restore(s.now, own)
	assert.Equal(t, s.record("dc-a:k").Fate, model.Done)
}

// A drain that an operator requested must survive a change of the owner.
func TestDrainSurvivesTakeover(t *testing.T) {
	b := newFixture(t, "w1", "w2")
	_, found := b.c.Drain(b.now, "w1")
	assert.Assert(t, found)
	s := b.successor("w1", "w2")
	s.c.SetRequestedDrains(s.now, b.c.RequestedDrains())
	s.serve(2)
	s.grant("w1", "boot")
	s.grant("w2", "boot")
	assert.Equal(t, s.c.Workers(s.now)[0].State, "draining")
	assert.Equal(t, s.c.Workers(s.now)[1].State, "available")
}
