package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simBriefService is the fault of a store that is down and serves for moments only, while leaders are
// lost one after the other. No jobs are submitted from then on, so that nothing but the recovery gives
// the leader something to store.
var simBriefService = simFault{"the store serves for moments while leaders fail", func(s *sim, rng *rand.Rand, duration time.Duration) {
	s.store.down, s.faults.trafficStopped = true, true
	at := time.Second + time.Duration(rng.Float64()*2*float64(time.Second))
	for range 2 + rng.IntN(3) {
		s.after(at, func() {
			if s.hasLeader {
				s.stopLeader(20 * time.Millisecond)
			}
			s.store.down = false
		})
		at += time.Duration(10+rng.IntN(290)) * time.Millisecond
		s.after(at, func() { s.store.down = true })
		at += time.Second + time.Duration(rng.Float64()*2*float64(time.Second))
	}
	s.after(at, func() { s.store.down = false })
	s.faults.lastEnd = later(s.faults.lastEnd, s.now.Add(max(at, duration)))
}}

// Guards against a recovery that never ends: accepted work of earlier leaders then never starts,
// although the store serves again and workers are free.
func TestSimRecoveryBehindFullPages(t *testing.T) {
	names := []string{"dispatch", "voice"}
	for seed := range simSeeds(41, 10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			workers, capacity, classes := simLoads[names[seed%2]](0.35)
			s := newSim(seed, workers, capacity, classes)
			s.setEndsPerPage(4 * (1 + int(seed%4)))
			simulateFaults(t, s, []simFault{simBriefService}, 1, names[seed%2])
		})
	}
}
