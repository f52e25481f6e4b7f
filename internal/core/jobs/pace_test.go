package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

const tailTarget = 100 * time.Millisecond

func servingStep() Step {
	s := smallStep(1)
	s.LongRunning, s.TailLatencyTarget = true, tailTarget
	return s
}

func fillerStep(count int) Step {
	s := smallStep(count)
	s.Size.MilliCPU = 0
	s.Filler = true
	return s
}

// newSharedWorkerBench returns a bench with a serving task and a filler on one
// worker.
func newSharedWorkerBench(t *testing.T) *testBench {
	b := newTestBench(t)
	b.addWorkers("w1")
	b.submit("serve", servingStep())
	b.submit("fill", fillerStep(1))
	out := b.advance(0)
	assert.Equal(t, len(out.Starts), 2, "the filler is not started beside the serving task")
	b.answerSyncs(out, nil)
	b.confirmStarts(out.Starts)
	return b
}

// reportTailLatency advances one tick in which the worker reports a tail
// latency of its serving task.
func (b *testBench) reportTailLatency(tail time.Duration) Actions {
	out := b.advance(100 * time.Millisecond)
	b.answerSyncs(out, map[model.WorkerID]SyncResult{"w1": {Running: []RunReport{
		{Task: TaskRef{Job: "serve"}, Run: 1, Percent: 100, Load: tail.Milliseconds()}, {Task: TaskRef{Job: "fill"}, Run: 1, Percent: 20}}}})
	for _, p := range out.Paces {
		b.core.HandlePaceResult(&PaceResult{Worker: p.Worker, Task: p.Task, Run: p.Run, Percent: p.Percent, Status: CallOK})
	}
	return out
}

// pace returns the filler's pace that the worker confirmed.
func (b *testBench) pace() int {
	return b.core.workers["w1"].findRun(TaskRef{Job: "fill"}).pace.applied
}

// Guards against fillers that keep their pace while a serving task on the same
// worker misses its target.
func TestFillersSlowDownForServingTasks(t *testing.T) {
	b := newSharedWorkerBench(t)
	for range 3 {
		b.reportTailLatency(tailTarget / 2)
	}
	assert.Equal(t, b.pace(), fullPace)
	elapsed := time.Duration(0)
	for b.pace() > 0 && elapsed < 5*time.Second {
		b.reportTailLatency(tailTarget + 10*time.Millisecond)
		elapsed += 100 * time.Millisecond
	}
	assert.Assert(t, elapsed <= time.Second, "the filler keeps running for %v", elapsed)
	for range 40 {
		b.reportTailLatency(tailTarget / 4)
	}
	assert.Equal(t, b.pace(), fullPace, "the filler does not return to full pace")
}

// Guards against slowing a filler while no latency of the serving task is
// known, and against a pace request that is sent only once although it got no
// answer.
func TestPaceRequestIsRepeatedUntilConfirmed(t *testing.T) {
	b := newSharedWorkerBench(t)
	requests := 0
	for range 20 {
		out := b.advance(100 * time.Millisecond)
		b.answerSyncs(out, map[model.WorkerID]SyncResult{"w1": {Running: []RunReport{
			{Task: TaskRef{Job: "serve"}, Run: 1, Load: 2 * tailTarget.Milliseconds()}, {Task: TaskRef{Job: "fill"}, Run: 1}}}})
		for _, p := range out.Paces {
			assert.Equal(t, p.Percent, 0)
			requests++
			b.core.HandlePaceResult(&PaceResult{Worker: p.Worker, Task: p.Task, Run: p.Run, Percent: p.Percent, Status: CallNoAnswer})
		}
	}
	assert.Assert(t, requests >= 3, "%d requests were sent without an answer", requests)
}

// Guards against two faults: a filler stays paused on the worker of a busy
// serving task although another worker is free, and a new filler starts beside
// a serving task.
func TestFillersMoveToWorkersWithoutServingTasks(t *testing.T) {
	b := newSharedWorkerBench(t)
	b.core.SetWorkers(b.now, []WorkerEntry{workerEntry("w1"), workerEntry("w2")})
	stopped := false
	for range 60 {
		out := b.advance(100 * time.Millisecond)
		results := map[model.WorkerID]SyncResult{"w1": {Running: []RunReport{
			{Task: TaskRef{Job: "serve"}, Run: 1, Load: 2 * tailTarget.Milliseconds()}, {Task: TaskRef{Job: "fill"}, Run: 1, Percent: 20}}}}
		b.answerSyncs(out, results)
		b.storeBatch()
		for _, p := range out.Paces {
			b.core.HandlePaceResult(&PaceResult{Worker: p.Worker, Task: p.Task, Run: p.Run, Percent: p.Percent, Status: CallOK})
		}
		for _, s := range out.Stops {
			stopped = stopped || s.Task.Job == "fill"
		}
	}
	assert.Assert(t, stopped, "the filler stays paused although another worker is free")
	b.submit("other", fillerStep(1))
	for _, req := range b.advance(100 * time.Millisecond).Starts {
		assert.Equal(t, req.Worker, model.WorkerID("w2"), "%v", req.Task)
	}
}

// Guards against a pace that an earlier leader set and that no later leader
// resets.
func TestAdoptedFillerGetsFullPace(t *testing.T) {
	b := newTestBench(t)
	next := b.newLeader(2, Snapshot{
		Accepted: []AcceptedRecord{{Spec: Spec{ID: "fill", Queue: "q", Steps: []Step{fillerStep(1)}}, Queue: Queue{Name: "q", Service: "s"}, Token: 1, Accepted: b.now}},
		Workers:  []WorkerRecord{{ID: "w1", Address: "w1:1", Service: "s"}},
	})
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w1")})
	results := map[model.WorkerID]SyncResult{"w1": {Running: []RunReport{{Task: TaskRef{Job: "fill"}, Run: 1, Percent: 20}}}}
	next.answerSyncs(next.advance(0), results)
	out := next.advance(100 * time.Millisecond)
	assert.Equal(t, len(out.Paces), 1)
	assert.Equal(t, out.Paces[0].Percent, fullPace)
}
