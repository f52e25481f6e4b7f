package cellsoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"catkinvalve/internal/faultproxy"
)

// Kind is a kind of fault. Its text appears in printed schedules and reports.
type Kind string

// Kinds of faults. A fault of daemons or workers acts on Count consecutive ones,
// beginning with a random one. Pause stops a process with SIGSTOP and resumes it;
// Hangup makes a daemon read its settings again. Daemons and workers that ended are
// started again.
const (
	Kill                Kind = "kill"
	KillAll             Kind = "kill_all"
	Pause               Kind = "pause"
	Terminate           Kind = "terminate"
	RollingTerminate    Kind = "terminate_in_turn"
	Hangup              Kind = "hangup"
	StoreRefuses        Kind = "store_refuses"
	StoreSilent         Kind = "store_silent"
	StoreSlow           Kind = "store_slow"
	StoreDropsResponses Kind = "store_loses_answers"
	StoreExecutesLate   Kind = "store_executes_late"
	StorePartition      Kind = "cut_from_store"
	WorkerPartition     Kind = "cut_workers"
	WorkerCrash         Kind = "worker_crash"
	WorkerFailsAll      Kind = "worker_fails_all"
	WorkerStalls        Kind = "worker_stalls"
	WorkerExecutesLate  Kind = "worker_executes_late"
	WorkerLeaves        Kind = "worker_leaves"
	PublishConfig       Kind = "publish"
	// DeadlyJobs: a share of the new jobs has tasks that crash their workers.
	DeadlyJobs Kind = "deadly_jobs"
	// KillLeader kills the leader just after the next crash of a worker under a task.
	KillLeader Kind = "kill_leader"
)

// allKinds lists the kinds of faults of newSchedule.
var allKinds = []Kind{Kill, KillAll, Pause, Terminate, RollingTerminate, Hangup, StoreRefuses, StoreSilent, StoreSlow, StoreDropsResponses, StoreExecutesLate,
	StorePartition, WorkerPartition, WorkerCrash, WorkerFailsAll, WorkerStalls, WorkerExecutesLate, WorkerLeaves, PublishConfig}

// Fault is one entry of a schedule.
type Fault struct {
	// At is the time since the start of the load, For the duration.
	At, For time.Duration
	Kind    Kind
	// First and Count select daemons or workers: the index of the first and their
	// number.
	First, Count int
	// Mode is the mode of the proxies in StorePartition and WorkerPartition.
	Mode faultproxy.Mode
}

// String returns the line of the printed schedule.
func (f Fault) String() string {
	s := fmt.Sprintf("%6.2f s for %5.2f s  %-22s from %d, %d", f.At.Seconds(), f.For.Seconds(), f.Kind, f.First, f.Count)
	if f.Kind == StorePartition || f.Kind == WorkerPartition {
		s += " " + f.Mode.String()
	}
	return s
}

const (
	// quietPeriod is the time without faults at the start of a run.
	quietPeriod = 3 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 1500 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 6 * time.Second
)

// newSchedule draws the faults of a run, ordered by time. Faults may overlap. The same
// arguments give the same schedule.
func newSchedule(seed uint64, length time.Duration, daemons, workers int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	var out []Fault
	order := rng.Perm(len(allKinds))
	for at := quietPeriod; at < length; at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)) {
		f := Fault{At: at, Kind: allKinds[order[len(out)%len(order)]],
			For: minFaultDuration + time.Duration(rng.Float64()*rng.Float64()*float64(maxFaultDuration-minFaultDuration))}
		f.First, f.Count = rng.IntN(daemons), 1+rng.IntN(2)
		switch f.Kind {
		case KillAll, RollingTerminate:
			f.Count = daemons
		case WorkerPartition, WorkerCrash, WorkerFailsAll, WorkerStalls, WorkerExecutesLate, WorkerLeaves:
			f.First, f.Count = rng.IntN(workers), 1+rng.IntN(max(workers/4, 1))
		}
		f.Mode = faultproxy.Delay + faultproxy.Mode(rng.IntN(int(faultproxy.Reset)))
		out = append(out, f)
	}
	sortByTime(out)
	return out
}

const (
	// deadlyRound is the time between the starts of two rounds of deadlySchedule, and
	// deadlyDuration the duration of DeadlyJobs in each.
	deadlyRound    = 20 * time.Second
	deadlyDuration = 10 * time.Second
)

// deadlySchedule draws the faults of a run with deadly jobs. In each round the leader is
// killed, workers are cut off, the store is away and workers are killed while workers crash
// under tasks.
func deadlySchedule(seed uint64, length time.Duration, workers int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0xdead))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
	var out []Fault
	for at := quietPeriod; at < length; at += deadlyRound {
		store := []Kind{StoreRefuses, StoreSilent}[rng.IntN(2)]
		out = append(out,
			Fault{At: at, For: deadlyDuration, Kind: DeadlyJobs},
			Fault{At: at + between(2*time.Second, 3*time.Second), For: between(minFaultDuration, 3*time.Second), Kind: KillLeader, Count: 1},
			Fault{At: at + between(3*time.Second, 5*time.Second), For: between(2*time.Second, 4*time.Second), Kind: WorkerPartition,
				First: rng.IntN(workers), Count: 2, Mode: faultproxy.Delay + faultproxy.Mode(rng.IntN(int(faultproxy.Reset)))},
			Fault{At: at + between(6*time.Second, 8*time.Second), For: between(2*time.Second, 4*time.Second), Kind: store, Count: 1},
			Fault{At: at + between(9*time.Second, 11*time.Second), For: between(time.Second, 3*time.Second), Kind: WorkerCrash, First: rng.IntN(workers), Count: 2})
	}
	return out
}

// mixedSchedule draws the faults of deadlySchedule and those of newSchedule, ordered by time.
func mixedSchedule(seed uint64, length time.Duration, daemons, workers int) []Fault {
	out := append(deadlySchedule(seed, length, workers), newSchedule(seed, length, daemons, workers)...)
	sortByTime(out)
	return out
}

func sortByTime(schedule []Fault) {
	slices.SortStableFunc(schedule, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}
