package jobs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/runtimes"
)

// runTask submits a job of one task and ends its run after a certain time.
func (b *testBench) runTask(id string, estimate, took time.Duration, kind EndKind, seq int64) {
	b.t.Helper()
	s := smallStep(1)
	s.Estimate = estimate
	b.submit(id, s)
	starts := b.step()
	for wait := 0; len(starts) == 0 && wait < 200; wait++ {
		starts = b.step()
	}
	assert.Equal(b.t, len(starts), 1)
	run := RunReport{Task: starts[0].Task, Run: starts[0].Run, Percent: 50}
	for worked := time.Duration(0); worked < took; worked += stepTime {
		b.answerSyncs(b.advance(stepTime), map[model.WorkerID]SyncResult{"w1": {Running: []RunReport{run}}})
		run.Percent = min(run.Percent+1, 99)
	}
	out := b.advance(0)
	for len(out.Syncs) == 0 {
		out = b.advance(stepTime)
	}
	b.answerSyncs(out, map[model.WorkerID]SyncResult{"w1": {Ends: []RunEnd{{Seq: seq, Task: run.Task, Run: run.Run, Kind: kind}}}})
}

// learnedMedian returns the median that the leader has learned for queue q.
func learnedMedian(c *Core) time.Duration {
	for _, s := range c.RunTimes() {
		if s.Queue == "q" {
			return s.Median
		}
	}
	return 0
}

// Guards against run times that cause writes of their own or are written too often, and against a
// successor that begins without them.
func TestSuccessorBeginsWithTheStoredRunTimes(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	var stored []RunTimeRecord
	var storedAt []time.Time
	for i := range 40 {
		b.runTask(fmt.Sprint("j", i), 0, 300*time.Millisecond, EndDone, int64(i+1))
		batch := b.storeBatch()
		assert.Assert(t, batch == nil || len(batch.RunTimes) == 0 || len(batch.Accepted)+len(batch.Progress)+len(batch.Workers) > 0)
		if batch != nil && len(batch.RunTimes) > 0 {
			stored, storedAt = batch.RunTimes, append(storedAt, b.now)
		}
	}
	assert.Assert(t, len(storedAt) >= 2)
	for i := 1; i < len(storedAt); i++ {
		assert.Assert(t, storedAt[i].Sub(storedAt[i-1]) >= runTimeStoreInterval-time.Second)
	}
	cfg := testConfig()
	cfg.Token = 2
	next := New(cfg)
	next.Restore(b.now, b.now, Snapshot{RunTimes: stored})
	got, want := learnedMedian(next), learnedMedian(b.core)
	assert.Assert(t, got > want*9/10 && got < want*11/10, "%v after %v", got, want)
}

// Guards against a leader that uses a record which it cannot read, or of which it says nothing.
func TestUnusableRunTimesAreLeftOut(t *testing.T) {
	m := runtimes.New()
	for range 20 {
		m.Observe(runtimes.Key{Queue: "q"}, time.Second, true)
	}
	good := RunTimeRecord{Queue: "q", Token: 1, Format: runtimes.Format, Model: m.Encode("q")}
	for name, change := range map[string]func(r *RunTimeRecord){
		"format":  func(r *RunTimeRecord) { r.Format++ },
		"token":   func(r *RunTimeRecord) { r.Token = 9 },
		"damaged": func(r *RunTimeRecord) { r.Model = append([]byte{1}, r.Model[1:]...) },
		"size":    func(r *RunTimeRecord) { r.Model = make([]byte, runtimes.MaxEncodedBytes+1) },
	} {
		t.Run(name, func(t *testing.T) {
			r := good
			change(&r)
			c := New(testConfig())
			c.Restore(startTime, startTime, Snapshot{RunTimes: []RunTimeRecord{r}})
			assert.Equal(t, len(c.RunTimes()), 0)
			assert.Equal(t, c.TakeActions().Events[0].Name, EventRunTimesUnusable)
		})
	}
	c := New(testConfig())
	c.Restore(startTime, startTime, Snapshot{RunTimes: []RunTimeRecord{good}})
	assert.Equal(t, len(c.RunTimes()), 1)
}

