package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Guards against ignoring a slow worker clock, on which a lease lasts longer
// than granted.
func TestLeaseEndAllowsForSlowWorkerClock(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	w := b.core.workers["w1"]
	b.core.extendLease(b.now, w)
	slow := time.Duration(float64(b.core.cfg.LeaseDuration) / (1 - b.core.cfg.ClockDrift))
	assert.Assert(t, !b.core.leaseEnd(w).Before(b.now.Add(slow)), "lease ends %v after the grant; on the worker's clock it can last %v", b.core.leaseEnd(w).Sub(b.now), slow)
}

// Guards against reporting a final state that is then lost with the leader.
func TestOutcomeIsVisibleOnlyOnceStored(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	b.submit("j1", smallStep(1))
	out := b.advance(0)
	b.confirmStarts(out.Starts)
	b.answerSyncs(out, map[model.WorkerID]SyncResult{"w1": {Ends: []RunEnd{{Seq: 1, Task: TaskRef{Job: "j1"}, Run: 1, Kind: EndDone}}}})
	assert.Equal(t, jobView(t, b.core, "j1"), ViewActive)
	b.storeBatch()
	assert.Equal(t, jobView(t, b.core, "j1"), ViewCompleted)
}

// Guards against starts with an expired ticket.
func TestExpiredTicketIsNotUsed(t *testing.T) {
	b := newAdviceBench(t)
	b.addWorkers("w1")
	first := smallStep(1)
	first.Size.MilliCPU = 8000
	b.submit("running", first)
	b.submit("waiting", first)
	grant := func(out Actions) {
		for _, req := range out.Advice {
			b.core.HandleAdviceResult(b.now, &AdviceResult{Seq: req.Seq, OK: true, Allowed: []Allowance{{Worker: "w1", Ticket: "t"}}, Validity: 2 * time.Second})
		}
	}
	out := b.advance(10 * time.Millisecond)
	b.answerSyncs(out, nil)
	grant(out)
	out = b.advance(10 * time.Millisecond)
	b.answerSyncs(out, nil)
	grant(out)
	assert.Equal(t, len(out.Starts), 1)
	b.confirmStarts(out.Starts)
	for i := range 30 {
		out = b.advance(100 * time.Millisecond)
		b.answerSyncs(out, map[model.WorkerID]SyncResult{"w1": {Running: []RunReport{{Task: TaskRef{Job: "running"}, Run: 1, Percent: i}}}})
	}
	out = b.advance(0)
	b.answerSyncs(out, map[model.WorkerID]SyncResult{"w1": {Ends: []RunEnd{{Seq: 1, Task: TaskRef{Job: "running"}, Run: 1, Kind: EndDone}}}})
	out = b.advance(0)
	assert.Equal(t, len(out.Starts), 0, "started with an expired ticket")
	assert.Equal(t, len(out.Advice), 1, "no new ticket is requested")
}

// Guards against a start that arrives at a new incarnation of the worker after
// its run was considered gone. The task must not start elsewhere before the
// worker confirms that it never starts the run.
func TestUnclearStartIsStoppedOnNewIncarnation(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	b.submit("j1", smallStep(1))
	out := b.advance(0)
	assert.Equal(t, len(out.Starts), 1)
	b.answerSyncs(out, nil)
	s := out.Starts[0]
	b.core.HandleStartResult(b.now, &StartResult{Worker: s.Worker, Task: s.Task, Run: s.Run, Status: CallNoAnswer})
	b.core.SetWorkers(b.now, []WorkerEntry{workerEntry("w1"), workerEntry("w2")})
	restartedWorker := map[model.WorkerID]SyncResult{"w1": {Incarnation: 2}}
	stopped := false
	for range 20 {
		out = b.advance(50 * time.Millisecond)
		if !stopped {
			assert.Equal(t, len(out.Starts), 0, "started again before the stop was confirmed")
		}
		b.answerSyncs(out, restartedWorker)
		b.storeBatch()
		for _, req := range out.Stops {
			stopped = true
			b.core.HandleStopResult(b.now, &StopResult{Worker: req.Worker, Task: req.Task, Run: req.Run, Status: CallOK, SentAt: b.now, ClockMs: b.clockMs()})
		}
	}
	assert.Assert(t, stopped, "the start is not stopped on the new incarnation")
}

// Guards against a repeated submission that becomes a second job.
func TestRepeatedSubmissionIsOneJob(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	spec := func() *Spec { return &Spec{ID: "j1", Queue: "q", Steps: []Step{smallStep(2)}} }
	assert.Assert(t, b.core.Submit(b.now, spec(), 1) == nil)
	assert.Assert(t, b.core.Submit(b.now, spec(), 2) == nil)
	batch := b.storeBatch()
	assert.Equal(t, len(batch.Accepted), 1)
	assert.Equal(t, len(b.advance(0).Starts), 2)
	assert.Equal(t, len(b.out.Responses), 2)
	again := b.core.Submit(b.now, spec(), 3)
	assert.Assert(t, again != nil && again.Kind == ResponseAccepted)
	assert.Equal(t, len(b.advance(0).Starts), 0)
}

