package jobs

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// simMaxClock limits the reading with which the clock of a restarted worker begins.
const simMaxClock = 5 * time.Minute

// restartClock returns the reading of the worker's clock when its present process starts. It has
// nothing to do with that of the earlier process.
func (w *simWorker) restartClock() time.Duration {
	h := fnv.New64a()
	fmt.Fprint(h, w.id, w.incarnation)
	return time.Duration(h.Sum64() % uint64(simMaxClock))
}

// simRestart is the fault of a rack that loses power for less than a second, and is partitioned
// soon after its workers are back. The leader fails in between, or does not.
var simRestart = simFault{"a rack restarts and is partitioned soon after", func(s *sim, rng *rand.Rand, duration time.Duration) {
	absence := 200*time.Millisecond + time.Duration(rng.Float64()*600*float64(time.Millisecond))
	partitionedAfter := absence + 500*time.Millisecond + time.Duration(rng.Float64()*2.5*float64(time.Second))
	rack := simRackSize * rng.IntN(len(s.workers)/simRackSize)
	for _, w := range s.workers[rack : rack+simRackSize] {
		if w.crashed || w.removed {
			continue
		}
		w.crash(absence)
		s.after(partitionedAfter, func() { w.partitioned = true })
		s.after(partitionedAfter+duration, func() { w.partitioned = false })
	}
	if rng.IntN(2) == 0 {
		s.after(absence+time.Duration(rng.Float64()*float64(partitionedAfter-absence)), func() {
			if s.hasLeader {
				s.stopLeader(time.Duration(200+rng.IntN(800)) * time.Millisecond)
			}
		})
	}
	s.faults.lastEnd = later(s.faults.lastEnd, s.now.Add(partitionedAfter+duration))
}}

// simRackSize is the number of workers that share a rack.
const simRackSize = 8

// Guards against a task that runs twice because a call that was meant for the earlier process of
// a worker extends the lease of the next one, of which the next leader does not know.
func TestSimRestartsUnderTheSameID(t *testing.T) {
	names := []string{"dispatch", "voice"}
	for seed := range simSeeds(41, 10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			workers, capacity, classes := simLoads[names[seed%2]](0.35)
			simulateFaults(t, newSim(seed, workers, capacity, classes), []simFault{simRestart}, 2+int(seed%3), names[seed%2])
		})
	}
}
