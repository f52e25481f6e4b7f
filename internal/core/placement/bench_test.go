package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement"
	"catkinvalve/internal/core/placement/baseline"
)

var fleetSizes = []int{50, 500, 5000, 15000}

// placer is the interface that the index and the baselines share.
type placer interface {
	Place(placement.TaskSpec) (model.WorkerID, bool)
	Reserve(model.WorkerID, model.TaskID, placement.TaskSpec)
	Release(model.TaskID)
}

// benchWorkers returns n workers of three capacities, one in ten with accelerators.
func benchWorkers(n int) []model.Worker {
	shapes := []model.Size{
		{MilliCPU: 32000, MemMB: 128000, Slots: 8, Conns: 64},
		{MilliCPU: 16000, MemMB: 32000, Slots: 8, Conns: 64},
		{MilliCPU: 64000, MemMB: 256000, Accel: 8, Slots: 16, Conns: 128},
	}
	out := make([]model.Worker, n)
	for i := range out {
		shape := shapes[i%2]
		if i%10 == 9 {
			shape = shapes[2]
		}
		out[i] = model.Worker{ID: model.WorkerID(fmt.Sprintf("w%05d", i)), Rack: fmt.Sprintf("r%d", i/8), Capacity: shape}
	}
	return out
}

func newIndex(workers []model.Worker) *placement.Index {
	x := placement.New(placement.Options{WaitingWeight: 50, PackingWeight: 50, HeadroomPercent: 5})
	for _, w := range workers {
		x.Upsert(w)
		x.SetState(w.ID, placement.Available)
	}
	return x
}

func newFleet(p baseline.Policy, workers []model.Worker) *baseline.Fleet {
	f := baseline.New(p, 1)
	for _, w := range workers {
		f.Upsert(w)
	}
	return f
}

// benchSpec draws tasks of the classes that are placed one by one: 30% interactive,
// 20% service and 50% batch, one in ten with accelerators.
func benchSpec(rng *rand.Rand) placement.TaskSpec {
	classes := []model.Class{model.Interactive, model.Interactive, model.Interactive, model.Service, model.Service,
		model.Batch, model.Batch, model.Batch, model.Batch, model.Batch}
	spec := placement.TaskSpec{Class: classes[rng.IntN(len(classes))], Service: fmt.Sprintf("s%d", rng.IntN(50))}
	spec.Size = model.Size{MilliCPU: 500 + 500*rng.Int64N(10), MemMB: 1000 + 1000*rng.Int64N(12), Slots: 1, Conns: rng.Int64N(12)}
	if rng.IntN(10) == 0 {
		spec.Size.Accel = 1 + rng.Int64N(2)
	}
	return spec
}

// loadedFleet is a placer with running tasks that are replaced one after another.
type loadedFleet struct {
	p         placer
	rng       *rand.Rand
	tasks     []model.TaskID
	specs     []placement.TaskSpec
	lastIndex int
	// lastSpec, chosen and ok describe the last decision.
	lastSpec placement.TaskSpec
	chosen   model.WorkerID
	ok       bool
	// targetTasks is the number of tasks that replace maintains.
	targetTasks int
}

// newLoadedFleet fills the placer until 200 placements have failed (full) or to
// about 60% of the slots (not full).
func newLoadedFleet(p placer, workers int, full bool) *loadedFleet {
	l := &loadedFleet{p: p, rng: rand.New(rand.NewPCG(1, 1))}
	for range 1024 {
		l.specs = append(l.specs, benchSpec(l.rng))
	}
	target := workers * 8 * 6 / 10
	for failures := 0; failures < 200 && (full || len(l.tasks) < target); {
		before := len(l.tasks)
		l.place(l.specs[l.rng.IntN(len(l.specs))])
		if len(l.tasks) == before {
			failures++
		}
	}
	l.targetTasks = len(l.tasks)
	return l
}

func (l *loadedFleet) place(spec placement.TaskSpec) {
	l.lastSpec = spec
	l.chosen, l.ok = l.p.Place(spec)
	l.reserve()
}

// reserve reserves the worker that was chosen last, if there is one.
func (l *loadedFleet) reserve() {
	if l.ok {
		l.lastIndex++
		t := model.TaskID{Key: "k", Index: l.lastIndex}
		l.p.Reserve(l.chosen, t, l.lastSpec)
		l.tasks = append(l.tasks, t)
		l.ok = false
	}
}

// replace reserves the last choice and, when the fleet has its initial number of
// tasks, releases a random one.
func (l *loadedFleet) replace() {
	l.reserve()
	if len(l.tasks) < l.targetTasks {
		return
	}
	i := l.rng.IntN(len(l.tasks))
	l.p.Release(l.tasks[i])
	l.tasks[i] = l.tasks[len(l.tasks)-1]
	l.tasks = l.tasks[:len(l.tasks)-1]
}