// Guards against records of removed queues that stay in the store.
func TestRunTimesOfRemovedQueuesAreDeleted(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	m := runtimes.New()
	m.Observe(runtimes.Key{Queue: "removed"}, time.Second, true)
	b.core.restoreRunTimes([]RunTimeRecord{{Queue: "removed", Format: runtimes.Format, Model: m.Encode("removed")}})
	assert.Equal(t, len(b.core.RunTimes()), 1)
	b.advance(runTimeStoreInterval)
	resp := b.core.Submit(b.now, &Spec{ID: "j1", Queue: "q", Steps: []Step{smallStep(1)}}, 1)
	assert.Assert(t, resp == nil)
	assert.DeepEqual(t, b.storeBatch().DropRunTimes, []string{"removed"})
	assert.Equal(t, len(b.core.RunTimes()), 0)
}

// Guards against runs that were stopped or failed and count as short ones.
func TestFailedRunsAreLowerBounds(t *testing.T) {
	b := newTestBench(t, Queue{Name: "q", Service: "s", MaxAttempts: 1, Slack: 2, Target: time.Second})
	b.addWorkers("w1")
	for i := range 12 {
		kind, took := EndDone, time.Second
		if i%2 == 0 {
			kind, took = EndFailed, 200*time.Millisecond
		}
		b.runTask(fmt.Sprint("j", i), 0, took, kind, int64(i+1))
		b.storeBatch()
	}
	got := learnedMedian(b.core)
	assert.Assert(t, got > 800*time.Millisecond, "median %v", got)
}

// Guards against a worker that is much slower than the others and makes its tasks look longer, and
// against a shift of all run times that is taken for slow workers.
func TestOnlySlowWorkersAreScaled(t *testing.T) {
	c := New(testConfig())
	c.usualSlowdown = 1
	assert.Equal(t, c.usualTime(&worker{slowdown: 4}, 4*time.Second), time.Second)
	assert.Equal(t, c.usualTime(&worker{slowdown: 1.5}, 4*time.Second), 4*time.Second)
	c.usualSlowdown = 4
	assert.Equal(t, c.usualTime(&worker{slowdown: 4}, 4*time.Second), 4*time.Second)
}

// Guards against a median that is further from the run times than the fit which it replaces, for estimates
// of different quality.
func TestMedianIsAsCloseAsTheFit(t *testing.T) {
	for _, spread := range []float64{0, 0.2, 0.5, 0.9} {
		rng := rand.New(rand.NewPCG(1, 1))
		learned, fit := &learnedRunTimes{model: runtimes.New()}, newDurationEstimator()
		learnedError, fitError := 0.0, 0.0
		for i := range 3000 {
			took := 2 * math.Exp(0.5*rng.NormFloat64())
			def := smallStep(1)
			def.Estimate = time.Duration(took * math.Exp(spread*rng.NormFloat64()) * float64(time.Second))
			s := newJob(&Spec{ID: "j", Steps: []Step{def}}, &Queue{Name: "q"}, 1, startTime).newOccurrence(0, startTime).steps[0]
			if i >= 100 {
				learnedError += math.Abs(math.Log(learned.quantile(s, medianRunTime).Seconds() / took))
				fitError += math.Abs(math.Log(fit.quantile(s, medianRunTime).Seconds() / took))
			}
			o := observedRun{task: &s.tasks[0], took: time.Duration(took * float64(time.Second)), succeeded: true}
			learned.observe(&o)
			fit.observe(&o)
		}
		t.Logf("estimates with spread %.1f: mean error of the logarithm %.3f, that of the fit %.3f", spread, learnedError/2900, fitError/2900)
		assert.Assert(t, learnedError <= 1.05*fitError+0.01*2900)
	}
}
