package jobs

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a gang that does not start in a pool with most of its capacity free because
// that is reserved for a wider one, which waits for the last of its workers.
func TestFarReservationKeepsNoIdleCapacity(t *testing.T) {
	const label, labelled = "x", 4
	b := newTestBench(t)
	entries := workerEntries(2 * labelled)
	for i := range labelled {
		entries[i].Labels = []string{label}
	}
	b.core.SetWorkers(b.now, entries)
	b.answerSyncs(b.advance(0), nil)
	b.storeBatch()
	submit := func(id string, members int, milliCPU int64) {
		step := wholeWorkerStep(members, time.Minute)
		step.Size.MilliCPU, step.Gang, step.Label = milliCPU, members > 1, label
		b.submit(id, step)
	}
	submit("blocker", 1, 4000)
	b.step()
	b.step()
	submit("wide", labelled, 8000)
	b.step()
	submit("narrow", labelled/2, 8000)
	started := b.startedAfter("narrow", 10*time.Second)
	assert.Assert(t, started < time.Second, "the gang started after %v", started)
}

// Guards against gangs that can never start and use up the reservations, so that less urgent
// tasks take each piece of capacity for which another gang waits.
func TestHopelessGangsUseUpNoReservations(t *testing.T) {
	b := newTestBench(t)
	b.core.SetWorkers(b.now, nil)
	for i := range maxReservingGangs {
		b.submit(fmt.Sprintf("hopeless%02d", i), gangStep(3, 8000))
	}
	b.addWorkers("w1", "w2")
	blocker := smallStep(1)
	blocker.Size.MilliCPU, blocker.Estimate = 6000, time.Second
	b.submit("blocker", blocker)
	b.step()
	b.step()
	b.submit("gang", gangStep(2, 8000))
	b.step()
	b.step()
	waiting := b.core.jobs["gang"].occurrences[0].steps[0]
	assert.Assert(t, !waiting.plannedStart.IsZero(), "the gang has no reservation")
}

// Guards against capacity that is reserved for a gang until a lasting task ends, which it
// never does.
func TestGangDoesNotWaitForLastingTasksToEnd(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1", "w2")
	b.submit("lasting", lastingStep(1))
	b.step()
	b.step()
	b.submit("hopeless", gangStep(2, 8000))
	for range 40 {
		b.step()
	}
	b.submit("later", wholeWorkerStep(1, time.Minute))
	started := b.startedAfter("later", 5*time.Second)
	assert.Assert(t, started < time.Second, "the task started after %v", started)
}