// measure calls f with each spec in turn and reports quantiles of the duration of a
// call. The time spent in prepare is not included in the quantiles.
func measure(b *testing.B, l *loadedFleet, prepare func(), f func(placement.TaskSpec)) {
	h := hdrhistogram.New(1, int64(10*time.Second), 3)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		prepare()
		start := time.Now()
		f(l.specs[i%len(l.specs)])
		_ = h.RecordValue(int64(time.Since(start)))
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-ns")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ns")
}

func noop() {}

// BenchmarkPlace measures decisions without reservations.
func BenchmarkPlace(b *testing.B) {
	for _, full := range []bool{false, true} {
		for _, n := range fleetSizes {
			b.Run(fmt.Sprintf("full=%t/workers=%d", full, n), func(b *testing.B) {
				l := newLoadedFleet(newIndex(benchWorkers(n)), n, full)
				measure(b, l, noop, func(n placement.TaskSpec) { l.p.Place(n) })
			})
		}
	}
}

// BenchmarkChurn measures decisions on a fleet with changing tasks: before each
// decision the last choice is reserved and a random task is released.
func BenchmarkChurn(b *testing.B) {
	for _, full := range []bool{false, true} {
		for _, n := range fleetSizes {
			b.Run(fmt.Sprintf("full=%t/workers=%d", full, n), func(b *testing.B) {
				l := newLoadedFleet(newIndex(benchWorkers(n)), n, full)
				measure(b, l, l.replace, func(n placement.TaskSpec) { l.chosen, l.ok = l.p.Place(n); l.lastSpec = n })
			})
		}
	}
}

// BenchmarkCycle measures release, decision and reservation together.
func BenchmarkCycle(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			l := newLoadedFleet(newIndex(benchWorkers(n)), n, false)
			measure(b, l, noop, func(n placement.TaskSpec) { l.replace(); l.chosen, l.ok = l.p.Place(n); l.lastSpec = n })
		})
	}
}

// BenchmarkBaseline measures decisions of the simple policies.
func BenchmarkBaseline(b *testing.B) {
	for _, p := range []baseline.Policy{baseline.Random, baseline.FirstFit, baseline.LeastLoaded} {
		for _, n := range fleetSizes {
			b.Run(fmt.Sprintf("%s/workers=%d", p, n), func(b *testing.B) {
				l := newLoadedFleet(newFleet(p, benchWorkers(n)), n, true)
				measure(b, l, noop, func(n placement.TaskSpec) { l.p.Place(n) })
			})
		}
	}
}

// BenchmarkSlowPaths measures gangs and preemption on a full fleet.
func BenchmarkSlowPaths(b *testing.B) {
	for _, n := range fleetSizes {
		x := newIndex(benchWorkers(n))
		l := newLoadedFleet(x, n, true)
		b.Run(fmt.Sprintf("gang16/workers=%d", n), func(b *testing.B) {
			measure(b, l, noop, func(n placement.TaskSpec) { n.Class = model.AllAtOnce; x.PlaceGang(n, 16) })
		})
		b.Run(fmt.Sprintf("preempt/workers=%d", n), func(b *testing.B) {
			all := func(model.TaskID) bool { return true }
			measure(b, l, noop, func(n placement.TaskSpec) { n.Class = model.Interactive; x.PlanPreemption(n, all) })
		})
	}
}

// BenchmarkPacking reports how many large tasks still fit after batch tasks of mixed
// sizes have taken half of the slots.
func BenchmarkPacking(b *testing.B) {
	workers := benchWorkers(500)
	for name, create := range map[string]func() placer{
		"index":        func() placer { return newIndex(workers) },
		"random":       func() placer { return newFleet(baseline.Random, workers) },
		"first-fit":    func() placer { return newFleet(baseline.FirstFit, workers) },
		"least-loaded": func() placer { return newFleet(baseline.LeastLoaded, workers) },
	} {
		b.Run(name, func(b *testing.B) {
			var mixed, large float64
			for b.Loop() {
				mixed, large = packing(create(), workers)
			}
			b.ReportMetric(mixed, "tasks")
			b.ReportMetric(large, "large-tasks")
		})
	}
}

// packing fills half of the fleet's slots with batch tasks of mixed sizes and returns
// their number and how many tasks fit afterwards that are almost as large as a
// worker of the smallest capacity.
func packing(p placer, workers []model.Worker) (float64, float64) {
	l := &loadedFleet{p: p, rng: rand.New(rand.NewPCG(2, 2))}
	for len(l.tasks) < 4*len(workers) {
		spec := benchSpec(l.rng)
		spec.Class = model.Batch
		l.place(spec)
	}
	mixed := len(l.tasks)
	for range len(workers) {
		l.place(placement.TaskSpec{Class: model.Batch, Size: model.Size{MilliCPU: 14000, MemMB: 28000, Slots: 2}})
	}
	return float64(mixed), float64(len(l.tasks) - mixed)
}
