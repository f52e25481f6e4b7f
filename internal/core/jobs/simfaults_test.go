package jobs

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"
)

const (
	// simFaultPeriod is how long jobs are submitted and faults are injected.
	simFaultPeriod = 35 * time.Second
	// simRunTime leaves time after that for every accepted job to end.
	simRunTime = simFaultPeriod + 60*time.Second
	// simMaxDelay is the longest delay after which a late request is executed.
	simMaxDelay = 12 * time.Second
)

// simFault is a kind of fault. inject starts it and schedules its end.
type simFault struct {
	name   string
	inject func(s *sim, rng *rand.Rand, duration time.Duration)
}

var simFaults = []simFault{
	{"leader fails", func(s *sim, _ *rand.Rand, duration time.Duration) {
		if s.hasLeader {
			s.stopLeader(min(duration, 3*time.Second))
		}
	}},
	{"store is down", func(s *sim, _ *rand.Rand, duration time.Duration) {
		s.store.down = true
		s.after(duration, func() { s.store.down = false })
	}},
	{"requests are executed late", func(s *sim, rng *rand.Rand, duration time.Duration) {
		s.faults.late = 0.05 + 0.2*rng.Float64()
		s.faults.lateUntil = s.now.Add(duration + simMaxDelay)
		s.after(duration, func() { s.faults.late = 0 })
	}},
	{"answers are lost", func(s *sim, rng *rand.Rand, duration time.Duration) {
		s.faults.lost = 0.05 + 0.3*rng.Float64()
		s.after(duration, func() { s.faults.lost = 0 })
	}},
	{"workers crash", func(s *sim, rng *rand.Rand, duration time.Duration) {
		for _, w := range s.pickWorkers(rng, 5) {
			if !w.crashed && !w.removed {
				w.crash(duration / 2)
			}
		}
	}},
	{"crashed workers return under another ID", func(s *sim, rng *rand.Rand, _ time.Duration) {
		for _, w := range s.pickWorkers(rng, max(5, len(s.workers)/20)) {
			if !w.crashed && !w.removed {
				absence := 3*time.Second + time.Duration(rng.Float64()*1.5*float64(time.Second))
				w.crashAndReplace(absence)
				s.faults.lastEnd = later(s.faults.lastEnd, s.now.Add(absence))
			}
		}
	}},
	{"advice relays are lost", func(s *sim, rng *rand.Rand, duration time.Duration) {
		lost := map[string]bool{}
		for range 1 + rng.IntN(len(s.relays)-1) {
			lost[s.relays[1+rng.IntN(len(s.relays)-1)]] = true
		}
		s.faults.lostRelays = lost
		s.setRelays()
		noticed := rng.IntN(2) == 0
		for _, name := range s.relays {
			if s.hasLeader && lost[name] && noticed {
				s.core.HandleRelayLost(s.now, name)
			}
		}
		s.after(duration, func() {
			s.faults.lostRelays = nil
			s.setRelays()
		})
	}},
	{"advice is slow", func(s *sim, rng *rand.Rand, duration time.Duration) {
		s.faults.adviceSlowdown = 1.5 + 2.5*rng.Float64()
		s.after(duration, func() { s.faults.adviceSlowdown = 1 })
	}},
	{"workers are partitioned and keep running", func(s *sim, rng *rand.Rand, duration time.Duration) {
		listed := rng.IntN(2) == 0
		for _, w := range s.pickWorkers(rng, 5) {
			w.partitioned, w.unlisted = true, !listed
			s.after(duration, func() { w.partitioned, w.unlisted = false, false })
		}
	}},
	{"workers leave permanently", func(s *sim, rng *rand.Rand, _ time.Duration) {
		for _, w := range s.pickWorkers(rng, 2) {
			w.loseRuns()
			w.removed = true
		}
	}},
	{"workers drain and leave", func(s *sim, rng *rand.Rand, duration time.Duration) {
		for _, w := range s.pickWorkers(rng, 2) {
			w.draining = true
			s.faults.lastEnd = later(s.faults.lastEnd, s.now.Add(2500*time.Millisecond+duration))
			s.after(2500*time.Millisecond+duration, func() {
				w.loseRuns()
				w.removed = true
			})
		}
	}},
	{"workers fail every run", func(s *sim, rng *rand.Rand, duration time.Duration) {
		for _, w := range s.pickWorkers(rng, 4) {
			w.failing = true
			s.after(duration, func() { w.failing = false })
		}
	}},
	{"tasks on workers make no progress", func(s *sim, rng *rand.Rand, duration time.Duration) {
		for _, w := range s.pickWorkers(rng, 4) {
			w.stalled = true
			s.after(duration, func() { w.stalled = false })
		}
	}},
}

// pickWorkers draws random workers.
func (s *sim) pickWorkers(rng *rand.Rand, most int) []*simWorker {
	var out []*simWorker
	for range 1 + rng.IntN(most) {
		out = append(out, s.workers[rng.IntN(len(s.workers))])
	}
	return out
}

// noFaultsFor reports whether no fault has begun or ended for d.
func (s *sim) noFaultsFor(d time.Duration) bool {
	return s.faults.lastChange.IsZero() || s.now.Sub(s.faults.lastChange) > d
}

