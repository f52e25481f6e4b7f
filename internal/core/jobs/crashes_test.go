package jobs

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// crashBench drives a core whose workers crash and are replaced by others at their addresses.
type crashBench struct {
	*testBench
}

func newCrashBench(t *testing.T, workers ...string) *crashBench {
	b := &crashBench{newTestBench(t)}
	b.addWorkers(workers...)
	return b
}

// starts moves the time forward until something starts, within a second.
func (b *crashBench) starts() []StartRequest {
	b.t.Helper()
	for range 20 {
		out := b.advance(50 * time.Millisecond)
		b.answerWith(out, CallOK)
		b.storeBatch()
		if len(out.Starts) > 0 {
			b.confirmStarts(out.Starts)
			return out.Starts
		}
	}
	return nil
}

// answerWith answers the syncs of all workers, listing what runs on them.
func (b *crashBench) answerWith(out Actions, status CallStatus) {
	for _, req := range out.Syncs {
		r := SyncResult{Worker: req.Worker, Status: status, SentAt: b.now, Incarnation: b.core.workers[req.Worker].incarnation, ClockMs: b.clockMs()}
		if r.Incarnation == 0 {
			r.Incarnation = 1
		}
		for _, run := range b.core.workers[req.Worker].runs {
			r.Running = append(r.Running, RunReport{Task: run.ref, Run: run.number})
		}
		b.core.HandleSyncResult(b.now, &r)
	}
}

// crash lets a worker stop answering the given time from now and be replaced a second later.
func (b *crashBench) crash(id model.WorkerID, after time.Duration) {
	b.t.Helper()
	b.now = b.now.Add(after)
	w := b.core.workers[id]
	w.syncing = true
	b.core.HandleSyncResult(b.now, &SyncResult{Worker: id, Status: CallNoAnswer, SentAt: b.now})
	b.now = b.now.Add(time.Second)
	w.syncing = true
	b.core.HandleSyncResult(b.now, &SyncResult{Worker: id, Status: CallWrongIncarnation, SentAt: b.now})
	b.storeBatch()
}

const crashDelay = 10 * time.Millisecond

// Guards against a task that crashes one worker after the other without limit.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	b := newCrashBench(t, "w1", "w2", "w3", "w4", "w5")
	b.submit("guilty", smallStep(1))
	crashes := 0
	for ; crashes < 5; crashes++ {
		starts := b.starts()
		if len(starts) == 0 {
			break
		}
		b.crash(starts[0].Worker, crashDelay)
	}
	assert.Equal(t, crashes, maxStartCrashes)
	assert.Equal(t, jobView(t, b.core, "guilty"), ViewFailed)
}

// Guards against a task that crashes its workers some time after the start and is never given up.
func TestTaskThatCrashesItsWorkersLateIsGivenUp(t *testing.T) {
	b := newCrashBench(t, "w1", "w2", "w3", "w4", "w5", "w6")
	b.submit("guilty", smallStep(1))
	crashes := 0
	for ; crashes < 6; crashes++ {
		starts := b.starts()
		if len(starts) == 0 {
			break
		}
		b.crash(starts[0].Worker, 4*startCrashWindow)
	}
	assert.Equal(t, crashes, maxCrashes)
	assert.Equal(t, jobView(t, b.core, "guilty"), ViewFailed)
}

// Guards against giving up a task because it shared two workers with tasks that crashed them.
func TestInnocentTaskThatSharedCrashedWorkersTwiceGoesOn(t *testing.T) {
	b := newCrashBench(t, "w1", "w2", "w3", "w4")
	b.submit("innocent", smallStep(1))
	for _, guilty := range []string{"first", "second"} {
		b.submit(guilty, smallStep(1))
		starts := b.starts()
		shared := b.core.task(TaskRef{Job: "innocent"}).run.worker.ID
		assert.Equal(t, starts[len(starts)-1].Worker, shared, "%s does not share the worker", guilty)
		b.core.Cancel(b.now, guilty, 2)
		b.storeBatch()
		b.crash(shared, crashDelay)
		b.now = b.now.Add(isolationTime)
		for range 2 {
			b.starts()
		}
	}
	assert.Equal(t, len(b.core.task(TaskRef{Job: "innocent"}).crashes().runs), 2)
	assert.Equal(t, jobView(t, b.core, "innocent"), ViewActive)
}

