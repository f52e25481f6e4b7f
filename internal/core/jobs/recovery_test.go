package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// silence answers all calls to workers but those to the silent one.
func (b *bench) silence(out Actions, silent model.WorkerID) {
	for _, h := range out.Syncs {
		r := SyncResult{Worker: h.Worker, SentAt: b.now, Status: CallNoAnswer}
		if h.Worker != silent {
			r.Status, r.Incarnation, r.ClockMs = CallOK, 1, b.clock()
		}
		b.core.HandleSyncResult(b.now, &r)
	}
}

// Guards against a change of hands after which all restored work waits for the
// lease of one worker that had been silent before. Found on kerlann-voix-grown,
// trouble-1: 4 s without a start of restored work after a power cut.
func TestASilentWorkerHoldsBackOnlyItsJobs(t *testing.T) {
	b := newBench(t)
	b.ready("w1")
	b.submit("on-w1", small(2))
	out := b.step(0)
	assert.Equal(t, len(out.Starts), 2)
	b.accept(out.Starts)
	b.silence(out, "w1")
	var s Snapshot
	for range 8 {
		b.silence(b.step(100*time.Millisecond), "w1")
		if batch := b.store(); batch != nil && len(batch.Workers) > 0 {
			s.Workers = batch.Workers
		}
	}
	assert.Equal(t, len(s.Workers), 1, "the silence is not stored")
	assert.DeepEqual(t, s.Workers[0].Jobs, []string{"on-w1"})
	for _, id := range []string{"on-w1", "waiting"} {
		s.Accepted = append(s.Accepted, AcceptedRecord{Spec: Spec{ID: id, Queue: "q", Steps: []Step{small(2)}}, Queue: *b.core.queues["q"], Token: 1, Accepted: b.now})
	}
	s.Workers = append(s.Workers, WorkerRecord{ID: "w2", Address: "w2:1", Service: "s"})
	next := b.restarted(2, s)
	next.core.SetPreviousLeaderEnd(next.now)
	next.core.SetWorkers(next.now, []WorkerEntry{entry("w1"), entry("w2")})
	began := map[string]time.Duration{}
	for passed := time.Duration(0); passed < 7*time.Second; passed += 100 * time.Millisecond {
		out := next.step(100 * time.Millisecond)
		next.silence(out, "w1")
		next.store()
		for _, o := range out.Starts {
			assert.Equal(t, o.Worker, model.WorkerID("w2"))
			if _, again := began[o.Task.Job]; !again {
				began[o.Task.Job] = passed
			}
		}
	}
	assert.Assert(t, began["waiting"] < 500*time.Millisecond, "a job that ran nowhere waited for %v", began["waiting"])
	assert.Assert(t, began["on-w1"] >= b.core.cfg.LeaseDuration, "a task was started again after %v, within its lease", began["on-w1"])
}

// Guards against a start on a worker while its record still lists what it ran
// when it fell silent: a next leader would not know of that start.
func TestAWorkerThatAnswersAgainIsEnrolledBeforeItsNextStart(t *testing.T) {
	b := newBench(t)
	b.ready("w1")
	for range 5 {
		b.silence(b.step(200*time.Millisecond), "w1")
	}
	silent := b.core.TakeBatch()
	assert.Assert(t, silent != nil && silent.Workers[0].Silent)
	b.answerHolds(b.step(maxSyncRetryDelay), nil)
	again := b.core.TakeBatch()
	assert.Assert(t, again != nil && !again.Workers[0].Silent)
	assert.Assert(t, b.core.Submit(b.now, &Spec{ID: "j1", Queue: "q", Steps: []Step{small(1)}}, 1) == nil)
	job := b.core.TakeBatch()
	b.core.HandleBatchStored(b.now, silent.Seq)
	b.core.HandleBatchStored(b.now, job.Seq)
	assert.Equal(t, len(b.step(0).Starts), 0, "started while the record of its silence stands")
	b.core.HandleBatchStored(b.now, again.Seq)
	assert.Equal(t, len(b.step(0).Starts), 1)
}

// Guards against a wait for workers that left before a change of hands, with
// nothing running on them.
func TestAnEmptyLeavingWorkerIsStruckOff(t *testing.T) {
	b := newBench(t)
	b.ready("w1")
	leaving := entry("w1")
	leaving.Draining = true
	b.core.SetWorkers(b.now, []WorkerEntry{leaving})
	b.answerHolds(b.step(100*time.Millisecond), nil)
	batch := b.store()
	assert.Assert(t, batch != nil)
	assert.DeepEqual(t, batch.DropWorkers, []model.WorkerID{"w1"})
	b.answerHolds(b.step(100*time.Millisecond), nil)
	assert.Assert(t, b.store() == nil, "the record is written again")
}
