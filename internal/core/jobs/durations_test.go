package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Guards against a task that works for minutes and is stopped again and again, because its progress
// in whole percent stands still for longer than a worker may without counting as stalled; and
// against runs that stand still and are never started elsewhere.
func TestRunIsStoppedOnlyIfItStandsStillForItsDuration(t *testing.T) {
	for _, tc := range []struct {
		name     string
		estimate time.Duration
		// works is how long the run takes; 0 for one that stands still.
		works   time.Duration
		stopped bool
	}{
		{"minutes of work", 4 * time.Minute, 4 * time.Minute, false},
		{"minutes of work, estimate too short", 2 * time.Minute, 4 * time.Minute, false},
		{"minutes of work, no estimate", 0, 4 * time.Minute, false},
		{"seconds of work", 5 * time.Second, 5 * time.Second, false},
		{"stands still", 5 * time.Second, 0, true},
		{"long one stands still", 4 * time.Minute, 0, true},
		{"stands still, no estimate", 0, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestBench(t)
			b.addWorkers("w1")
			step := smallStep(1)
			step.Estimate = tc.estimate
			b.submit("j1", step)
			starts := b.step()
			assert.Equal(t, len(starts), 1)
			started, stopped := b.now, false
			watched := 20 * time.Second
			if tc.works > 0 {
				watched = min(watched, tc.works-time.Second)
			}
			for end := b.now.Add(watched); b.now.Before(end) && !stopped; {
				out := b.advance(stepTime)
				stopped = len(out.Stops) > 0
				percent := 0
				if tc.works > 0 {
					percent = min(int(b.now.Sub(started)*100/tc.works), 99)
				}
				b.answerSyncs(out, map[model.WorkerID]SyncResult{"w1": {Running: []RunReport{{Task: starts[0].Task, Run: starts[0].Run, Percent: percent}}}})
			}
			assert.Equal(t, stopped, tc.stopped)
		})
	}
}
