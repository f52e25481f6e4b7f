package jobs

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simRunTimes says how the leader of a simulation predicts run times.
type simRunTimes string

const (
	simMeanRunTimes    simRunTimes = "mean"
	simLearnedRunTimes simRunTimes = "model"
	simTrueRunTimes    simRunTimes = "true"
)

// useRunTimes sets how the present leader predicts run times.
func (s *sim) useRunTimes(kind simRunTimes) {
	s.core.cfg.RunTimeModel = kind == simLearnedRunTimes
	s.core.learned = nil
	s.core.runTimes = s.core.newRunTimeSource()
	if kind == simTrueRunTimes {
		s.core.runTimes = trueRunTimes{s}
	}
}

// trueRunTimes knows the work of each task, but not the speeds of the workers.
type trueRunTimes struct{ s *sim }

func (trueRunTimes) observe(*observedRun) {}

func (o trueRunTimes) quantile(s *step, _ runTimeQuantile) time.Duration {
	j, longest := o.s.jobs[s.job().spec.ID], time.Duration(0)
	for i := range s.tasks {
		longest = max(longest, j.tasks[s.tasks[i].ref()].work)
	}
	return longest
}

func (o trueRunTimes) remaining(s *step, elapsed time.Duration) time.Duration {
	return max(o.quantile(s, medianRunTime)-elapsed, 0)
}

// maxRunTimeModelLoss is the credit share that a load may lose with the model in one run, in which
// chance alone causes differences.
const maxRunTimeModelLoss = 0.02

// TestSimRunTimes compares what callers get with the run-time model, with the mean that it replaces
// and with run times that are known. Guards against a model that serves deployments without
// tenants worse. SIM_LOAD, SIM_SCALE, SIM_SEEDS and SIM_BURST are those of TestSimLoads.
func TestSimRunTimes(t *testing.T) {
	scale, seeds := envFloat("SIM_SCALE", 0.9), int(envFloat("SIM_SEEDS", 1))
	const length = 60 * time.Second
	loads := "dispatch voice"
	if only := os.Getenv("SIM_LOAD"); only != "" {
		loads = only
	}
	for _, name := range strings.Fields(loads) {
		means := map[simRunTimes]float64{}
		for _, kind := range []simRunTimes{simMeanRunTimes, simLearnedRunTimes, simTrueRunTimes} {
			for seed := range seeds {
				workers, capacity, classes := simLoads[name](scale)
				s := newSim(uint64(seed)+1, workers, capacity, classes)
				s.useRunTimes(kind)
				s.burst(&s.classes[0], envFloat("SIM_BURST", 1))
				s.run(length + simLoadTail)
				means[kind] += s.report(t, fmt.Sprint(name, " ", kind), length) / float64(seeds)
			}
		}
		t.Logf("%s at %.2f of the load, %d seeds: mean credit share %.4f with the mean, %.4f with the model, %.4f with true run times",
			name, scale, seeds, means[simMeanRunTimes], means[simLearnedRunTimes], means[simTrueRunTimes])
		assert.Assert(t, means[simLearnedRunTimes] >= means[simMeanRunTimes]-maxRunTimeModelLoss)
	}
}
