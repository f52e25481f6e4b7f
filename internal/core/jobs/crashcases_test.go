package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// startsWith moves the time forward until something starts, within a second, and gives the starts a
// result.
func (b *crashBench) startsWith(status CallStatus) []StartRequest {
	for range 40 {
		out := b.advance(50 * time.Millisecond)
		if len(out.Starts) == 0 {
			b.answerWith(out, CallOK)
		}
		b.storeBatch()
		if len(out.Starts) > 0 {
			for _, s := range out.Starts {
				b.core.HandleStartResult(b.now, &StartResult{Worker: s.Worker, Task: s.Task, Run: s.Run, Status: status})
			}
			return out.Starts
		}
	}
	return nil
}

// Guards against a task that is started without limit because it crashes each worker before the
// worker has answered the start.
func TestCrashBeforeTheAnswerToAStartIsCounted(t *testing.T) {
	b := newCrashBench(t, "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8")
	b.submit("guilty", smallStep(1))
	crashes := 0
	for ; crashes < 8; crashes++ {
		starts := b.startsWith(CallNoAnswer)
		if len(starts) == 0 {
			break
		}
		b.crash(starts[0].Worker, crashDelay)
	}
	assert.Assert(t, crashes < 6, "%d starts", crashes)
}

// Guards against a service that keeps other jobs off its worker for as long as it runs.
func TestLongRunDoesNotKeepItsWorkerToItself(t *testing.T) {
	b := newCrashBench(t, "w1")
	service := smallStep(1)
	service.LongRunning = true
	b.submit("service", service)
	b.core.task(TaskRef{Job: "service"}).record().crashes.runs = []int64{-3, -2, -1}
	assert.Equal(t, len(b.starts()), 1)
	b.submit("other", smallStep(1))
	begin := b.now
	for b.now.Sub(begin) < 3*time.Second {
		if len(b.starts()) > 0 {
			return
		}
	}
	t.Errorf("other not started within %v on a worker with 7 of 8 cores free", b.now.Sub(begin))
}

// Guards against a planned leave that counts as a crash because the entry of the next process is
// seen first.
func TestDrainedWorkerBackUnderItsIDIsNoCrash(t *testing.T) {
	b := newCrashBench(t, "w1")
	b.submit("j1", smallStep(1))
	assert.Equal(t, len(b.starts()), 1)
	e := workerEntry("w1")
	e.Draining = true
	b.core.SetWorkers(b.now, []WorkerEntry{e})
	b.advance(10 * time.Millisecond)
	e.Draining, e.Incarnation = false, 2
	b.core.SetWorkers(b.now, []WorkerEntry{e})
	w := b.core.workers["w1"]
	w.syncing = true
	b.core.HandleSyncResult(b.now, &SyncResult{Worker: "w1", SentAt: b.now, Incarnation: 2, ClockMs: 1})
	assert.Equal(t, len(b.core.task(TaskRef{Job: "j1"}).crashes().runs), 0)
}

// Guards against a leader that suspects the tasks of a worker that left as announced.
func TestTasksOfDrainedWorkerAreNoSuspects(t *testing.T) {
	b := newCrashBench(t, "w1")
	spec := Spec{ID: "j1", Queue: "q", Steps: []Step{smallStep(1)}}
	b.submit("j1", spec.Steps...)
	assert.Equal(t, len(b.starts()), 1)
	e := workerEntry("w1")
	e.Draining = true
	b.core.SetWorkers(b.now, []WorkerEntry{e})
	b.advance(10 * time.Millisecond)
	workers := b.storeBatch().Workers
	assert.Equal(t, len(workers), 1)
	next := &crashBench{b.newLeader(2, Snapshot{Accepted: []AcceptedRecord{{Spec: spec, Queue: Queue{Name: "q", Service: "s", MaxAttempts: 2}, Token: 1, Accepted: b.now}}, Workers: workers})}
	next.core.SetPreviousLeaderEnd(next.now)
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w2")})
	for _, req := range next.advance(0).Syncs {
		r := SyncResult{Worker: req.Worker, SentAt: next.now, Incarnation: 1, ClockMs: next.clockMs()}
		if req.Worker == "w1" {
			r.Status = CallWrongIncarnation
		}
		next.core.HandleSyncResult(next.now, &r)
	}
	assert.Assert(t, !next.core.task(TaskRef{Job: "j1"}).crashes().suspect())
}

