package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Guards against a slow worker clock: a lease on it lasts longer than granted.
func TestALeaseLastsAsLongAsASlowClockMakesIt(t *testing.T) {
	b := newBench(t)
	b.ready("w1")
	w := b.core.workers["w1"]
	b.core.extendLease(b.now, w)
	slow := time.Duration(float64(b.core.cfg.LeaseDuration) / (1 - b.core.cfg.ClockDrift))
	assert.Assert(t, !b.core.leaseEnd(w).Before(b.now.Add(slow)), "ends %v after the grant, the worker's clock allows %v", b.core.leaseEnd(w).Sub(b.now), slow)
}

// Guards against a state that is told and then lost with the leader.
func TestAStateIsToldOnceItIsStored(t *testing.T) {
	b := newBench(t)
	b.ready("w1")
	b.submit("j1", small(1))
	out := b.step(0)
	b.accept(out.Starts)
	b.answerHolds(out, map[model.WorkerID]SyncResult{"w1": {Ends: []RunEnd{{Seq: 1, Task: TaskRef{Job: "j1"}, Run: 1, Kind: EndDone}}}})
	assert.Equal(t, view(t, b.core, "j1"), ViewActive)
	b.store()
	assert.Equal(t, view(t, b.core, "j1"), ViewCompleted)
}

// Guards against starts with a permission that has ended.
func TestAnExpiredTicketIsNotUsed(t *testing.T) {
	b := adviceBench(t)
	b.ready("w1")
	first := small(1)
	first.Size.MilliCPU = 8000
	b.submit("running", first)
	b.submit("waiting", first)
	grant := func(out Actions) {
		for _, a := range out.Advice {
			b.core.HandleAdviceResult(b.now, &AdviceResult{Seq: a.Seq, OK: true, Allowed: []Allowance{{Worker: "w1", Ticket: "t"}}, Validity: 2 * time.Second})
		}
	}
	out := b.step(10 * time.Millisecond)
	b.answerHolds(out, nil)
	grant(out)
	out = b.step(10 * time.Millisecond)
	b.answerHolds(out, nil)
	grant(out)
	assert.Equal(t, len(out.Starts), 1)
	b.accept(out.Starts)
	for i := range 30 {
		out = b.step(100 * time.Millisecond)
		b.answerHolds(out, map[model.WorkerID]SyncResult{"w1": {Running: []RunReport{{Task: TaskRef{Job: "running"}, Run: 1, Percent: i}}}})
	}
	out = b.step(0)
	b.answerHolds(out, map[model.WorkerID]SyncResult{"w1": {Ends: []RunEnd{{Seq: 1, Task: TaskRef{Job: "running"}, Run: 1, Kind: EndDone}}}})
	out = b.step(0)
	assert.Equal(t, len(out.Starts), 0, "started with a ticket that ended")
	assert.Equal(t, len(out.Advice), 1, "no new ticket is asked for")
}

// Guards against a run that arrives at a worker's new life after it was taken
// for gone: its task must not start elsewhere before the worker confirmed that
// it never begins there.
func TestAnUnclearStartIsStoppedAtANewLife(t *testing.T) {
	b := newBench(t)
	b.ready("w1")
	b.submit("j1", small(1))
	out := b.step(0)
	assert.Equal(t, len(out.Starts), 1)
	b.answerHolds(out, nil)
	s := out.Starts[0]
	b.core.HandleStartResult(b.now, &StartResult{Worker: s.Worker, Task: s.Task, Run: s.Run, Status: CallNoAnswer})
	b.core.SetWorkers(b.now, []WorkerEntry{entry("w1"), entry("w2")})
	newLife := map[model.WorkerID]SyncResult{"w1": {Incarnation: 2}}
	stopped := false
	for range 20 {
		out = b.step(50 * time.Millisecond)
		if !stopped {
			assert.Equal(t, len(out.Starts), 0, "started again before the stop was confirmed")
		}
		b.answerHolds(out, newLife)
		b.store()
		for _, o := range out.Stops {
			stopped = true
			b.core.HandleStopResult(b.now, &StopResult{Worker: o.Worker, Task: o.Task, Run: o.Run, Status: CallOK, ClockMs: b.clock()})
		}
	}
	assert.Assert(t, stopped, "nothing stops the start at the worker's new life")
}

// Guards against a repeated submission that becomes a second job.
func TestARepeatedSubmissionIsOneJob(t *testing.T) {
	b := newBench(t)
	b.ready("w1")
	spec := func() *Spec { return &Spec{ID: "j1", Queue: "q", Steps: []Step{small(2)}} }
	assert.Assert(t, b.core.Submit(b.now, spec(), 1) == nil)
	assert.Assert(t, b.core.Submit(b.now, spec(), 2) == nil)
	batch := b.store()
	assert.Equal(t, len(batch.Accepted), 1)
	assert.Equal(t, len(b.step(0).Starts), 2)
	assert.Equal(t, len(b.out.Responses), 2)
	again := b.core.Submit(b.now, spec(), 3)
	assert.Assert(t, again != nil && again.Kind == ResponseAccepted)
	assert.Equal(t, len(b.step(0).Starts), 0)
}