// Guards against starts on a worker that the next leader would not know.
func TestWorkerIsStoredBeforeFirstStart(t *testing.T) {
	b := newTestBench(t)
	b.submit("j1", smallStep(1))
	b.core.SetWorkers(b.now, []WorkerEntry{workerEntry("w1")})
	b.answerSyncs(b.advance(0), nil)
	batch := b.core.TakeBatch()
	assert.Equal(t, len(batch.Workers), 1)
	assert.Equal(t, len(b.advance(200*time.Millisecond).Starts), 0, "started before the worker is stored")
	b.core.HandleBatchStored(b.now, batch.Seq)
	assert.Equal(t, len(b.advance(0).Starts), 1)
}

// Guards against tasks that keep running after their job was cancelled.
func TestRunsOfCancelledJobAreStopped(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	b.submit("j1", smallStep(3))
	b.confirmStarts(b.advance(0).Starts)
	assert.Assert(t, b.core.Cancel(b.now, "j1", 9) == nil)
	assert.Equal(t, len(b.advance(0).Stops), 3)
	assert.Equal(t, jobView(t, b.core, "j1"), ViewActive)
	b.storeBatch()
	assert.Equal(t, jobView(t, b.core, "j1"), ViewCancelled)
}

// Guards against runs of an earlier leader that no job wants and that keep
// occupying capacity.
func TestRunOfUnknownJobIsStopped(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	unknownRun := RunReport{Task: TaskRef{Job: "unknown"}, Run: 7}
	out := b.advance(time.Second)
	b.answerSyncs(out, map[model.WorkerID]SyncResult{"w1": {Running: []RunReport{unknownRun}}})
	out = b.advance(0)
	assert.Equal(t, len(out.Stops), 1)
	assert.Equal(t, out.Stops[0].Run, int64(7))
}

// Guards against starts on a draining worker.
func TestDrainingWorkerGetsNoStarts(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1", "w2")
	draining := workerEntry("w1")
	draining.Draining = true
	b.core.SetWorkers(b.now, []WorkerEntry{draining, workerEntry("w2")})
	b.submit("j1", smallStep(4))
	out := b.advance(0)
	assert.Equal(t, len(out.Starts), 4)
	for _, s := range out.Starts {
		assert.Equal(t, s.Worker, model.WorkerID("w2"))
	}
}

// Guards against exceeding a step's limit per worker after a change of leader:
// the new leader learns of the step's runs before it learns that the preceding
// step has ended. Seen in kerlann-voix, leader-troubles, seed 907644133109.
func TestRunsOfPreviousLeaderCountTowardMaxPerWorker(t *testing.T) {
	limited := smallStep(2)
	limited.After, limited.MaxPerWorker = []int{0}, 1
	spec := Spec{ID: "j1", Queue: "q", Steps: []Step{smallStep(1), limited}}
	b := newTestBench(t).newLeader(2, Snapshot{
		Accepted: []AcceptedRecord{{Spec: spec, Queue: Queue{Name: "q", Service: "s", MaxAttempts: 2}, Token: 1, Accepted: startTime}},
		Workers:  []WorkerRecord{{ID: "w1", Address: "w1:1", Service: "s"}, {ID: "w2", Address: "w2:1", Service: "s"}},
	})
	b.core.SetWorkers(b.now, []WorkerEntry{workerEntry("w1"), workerEntry("w2")})
	out := b.advance(0)
	results := map[model.WorkerID]SyncResult{
		"w1": {Running: []RunReport{{Task: TaskRef{Job: "j1", Step: 1}, Run: 1, Percent: 5}}},
		"w2": {Ends: []RunEnd{{Seq: 1, Task: TaskRef{Job: "j1"}, Run: 1, Kind: EndDone}}},
	}
	for _, first := range []model.WorkerID{"w1", "w2"} {
		for _, req := range out.Syncs {
			if req.Worker == first {
				b.answerSyncs(Actions{Syncs: []SyncRequest{req}}, results)
			}
		}
	}
	b.storeBatch()
	// w2 is made emptier, so that placement would prefer w1 and only the limit
	// keeps the task off it.
	w2 := b.core.workers["w2"]
	w2.resources.capacity = w2.resources.capacity.Times(4)
	started := b.advance(0).Starts
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Worker, model.WorkerID("w2"))
}

// Guards against starts that are sent to a crashed worker because it answered a moment ago.
func TestWorkerThatMissedASyncGetsNoStarts(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	out := b.advance(100 * time.Millisecond)
	b.core.HandleSyncResult(b.now, &SyncResult{Worker: "w1", SentAt: b.now, Status: CallNoAnswer})
	b.submit("j1", smallStep(1))
	assert.Equal(t, len(out.Syncs), 1)
	out = b.advance(firstSyncRetryDelay)
	assert.Equal(t, len(out.Starts), 0, "started on a worker that does not answer")
	b.answerSyncs(out, nil)
	assert.Equal(t, len(b.advance(0).Starts), 1, "not started although the worker answers again")
}

// Guards against a worker that answers again at once after its connection broke, and yet gets no tasks
// until a record of it is stored.
func TestBrokenConnectionNeedsNoRecord(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	out := b.advance(10 * time.Millisecond)
	b.now = b.now.Add(3 * recordSilenceAfter)
	b.core.HandleSyncResult(b.now, &SyncResult{Worker: "w1", Status: CallNoAnswer, SentAt: b.now})
	assert.Equal(t, len(out.Syncs), 1)
	b.answerSyncs(b.advance(firstSyncRetryDelay), nil)
	assert.Assert(t, b.core.TakeBatch() == nil, "a record of the worker is written")
	b.advance(0)
	assert.Equal(t, b.core.workers["w1"].state, WorkerUsable)
}
