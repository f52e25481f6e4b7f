package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// The tests in this file guard against conclusions from what an answer, a list or a record does
// not contain, or does not contain yet.

// acceptedRecord is the stored form of a job whose only step is the given one.
func acceptedRecord(b *testBench, id string, s Step) AcceptedRecord {
	return AcceptedRecord{Spec: Spec{ID: id, Queue: "q", Steps: []Step{s}}, Queue: Queue{Name: "q", Service: "s", MaxAttempts: 2}, Token: 1, Accepted: b.now}
}

// doneEnds are ends of the first runs of the tasks 0 to count-1 of a job's only step.
func doneEnds(job string, count int) []RunEnd {
	var ends []RunEnd
	for i := range count {
		ends = append(ends, RunEnd{Seq: int64(i + 1), Task: TaskRef{Job: job, Index: int32(i)}, Run: 1, Kind: EndDone})
	}
	return ends
}

// Guards against tasks that run again although they are done: a new leader, whose store is down soon
// after the takeover, waited for the further ends of a worker only until the leases of the earlier
// leader had ended, and the worker lists always the first ones.
func TestEndsOnLaterPagesOutliveLeasesOfEarlierLeader(t *testing.T) {
	b := newTestBench(t)
	b.core.cfg.EndsPerPage = 2
	next := b.newLeader(2, Snapshot{Accepted: []AcceptedRecord{acceptedRecord(b, "j1", smallStep(3))}, Workers: []WorkerRecord{{ID: "w1", Address: "w1:1", Service: "s"}}})
	next.core.cfg.EndsPerPage = 2
	next.core.SetPreviousLeaderEnd(next.now)
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w1")})
	ends := doneEnds("j1", 3)
	page := map[model.WorkerID]SyncResult{"w1": {Ends: ends[:2]}}
	for range 100 {
		out := next.advance(100 * time.Millisecond)
		assert.Equal(t, len(out.Starts), 0, "%v", startNames(out))
		next.answerSyncs(out, page)
	}
	assert.Assert(t, next.now.After(next.core.previousLeaseEnd()))

	// The store is back.
	next.storeBatch()
	page["w1"] = SyncResult{Ends: ends[2:]}
	for range 20 {
		out := next.advance(100 * time.Millisecond)
		assert.Equal(t, len(out.Starts), 0, "%v", startNames(out))
		next.answerSyncs(out, page)
		next.storeBatch()
	}
	assert.Equal(t, jobView(t, next.core, "j1"), ViewCompleted)
	assert.Assert(t, next.core.Recovered())
}

// Guards against jobs that wait for ever for further ends of a worker that has become silent: they
// are lost with its lease.
func TestSilentWorkerWithFurtherEndsIsAwaitedForItsLeaseOnly(t *testing.T) {
	b := newTestBench(t)
	next := b.newLeader(2, Snapshot{Accepted: []AcceptedRecord{acceptedRecord(b, "j1", smallStep(3))}, Workers: []WorkerRecord{{ID: "w1", Address: "w1:1", Service: "s"}}})
	next.core.cfg.EndsPerPage = 2
	next.core.SetPreviousLeaderEnd(next.now)
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w1"), workerEntry("w2")})
	next.answerSyncs(next.advance(0), map[model.WorkerID]SyncResult{"w1": {Ends: doneEnds("j1", 2)}})
	next.storeBatch()
	started := 0
	for range 100 {
		out := next.advance(100 * time.Millisecond)
		started += len(out.Starts)
		next.answerExcept(out, "w1")
		next.confirmStarts(out.Starts)
		next.storeBatch()
	}
	assert.Assert(t, started > 0, "the task whose end was not listed does not start again")
	assert.Assert(t, next.core.Recovered())
}

// Guards against a run that is taken for lost because the row about it, among the running or the
// ended ones, could not be read.
func TestUnreadableRowProvesNoRunLost(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	b.submit("j1", smallStep(1))
	assert.Equal(t, len(b.step()), 1)
	b.step()
	unreadable := map[model.WorkerID]SyncResult{"w1": {RowErrors: []string{"row has no run number"}}}
	for range 20 {
		out := b.advance(stepTime)
		assert.Equal(t, len(out.Starts), 0, "%v", startNames(out))
		b.answerSyncs(out, unreadable)
		b.storeBatch()
	}
	for range 20 {
		b.answerSyncs(b.advance(stepTime), nil)
		b.storeBatch()
	}
	assert.Assert(t, b.core.task(TaskRef{Job: "j1"}).run.number > 1, "the run that is in neither complete list is not taken for lost")
}