// Guards against a suspect that starts together with tasks of other jobs, so that the next crash
// tells nothing.
func TestSuspectStartsApartFromOtherJobs(t *testing.T) {
	b := newCrashBench(t, "w1", "w2")
	b.submit("suspect", smallStep(1))
	b.crash(b.starts()[0].Worker, crashDelay)
	suspect := b.starts()
	b.submit("other", smallStep(1))
	assert.Equal(t, len(suspect), 1)
	begin := b.now
	other := b.starts()
	assert.Assert(t, len(other) == 1 && (other[0].Worker != suspect[0].Worker || b.now.Sub(begin) >= startCrashWindow), "%v after %v", startNames(Actions{Starts: other}), b.now.Sub(begin))
}

// Guards against counting crashes anew after each change of leader.
func TestCrashCountOutlivesLeader(t *testing.T) {
	b := newCrashBench(t, "w1")
	spec := Spec{ID: "guilty", Queue: "q", Steps: []Step{smallStep(1)}}
	accepted := AcceptedRecord{Spec: spec, Queue: Queue{Name: "q", Service: "s", MaxAttempts: 2}, Token: 1, Accepted: b.now}
	b.submit("guilty", spec.Steps...)
	first := b.starts()[0]
	w := b.core.workers[first.Worker]
	b.now = b.now.Add(crashDelay)
	w.syncing = true
	b.core.HandleSyncResult(b.now, &SyncResult{Worker: "w1", Status: CallNoAnswer, SentAt: b.now})
	b.advance(recordSilenceAfter)
	silent := b.storeBatch().Workers
	assert.Equal(t, len(silent), 1)

	// The leader is killed before the worker is replaced.
	next := &crashBench{b.newLeader(2, Snapshot{Accepted: []AcceptedRecord{accepted}, Workers: silent})}
	next.core.SetPreviousLeaderEnd(next.now)
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w1"), workerEntry("w2"), workerEntry("w3")})
	for _, req := range next.advance(0).Syncs {
		r := SyncResult{Worker: req.Worker, SentAt: next.now, Incarnation: 1, ClockMs: next.clockMs()}
		if req.Worker == "w1" {
			r.Status = CallWrongIncarnation
		}
		next.core.HandleSyncResult(next.now, &r)
	}
	next.storeBatch()
	assert.DeepEqual(t, next.core.task(first.Task).crashes().runs, []int64{first.Run})
	next.crash(next.starts()[0].Worker, crashDelay)
	assert.Equal(t, jobView(t, next.core, "guilty"), ViewFailed)
}

// Guards against a count that a new leader reads from the progress of the job and starts anew.
func TestCrashesAreRestoredFromProgress(t *testing.T) {
	b := newCrashBench(t, "w1", "w2")
	spec := Spec{ID: "guilty", Queue: "q", Steps: []Step{smallStep(2)}}
	b.submit("guilty", spec.Steps...)
	starts := b.starts()
	b.now = b.now.Add(crashDelay)
	w := b.core.workers[starts[0].Worker]
	w.syncing = true
	b.core.HandleSyncResult(b.now, &SyncResult{Worker: w.ID, Status: CallWrongIncarnation, SentAt: b.now})
	progress := b.storeBatch().Progress
	next := b.newLeader(2, Snapshot{Accepted: []AcceptedRecord{{Spec: spec, Queue: Queue{Name: "q", Service: "s"}, Token: 1, Accepted: b.now}}, Progress: progress})
	for _, s := range starts {
		assert.DeepEqual(t, next.core.task(s.Task).crashes().runs, []int64{s.Run})
		assert.Equal(t, next.core.task(s.Task).crashes().atStart, 1)
		assert.Equal(t, next.core.task(s.Task).crashes().alone, 1)
	}
}

