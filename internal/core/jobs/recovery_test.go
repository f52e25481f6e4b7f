package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// answerExcept answers all syncs except those with one silent worker.
func (b *testBench) answerExcept(out Actions, silent model.WorkerID) {
	for _, req := range out.Syncs {
		r := SyncResult{Worker: req.Worker, SentAt: b.now, Status: CallNoAnswer}
		if req.Worker != silent {
			r.Status, r.Incarnation, r.ClockMs = CallOK, 1, b.clockMs()
		}
		b.core.HandleSyncResult(b.now, &r)
	}
}

// Guards against a change of leader after which all restored jobs wait for the
// lease of one worker that was silent before. Seen in kerlann-voix-grown,
// trouble-1: 4 s without a start of restored tasks after a power cut.
func TestSilentWorkerBlocksOnlyItsOwnJobs(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	b.submit("on-w1", smallStep(2))
	out := b.advance(0)
	assert.Equal(t, len(out.Starts), 2)
	b.confirmStarts(out.Starts)
	b.answerExcept(out, "w1")
	var s Snapshot
	for range 8 {
		b.answerExcept(b.advance(100*time.Millisecond), "w1")
		if batch := b.storeBatch(); batch != nil && len(batch.Workers) > 0 {
			s.Workers = batch.Workers
		}
	}
	assert.Equal(t, len(s.Workers), 1, "the silence of the worker is not stored")
	assert.DeepEqual(t, s.Workers[0].Jobs, []string{"on-w1"})
	for _, id := range []string{"on-w1", "waiting"} {
		s.Accepted = append(s.Accepted, AcceptedRecord{Spec: Spec{ID: id, Queue: "q", Steps: []Step{smallStep(2)}}, Queue: *b.core.queues["q"], Token: 1, Accepted: b.now})
	}
	s.Workers = append(s.Workers, WorkerRecord{ID: "w2", Address: "w2:1", Service: "s"})
	next := b.newLeader(2, s)
	next.core.SetPreviousLeaderEnd(next.now)
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w1"), workerEntry("w2")})
	startedAfter := map[string]time.Duration{}
	for elapsed := time.Duration(0); elapsed < 7*time.Second; elapsed += 100 * time.Millisecond {
		out := next.advance(100 * time.Millisecond)
		next.answerExcept(out, "w1")
		next.storeBatch()
		for _, req := range out.Starts {
			assert.Equal(t, req.Worker, model.WorkerID("w2"))
			if _, again := startedAfter[req.Task.Job]; !again {
				startedAfter[req.Task.Job] = elapsed
			}
		}
	}
	assert.Assert(t, startedAfter["waiting"] < 500*time.Millisecond, "a job without runs waited for %v", startedAfter["waiting"])
	assert.Assert(t, startedAfter["on-w1"] >= b.core.cfg.LeaseDuration, "a task was started again after %v, within its lease", startedAfter["on-w1"])
}

// Guards against a start on a worker whose record still lists the jobs of the
// time when it became silent: the next leader would not know of that start.
func TestReturningWorkerIsStoredBeforeNextStart(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	for range 5 {
		b.answerExcept(b.advance(200*time.Millisecond), "w1")
	}
	silent := b.core.TakeBatch()
	assert.Assert(t, silent != nil && silent.Workers[0].Silent)
	b.answerSyncs(b.advance(maxSyncRetryDelay), nil)
	returned := b.core.TakeBatch()
	assert.Assert(t, returned != nil && !returned.Workers[0].Silent)
	assert.Assert(t, b.core.Submit(b.now, &Spec{ID: "j1", Queue: "q", Steps: []Step{smallStep(1)}}, 1) == nil)
	job := b.core.TakeBatch()
	b.core.HandleBatchStored(b.now, silent.Seq)
	b.core.HandleBatchStored(b.now, job.Seq)
	assert.Equal(t, len(b.advance(0).Starts), 0, "started before the record of its silence was replaced")
	b.core.HandleBatchStored(b.now, returned.Seq)
	assert.Equal(t, len(b.advance(0).Starts), 1)
}