// Guards against a crash that is forgotten because the leader changed before the lease ended.
func TestCrashOfWorkerBackAfterItsLeaseIsCountedByNextLeader(t *testing.T) {
	b := newCrashBench(t, "w1")
	spec := Spec{ID: "guilty", Queue: "q", Steps: []Step{smallStep(1)}}
	accepted := AcceptedRecord{Spec: spec, Queue: Queue{Name: "q", Service: "s", MaxAttempts: 2}, Token: 1, Accepted: b.now}
	b.submit("guilty", spec.Steps...)
	first := b.starts()[0]
	w := b.core.workers["w1"]
	b.now = b.now.Add(crashDelay)
	w.syncing = true
	b.core.HandleSyncResult(b.now, &SyncResult{Worker: "w1", Status: CallNotSent, SentAt: b.now})
	b.advance(recordSilenceAfter)
	silent := b.storeBatch().Workers
	next := &crashBench{b.newLeader(2, Snapshot{Accepted: []AcceptedRecord{accepted}, Workers: silent})}
	next.core.SetPreviousLeaderEnd(next.now)
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w2")})
	began := next.now
	for next.now.Sub(began) < 6*time.Second {
		out := next.advance(50 * time.Millisecond)
		for _, req := range out.Syncs {
			r := SyncResult{Worker: req.Worker, SentAt: next.now, Incarnation: 1, ClockMs: next.clockMs()}
			if req.Worker == "w1" {
				r.Status = CallNotSent
			}
			next.core.HandleSyncResult(next.now, &r)
		}
		next.storeBatch()
	}
	back := workerEntry("w9")
	back.Address = "w1:1"
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w2"), back})
	next.answerWith(next.advance(10*time.Millisecond), CallOK)
	assert.DeepEqual(t, next.core.task(first.Task).crashes().runs, []int64{first.Run})
}

// Guards against a crash that is not counted because the former address, not a listed worker, shows it.
func TestAddressThatNamesAnotherWorkerAfterTheLeaseMeansCrash(t *testing.T) {
	b := newCrashBench(t, "w1")
	b.submit("j1", smallStep(1))
	b.starts()
	for range 120 {
		b.answerWith(b.advance(50*time.Millisecond), CallNotSent)
		b.storeBatch()
	}
	for range 40 {
		b.answerWith(b.advance(50*time.Millisecond), CallWrongIncarnation)
		b.storeBatch()
	}
	assert.Equal(t, len(b.core.task(TaskRef{Job: "j1"}).crashes().runs), 1)
}

// Guards against a crash that is not counted because one of the last calls was lost on its way.
func TestOneLostAnswerDoesNotHideACrash(t *testing.T) {
	b := newCrashBench(t, "w1")
	b.submit("j1", smallStep(1))
	assert.Equal(t, len(b.starts()), 1)
	b.now = b.now.Add(crashDelay)
	for range 120 {
		b.answerWith(b.advance(50*time.Millisecond), CallNotSent)
		b.storeBatch()
		if w := b.core.workers["w1"]; b.now.Add(1200 * time.Millisecond).After(b.core.leaseEnd(w)) {
			break
		}
	}
	for range 60 {
		b.answerWith(b.advance(50*time.Millisecond), CallNoAnswer)
		b.storeBatch()
	}
	assert.Assert(t, b.core.workers["w1"].leaseExpired)
	back := workerEntry("w9")
	back.Address = "w1:1"
	b.core.SetWorkers(b.now, []WorkerEntry{back})
	b.answerWith(b.advance(0), CallOK)
	assert.Equal(t, len(b.core.task(TaskRef{Job: "j1"}).crashes().runs), 1)
}

// Guards against a task that is no suspect and waits for its crash to be stored.
func TestBystanderDoesNotWaitForTheStore(t *testing.T) {
	b := newCrashBench(t, "w1", "w2")
	b.submit("innocent", smallStep(1))
	id := b.starts()[0].Worker
	for range 40 { // two seconds pass
		b.answerWith(b.advance(50*time.Millisecond), CallOK)
	}
	w := b.core.workers[id]
	w.syncing = true
	b.core.HandleSyncResult(b.now, &SyncResult{Worker: id, Status: CallNoAnswer, SentAt: b.now})
	w.syncing = true
	b.core.HandleSyncResult(b.now, &SyncResult{Worker: id, Status: CallWrongIncarnation, SentAt: b.now})
	begin := b.now
	assert.Assert(t, !b.core.task(TaskRef{Job: "innocent"}).crashes().suspect())
	for b.now.Sub(begin) < 10*time.Second {
		out := b.advance(50 * time.Millisecond)
		b.answerWith(out, CallOK)
		if len(out.Starts) > 0 {
			return
		}
	}
	t.Errorf("not started within 10 s on the idle second worker while the store is away")
}

