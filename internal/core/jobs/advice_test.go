package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// newAdviceBench returns a bench whose queue requires advice.
func newAdviceBench(t *testing.T) *testBench {
	b := newTestBench(t, Queue{Name: "q", Service: "s", MaxAttempts: 2, Slack: 2, Target: time.Second,
		Advice: &AdviceConfig{DecisionTime: 10 * time.Millisecond, TimePerWorker: time.Millisecond, Validity: 2 * time.Second}})
	b.core.SetAdviceRelays([]string{"self"})
	return b
}

// Guards against a gang that waits forever for capacity on a worker that was
// removed while it was unreachable and has returned since.
func TestAdviceIsRequestedAgainForReturningWorker(t *testing.T) {
	b := newAdviceBench(t)
	b.addWorkers("w1")
	large := smallStep(1)
	large.Size.MilliCPU, large.Gang = 8000, true
	b.submit("first", large)
	requests := b.advance(10 * time.Millisecond).Advice
	assert.Equal(t, len(requests), 1)
	allowed := []Allowance{{Worker: "w1", Ticket: "t"}}
	b.core.HandleAdviceResult(b.now, &AdviceResult{Seq: requests[0].Seq, OK: true, Allowed: allowed, Validity: 2 * time.Second})
	b.confirmStarts(b.advance(10 * time.Millisecond).Starts)

	b.core.SetWorkers(b.now, nil)
	for range 70 {
		for _, req := range b.advance(100 * time.Millisecond).Syncs {
			b.core.HandleSyncResult(b.now, &SyncResult{Worker: req.Worker, SentAt: b.now, Status: CallNoAnswer})
		}
	}
	b.storeBatch()

	b.addWorkers("w1")
	started := 0
	for range 20 {
		out := b.advance(100 * time.Millisecond)
		b.answerSyncs(out, nil)
		b.storeBatch()
		for _, adviceReq := range out.Advice {
			b.core.HandleAdviceResult(b.now, &AdviceResult{Seq: adviceReq.Seq, OK: true, Allowed: allowed, Validity: 2 * time.Second})
		}
		b.confirmStarts(out.Starts)
		started += len(out.Starts)
	}
	assert.Assert(t, started > 0, "nothing starts on the returned worker")
}

// Guards against a step that waits until the call times out although the daemon
// that relayed it is gone.
func TestAdviceIsRequestedAgainWhenRelayIsLost(t *testing.T) {
	b := newAdviceBench(t)
	b.core.SetAdviceRelays([]string{"self", "other"})
	b.addWorkers("w1")
	b.submit("j1", smallStep(1))
	first := b.advance(0).Advice
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(b.advance(2*adviceBackoff).Advice), 0, "two requests for one step are in flight")
	b.core.HandleRelayLost(b.now, first[0].Relay)
	b.core.SetAdviceRelays([]string{"other"})
	second := b.advance(2 * adviceBackoff).Advice
	assert.Equal(t, len(second), 1, "no new request after the relay was lost")
	assert.Equal(t, second[0].Relay, "other")
}

// Guards against the last task of a wide step that asks about one worker at a time, because
// that worker has room for many tasks, and is denied each time.
func TestLastTaskOfStepAsksAboutSeveralWorkers(t *testing.T) {
	b := newAdviceBench(t)
	b.addWorkers("w1")
	b.submit("j1", smallStep(6))
	out := b.advance(10 * time.Millisecond)
	b.allow(out.Advice[0], anyWorker)
	starts := b.advance(10 * time.Millisecond).Starts
	assert.Equal(t, len(starts), 6)
	b.confirmStarts(starts)
	done := SyncResult{Incarnation: 1}
	for i, s := range starts[1:] {
		done.Ends = append(done.Ends, RunEnd{Seq: int64(i + 1), Task: s.Task, Run: s.Run, Kind: EndDone})
	}
	b.answerSyncs(out, map[model.WorkerID]SyncResult{"w1": done})
	b.storeBatch()

	b.addWorkers("w2", "w3", "w4", "w5", "w6")
	b.core.relays.observe("q", 4, 10)
	b.core.handleReplacedWorker(b.now, b.core.workers["w1"])
	b.storeBatch()
	requests := b.advance(10 * time.Millisecond).Advice
	assert.Equal(t, len(requests), 1)
	assert.Assert(t, len(requests[0].Workers) >= 3, "asks about %v", requests[0].Workers)
}