// Guards against a new leader that takes an answer with an unreadable row for the whole state of a
// worker, and starts the task again whose row that was.
func TestUnreadableRowDoesNotEndRecovery(t *testing.T) {
	b := newTestBench(t)
	next := b.newLeader(2, Snapshot{Accepted: []AcceptedRecord{acceptedRecord(b, "j1", smallStep(1))}, Workers: []WorkerRecord{{ID: "w1", Address: "w1:1", Service: "s"}}})
	next.core.SetPreviousLeaderEnd(next.now)
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w1")})
	for range 20 {
		out := next.advance(100 * time.Millisecond)
		assert.Equal(t, len(out.Starts), 0, "%v", startNames(out))
		next.answerSyncs(out, map[model.WorkerID]SyncResult{"w1": {RowErrors: []string{"row has no run number"}}})
		next.storeBatch()
	}
	assert.Assert(t, !next.core.Recovered())
}

// Guards against a task that is blamed for a crash of its worker although its run had ended before:
// the worker listed it as running no more, and its end was on a later page.
func TestTaskThatEndedBeforeCrashIsNotBlamed(t *testing.T) {
	b := newCrashBench(t, "w1")
	b.core.cfg.EndsPerPage = 2
	b.submit("j1", smallStep(3))
	assert.Equal(t, len(b.starts()), 3)
	b.now = b.now.Add(crashDelay)
	w := b.core.workers["w1"]
	w.syncing = true
	b.core.HandleSyncResult(b.now, &SyncResult{Worker: "w1", SentAt: b.now, Incarnation: 1, ClockMs: b.clockMs(), Ends: doneEnds("j1", 2)})
	b.crash("w1", crashDelay)
	assert.Equal(t, len(b.core.task(TaskRef{Job: "j1", Index: 2}).crashes().runs), 0)
}

// Guards against a denial that is kept for the next process of a worker, which may be of another
// kind: its step would wait although that one may run it.
func TestDenialEndsWithIncarnation(t *testing.T) {
	b := newAdviceBench(t)
	b.addWorkers("w1")
	b.submit("j1", smallStep(1))
	none := func(model.WorkerID) bool { return false }
	out := b.advance(10 * time.Millisecond)
	b.allow(out.Advice[0], none)
	b.answerSyncs(out, nil)
	for range 5 {
		out := b.advance(100 * time.Millisecond)
		assert.Equal(t, len(out.Advice), 0, "asks again about a worker that was denied")
		b.answerSyncs(out, nil)
	}
	restarted := workerEntry("w1")
	restarted.Incarnation = 2
	b.core.SetWorkers(b.now, []WorkerEntry{restarted})
	started := 0
	for range 30 {
		out := b.advance(100 * time.Millisecond)
		b.answerSyncs(out, map[model.WorkerID]SyncResult{"w1": {Incarnation: 2}})
		b.storeBatch()
		for _, req := range out.Advice {
			b.allow(req, anyWorker)
		}
		started += len(out.Starts)
		b.confirmStarts(out.Starts)
	}
	assert.Assert(t, started > 0)
}

