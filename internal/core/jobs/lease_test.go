package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Guards against counting each call without an answer as an extension of the
// lease: the lease of a failed worker then never ends and its tasks never run
// again. Seen in kerlann-voix, mix, seed 864601576983.
func TestTasksOfSilentWorkerRestartAfterLeaseEnd(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	b.submit("j1", smallStep(1))
	out := b.advance(0)
	assert.Equal(t, len(out.Starts), 1)
	b.confirmStarts(out.Starts)
	answerOnlyW2 := func(out Actions) {
		for _, req := range out.Syncs {
			r := SyncResult{Worker: req.Worker, SentAt: b.now, Status: CallNoAnswer}
			if req.Worker == "w2" {
				r = SyncResult{Worker: req.Worker, SentAt: b.now, Incarnation: 1, ClockMs: b.clockMs()}
			}
			b.core.HandleSyncResult(b.now, &r)
		}
	}
	answerOnlyW2(out)
	b.core.SetWorkers(b.now, []WorkerEntry{workerEntry("w1"), workerEntry("w2")})
	restartedAfter := time.Duration(0)
	for elapsed := time.Duration(0); elapsed < 20*time.Second && restartedAfter == 0; elapsed += 100 * time.Millisecond {
		out = b.advance(100 * time.Millisecond)
		answerOnlyW2(out)
		b.storeBatch()
		if len(out.Starts) > 0 {
			restartedAfter = elapsed
			assert.Equal(t, out.Starts[0].Worker, model.WorkerID("w2"))
		}
	}
	lease := b.core.cfg.LeaseDuration
	assert.Assert(t, restartedAfter >= lease, "restarted after %v, within the lease of %v", restartedAfter, lease)
	assert.Assert(t, restartedAfter < lease+time.Second, "restarted after %v", restartedAfter)
}

// Guards against a leader that waits again for a lease whose end the previous
// leader has already awaited. Seen in kerlann-voix-grown, trouble-1: two
// changes of leader within seconds, each followed by 4.8 s without a start of
// restored tasks.
func TestLeaseOfSilentWorkerIsAwaitedByOneLeader(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	s := Snapshot{Workers: []WorkerRecord{{ID: "w1", Address: "w1:1", Service: "s"}, {ID: "gone", Address: "gone:1", Service: "s"}}}
	next := b.newLeader(2, s)
	next.core.SetPreviousLeaderEnd(next.now)
	next.core.SetWorkers(next.now, []WorkerEntry{workerEntry("w1")})
	dropped := map[model.WorkerID]bool{}
	for range 60 {
		for _, req := range next.advance(100 * time.Millisecond).Syncs {
			r := SyncResult{Worker: req.Worker, SentAt: next.now, Status: CallNoAnswer}
			if req.Worker == "w1" {
				r.Status, r.Incarnation, r.ClockMs = CallOK, 1, next.clockMs()
			}
			next.core.HandleSyncResult(next.now, &r)
		}
		if batch := next.storeBatch(); batch != nil {
			for _, id := range batch.DropWorkers {
				dropped[id] = true
			}
		}
	}
	assert.Assert(t, next.core.Recovered())
	assert.DeepEqual(t, dropped, map[model.WorkerID]bool{"gone": true})
}

// Guards against a task that runs twice because a restarted worker drops its ends up to the
// acknowledgement that was meant for its earlier incarnation.
func TestSilentWorkerGetsNoAcknowledgement(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	b.submit("j1", smallStep(1))
	out := b.advance(0)
	b.confirmStarts(out.Starts)
	end := RunEnd{Seq: 1, Task: out.Starts[0].Task, Run: out.Starts[0].Run, Kind: EndDone}
	b.answerSyncs(out, map[model.WorkerID]SyncResult{"w1": {Ends: []RunEnd{end}}})
	b.storeBatch()
	out = b.advance(time.Second)
	assert.Equal(t, len(out.Syncs), 1)
	assert.Equal(t, out.Syncs[0].AckCursor, int64(1))
	b.core.HandleSyncResult(b.now, &SyncResult{Worker: "w1", SentAt: b.now, Status: CallNoAnswer})
	out = b.advance(time.Second)
	assert.Equal(t, len(out.Syncs), 1)
	assert.Equal(t, out.Syncs[0].AckCursor, int64(0))
	b.answerSyncs(out, nil)
	out = b.advance(time.Second)
	assert.Equal(t, out.Syncs[0].AckCursor, int64(1))
}
