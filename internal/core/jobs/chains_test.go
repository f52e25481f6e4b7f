package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// chainSteps returns MaxSteps steps, each of which depends on the one before.
func chainSteps() []Step {
	steps := make([]Step, MaxSteps)
	for i := range steps {
		steps[i] = smallStep(1)
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	return steps
}

// denseSteps returns MaxSteps steps, each of which depends on all before.
func denseSteps() []Step {
	steps := make([]Step, MaxSteps)
	for i := range steps {
		steps[i] = smallStep(1)
		for dep := range i {
			steps[i].After = append(steps[i].After, dep)
		}
	}
	return steps
}

// maxDecisionTime is how long a test waits for a decision that takes milliseconds.
const maxDecisionTime = 10 * time.Second

// Guards against a job with many dependencies on which the leader computes without end: the time
// of the search for the longest chain grew with the number of paths.
func TestDenselyDependentStepsDoNotStallTheLeader(t *testing.T) {
	b := newTestBench(t)
	b.addWorkers("w1")
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.core.Submit(b.now, &Spec{ID: "dense", Queue: "q", Steps: denseSteps()}, 1)
		b.core.HandleBatchStored(b.now, b.core.TakeBatch().Seq)
		b.core.Schedule(b.now)
	}()
	select {
	case <-done:
	case <-time.After(maxDecisionTime):
		t.Fatal("the decision takes too long")
	}
	assert.Equal(t, len(b.core.TakeActions().Starts), 1)
}

// Guards against chains that are computed wrongly, by which steps would be ordered wrongly.
func TestLongestChainsOfDependentSteps(t *testing.T) {
	seconds := []time.Duration{1, 5, 2, 4, 3}
	after := [][]int{nil, nil, {0}, {0, 1}, {2}}
	spec := &Spec{ID: "j1"}
	for i := range seconds {
		spec.Steps = append(spec.Steps, Step{Count: 1, Estimate: seconds[i] * time.Second, After: after[i]})
	}
	o := newJob(spec, &Queue{}, 1, startTime).newOccurrence(0, time.Time{})
	chains := o.chains(func(s *step) time.Duration { return s.def.Estimate })
	for i, want := range []time.Duration{6, 9, 5, 4, 3} {
		assert.Equal(t, chains[i], want*time.Second, "step %d", i)
	}
}

// BenchmarkChains compares the densest dependencies with a chain.
func BenchmarkChains(b *testing.B) {
	for name, steps := range map[string][]Step{"chain": chainSteps(), "dense": denseSteps()} {
		b.Run(name, func(b *testing.B) {
			o := newJob(&Spec{ID: "j1", Steps: steps}, &Queue{}, 1, startTime).newOccurrence(0, time.Time{})
			for b.Loop() {
				o.chains(func(s *step) time.Duration { return s.def.Estimate })
			}
		})
	}
}
