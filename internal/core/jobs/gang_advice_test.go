package jobs

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// allow answers an advice request with tickets for the workers that ok selects.
func (b *testBench) allow(req AdviceRequest, ok func(model.WorkerID) bool) {
	r := &AdviceResult{Seq: req.Seq, OK: true, Validity: 2 * time.Second}
	for _, id := range req.Workers {
		if ok(id) {
			r.Allowed = append(r.Allowed, Allowance{Worker: id, Ticket: "t"})
		}
	}
	b.core.HandleAdviceResult(b.now, r)
}

func anyWorker(model.WorkerID) bool { return true }

// wholeWorkerStep returns a step each of whose tasks fills a worker.
func wholeWorkerStep(count int, estimate time.Duration) Step {
	s := smallStep(count)
	s.Size.MilliCPU, s.Estimate = 8000, estimate
	return s
}

// Guards against small tasks that are spread over the emptiest workers, so that no
// worker keeps room for a large task.
func TestTasksAskForFullestWorkers(t *testing.T) {
	b := newAdviceBench(t)
	b.addWorkers("w1")
	half := smallStep(1)
	half.Size.MilliCPU = 4000
	b.submit("first", half)
	b.allow(b.advance(10 * time.Millisecond).Advice[0], anyWorker)
	b.confirmStarts(b.advance(10 * time.Millisecond).Starts)

	b.addWorkers("w1", "w2")
	b.submit("second", smallStep(1))
	requests := b.advance(10 * time.Millisecond).Advice
	assert.Equal(t, len(requests), 1)
	assert.Equal(t, requests[0].Workers[0], model.WorkerID("w1"))
}

// Guards against a gang that is wider than the answer to one call and never has enough
// valid tickets at the same time.
func TestWideGangAsksInParallel(t *testing.T) {
	const workers, members = 300, 150
	b := newAdviceBench(t)
	var relays, ids []string
	for i := range 32 {
		relays = append(relays, fmt.Sprintf("d%02d", i))
	}
	for i := range workers {
		ids = append(ids, fmt.Sprintf("w%03d", i))
	}
	b.core.SetAdviceRelays(relays)
	b.addWorkers(ids...)
	gang := wholeWorkerStep(members, time.Second)
	gang.Gang = true
	b.submit("wide", gang)

	requests := b.advance(10 * time.Millisecond).Advice
	named := map[model.WorkerID]bool{}
	for _, req := range requests {
		assert.Assert(t, len(req.Workers) <= maxAdviceWorkers)
		for _, id := range req.Workers {
			assert.Assert(t, !named[id], "%s is in two calls", id)
			named[id] = true
		}
	}
	assert.Equal(t, len(named), workers)
	for _, req := range requests {
		b.allow(req, func(id model.WorkerID) bool { return id[3]%2 == 0 })
	}
	assert.Equal(t, len(b.advance(10*time.Millisecond).Starts), members)
}

// Guards against a gang that finds its capacity taken each time its tickets have been
// renewed.
func TestGangHoldsCapacityWhileTicketsAreRenewed(t *testing.T) {
	b := newAdviceBench(t)
	b.core.SetAdviceRelays([]string{"d1", "d2", "d3"})
	b.addWorkers("w1")
	b.submit("blocker", wholeWorkerStep(1, time.Minute))
	b.allow(b.advance(10 * time.Millisecond).Advice[0], anyWorker)
	blocker := b.advance(10 * time.Millisecond).Starts
	b.confirmStarts(blocker)

	b.addWorkers("w1", "w2")
	gang := wholeWorkerStep(2, time.Minute)
	gang.Gang = true
	b.submit("gang", gang)
	b.allow(b.advance(10 * time.Millisecond).Advice[0], anyWorker)
	b.advance(3 * time.Second) // the tickets expire
	run := RunEnd{Seq: 1, Task: blocker[0].Task, Run: blocker[0].Run, Kind: EndDone}
	for _, w := range b.core.workerList {
		w.syncing = true
		r := SyncResult{Worker: w.ID, SentAt: b.now, Incarnation: 1, ClockMs: b.clockMs()}
		if w.ID == "w1" {
			r.Ends = []RunEnd{run}
		}
		b.core.HandleSyncResult(b.now, &r)
	}
	b.storeBatch()
	renewals := b.advance(candidateRetryDelay).Advice
	assert.Equal(t, len(renewals), 1, "the tickets are not renewed")
	assert.Equal(t, len(renewals[0].Workers), 2)

	b.submit("urgent", wholeWorkerStep(1, 100*time.Millisecond))
	assert.Equal(t, len(b.advance(10*time.Millisecond).Advice), 0, "another job asks for held capacity")
	b.allow(renewals[0], anyWorker)
	starts := b.advance(10 * time.Millisecond).Starts
	assert.Equal(t, len(starts), 2)
	assert.Equal(t, starts[0].Task.Job, "gang")
}