// Guards against a new leader that waits for workers which left before the
// change of leader with nothing running on them.
func TestRecordOfEmptyDrainingWorkerIsDeleted(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	draining := workerEntry("w1")
	draining.Draining = true
	b.core.SetWorkers(b.now, []WorkerEntry{draining})
	b.answerSyncs(b.advance(100*time.Millisecond), nil)
	batch := b.storeBatch()
	assert.Assert(t, batch != nil)
	assert.DeepEqual(t, batch.DropWorkers, []model.WorkerID{"w1"})
	b.answerSyncs(b.advance(100*time.Millisecond), nil)
	assert.Assert(t, b.storeBatch() == nil, "the record is written again")
}

// Guards against a change of leader shortly after workers began to drain: all
// restored jobs would wait for the leases of the workers that are gone.
func TestRunsOnDrainingWorkerAreStored(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	b.submit("j1", smallStep(2))
	out := b.advance(0)
	b.confirmStarts(out.Starts)
	draining := workerEntry("w1")
	draining.Draining = true
	b.core.SetWorkers(b.now, []WorkerEntry{draining})
	b.advance(100 * time.Millisecond)
	batch := b.storeBatch()
	assert.Assert(t, batch != nil && len(batch.Workers) == 1, "the runs on the draining worker are not stored")
	assert.Assert(t, batch.Workers[0].Silent)
	assert.DeepEqual(t, batch.Workers[0].Tasks, []TaskRef{{Job: "j1", Index: 0}, {Job: "j1", Index: 1}})
}

// Guards against tasks that wait for the lease of a worker on which only other tasks of
// their job may run, and against a task or gang that is started again within that lease.
func TestListedTasksAloneWaitForSilentWorker(t *testing.T) {
	b := newTestBench(t)
	gang := smallStep(2)
	gang.Gang = true
	s := Snapshot{Workers: []WorkerRecord{
		{ID: "w1", Address: "w1:1", Service: "s", Silent: true, Jobs: []string{"single", "gang"}, Tasks: []TaskRef{{Job: "single", Index: 1}, {Job: "gang"}}},
		{ID: "w2", Address: "w2:1", Service: "s"}}}
	for id, step := range map[string]Step{"single": smallStep(3), "gang": gang} {
		s.Accepted = append(s.Accepted, AcceptedRecord{Spec: Spec{ID: id, Queue: "q", Steps: []Step{step}}, Queue: *b.core.queues["q"], Token: 1, Accepted: b.now})
	}
	next := b.newLeader(2, s)
	next.core.SetPreviousLeaderEnd(next.now)
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w1"), workerEntry("w2")})
	startedAfter := map[TaskRef]time.Duration{}
	for elapsed := time.Duration(0); elapsed < 7*time.Second; elapsed += 100 * time.Millisecond {
		out := next.advance(100 * time.Millisecond)
		next.answerExcept(out, "w1")
		next.storeBatch()
		for _, req := range out.Starts {
			if _, again := startedAfter[req.Task]; !again {
				startedAfter[req.Task] = elapsed
			}
		}
	}
	lease := b.core.cfg.LeaseDuration
	for ref, wait := range map[TaskRef]bool{{Job: "single"}: false, {Job: "single", Index: 1}: true, {Job: "single", Index: 2}: false,
		{Job: "gang"}: true, {Job: "gang", Index: 1}: true} {
		started, known := startedAfter[ref]
		assert.Assert(t, known, "%v never starts", ref)
		if wait {
			assert.Assert(t, started >= lease, "%v started again after %v", ref, started)
		} else {
			assert.Assert(t, started < time.Second, "%v waited for %v", ref, started)
		}
	}
}

// Guards against records of earlier versions, which list only the jobs on a silent worker.
func TestJobsWithoutListedTasksWaitForSilentWorker(t *testing.T) {
	rec := newRecovery()
	rec.add(&WorkerRecord{ID: "w1", Silent: true, Jobs: []string{"j1"}})
	assert.Assert(t, rec.blocks("j1"))
	assert.Assert(t, !rec.blocks("j2"))
	rec.remove("w1")
	assert.Assert(t, !rec.blocks("j1"))
}
