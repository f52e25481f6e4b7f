package bench

import (
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

const examples = "../../examples"

// TestQuickParts checks that the parts that need no other processes return figures
// and targets and start nothing above a worker's capacity.
func TestQuickParts(t *testing.T) {
	for _, part := range []string{PartWaiting, PartPacking, PartSlopes} {
		t.Run(part, func(t *testing.T) {
			r, err := Run(t.Context(), Options{ExamplesDir: examples, Part: part, Quick: true, Seed: 1}, io.Discard)
			assert.NilError(t, err)
			assert.Assert(t, len(r.Waiting)+len(r.Packing)+len(r.Slopes) > 0)
			assert.Assert(t, len(r.Targets) > 0)
		})
	}
}

// TestUnknownPart checks that a misspelled part is an error and does not pass
// without measurements.
func TestUnknownPart(t *testing.T) {
	_, err := Run(t.Context(), Options{Part: "wating"}, io.Discard)
	assert.ErrorContains(t, err, "unknown part")
}

// TestEqualSeedsGiveEqualRuns checks that runs with the same seed return the same
// figures.
func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	for kind := range systemCount {
		var runs [2]WaitingRun
		for i := range runs {
			var err error
			runs[i], err = runWaiting(Options{ExamplesDir: examples, Quick: true, Seed: 3}, &users[0], scenarios[5], kind)
			assert.NilError(t, err)
			runs[i].WallSeconds = 0
		}
		assert.DeepEqual(t, runs[0], runs[1])
	}
}

// overcommitting is a system that starts all tasks on one worker.
type overcommitting struct {
	waiting []start
}

func (o *overcommitting) name() string { return coreSystemName }
func (o *overcommitting) submit(_ time.Time, j *job) bool {
	o.waiting = append(o.waiting, start{"w00", model.TaskID{Key: j.req.Key}, 1, j.req.Size})
	return true
}
func (o *overcommitting) cancel(time.Time, *job)                               {}
func (o *overcommitting) taskEnded(time.Time, start, bool)                     {}
func (o *overcommitting) taskStopped(time.Time, start)                         {}
func (o *overcommitting) recordUsage(time.Time, model.WorkerID, []model.Usage) {}
func (o *overcommitting) plannedSize(s start) model.Size                       { return s.size }
func (o *overcommitting) tick(time.Time)                                       {}
func (o *overcommitting) takeActions(time.Time) (starts []start, stops []stop) {
	starts, o.waiting = o.waiting, nil
	return starts, nil
}

// TestOverCapacityFailsRun checks that starts above a worker's capacity are counted
// and fail the run and its target.
func TestOverCapacityFailsRun(t *testing.T) {
	u := &users[0]
	cfg, err := u.loadText(examples)
	assert.NilError(t, err)
	jobs := u.workload(cfg, scenarios[0], 10*time.Second, 1)
	res := newSimulation(&overcommitting{}, jobs, u.workers(), 0, 10*time.Second, 1).run()
	assert.Assert(t, res.overCapacityStarts > 0)
	r := &Report{Waiting: []WaitingRun{{System: coreSystemName, Starts: res.starts, OverCapacityStarts: res.overCapacityStarts}}}
	assert.Assert(t, errors.Is(r.checkCapacity(), ErrOverCapacity))
	r.evaluateTargets()
	assert.Equal(t, r.Targets[0].Pass, false)
}