// Guards against gangs that keep the advice service busy although more urgent ones need
// all the capacity that is free.
func TestGangsTakeTurnsInAskingForAdvice(t *testing.T) {
	b := newAdviceBench(t)
	b.core.SetAdviceRelays([]string{"d1", "d2", "d3", "d4", "d5"})
	b.addWorkers("w1", "w2")
	for _, id := range []string{"first", "second"} {
		gang := wholeWorkerStep(2, time.Minute)
		gang.Gang = true
		b.submit(id, gang)
	}
	calls := map[string]int{}
	var first []AdviceRequest
	for range 20 {
		for _, req := range b.advance(candidateRetryDelay).Advice {
			calls[req.Step.Job]++
			if req.Step.Job == "first" {
				first = append(first, req)
				continue
			}
			b.allow(req, func(model.WorkerID) bool { return false })
		}
	}
	assert.Equal(t, calls["first"], 1)
	assert.Assert(t, calls["second"] <= 1, "a gang whose turn has not come made %d calls", calls["second"])
	b.allow(first[0], anyWorker)
	starts := b.advance(10 * time.Millisecond).Starts
	assert.Equal(t, len(starts), 2)
	assert.Equal(t, starts[0].Task.Job, "first")
}

// Guards against a log in which a gang that waits for its turn looks like one that was denied
// all workers.
func TestGangWhoseTurnHasNotComeSaysSo(t *testing.T) {
	b := newAdviceBench(t)
	b.core.SetAdviceRelays([]string{"d1", "d2", "d3"})
	b.addWorkers("w1", "w2")
	for _, id := range []string{"first", "second"} {
		gang := wholeWorkerStep(2, time.Minute)
		gang.Gang = true
		b.submit(id, gang)
	}
	for range 10 {
		for _, req := range b.advance(candidateRetryDelay).Advice {
			if req.Step.Job == "second" {
				b.allow(req, anyWorker)
			}
		}
	}
	assert.Equal(t, b.core.jobs["second"].occurrences[0].steps[0].wait.reason, waitForTurn)
}

// Guards against a gang that asks for one or two workers at a time, is denied, and so does
// not start for seconds in a pool with most of its capacity free.
func TestGangAsksForEnoughWorkersToBeAllowedOne(t *testing.T) {
	b := newAdviceBench(t)
	b.core.SetWorkers(b.now, workerEntries(20))
	b.answerSyncs(b.advance(0), nil)
	b.storeBatch()
	b.core.relays.observe("q", 3, 10)
	gang := smallStep(2)
	gang.Gang = true
	b.submit("gang", gang)
	requests := b.advance(10 * time.Millisecond).Advice
	assert.Equal(t, len(requests), 1)
	denied := math.Pow(1-0.3, float64(len(requests[0].Workers)))
	assert.Assert(t, denied <= 0.05, "the call for %d workers allows none with probability %.2f", len(requests[0].Workers), denied)
}

// Guards against a small gang without room that asks about one worker at a time.
func TestGangWithoutRoomAsksForEnoughWorkersToBeAllowedOne(t *testing.T) {
	b := newAdviceBench(t)
	b.core.SetWorkers(b.now, workerEntries(20))
	b.answerSyncs(b.advance(0), nil)
	b.storeBatch()
	b.core.relays.observe("q", 3, 10)
	gang := smallStep(2)
	gang.Gang = true
	b.submit("gang", gang)
	b.core.refreshPools(b.now)
	candidates := b.core.soonFreeOnUnknown(b.now, b.core.ready[0])
	denied := math.Pow(1-0.3, float64(len(candidates)))
	assert.Assert(t, denied <= 0.05, "the call for %d workers allows none with probability %.2f", len(candidates), denied)
}