// Guards against a task that stays a suspect although it ran for long.
func TestLongRunClearsItsTask(t *testing.T) {
	b := newCrashBench(t, "w1")
	b.submit("service", smallStep(1))
	ref := TaskRef{Job: "service"}
	b.core.task(ref).record().crashes.possible = true
	b.core.recordCrash(b.now, "w1", []InterruptedRun{{Task: ref, Run: 1, Age: time.Hour}})
	assert.Assert(t, !b.core.task(ref).crashes().suspect())
}

// Guards against many bystanders that wait one after the other for a start apart from other jobs,
// when a rack is switched off for longer than its leases.
func TestTasksOfWorkersThatAreOffRestartWithoutIsolation(t *testing.T) {
	b := newCrashBench(t, "w1", "w2", "w3", "w4")
	for _, id := range []string{"j1", "j2", "j3", "j4"} {
		b.submit(id, smallStep(4))
	}
	b.starts()
	for range 20 {
		b.answerWith(b.advance(50*time.Millisecond), CallOK)
	}
	off := map[model.WorkerID]bool{}
	for _, w := range b.core.workerList {
		off[w.ID] = len(w.runs) > 0
	}
	b.core.SetWorkers(b.now, append([]WorkerEntry{workerEntry("w8"), workerEntry("w9")}, workerEntry("w1"), workerEntry("w2"), workerEntry("w3"), workerEntry("w4")))
	started := 0
	for range 110 {
		out := b.advance(50 * time.Millisecond)
		b.confirmStarts(out.Starts)
		started += len(out.Starts)
		for _, req := range out.Syncs {
			status := CallOK
			if off[req.Worker] {
				status = CallNotSent
			}
			b.answerWith(Actions{Syncs: []SyncRequest{req}}, status)
		}
		b.storeBatch()
	}
	assert.Equal(t, started, 16)
	for _, id := range []string{"j1", "j2", "j3", "j4"} {
		assert.Assert(t, !b.core.task(TaskRef{Job: id}).crashes().suspect(), id)
	}
}

// Guards against suspects that isolate all workers, so that no other job can start.
func TestSuspectsLeaveHalfOfThePoolToOtherJobs(t *testing.T) {
	b := newCrashBench(t, "w1", "w2", "w3", "w4")
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		b.submit(id, smallStep(1))
		b.core.task(TaskRef{Job: id}).record().crashes.markPossible(b.now)
	}
	b.submit("other", smallStep(1))
	var started []string
	for _, s := range b.starts() {
		started = append(started, s.Task.Job)
	}
	assert.DeepEqual(t, started, []string{"s1", "s2", "other"})
}

// Guards against a suspect that waits without end on workers that start other tasks all the time.
func TestSuspectStartsBesideOthersAfterAWhile(t *testing.T) {
	b := newCrashBench(t, "w1")
	b.submit("other", smallStep(1))
	b.starts()
	b.submit("suspect", smallStep(1))
	b.core.task(TaskRef{Job: "suspect"}).record().crashes.markPossible(b.now.Add(-maxIsolationWait))
	assert.Equal(t, len(b.advance(10*time.Millisecond).Starts), 1)
}

// Guards against giving up a task for crashes before and after a run that ended by itself.
func TestRunThatEndsByItselfClearsItsTask(t *testing.T) {
	b := newCrashBench(t, "w1", "w2", "w3", "w4")
	b.submit("j1", smallStep(1))
	b.crash(b.starts()[0].Worker, crashDelay)
	failed := b.starts()[0]
	w := b.core.workers[failed.Worker]
	w.syncing = true
	b.core.HandleSyncResult(b.now, &SyncResult{Worker: w.ID, SentAt: b.now, Incarnation: w.incarnation, ClockMs: b.clockMs(),
		Ends: []RunEnd{{Seq: 1, Task: failed.Task, Run: failed.Run, Kind: EndFailed}}})
	b.storeBatch()
	b.crash(b.starts()[0].Worker, crashDelay)
	assert.Equal(t, jobView(t, b.core, "j1"), ViewActive)
}
