package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// crashLoop plays a service of one task that fails right after each start, until it was started a number
// of times. It returns the number of its last run and the latest record of its progress.
func (b *testBench) crashLoop(starts int) (last int64, progress ProgressRecord) {
	b.t.Helper()
	var ends []RunEnd
	for seq := int64(0); starts > 0; {
		out := b.advance(50 * time.Millisecond)
		for _, s := range out.Starts {
			assert.Assert(b.t, s.Run > last, "run %d after run %d", s.Run, last)
			starts, last, seq = starts-1, s.Run, seq+1
			ends = append(ends, RunEnd{Seq: seq, Task: s.Task, Run: s.Run, Kind: EndFailed})
		}
		b.confirmStarts(out.Starts)
		b.answerSyncs(out, map[model.WorkerID]SyncResult{"w1": {Ends: ends}})
		if len(out.Syncs) > 0 {
			ends = nil
		}
		if batch := b.storeBatch(); batch != nil && len(batch.Progress) > 0 {
			progress = batch.Progress[0]
		}
	}
	return last, progress
}

func lastingBench(t *testing.T) *testBench {
	t.Helper()
	b := newTestBench(t)
	b.addWorkers("w1")
	b.submit("j1", lastingStep(1))
	return b
}

// Guards against a service that is not started under a new leader, because the last one has started it more
// often than its range of run numbers was long.
func TestRunNumbersOfNextLeaderAreAboveAllOthers(t *testing.T) {
	b := lastingBench(t)
	last, progress := b.crashLoop(3*runsPerToken + 500)
	assert.Assert(t, last > 3*runsPerToken)
	for token := uint64(2); token < 5; token++ {
		next := b.newLeader(token, Snapshot{Accepted: []AcceptedRecord{acceptedRecord(b, "j1", lastingStep(1))}, Progress: []ProgressRecord{progress}})
		next.core.SetPreviousLeaderEnd(next.now)
		next.addWorkers("w1")
		var started []StartRequest
		for range 20 {
			out := next.advance(100 * time.Millisecond)
			started = append(started, out.Starts...)
			next.answerSyncs(out, nil)
			if batch := next.storeBatch(); batch != nil && len(batch.Progress) > 0 {
				progress = batch.Progress[0]
			}
		}
		assert.Assert(t, len(started) > 0, "not started under token %d", token)
		assert.Assert(t, started[0].Run > last, "run %d under token %d after run %d", started[0].Run, token, last)
		last = started[len(started)-1].Run
	}
}

// Guards against a number beyond the stored limit, which the next leader would give again: starts wait for
// the store, and go on with its answer.
func TestRunNumbersEndAtStoredLimit(t *testing.T) {
	b := newTestBench(t)
	j := newJob(&Spec{ID: "j1", Queue: "q", Steps: []Step{smallStep(1)}}, b.core.queues["q"], 1, b.now)
	b.core.jobs["j1"] = j
	count := int64(0)
	assigned := func() (n int) {
		for n = 0; n < 10*runsPerToken; n++ {
			if _, ok := b.core.nextRunNumber(j, &count); !ok {
				break
			}
		}
		return n
	}
	assert.Equal(t, assigned(), runsPerToken)
	assert.Equal(t, assigned(), 0)
	batch := b.storeBatch()
	assert.Assert(t, batch.Progress[0].RunLimit > runsPerToken)
	assert.Equal(t, assigned(), int(batch.Progress[0].RunLimit)-runsPerToken, "a further limit that is not stored yet counts, or hides the stored one")
}

// Guards against attempts with one number after the other below those that a worker has seen.
func TestRejectedRunNumberLeadsFarAhead(t *testing.T) {
	b := lastingBench(t)
	const seen = 5000
	attempts := 0
	for range 100 {
		out := b.advance(stepTime)
		for _, s := range out.Starts {
			attempts++
			status := CallOK
			if s.Run <= seen {
				status = CallStaleRun
			}
			b.core.HandleStartResult(b.now, &StartResult{Worker: s.Worker, Task: s.Task, Run: s.Run, Status: status, ClockMs: b.clockMs()})
			if status == CallOK {
				assert.Assert(t, attempts <= 5, "%d attempts", attempts)
				return
			}
		}
		b.now = b.now.Add(time.Millisecond)
		b.answerSyncs(out, nil)
		b.storeBatch()
	}
	t.Fatalf("not started in %d attempts", attempts)
}
