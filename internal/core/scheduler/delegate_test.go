package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// A delegated request must follow the reports of the other data centre: it must not run
// at home as well, get lost, or get a fate that was not reported.
func TestDelegatedRequestFollowsReports(t *testing.T) {
	record := func(fate model.Fate) DelegationReport {
		return DelegationReport{Key: "dc-a:k", Record: &model.Record{Fate: fate, OK: fate == model.Done, Tasks: []model.TaskRecord{{}}}}
	}
	for _, tc := range []struct {
		name    string
		reports []DelegationReport
		cancel  bool
		want    model.Fate
		home    bool // the request is queued at home again
	}{
		{"queued there", []DelegationReport{record(model.Queued)}, false, model.Queued, false},
		{"running there", []DelegationReport{record(model.Running)}, false, model.Running, false},
		{"done there", []DelegationReport{record(model.Running), record(model.Done)}, false, model.Done, false},
		{"unknown there", []DelegationReport{record(model.Unknown)}, false, model.Unknown, false},
		{"refused", []DelegationReport{{Key: "dc-a:k", NotRun: true}}, false, model.Queued, true},
		{"accepted, then shed there", []DelegationReport{record(model.Queued), record(model.NotRun)}, false, model.Queued, true},
		{"answer was lost", []DelegationReport{{Key: "dc-a:k"}}, false, model.Queued, false},
		{"cancelled, stopped there", []DelegationReport{record(model.Running), record(model.Cancelled)}, true, model.Cancelled, false},
		{"cancelled, refused", []DelegationReport{{Key: "dc-a:k", NotRun: true}}, true, model.NotRun, false},
		{"cancelled, finished first", []DelegationReport{record(model.Done)}, true, model.Done, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newDelegatedFixture(t)
			if tc.cancel {
				f.cancel("dc-a:k")
				assert.Equal(t, len(f.delegationCancels), 1)
			}
			for _, r := range tc.reports {
				f.c.HandleDelegationReport(f.now, r)
				f.run()
			}
			f.wantFate("dc-a:k", tc.want)
			assert.Equal(t, f.record("dc-a:k").DelegatedTo == "", tc.home || tc.want == model.NotRun)
			assert.Equal(t, len(f.c.Waiting()) == 1, tc.home)
			if tc.want.Terminal() {
				f.wantIdle()
			}
		})
	}
}

// A new owner whose copy of the record is older than the delegation must not start the
// request at home while another data centre runs it.
func TestRecoveredDelegationIsNotStartedAtHome(t *testing.T) {
	remote := model.Record{
		Request: model.Request{Key: "dc-a:k", Service: "once", Class: model.Batch, Size: oneSlot, Tasks: 1}, Side: model.NewSide,
		Fate: model.Running, Tasks: []model.TaskRecord{{State: model.TaskRunning, Worker: "x", Attempt: 1}},
	}
	for _, late := range []bool{false, true} {
		f := newFixture(t)
		f.submit("dc-a:k", "once")
		s := f.successor("w1")
		s.grant("w1", "boot")
		if !late {
			s.c.RestoreDelegated(dcOther, remote)
		}
		s.c.StartServing(s.now, Recovery{Term: 2, JournalRead: true, PendingDataCentres: []model.DataCentre{dcOther}})
		s.run()
		if late {
			s.c.RestoreDelegated(dcOther, remote)
		}
		s.c.HandleDataCentreAnswer(s.now, dcOther)
		s.tick(time.Second)
		assert.Equal(t, s.countStarts("dc-a:k"), 0)
		assert.Equal(t, len(s.delegations), 1, "the new owner must follow the request")
		s.c.HandleDelegationReport(s.now, DelegationReport{Key: "dc-a:k", Record: &model.Record{Fate: model.Done, Tasks: []model.TaskRecord{{}}}})
		s.run()
		s.wantFate("dc-a:k", model.Done)
		s.wantIdle()
	}
}

// A delegation of an owner that was replaced must be refused.
func TestDelegationOfOldTermIsRefused(t *testing.T) {
	f := newFixture(t, "w1")
	r := f.request("dc-b:k", "once")
	_, err := f.c.SubmitDelegated(f.now, dcOther, 5, r)
	assert.Assert(t, err == nil, "%v", err)
	f.run()
	records, err := f.c.RecoverHome(dcOther, 6)
	assert.Assert(t, err == nil, "%v", err)
	assert.Equal(t, len(records), 1)
	r.Key = "dc-b:2"
	_, err = f.c.SubmitDelegated(f.now, dcOther, 5, r)
	wantFault(t, err, fault.StaleTerm)
	assert.Equal(t, f.countStarts("dc-b:2"), 0)
}