// Guards against starts on a worker that a next leader would not know of.
func TestAWorkerIsStoredBeforeItsFirstStart(t *testing.T) {
	b := newBench(t)
	b.submit("j1", small(1))
	b.core.SetWorkers(b.now, []WorkerEntry{entry("w1")})
	b.answerHolds(b.step(0), nil)
	batch := b.core.TakeBatch()
	assert.Equal(t, len(batch.Workers), 1)
	assert.Equal(t, len(b.step(200*time.Millisecond).Starts), 0, "started before the worker is stored")
	b.core.HandleBatchStored(b.now, batch.Seq)
	assert.Equal(t, len(b.step(0).Starts), 1)
}

// Guards against tasks that run on after their job was cancelled.
func TestACancelledJobsRunsAreStopped(t *testing.T) {
	b := newBench(t)
	b.ready("w1")
	b.submit("j1", small(3))
	b.accept(b.step(0).Starts)
	assert.Assert(t, b.core.Cancel(b.now, "j1", 9) == nil)
	assert.Equal(t, len(b.step(0).Stops), 3)
	assert.Equal(t, view(t, b.core, "j1"), ViewActive)
	b.store()
	assert.Equal(t, view(t, b.core, "j1"), ViewCancelled)
}

// Guards against runs of an earlier leader that nobody wants any more and that
// keep their room.
func TestAnUnwantedRunIsStopped(t *testing.T) {
	b := newBench(t)
	b.ready("w1")
	stranger := RunReport{Task: TaskRef{Job: "unknown"}, Run: 7}
	out := b.step(time.Second)
	b.answerHolds(out, map[model.WorkerID]SyncResult{"w1": {Running: []RunReport{stranger}}})
	out = b.step(0)
	assert.Equal(t, len(out.Stops), 1)
	assert.Equal(t, out.Stops[0].Run, int64(7))
}

// Guards against starts on a worker that leaves.
func TestALeavingWorkerGetsNoWork(t *testing.T) {
	b := newBench(t)
	b.ready("w1", "w2")
	leaving := entry("w1")
	leaving.Draining = true
	b.core.SetWorkers(b.now, []WorkerEntry{leaving, entry("w2")})
	b.submit("j1", small(4))
	out := b.step(0)
	assert.Equal(t, len(out.Starts), 4)
	for _, s := range out.Starts {
		assert.Equal(t, s.Worker, model.WorkerID("w2"))
	}
}

// Guards against a second task of a limited step on a worker: a new leader hears
// of the step's runs before it hears that the step before it has ended. Found by
// a hunt (kerlann-voix, leader-troubles, seed 907644133109).
func TestRunsOfAnEarlierLeaderCountAgainstTheLimitPerWorker(t *testing.T) {
	limited := small(2)
	limited.After, limited.MaxPerWorker = []int{0}, 1
	spec := Spec{ID: "j1", Queue: "q", Steps: []Step{small(1), limited}}
	b := newBench(t).restarted(2, Snapshot{
		Accepted: []AcceptedRecord{{Spec: spec, Queue: Queue{Name: "q", Service: "s", MaxAttempts: 2}, Token: 1, Accepted: origin}},
		Workers:  []WorkerRecord{{ID: "w1", Address: "w1:1", Service: "s"}, {ID: "w2", Address: "w2:1", Service: "s"}},
	})
	b.core.SetWorkers(b.now, []WorkerEntry{entry("w1"), entry("w2")})
	out := b.step(0)
	lists := map[model.WorkerID]SyncResult{
		"w1": {Running: []RunReport{{Task: TaskRef{Job: "j1", Step: 1}, Run: 1, Percent: 5}}},
		"w2": {Ends: []RunEnd{{Seq: 1, Task: TaskRef{Job: "j1"}, Run: 1, Kind: EndDone}}},
	}
	for _, first := range []model.WorkerID{"w1", "w2"} {
		for _, h := range out.Syncs {
			if h.Worker == first {
				b.answerHolds(Actions{Syncs: []SyncRequest{h}}, lists)
			}
		}
	}
	b.store()
	// w2 is fuller, so that only the limit keeps the task off w1.
	w2 := b.core.workers["w2"]
	w2.resources.capacity = w2.resources.capacity.Times(4)
	started := b.step(0).Starts
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Worker, model.WorkerID("w2"))
}