// Guards against a worker that is cut off, or drains and leaves, being taken for one that its tasks
// crashed.
func TestCutOrDrainedWorkerIsNoCrash(t *testing.T) {
	for name, drain := range map[string]bool{"cut": false, "drained": true} {
		b := newCrashBench(t, "w1")
		b.submit("j1", smallStep(1))
		assert.Equal(t, len(b.starts()), 1)
		if drain {
			e := workerEntry("w1")
			e.Draining = true
			b.core.SetWorkers(b.now, []WorkerEntry{e})
			b.crash("w1", crashDelay)
		} else {
			for range 120 {
				b.answerWith(b.advance(50*time.Millisecond), CallNoAnswer)
				b.storeBatch()
			}
			assert.Assert(t, b.core.workers["w1"].leaseExpired)
		}
		h := b.core.task(TaskRef{Job: "j1"}).crashes()
		assert.Equal(t, len(h.runs), 0, name)
		assert.Assert(t, !h.suspect(), name)
	}
}

// Guards against a crash that is not counted because the worker was back only after its lease.
func TestWorkerBackAtItsAddressAfterItsLeaseHasCrashed(t *testing.T) {
	b := newCrashBench(t, "w1")
	b.submit("j1", smallStep(1))
	assert.Equal(t, len(b.starts()), 1)
	b.now = b.now.Add(crashDelay)
	for range 120 {
		b.answerWith(b.advance(50*time.Millisecond), CallNotSent)
		b.storeBatch()
	}
	assert.Assert(t, b.core.workers["w1"].leaseExpired)
	b.core.SetWorkers(b.now, nil)
	b.advance(0)
	back := workerEntry("w9")
	back.Address = "w1:1"
	b.core.SetWorkers(b.now, []WorkerEntry{back})
	b.answerWith(b.advance(0), CallOK)
	assert.Equal(t, len(b.core.task(TaskRef{Job: "j1"}).crashes().runs), 1)
}

// Guards against giving up a gang for crashes under different members.
func TestGangWithOneCrashingMemberIsGivenUp(t *testing.T) {
	b := newCrashBench(t, "w1", "w2", "w3", "w4")
	gang := wholeWorkerStep(2, time.Second)
	gang.Gang = true
	b.submit("gang", gang)
	crashes := 0
	for ; crashes < 4; crashes++ {
		starts := b.starts()
		if len(starts) == 0 {
			break
		}
		b.crash(starts[0].Worker, crashDelay)
		// The other member was aborted.
		for _, req := range b.advance(0).Stops {
			b.core.HandleStopResult(b.now, &StopResult{Worker: req.Worker, Task: req.Task, Run: req.Run, Status: CallOK, SentAt: b.now, ClockMs: b.clockMs()})
			w := b.core.workers[req.Worker]
			w.syncing = true
			b.now = b.now.Add(time.Millisecond)
			b.core.HandleSyncResult(b.now, &SyncResult{Worker: w.ID, SentAt: b.now, Incarnation: w.incarnation, ClockMs: b.clockMs()})
		}
		b.storeBatch()
	}
	assert.Equal(t, crashes, maxStartCrashes)
	assert.Equal(t, jobView(t, b.core, "gang"), ViewFailed)
}

// Guards against giving up a task that had just started on two crashed workers, each time beside a
// run of another job that had just started.
func TestOnlyCrashWithoutOtherStartsGivesTaskUp(t *testing.T) {
	b := newCrashBench(t, "w1")
	b.submit("innocent", smallStep(1))
	b.submit("other", smallStep(1))
	own, other := TaskRef{Job: "innocent"}, TaskRef{Job: "other"}
	for run := int64(1); run <= maxStartCrashes; run++ {
		b.core.recordCrash(b.now, "w1", []InterruptedRun{{Task: own, Run: run, Age: crashDelay}, {Task: other, Run: run, Age: crashDelay}})
	}
	assert.Equal(t, jobView(t, b.core, "innocent"), ViewQueued)
	b.core.recordCrash(b.now, "w1", []InterruptedRun{{Task: own, Run: 9, Age: crashDelay}, {Task: other, Run: 9, Age: startCrashWindow}})
	b.storeBatch()
	assert.Equal(t, jobView(t, b.core, "innocent"), ViewFailed)
	assert.Equal(t, jobView(t, b.core, "other"), ViewQueued)
}

