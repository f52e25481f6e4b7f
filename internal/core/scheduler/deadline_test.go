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
		{"starting, then refused", []model.WorkerID{"w1"}, func(b *fixture) {
			b.now = b.now.Add(2 * time.Second)
			b.reportNotStarted("dc-a:k", 0)
		}, model.NotRun, ""},
		{"running", []model.WorkerID{"w1"}, func(b *fixture) { b.report("dc-a:k", 0, model.TaskRunning) }, model.Running, model.Done},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newFixture(t, tc.workers...)
			r := b.request("dc-a:k", "once")
			r.Deadline = b.now.Add(time.Second)
			_, err := b.c.Submit(b.now, r)
			assert.Assert(t, err == nil, "%v", err)
			b.run()
			tc.before(b)
			b.tick(2 * time.Second)
			b.wantFate("dc-a:k", tc.want)
			if tc.after != "" {
				b.report("dc-a:k", 0, model.TaskDone)
				b.wantFate("dc-a:k", tc.after)
			}
			assert.Assert(t, b.countStarts("dc-a:k") <= 1)
			b.wantIdle()
		})
	}
}

// A submission whose deadline has passed must be refused.
func TestSubmissionPastDeadlineIsRefused(t *testing.T) {
	b := newFixture(t, "w1")
	r := b.request("dc-a:k", "once")
	r.Deadline = b.now
	_, err := b.c.Submit(b.now, r)
	wantFault(t, err, fault.DeadlineExceeded)
}

// A running task must be stopped at its deadline, with a single stop, if its service is
// configured so, and run on otherwise.
func TestOnDeadlineStopStopsRunningTask(t *testing.T) {
	for _, mode := range []string{text.DeadlineContinue, text.DeadlineStop} {
		b := newFixture(t, "w1")
		b.publish(func(c *text.Config) { c.Services[1].OnDeadline = mode })
		r := b.request("dc-a:k", "once")
		r.Deadline = b.now.Add(time.Second)
		_, err := b.c.Submit(b.now, r)
		assert.Assert(t, err == nil, "%v", err)
		b.run()
		b.report("dc-a:k", 0, model.TaskRunning)
		b.tick(2 * time.Second)
		b.tick(time.Second)
		if mode == text.DeadlineContinue {
			assert.Equal(t, len(b.stops["w1"]), 0)
			continue
		}
		assert.Equal(t, len(b.stops["w1"]), 1, "want a single stop, not one for each tick")
		b.report("dc-a:k", 0, model.TaskStopped)
		b.wantFate("dc-a:k", model.Cancelled)
		assert.Equal(t, b.record("dc-a:k").Reason, model.ReasonDeadline)
		b.wantIdle()
	}
}
