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

// newHopelessGangBench returns a bench with four workers of 8 cores and a queue with advice. Jobs of the
// given steps were accepted before any worker was known, and are tried for some seconds. Advice
// denies the workers to the job "hopeless".
func newHopelessGangBench(t *testing.T, jobs map[string]Step) *testBench {
	t.Helper()
	b := newAdviceBench(t)
	b.core.SetAdviceRelays([]string{"d1", "d2", "d3"})
	b.deniedJob = "hopeless"
	b.core.SetWorkers(b.now, nil)
	for id, step := range jobs {
		b.submit(id, step)
	}
	b.addWorkers("w1", "w2", "w3", "w4")
	for range 60 {
		b.step()
	}
	return b
}

// Guards against a gang that can never start and keeps all later gangs of its service waiting
// on idle workers.
func TestHopelessGangKeepsNoOthersWaiting(t *testing.T) {
	labelled := gangStep(4, 8000)
	labelled.Label = "r2"
	apart := gangStep(8, 4000)
	apart.MaxPerWorker = 1
	for name, jobs := range map[string]map[string]Step{
		"larger than all workers":                  {"large": gangStep(8, 8000)},
		"fits only if it could be split":           {"split": gangStep(5, 6400)},
		"limited to one member per worker":         {"apart": apart},
		"no worker has the label":                  {"labelled": labelled},
		"advice denies its workers":                {"hopeless": gangStep(4, 8000)},
		"lasting tasks keep part of its workers":   {"lasting": lastingStep(4), "large": gangStep(4, 8000)},
		"several that together need more than all": {"first": gangStep(5, 8000), "second": gangStep(5, 8000)},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHopelessGangBench(t, jobs)
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
