package jobs

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// newYieldBench returns a bench with two workers of 8 cores and a gang that waits. Each of blockers
// is the size, in millicores, of a task that runs there. Advice denies deniedJob.
func newYieldBench(t *testing.T, gang Step, deniedJob string, blockers ...int64) *testBench {
	advice := &AdviceConfig{DecisionTime: 10 * time.Millisecond, TimePerWorker: time.Millisecond, Validity: 2 * time.Second}
	b := newTestBench(t, Queue{Name: "q", Service: "s", Priority: 1, MaxAttempts: 2, Slack: 2, Target: time.Second, Advice: advice},
		Queue{Name: "patient", Service: "s", Priority: 2, MaxAttempts: 2, Slack: 10, Target: time.Second})
	b.deniedJob = deniedJob
	b.core.SetAdviceRelays([]string{"d1", "d2", "d3"})
	b.addWorkers("w1", "w2")
	for i, milliCPU := range blockers {
		blocker := smallStep(1)
		blocker.Size.MilliCPU, blocker.Estimate = milliCPU, time.Minute
		b.submit(fmt.Sprint("blocker", i), blocker)
		b.step()
		b.step()
	}
	gang.Gang = true
	b.submit("gang", gang)
	b.step()
	return b
}

// stepTime is the time that step advances.
const stepTime = 50 * time.Millisecond

// step advances the time, answers all syncs, allows all workers that were asked for except
// for deniedJob, confirms the starts and returns these.
func (b *testBench) step() []StartRequest {
	b.t.Helper()
	out := b.advance(stepTime)
	b.answerSyncs(out, b.runningResults())
	for _, req := range out.Advice {
		b.allow(req, func(model.WorkerID) bool { return req.Step.Job != b.deniedJob })
	}
	b.confirmStarts(out.Starts)
	return out.Starts
}

// runningResults returns answers to syncs in which all runs of each worker make progress and
// lasting tasks are at work.
func (b *testBench) runningResults() map[model.WorkerID]SyncResult {
	out := map[model.WorkerID]SyncResult{}
	for _, w := range b.core.workerList {
		var r SyncResult
		for _, run := range w.runs {
			percent := int(b.now.Sub(startTime) / time.Second)
			if run.task != nil && run.task.step.def.LongRunning {
				percent = 100
			}
			r.Running = append(r.Running, RunReport{Task: run.ref, Run: run.number, Percent: percent})
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
	b := newYieldBench(t, wholeWorkerStep(2, time.Minute), "", 8000, 3000)
	b.submitPatient("patient")
	// The job takes 1 s and has to be completed after 11 s, so its latest start is after 10 s.
	started := b.startedAfter("patient", 9*time.Second)
	assert.Assert(t, started > 4500*time.Millisecond, "the task took capacity from a waiting gang after %v", started)
	assert.Assert(t, started < 6*time.Second, "the task waited for %v", started)
}

// Guards against tasks that do not start in a pool with most of its capacity free because a
// gang waits for one worker.
func TestTasksDoNotYieldInMostlyFreePool(t *testing.T) {
	b := newYieldBench(t, wholeWorkerStep(2, time.Minute), "", 4000)
	b.submitPatient("patient")
	assert.Equal(t, b.startedAfter("patient", 9*time.Second), time.Duration(0))
}

// Guards against tasks that do not start because a gang waits for which there is capacity,
// but no worker that may run it.
func TestTasksDoNotYieldToGangThatLacksNoCapacity(t *testing.T) {
	b := newYieldBench(t, smallStep(2), "gang", 8000, 3000)
	b.submitPatient("patient")
	assert.Equal(t, b.startedAfter("patient", 9*time.Second), time.Duration(0))
}

// Guards against tasks that wait although no gang does.
func TestTasksDoNotYieldWithoutWaitingGang(t *testing.T) {
	b := newTestBench(t, Queue{Name: "patient", Service: "s", Priority: 2, MaxAttempts: 2, Slack: 10, Target: time.Second})
	b.addWorkers("w1")
	b.submitPatient("patient")
	assert.Equal(t, b.startedAfter("patient", time.Second), time.Duration(0))
}
