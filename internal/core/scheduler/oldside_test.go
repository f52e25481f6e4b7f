package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/split"
	"catkinvalve/internal/text"
)

// newOldSideFixture returns an owner whose request dc-a:k was sent to the old system.
func newOldSideFixture(t *testing.T) *fixture {
	f := newStandby(t)
	f.history = split.History{}
	f.publish(func(c *text.Config) { c.Services[1].NewPercent = 0 })
	f.serve(1)
	r := f.request("dc-a:k", "once")
	r.Deadline = f.now.Add(time.Minute)
	_, err := f.c.Submit(f.now, r)
	assert.Assert(t, err == nil, "%v", err)
	f.run()
	assert.Equal(t, len(f.oldRuns), 1)
	return f
}

// After a takeover, a request that the earlier owner may have sent to the old system
// must not be reported as not run.
func TestOldSideTakeoverIsNotReportedNotRun(t *testing.T) {
	for _, tc := range []struct {
		name string
		act  func(*fixture)
	}{
		{"cancelled before the next send", func(s *fixture) { s.cancel("dc-a:k") }},
		{"nothing sent until the deadline", func(s *fixture) {
			s.tick(2 * time.Minute)
			s.c.HandleOldSystemReport(s.now, OldSystemReport{Key: "dc-a:k", NotSent: true})
		}},
		{"cancelled, then nothing sent", func(s *fixture) {
			s.cancel("dc-a:k")
			s.c.HandleOldSystemReport(s.now, OldSystemReport{Key: "dc-a:k", NotSent: true})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newOldSideFixture(t).successor()
			s.c.StartServing(s.now, Recovery{Term: 2, PeerSynced: true, JournalRead: true})
			tc.act(s)
			s.run()
			rec := s.record("dc-a:k")
			assert.Assert(t, rec.Fate != model.NotRun, "fate %s, reason %s", rec.Fate, rec.Reason)
			if !rec.Fate.Terminal() {
				s.c.HandleOldSystemReport(s.now, OldSystemReport{Key: "dc-a:k", Fate: model.Done, OK: true})
				s.run()
				s.wantFate("dc-a:k", model.Done)
			}
		})
	}
}

// newLookupFixture returns an owner that asks the old system about dc-a:k, because the
// percentage of its service on the new system grew from 0 to 100.
func newLookupFixture(t *testing.T) *fixture {
	f := newStandby(t, "w1")
	f.history = split.History{}
	f.publish(func(c *text.Config) { c.Services[1].NewPercent = 0 })
	f.publish(func(c *text.Config) { c.Services[1].NewPercent = 100 })
	f.serve(1)
	f.grant("w1", "boot")
	r := f.request("dc-a:k", "once")
	r.Deadline = f.now.Add(time.Minute)
	_, err := f.c.Submit(f.now, r)
	assert.Assert(t, err == nil, "%v", err)
	f.run()
	assert.DeepEqual(t, f.lookups, []string{"dc-a:k"})
	return f
}

// After a change of a service's percentage, a key must not run on both systems, and a
// key that the old system may have run must not be reported as not run.
func TestLookupDecidesSideOfMovedKey(t *testing.T) {
	answer := func(known, unavailable bool) func(*fixture) {
		return func(f *fixture) { f.c.HandleOldSystemLookup(f.now, "dc-a:k", known, unavailable) }
	}
	cancel := func(f *fixture) { f.cancel("dc-a:k") }
	late := func(f *fixture) { f.tick(2 * time.Minute) }
	takeover := func(f *fixture) {
		s := f.successor("w1")
		s.text, s.history = f.text, f.history
		s.publish(func(*text.Config) {})
		s.grant("w1", "boot")
		s.serve(2)
		assert.DeepEqual(f.t, s.lookups, []string{"dc-a:k"})
		*f = *s
	}
	for _, tc := range []struct {
		name   string
		steps  []func(*fixture)
		want   model.Fate
		onOld  int
		starts int
	}{
		{"known", []func(*fixture){answer(true, false)}, model.Queued, 1, 0},
		{"not known", []func(*fixture){answer(false, false)}, model.Queued, 0, 1},
		{"no answer yet", []func(*fixture){answer(false, true)}, model.Queued, 0, 0},
		{"no answer until the deadline", []func(*fixture){late, answer(false, true)}, model.Unknown, 0, 0},
		{"cancelled, known", []func(*fixture){cancel, answer(true, false)}, model.Queued, 1, 0},
		{"cancelled, not known", []func(*fixture){cancel, answer(false, false)}, model.NotRun, 0, 0},
		{"cancelled, no answer yet", []func(*fixture){cancel, answer(false, true)}, model.Queued, 0, 0},
		{"takeover, known", []func(*fixture){takeover, answer(true, false)}, model.Queued, 1, 0},
		{"takeover, not known", []func(*fixture){takeover, answer(false, false)}, model.Queued, 0, 1},
		{"cancelled, takeover, known", []func(*fixture){cancel, takeover, answer(true, false)}, model.Queued, 1, 0},
		{"cancelled, takeover, not known", []func(*fixture){cancel, takeover, answer(false, false)}, model.NotRun, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newLookupFixture(t)
			f.t = t
			for _, step := range tc.steps {
				step(f)
				f.run()
			}
			f.wantFate("dc-a:k", tc.want)
			assert.Equal(t, len(f.oldRuns), tc.onOld)
			assert.Equal(t, f.countStarts("dc-a:k"), tc.starts)
		})
	}
}

// After a takeover, the old system must be asked about a cancelled request instead of
// being sent it.
func TestCancelledOldSideRequestIsLookedUpNotSent(t *testing.T) {
	f := newOldSideFixture(t)
	f.cancel("dc-a:k")
	f.replicas["dc-a:k"] = f.record("dc-a:k")
	s := f.successor()
	s.serve(2)
	assert.Equal(t, len(s.oldRuns), 0)
	assert.DeepEqual(t, s.lookups, []string{"dc-a:k"})
	s.c.HandleOldSystemLookup(s.now, "dc-a:k", false, false)
	s.run()
	s.wantFate("dc-a:k", model.NotRun)
}
