package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// Guards against the lease of a worker that is gone never ending, because each
// call without an answer was counted as extending it: its tasks then never run
// again. Found by a hunt (kerlann-voix, mix, seed 864601576983).
func TestTasksOfASilentWorkerRunAgainAfterItsLease(t *testing.T) {
	b := newBench(t)
	b.ready("w1")
	b.submit("j1", small(1))
	out := b.step(0)
	assert.Equal(t, len(out.Starts), 1)
	b.accept(out.Starts)
	silent := func(out Actions) {
		for _, h := range out.Holds {
			r := HoldResult{Worker: h.Worker, Sent: b.now, Status: CallNoAnswer}
			if h.Worker == "w2" {
				r = HoldResult{Worker: h.Worker, Sent: b.now, Life: 1, Clock: b.clock()}
			}
			b.core.Held(b.now, &r)
		}
	}
	silent(out)
	b.core.SetEntries(b.now, []Entry{entry("w1"), entry("w2")})
	restarted := time.Duration(0)
	for passed := time.Duration(0); passed < 20*time.Second && restarted == 0; passed += 100 * time.Millisecond {
		out = b.step(100 * time.Millisecond)
		silent(out)
		b.store()
		if len(out.Starts) > 0 {
			restarted = passed
			assert.Equal(t, out.Starts[0].Worker, model.WorkerID("w2"))
		}
	}
	lease := b.core.cfg.Lease
	assert.Assert(t, restarted >= lease, "restarted after %v, within the lease of %v", restarted, lease)
	assert.Assert(t, restarted < lease+time.Second, "restarted after %v", restarted)
}

// Guards against a leader that waits for a worker's lease which the leader before
// it has already waited for. Found on kerlann-voix-grown, trouble-1: two changes
// of hands within seconds, and 4.8 s without a start of restored work in each.
func TestASilentWorkerIsWaitedForOnce(t *testing.T) {
	b := newBench(t)
	b.ready("w1")
	s := Snapshot{Workers: []WorkerRecord{{ID: "w1", Address: "w1:1", Service: "s"}, {ID: "gone", Address: "gone:1", Service: "s"}}}
	next := b.restarted(2, s)
	next.core.SetFormerEnd(next.now)
	next.core.SetEntries(next.now, []Entry{entry("w1")})
	dropped := map[model.WorkerID]bool{}
	for range 60 {
		for _, h := range next.step(100 * time.Millisecond).Holds {
			r := HoldResult{Worker: h.Worker, Sent: next.now, Status: CallNoAnswer}
			if h.Worker == "w1" {
				r.Status, r.Life, r.Clock = CallOK, 1, next.clock()
			}
			next.core.Held(next.now, &r)
		}
		if batch := next.store(); batch != nil {
			for _, id := range batch.DropWorkers {
				dropped[id] = true
			}
		}
	}
	assert.Assert(t, next.core.Recovered())
	assert.DeepEqual(t, dropped, map[model.WorkerID]bool{"gone": true})
}
