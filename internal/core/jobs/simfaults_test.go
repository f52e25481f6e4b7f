package jobs

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

const (
	// simFaultyDay is how long callers submit and faults strike.
	simFaultyDay = 35 * time.Second
	// simFaultyEnd leaves time for everything that was accepted to end.
	simFaultyEnd = simFaultyDay + 60*time.Second
	// simLateMax is how late an order is executed at most.
	simLateMax = 12 * time.Second
)

// simFault is a kind of fault: strike begins it and calls over at its end.
type simFault struct {
	name   string
	strike func(s *sim, rng *rand.Rand, lasts time.Duration)
}

var simFaults = []simFault{
	{"leader dies", func(s *sim, _ *rand.Rand, lasts time.Duration) {
		if s.leading {
			s.fail(min(lasts, 3*time.Second))
		}
	}},
	{"store is down", func(s *sim, _ *rand.Rand, lasts time.Duration) {
		s.store.down = true
		s.after(lasts, func() { s.store.down = false })
	}},
	{"orders are carried out late", func(s *sim, rng *rand.Rand, lasts time.Duration) {
		s.trouble.late = 0.05 + 0.2*rng.Float64()
		s.trouble.lateUntil = s.now.Add(lasts + simLateMax)
		s.after(lasts, func() { s.trouble.late = 0 })
	}},
	{"answers are lost", func(s *sim, rng *rand.Rand, lasts time.Duration) {
		s.trouble.lost = 0.05 + 0.3*rng.Float64()
		s.after(lasts, func() { s.trouble.lost = 0 })
	}},
	{"workers crash", func(s *sim, rng *rand.Rand, lasts time.Duration) {
		for _, w := range s.some(rng, 5) {
			if !w.dark && !w.left {
				w.crash(lasts / 2)
			}
		}
	}},
	{"workers are cut off and run on", func(s *sim, rng *rand.Rand, lasts time.Duration) {
		listed := rng.IntN(2) == 0
		for _, w := range s.some(rng, 5) {
			w.cut, w.entryGone = true, !listed
			s.after(lasts, func() { w.cut, w.entryGone = false, false })
		}
	}},
	{"workers leave for good", func(s *sim, rng *rand.Rand, _ time.Duration) {
		for _, w := range s.some(rng, 2) {
			w.drop()
			w.left = true
		}
	}},
	{"workers drain and leave", func(s *sim, rng *rand.Rand, lasts time.Duration) {
		for _, w := range s.some(rng, 2) {
			w.draining = true
			s.after(2500*time.Millisecond+lasts, func() {
				w.drop()
				w.left = true
			})
		}
	}},
	{"workers fail all that they start", func(s *sim, rng *rand.Rand, lasts time.Duration) {
		for _, w := range s.some(rng, 4) {
			w.failing = true
			s.after(lasts, func() { w.failing = false })
		}
	}},
	{"tasks on workers stand still", func(s *sim, rng *rand.Rand, lasts time.Duration) {
		for _, w := range s.some(rng, 4) {
			w.hanging = true
			s.after(lasts, func() { w.hanging = false })
		}
	}},
}

// some draws workers.
func (s *sim) some(rng *rand.Rand, most int) []*simWorker {
	var out []*simWorker
	for range 1 + rng.IntN(most) {
		out = append(out, s.workers[rng.IntN(len(s.workers))])
	}
	return out
}

// calmFor reports whether no fault has begun or ended for d.
func (s *sim) calmFor(d time.Duration) bool {
	return s.trouble.since.IsZero() || s.now.Sub(s.trouble.since) > d
}

// strikes plans faults at random times, some of them together.
func (s *sim) strikes(t *testing.T, seed uint64, count int) {
	rng := rand.New(rand.NewPCG(seed, 99))
	for range count {
		at := 2*time.Second + time.Duration(rng.Float64()*float64(simFaultyDay-10*time.Second))
		lasts := 300*time.Millisecond + time.Duration(rng.Float64()*float64(8*time.Second))
		f := simFaults[rng.IntN(len(simFaults))]
		s.after(at, func() {
			t.Logf("%7.3f s %s (%v)", s.now.Sub(origin).Seconds(), f.name, lasts.Round(time.Millisecond))
			s.trouble.since = s.now.Add(lasts)
			f.strike(s, rng, lasts)
		})
	}
	s.after(simFaultyDay, func() { s.trouble.silent = true })
}

// checkEnded reports accepted jobs that have no final state.
func (s *sim) checkEnded() {
	for _, j := range s.order {
		if j.accepted && j.told == "" && s.possible(j) {
			s.breaks("LOST", "job %s was accepted and never ended", j.spec.ID)
		}
	}
}

// possible reports whether the workers that stayed and that the queue's policy
// allows have room for each step of a job.
func (s *sim) possible(j *simJob) bool {
	for i := range j.spec.Steps {
		def := &j.spec.Steps[i]
		copies := 0
		for _, w := range s.workers {
			if w.left || j.class.queue.Advice != nil && !simAllowed(StepRef{Job: j.spec.ID, Step: int32(i)}, w.id, j.class.allowed) {
				continue
			}
			n := (&resources{capacity: w.capacity}).copies(def.Size)
			if def.MaxPerWorker > 0 {
				n = min(n, def.MaxPerWorker)
			}
			copies += n
		}
		if copies == 0 || def.Gang && copies < def.Count {
			return false
		}
	}
	return true
}

// TestSimFaults plays days with faults in every order and at once, and checks
// after every event that no worker is over its capacity, no task runs twice or
// out of order, budgets hold, refusals are true and every accepted job ends.
// SIM_SEEDS plays more days, SIM_SEED starts elsewhere, SIM_TRACE prints the
// events of a job or worker.
func TestSimFaults(t *testing.T) {
	days, first := int(envFloat("SIM_SEEDS", 12)), uint64(envFloat("SIM_SEED", 1))
	names := []string{"dispatch", "voice"}
	for i := range days {
		seed := first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			name := names[seed%2]
			workers, capacity, classes := simLoads[name](0.35)
			s := newSim(seed, workers, capacity, classes)
			s.traced = os.Getenv("SIM_TRACE")
			s.strikes(t, seed, 2+int(seed%11))
			s.run(simFaultyEnd)
			s.checkEnded()
			for _, line := range s.trace {
				t.Log(line)
			}
			s.report(t, name, simFaultyDay+20*time.Second)
		})
	}
}