// Guards against a suspect that starts on a worker that has just started a task of another job.
func TestSuspectWaitsUntilOtherStartsAreOld(t *testing.T) {
	b := newCrashBench(t, "w1")
	b.submit("other", smallStep(1))
	assert.Equal(t, len(b.starts()), 1)
	b.submit("suspect", smallStep(1))
	b.core.task(TaskRef{Job: "suspect"}).record().crashes.markPossible(b.now)
	begin := b.now
	assert.Equal(t, len(b.starts()), 1)
	assert.Assert(t, b.now.Sub(begin) >= startCrashWindow-100*time.Millisecond, "started after %v", b.now.Sub(begin))
}

// Guards against a task that starts again before a later leader would know its last crash.
func TestTaskWaitsUntilItsCrashIsStored(t *testing.T) {
	b := newCrashBench(t, "w1")
	b.submit("j1", smallStep(1))
	b.core.recordCrash(b.now, "w0", []InterruptedRun{{Task: TaskRef{Job: "j1"}, Run: 1, Age: crashDelay}})
	assert.Equal(t, len(b.advance(0).Starts), 0)
	b.storeBatch()
	assert.Equal(t, len(b.advance(scheduleInterval).Starts), 1)
}

// Guards against tasks of other jobs that are started beside one whose next crash would be its last.
func TestTaskBeforeItsLastCrashHasWorkerToItself(t *testing.T) {
	b := newCrashBench(t, "w1")
	b.submit("suspect", smallStep(1))
	suspect := b.core.task(TaskRef{Job: "suspect"})
	suspect.record().crashes.runs = []int64{-3, -2, -1}
	assert.Equal(t, len(b.starts()), 1)
	b.submit("other", smallStep(1))
	assert.Equal(t, len(b.starts()), 0, "started beside the suspect")
	b.core.loseRun(b.now, suspect.run, "test")
	b.core.Cancel(b.now, "suspect", 2)
	b.storeBatch()
	b.now = b.now.Add(lastIsolationTime)
	assert.Equal(t, len(b.starts()), 1)
}

// Guards against giving up a task for one crash beside a run of another job that had just started and
// one from outside, also under a leader that knows the first crash from the progress.
func TestOneCrashWithoutOtherStartsDoesNotGiveTaskUp(t *testing.T) {
	b := newCrashBench(t, "w1")
	own, other := TaskRef{Job: "innocent"}, TaskRef{Job: "other"}
	spec := Spec{ID: own.Job, Queue: "q", Steps: []Step{smallStep(1)}}
	accepted := AcceptedRecord{Spec: spec, Queue: Queue{Name: "q", Service: "s"}, Token: 1, Accepted: b.now}
	b.submit(own.Job, spec.Steps...)
	b.submit(other.Job, smallStep(1))
	b.core.recordCrash(b.now, "w1", []InterruptedRun{{Task: own, Run: 1, Age: crashDelay}, {Task: other, Run: 1, Age: crashDelay}})
	b.core.recordCrash(b.now, "w2", []InterruptedRun{{Task: own, Run: 2, Age: crashDelay}})
	assert.Equal(t, jobView(t, b.core, own.Job), ViewQueued)

	progress := slices.DeleteFunc(b.storeBatch().Progress, func(p ProgressRecord) bool { return p.Job != own.Job })
	next := b.newLeader(2, Snapshot{Accepted: []AcceptedRecord{accepted}, Progress: progress})
	assert.Equal(t, jobView(t, next.core, own.Job), ViewQueued)
	next.core.recordCrash(next.now, "w1", []InterruptedRun{{Task: own, Run: 1001, Age: crashDelay}})
	next.storeBatch()
	assert.Equal(t, jobView(t, next.core, own.Job), ViewFailed)
}
