package jobs

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gangStep returns a gang of which each member needs a number of millicores for a minute.
func gangStep(members int, milliCPU int64) Step {
	s := smallStep(members)
	s.Size.MilliCPU, s.Gang, s.Estimate = milliCPU, true, time.Minute
	return s
}

// lastingStep returns a step with one lasting task of 1 core on each of a number of workers.
func lastingStep(count int) Step {
	s := smallStep(count)
	s.LongRunning, s.MaxPerWorker = true, 1
	return s
}

// Guards against a gang that cannot start and keeps all later gangs of its service waiting on
// idle workers.
func TestHopelessGangKeepsNoOthersWaiting(t *testing.T) {
	labelled := gangStep(4, 8000)
	labelled.Label = "r2"
	apart := gangStep(8, 4000)
	apart.MaxPerWorker = 1
	busy := smallStep(4)
	busy.Estimate, busy.MaxPerWorker = time.Minute, 1
	for _, tc := range []struct {
		name string
		// occupying runs on the four workers of 8 cores before the gangs come, if it has tasks.
		occupying Step
		gangs     map[string]Step
	}{
		{"larger than all workers", Step{}, map[string]Step{"large": gangStep(8, 8000)}},
		{"fits only if it could be split", Step{}, map[string]Step{"split": gangStep(5, 6400)}},
		{"limited to one member per worker", Step{}, map[string]Step{"apart": apart}},
		{"no worker has the label", Step{}, map[string]Step{"labelled": labelled}},
		{"advice denies its workers", Step{}, map[string]Step{"denied": gangStep(4, 8000)}},
		{"lasting tasks keep part of its workers", lastingStep(4), map[string]Step{"large": gangStep(4, 8000)}},
		{"runs of others keep part of its workers", busy, map[string]Step{"large": gangStep(4, 8000)}},
		{"several that together need more than all", Step{}, map[string]Step{"first": gangStep(5, 8000), "second": gangStep(5, 8000)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newAdviceBench(t)
			b.core.SetAdviceRelays([]string{"d1", "d2", "d3"})
			b.deniedJob = "denied"
			b.core.SetWorkers(b.now, nil)
			if tc.occupying.Count > 0 {
				b.submit("occupying", tc.occupying)
				b.addWorkers("w1", "w2", "w3", "w4")
				b.step()
				b.step()
			}
			for id, gang := range tc.gangs {
				// While no worker is known, each gang is accepted.
				b.submit(id, gang)
			}
			b.addWorkers("w1", "w2", "w3", "w4")
			for range 60 {
				b.step()
			}
			b.submit("ordinary", gangStep(2, 4500))
			started := b.startedAfter("ordinary", 5*time.Second)
			assert.Assert(t, started < time.Second, "the gang started after %v", started)
		})
	}
}

// Guards against tasks with time to spare that yield to a gang which can never start.
func TestTasksDoNotYieldToHopelessGang(t *testing.T) {
	b := newTestBench(t, Queue{Name: "q", Service: "s", Priority: 1, MaxAttempts: 2, Slack: 2, Target: time.Second,
		Advice: &AdviceConfig{DecisionTime: 10 * time.Millisecond, TimePerWorker: time.Millisecond, Validity: 2 * time.Second}},
		Queue{Name: "patient", Service: "s", Priority: 2, MaxAttempts: 2, Slack: 10, Target: time.Second})
	b.core.SetAdviceRelays([]string{"d1", "d2", "d3"})
	b.core.SetWorkers(b.now, nil)
	b.submit("hopeless", gangStep(3, 8000))
	b.addWorkers("w1", "w2")
	for i, milliCPU := range []int64{8000, 3000} {
		blocker := smallStep(1)
		blocker.Size.MilliCPU, blocker.Estimate = milliCPU, time.Minute
		b.submit(fmt.Sprint("blocker", i), blocker)
		b.step()
		b.step()
	}
	b.submitPatient("patient")
	started := b.startedAfter("patient", 9*time.Second)
	assert.Assert(t, started < time.Second, "the task waited for %v", started)
}
