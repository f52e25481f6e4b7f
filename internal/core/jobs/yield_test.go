package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// newYieldBench returns a bench with two workers of 8 cores, of which a run keeps half of
// one busy, and a gang that needs both.
func newYieldBench(t *testing.T) *testBench {
	advice := &AdviceConfig{DecisionTime: 10 * time.Millisecond, TimePerWorker: time.Millisecond, Validity: 2 * time.Second}
	b := newTestBench(t, Queue{Name: "q", Service: "s", Priority: 1, MaxAttempts: 2, Slack: 2, Target: time.Second, Advice: advice},
		Queue{Name: "patient", Service: "s", Priority: 2, MaxAttempts: 2, Slack: 10, Target: time.Second})
	b.core.SetAdviceRelays([]string{"d1", "d2", "d3"})
	b.addWorkers("w1", "w2")
	blocker := smallStep(1)
	blocker.Size.MilliCPU, blocker.Estimate = 4000, time.Minute
	b.submit("blocker", blocker)
	b.step()
	b.step()
	gang := wholeWorkerStep(2, time.Minute)
	gang.Gang = true
	b.submit("gang", gang)
	b.step()
	return b
}

// stepTime is the time that step advances.
const stepTime = 50 * time.Millisecond

// step advances the time, answers all syncs, allows all workers that were asked for,
// confirms the starts and returns these.
func (b *testBench) step() []StartRequest {
	b.t.Helper()
	out := b.advance(stepTime)
	b.answerSyncs(out, b.runningResults())
	for _, req := range out.Advice {
		b.allow(req, anyWorker)
	}
	b.confirmStarts(out.Starts)
	return out.Starts
}

// runningResults returns answers to syncs in which all runs of each worker make progress.
func (b *testBench) runningResults() map[model.WorkerID]SyncResult {
	out := map[model.WorkerID]SyncResult{}
	for _, w := range b.core.workerList {
		var r SyncResult
		for _, run := range w.runs {
			r.Running = append(r.Running, RunReport{Task: run.ref, Run: run.number, Percent: int(b.now.Sub(startTime) / time.Second)})
		}
		out[w.ID] = r
	}
	return out
}

// submitPatient submits a job with time to spare, which needs no advice.
func (b *testBench) submitPatient(id string) {
	b.t.Helper()
	step := smallStep(1)
	step.Size = model.Size{MilliCPU: 3000, MemMB: 100}
	assert.Assert(b.t, b.core.Submit(b.now, &Spec{ID: id, Queue: "patient", Steps: []Step{step}}, 1) == nil)
	b.storeBatch()
}

// startedAfter returns after what time a job starts, at most limit.
func (b *testBench) startedAfter(id string, limit time.Duration) time.Duration {
	for elapsed := time.Duration(0); elapsed < limit; elapsed += stepTime {
		for _, req := range b.step() {
			if req.Task.Job == id {
				return elapsed
			}
		}
	}
	return limit
}

// Guards against gangs that never find capacity because less urgent tasks take each part of
// it that becomes free, and against tasks that wait for a gang until they are late.
func TestTasksWithTimeToSpareYieldToWaitingGang(t *testing.T) {
	b := newYieldBench(t)
	b.submitPatient("patient")
	// The job takes 1 s and has to be completed after 11 s, so its latest start is after 10 s.
	started := b.startedAfter("patient", 9*time.Second)
	assert.Assert(t, started > 4500*time.Millisecond, "the task took capacity from a waiting gang after %v", started)
	assert.Assert(t, started < 6*time.Second, "the task waited for %v", started)
}

// Guards against tasks that wait although no gang does.
func TestTasksDoNotYieldWithoutWaitingGang(t *testing.T) {
	b := newTestBench(t, Queue{Name: "patient", Service: "s", Priority: 2, MaxAttempts: 2, Slack: 10, Target: time.Second})
	b.addWorkers("w1")
	b.submitPatient("patient")
	assert.Equal(t, b.startedAfter("patient", time.Second), time.Duration(0))
}
