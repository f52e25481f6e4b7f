package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/text"
)

// A task must not start after the deadline, and one that started before it must run to
// its end.
func TestDeadlineInEachState(t *testing.T) {
	for _, tc := range []struct {
		name    string
		workers []model.WorkerID
		before  func(*fixture)
		want    model.Fate
		after   model.Fate // once the task is reported done
	}{
		{"queued", nil, func(*fixture) {}, model.NotRun, ""},
		{"starting", []model.WorkerID{"w1"}, func(*fixture) {}, model.Queued, model.Done},
		{"starting, then refused", []model.WorkerID{"w1"}, func(f *fixture) {
			f.now = f.now.Add(2 * time.Second)
			f.reportNotStarted("dc-a:k", 0)
		}, model.NotRun, ""},
		{"running", []model.WorkerID{"w1"}, func(f *fixture) { f.report("dc-a:k", 0, model.TaskRunning) }, model.Running, model.Done},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, tc.workers...)
			r := f.request("dc-a:k", "once")
			r.Deadline = f.now.Add(time.Second)
			_, err := f.c.Submit(f.now, r)
			assert.Assert(t, err == nil, "%v", err)
			f.run()
			tc.before(f)
			f.tick(2 * time.Second)
			f.wantFate("dc-a:k", tc.want)
			if tc.after != "" {
				f.report("dc-a:k", 0, model.TaskDone)
				f.wantFate("dc-a:k", tc.after)
			}
			assert.Assert(t, f.countStarts("dc-a:k") <= 1)
			f.wantIdle()
		})
	}
}

// A submission whose deadline has passed must be refused.
func TestSubmissionPastDeadlineIsRefused(t *testing.T) {
	f := newFixture(t, "w1")
	r := f.request("dc-a:k", "once")
	r.Deadline = f.now
	_, err := f.c.Submit(f.now, r)
	wantFault(t, err, fault.DeadlineExceeded)
}

// A running task must be stopped at its deadline, with a single stop, if its service is
// configured so, and run on otherwise.
func TestOnDeadlineStopStopsRunningTask(t *testing.T) {
	for _, mode := range []string{text.DeadlineContinue, text.DeadlineStop} {
		f := newFixture(t, "w1")
		f.publish(func(c *text.Config) { c.Services[1].OnDeadline = mode })
		r := f.request("dc-a:k", "once")
		r.Deadline = f.now.Add(time.Second)
		_, err := f.c.Submit(f.now, r)
		assert.Assert(t, err == nil, "%v", err)
		f.run()
		f.report("dc-a:k", 0, model.TaskRunning)
		f.tick(2 * time.Second)
		f.tick(time.Second)
		if mode == text.DeadlineContinue {
			assert.Equal(t, len(f.stops["w1"]), 0)
			continue
		}
		assert.Equal(t, len(f.stops["w1"]), 1, "want a single stop, not one for each tick")
		f.report("dc-a:k", 0, model.TaskStopped)
		f.wantFate("dc-a:k", model.Cancelled)
		assert.Equal(t, f.record("dc-a:k").Reason, model.ReasonDeadline)
		f.wantIdle()
	}
}
