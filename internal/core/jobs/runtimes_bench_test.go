package jobs

import (
	"testing"
	"time"
)

// bothRunTimes passes observations to both sources and predicts with one.
type bothRunTimes struct {
	runTimeSource
	mean, learned runTimeSource
}

func (r *bothRunTimes) observe(o *observedRun) {
	r.mean.observe(o)
	r.learned.observe(o)
}

// BenchmarkDecisionWithRunTimes measures the observation of one run and one round in which many steps
// and gangs wait for capacity, with the mean and with the model, beginning in the same state.
func BenchmarkDecisionWithRunTimes(b *testing.B) {
	for _, kind := range []simRunTimes{simMeanRunTimes, simLearnedRunTimes} {
		b.Run(string(kind), func(b *testing.B) {
			workers, capacity, classes := grownLoad(1.6)
			s := newSim(1, workers, capacity, classes)
			both := &bothRunTimes{s.core.runTimes, newDurationEstimator(), s.core.runTimes}
			s.core.runTimes = both
			s.run(12 * time.Second)
			source := both.learned
			if kind == simMeanRunTimes {
				source = both.mean
			}
			s.core.runTimes = source
			now, ended := s.now, s.core.ready[0]
			for b.Loop() {
				now = now.Add(time.Microsecond)
				source.observe(&observedRun{task: &ended.tasks[0], took: time.Second, succeeded: true})
				s.core.placementsStale, s.core.reservationsStale = true, true
				s.core.Schedule(now)
				s.core.TakeActions()
			}
			load := s.core.Load()
			b.ReportMetric(float64(load.WaitingSteps+load.WaitingGangs), "waiting")
		})
	}
}

// BenchmarkRunTimeObservation measures the cost of one observed run.
func BenchmarkRunTimeObservation(b *testing.B) {
	for _, kind := range []simRunTimes{simMeanRunTimes, simLearnedRunTimes} {
		b.Run(string(kind), func(b *testing.B) {
			bench := testBench{core: New(testConfig())}
			bench.core.cfg.RunTimeModel = kind == simLearnedRunTimes
			source := bench.core.newRunTimeSource()
			j := newJob(&Spec{ID: "j", Tenant: "t", Steps: []Step{smallStep(1)}}, &Queue{Name: "q"}, 1, startTime)
			t := &j.newOccurrence(0, startTime).steps[0].tasks[0]
			for i := 0; b.Loop(); i++ {
				source.observe(&observedRun{task: t, took: time.Duration(1+i%97) * time.Millisecond, succeeded: true})
			}
		})
	}
}