// Guards against a job that is refused as hopeless because the only workers that fit it are missing
// from the list for some seconds, as after an outage of the store.
func TestJobForAbsentWorkerIsNotHopeless(t *testing.T) {
	large := smallStep(1)
	large.Label = "large"
	labelled := workerEntry("w2")
	labelled.Labels = []string{"large"}

	b := newTestBench(t)
	b.core.SetWorkers(b.now, []WorkerEntry{workerEntry("w1"), labelled})
	b.answerSyncs(b.advance(0), nil)
	b.core.SetWorkers(b.now, []WorkerEntry{workerEntry("w1")})
	assert.Assert(t, b.core.Submit(b.now, &Spec{ID: "j1", Queue: "q", Steps: []Step{large}}, 1) == nil, "refused while the worker is absent")
	b.now = b.now.Add(absenceTime + time.Second)
	resp := b.core.Submit(b.now, &Spec{ID: "j2", Queue: "q", Steps: []Step{large}}, 2)
	assert.Assert(t, resp != nil && resp.RetryAfter == retryAfterNeverFits, "%v", resp)

	// A new leader knows from the records that a worker is missing, but not whether the job fits it.
	next := b.newLeader(2, Snapshot{Workers: []WorkerRecord{{ID: "w1", Address: "w1:1", Service: "s"}, {ID: "w2", Address: "w2:1", Service: "s"}}})
	next.core.SetPreviousLeaderEnd(next.now)
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w1")})
	resp = next.core.Submit(next.now, &Spec{ID: "j3", Queue: "q", Steps: []Step{large}}, 3)
	assert.Assert(t, resp != nil && resp.RetryAfter == retryAfterIncompleteList, "%v", resp)
	next.now = next.now.Add(listReturnTime)
	resp = next.core.Submit(next.now, &Spec{ID: "j4", Queue: "q", Steps: []Step{large}}, 4)
	assert.Assert(t, resp != nil && resp.RetryAfter == retryAfterNeverFits, "%v", resp)
}

// restartWith lets w1 answer as a new process on which nothing runs.
func (b *testBench) restartWith(incarnation int64) {
	b.t.Helper()
	entry := workerEntry("w1")
	entry.Incarnation = incarnation
	b.core.SetWorkers(b.now, []WorkerEntry{entry})
	w := b.core.workers["w1"]
	w.syncing = true
	b.core.HandleSyncResult(b.now, &SyncResult{Worker: "w1", SentAt: b.now, Incarnation: incarnation, ClockMs: b.clockMs()})
	b.storeBatch()
}

// Guards against a start that may still reach the new process of a worker, and that is taken for
// stopped there because the former process answered an earlier stop.
func TestStopAnswerOfFormerProcessProvesNothing(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	b.submit("j1", smallStep(1))
	first := b.advance(0)
	start := first.Starts[0]
	b.answerSyncs(first, nil)
	b.core.HandleStartResult(b.now, &StartResult{Worker: "w1", Task: start.Task, Run: start.Run, Status: CallNoAnswer})
	var stops []StopRequest
	for range 5 {
		out := b.advance(50 * time.Millisecond)
		stops = append(stops, out.Stops...)
		b.answerSyncs(out, nil)
	}
	stops = append(stops, b.core.TakeActions().Stops...)
	assert.Equal(t, len(stops), 1)
	sentAt := b.core.task(start.Task).run.stop.sentAt
	answer := StopResult{Worker: "w1", Task: start.Task, Run: start.Run, Status: CallOK, SentAt: sentAt, ClockMs: b.clockMs()}

	b.now = b.now.Add(100 * time.Millisecond)
	b.restartWith(2)
	b.core.HandleStopResult(b.now, &answer)
	idle := map[model.WorkerID]SyncResult{"w1": {Incarnation: 2}}
	for range 10 {
		out := b.advance(50 * time.Millisecond)
		assert.Equal(t, len(out.Starts), 0, "started again while the first start may still arrive")
		b.answerSyncs(out, idle)
	}
	answer.SentAt = b.now
	b.core.HandleStopResult(b.now, &answer)
	started := 0
	for range 60 {
		out := b.advance(50 * time.Millisecond)
		started += len(out.Starts)
		b.answerSyncs(out, idle)
		b.storeBatch()
	}
	assert.Assert(t, started > 0, "does not start again")
}

// Guards against runs that are taken for gone, and started again, because a start that was sent to
// the former address of their worker is answered by another worker.
func TestRefusalAtFormerAddressProvesNothing(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	b.submit("late", smallStep(1))
	late := b.advance(0).Starts[0]
	b.now = b.now.Add(time.Second)
	b.restartWith(2)
	b.submit("running", smallStep(1))
	out := b.advance(50 * time.Millisecond)
	assert.Equal(t, len(out.Starts), 1)
	b.confirmStarts(out.Starts)
	b.core.HandleStartResult(b.now, &StartResult{Worker: "w1", Task: late.Task, Run: late.Run, Status: CallWrongIncarnation})
	r := b.core.task(TaskRef{Job: "running"}).run
	assert.Assert(t, r != nil && !r.gone, "the run of the present process is taken for gone")
}