// scheduleFaults schedules faults at random times, some of them concurrent.
func (s *sim) scheduleFaults(t *testing.T, kinds []simFault, count int) {
	rng := rand.New(rand.NewPCG(s.seed, 99))
	for range count {
		at := 2*time.Second + time.Duration(rng.Float64()*float64(simFaultPeriod-10*time.Second))
		duration := 300*time.Millisecond + time.Duration(rng.Float64()*float64(8*time.Second))
		f := kinds[rng.IntN(len(kinds))]
		s.after(at, func() {
			t.Logf("%7.3f s %s (%v)", s.now.Sub(startTime).Seconds(), f.name, duration.Round(time.Millisecond))
			s.faults.lastChange = s.now.Add(duration)
			s.faults.lastEnd = later(s.faults.lastEnd, s.faults.lastChange)
			f.inject(s, rng, duration)
		})
	}
	s.after(simFaultPeriod, func() { s.faults.trafficStopped, s.trafficEndedAt = true, s.now })
}

// checkAllEnded reports accepted jobs that have no final state.
func (s *sim) checkAllEnded() {
	for _, j := range s.submitted {
		if j.accepted && j.finalState == "" && s.feasible(j) {
			s.recordViolation("LOST", "job %s was accepted and never ended", j.spec.ID)
		}
	}
}

// feasible reports whether the remaining workers that the queue's policy allows
// have capacity for each step of a job.
func (s *sim) feasible(j *simJob) bool {
	for i := range j.spec.Steps {
		def := &j.spec.Steps[i]
		copies := 0
		for _, w := range s.workers {
			if w.removed || j.class.queue.Advice != nil && !simAllowed(StepRef{Job: j.spec.ID, Step: int32(i)}, w.id, j.class.allowedShare) {
				continue
			}
			n := (&resources{capacity: w.capacity}).copies(def.Size)
			if def.MaxPerWorker > 0 {
				n = min(n, def.MaxPerWorker)
			}
			copies += n
		}
		if copies == 0 || def.Gang && copies < def.Count || !s.tenants.holds(j, def) {
			return false
		}
	}
	return true
}

// TestSimFaults simulates runs with faults in random order and at the same
// time. It checks after every event that no worker exceeds its capacity, that
// no task runs twice or out of order, that attempts stay within the limit, that
// refused jobs never run, that no job starves, and that every accepted job ends.
// SIM_SEEDS sets the number of runs, SIM_SEED the first seed; SIM_TRACE prints the
// events of a job or worker.
func TestSimFaults(t *testing.T) {
	names := []string{"dispatch", "voice"}
	for seed := range simSeeds(1, 12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			workers, capacity, classes := simLoads[names[seed%2]](0.35)
			simulateFaults(t, newSim(seed, workers, capacity, classes), simFaults, 2+int(seed%11), names[seed%2])
		})
	}
}

// TestSimFaultsInGrownCell does the same with 350 workers.
func TestSimFaultsInGrownCell(t *testing.T) {
	names := []string{"grown", "grownvoice"}
	for seed := range simSeeds(1, 2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			workers, capacity, classes := simLoads[names[seed%2]](0.35 + 0.05*float64(seed%10))
			simulateFaults(t, newSim(seed, workers, capacity, classes), simFaults, 2+int(seed%11), names[seed%2])
		})
	}
}

// recoveryFaults are the faults after which a leader has to restore jobs or to find other
// workers or relays for them.
var recoveryFaults = []string{"crashed workers return under another ID", "leader fails", "advice relays are lost", "store is down", "advice is slow"}

// Guards against single tasks that do not start in a grown cell with most of its capacity
// free, because a gang waits too.
func TestSimRecoveryInGrownCell(t *testing.T) {
	for seed := range simSeeds(9, 2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			workers, capacity, classes := grownVoiceLoad(0.45 + 0.1*float64(seed%4))
			s := newSim(seed, workers, capacity, classes)
			var faults []simFault
			for _, f := range simFaults {
				if slices.Contains(recoveryFaults, f.name) {
					faults = append(faults, f)
				}
			}
			simulateFaults(t, s, faults, 3+int(seed%6), "grownvoice")
		})
	}
}

// Guards against conclusions from an answer that lists only the first ends of a worker: with short
// pages, faults of every kind meet such answers.
func TestSimFaultsWithShortPages(t *testing.T) {
	names := []string{"dispatch", "voice"}
	for seed := range simSeeds(1, 6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			workers, capacity, classes := simLoads[names[seed%2]](0.35)
			s := newSim(seed, workers, capacity, classes)
			s.setEndsPerPage(1 + int(seed%4))
			simulateFaults(t, s, simFaults, 2+int(seed%11), names[seed%2])
		})
	}
}

// simSeeds yields the seeds to simulate.
func simSeeds(first, runs int) iter.Seq[uint64] {
	first = int(envFloat("SIM_SEED", float64(first)))
	return func(yield func(uint64) bool) {
		for i := range int(envFloat("SIM_SEEDS", float64(runs))) {
			if !yield(uint64(first + i)) {
				return
			}
		}
	}
}

// simulateFaults simulates one run with a number of faults of the given kinds.
func simulateFaults(t *testing.T, s *sim, kinds []simFault, count int, name string) {
	s.traceTarget = os.Getenv("SIM_TRACE")
	s.scheduleFaults(t, kinds, count)
	s.run(simRunTime)
	s.checkAllEnded()
	for _, line := range s.trace {
		t.Log(line)
	}
	s.report(t, name, simFaultPeriod+20*time.Second)
}
