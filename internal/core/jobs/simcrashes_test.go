package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simCrashDelay is the time from the start of a task that crashes its worker to the crash.
const simCrashDelay = 10 * time.Millisecond

// simDeadlyPeriod is how long deadly jobs are submitted.
const simDeadlyPeriod = 15 * time.Second

// crashesWorker reports whether the task crashes each worker that starts it.
func (t *simTask) crashesWorker(ref TaskRef) bool {
	return t.job.deadly && ref.Step == 0 && ref.Index == 0
}

// crashUnderTask crashes the worker because of a task on it. It returns some seconds later, under
// its own ID or another one.
func (w *simWorker) crashUnderTask() {
	for ref, r := range w.runs {
		if r.task.crashesWorker(ref) {
			r.task.crashes++
		}
	}
	absence := 2*time.Second + time.Duration(w.s.rng.Float64()*4*float64(time.Second))
	w.s.faults.lastEnd = later(w.s.faults.lastEnd, w.s.now.Add(absence))
	if w.s.rng.IntN(2) == 0 {
		w.crash(absence)
	} else {
		w.crashAndReplace(absence)
	}
}

// Guards against tasks that crash worker after worker, and against jobs that are given up because
// they shared workers with such tasks, while workers and leaders fail as well.
func TestSimTasksThatCrashTheirWorkers(t *testing.T) {
	for seed := range simSeeds(1, 8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			workers, capacity, classes := simLoads["voice"](0.35)
			s := newSim(seed, workers, capacity, classes)
			rng := rand.New(rand.NewPCG(seed, 7))
			s.drawDeadly = func() bool { return s.now.Sub(startTime) < simDeadlyPeriod && rng.Float64() < 0.05 }
			simulateFaults(t, s, simFaults, int(seed%5), "voice")
			crashes := 0
			for _, j := range s.submitted {
				for _, task := range j.tasks {
					crashes += task.crashes
				}
			}
			if crashes == 0 {
				t.Error("no worker crashed under a task")
			}
		})
	}
}
