package placement

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"catkinvalve/internal/core/model"
	_ "catkinvalve/internal/propseed"
)

func drawSpec(t *rapid.T) TaskSpec {
	return TaskSpec{
		Class:   rapid.SampledFrom(model.Classes).Draw(t, "class"),
		Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"),
		Size:    drawSize(t, 12),
	}
}

// drawSize draws a size of up to limit in each dimension, and a sixth of it in
// accelerators.
func drawSize(t *rapid.T, limit int64) model.Size {
	n := rapid.Int64Range(0, limit)
	return model.Size{MilliCPU: n.Draw(t, "cpu"), MemMB: n.Draw(t, "mem"), Accel: n.Draw(t, "accel") / 6,
		Slots: n.Draw(t, "slots"), Conns: n.Draw(t, "conns")}
}

func drawOptions(t *rapid.T) Options {
	w := rapid.IntRange(0, 100)
	return Options{WaitingWeight: w.Draw(t, "waiting"), PackingWeight: w.Draw(t, "packing"),
		HeadroomPercent: rapid.IntRange(0, 40).Draw(t, "headroom"), RackSpare: rapid.Bool().Draw(t, "spare")}
}

// views returns copies of all workers, for a linear scan.
func views(x *Index) []WorkerView {
	var out []WorkerView
	x.ForEachWorker(func(v WorkerView) bool { out = append(out, v); return true })
	return out
}

// totalFit counts by linear scan how many tasks of a spec fit now, ignoring the slot
// limits of classes.
func totalFit(x *Index, spec TaskSpec) int64 {
	sum, request := int64(0), spec.Size.Vector()
	for _, v := range views(x) {
		if v.State == Available && !v.Overcommitted {
			free := v.Free.Vector()
			sum += fitCount(&request, &free)
		}
	}
	return sum
}

// machine applies random operations to an index. reserved holds the tasks reserved on
// it, lastIndex the index of the last one.
type machine struct {
	x         *Index
	lastIndex int
	reserved  []model.TaskID
}

// drawWorkerID draws the ID of one of 12 workers, which may not be in the index.
func (m *machine) drawWorkerID(t *rapid.T) model.WorkerID {
	return model.WorkerID(fmt.Sprintf("w%d", rapid.IntRange(0, 11).Draw(t, "worker")))
}

// drawReservedTask draws a reserved task and skips the step if there is none.
func (m *machine) drawReservedTask(t *rapid.T) model.TaskID {
	if len(m.reserved) == 0 {
		t.Skip("no tasks")
	}
	return rapid.SampledFrom(m.reserved).Draw(t, "task")
}

func (m *machine) reserve(id model.WorkerID, spec TaskSpec) {
	m.lastIndex++
	m.reserved = append(m.reserved, task("k", m.lastIndex))
	m.x.Reserve(id, task("k", m.lastIndex), spec)
}

func (m *machine) upsert(t *rapid.T) {
	m.x.Upsert(model.Worker{ID: m.drawWorkerID(t), Capacity: drawSize(t, 40),
		Rack: rapid.SampledFrom([]string{"", "r0", "r1", "r2"}).Draw(t, "rack")})
}

func (m *machine) state(t *rapid.T) {
	// Most workers are available, so that there is a choice for placements.
	s := rapid.SampledFrom([]State{Available, Available, Available, NotLeased, Draining, Quarantined}).Draw(t, "state")
	m.x.SetState(m.drawWorkerID(t), s)
}

func (m *machine) place(t *rapid.T) {
	spec := drawSpec(t)
	id, ok := m.x.Place(spec)
	want := totalFit(m.x, spec) > 0 && m.x.withinSlotLimit(spec, 1)
	assert.Equal(t, ok, want, "Place missed a fitting worker or chose one that does not fit")
	if !ok {
		return
	}
	before, _ := m.x.Worker(id)
	assert.Assert(t, before.State == Available && !before.Overcommitted && spec.Size.Fits(before.Free))
	m.reserve(id, spec)
}

func (m *machine) gang(t *rapid.T) {
	spec, tasks := drawSpec(t), rapid.IntRange(1, 12).Draw(t, "tasks")
	ids, ok := m.x.PlaceGang(spec, tasks)
	assert.Equal(t, ok, totalFit(m.x, spec) >= int64(tasks) && m.x.withinSlotLimit(spec, tasks))
	assert.Assert(t, len(ids) == 0 && !ok || len(ids) == tasks && ok)
	for _, id := range ids {
		m.reserve(id, spec)
	}
	for _, id := range ids {
		v, _ := m.x.Worker(id)
		assert.Assert(t, !v.Overcommitted)
	}
}

// inventory reserves a task whether it fits or not, as for a worker's inventory.
func (m *machine) inventory(t *rapid.T) { m.reserve(m.drawWorkerID(t), drawSpec(t)) }

func (m *machine) release(t *rapid.T) {
	id := m.drawReservedTask(t)
	m.x.Release(id)
	m.reserved = slices.DeleteFunc(m.reserved, func(o model.TaskID) bool { return o == id })
}

func (m *machine) remove(t *rapid.T) { m.x.Remove(m.drawWorkerID(t)) }

func (m *machine) resize(t *rapid.T) {
	overcommitted := map[model.WorkerID]bool{}
	for _, v := range views(m.x) {
		overcommitted[v.Worker.ID] = v.Overcommitted
	}
	m.x.Resize(m.drawReservedTask(t), drawSize(t, 12))
	for _, v := range views(m.x) {
		assert.Assert(t, !v.Overcommitted || overcommitted[v.Worker.ID], "Resize exceeded the capacity")
	}
}

// maxTasksPerWorker is the number of tasks on a worker up to which the search for
// victims is exhaustive both in the index and in the test.
const maxTasksPerWorker = 11

// preempt checks that the victims make room and that no smaller set on any worker
// would. With at most 12 workers and few tasks the search is exhaustive.
func (m *machine) preempt(t *rapid.T) {
	spec := drawSpec(t)
	even := func(t model.TaskID) bool { return t.Index%2 == 0 }
	for _, v := range views(m.x) {
		if v.Tasks > maxTasksPerWorker {
			t.Skip("too many subsets to try")
		}
	}
	victims, id, ok := m.x.PlanPreemption(spec, even)
	best := m.fewestVictims(spec, even)
	assert.Equal(t, ok, best >= 0)
	if !ok {
		return
	}
	assert.Equal(t, len(victims), best)
	for _, v := range victims {
		m.x.Release(v)
		m.reserved = slices.DeleteFunc(m.reserved, func(o model.TaskID) bool { return o == v })
	}
	v, _ := m.x.Worker(id)
	assert.Assert(t, spec.Size.Fits(v.Free) && !v.Overcommitted && v.State == Available && m.x.withinSlotLimit(spec, 1))
}

// fewestVictims tries all subsets of preemptible tasks of each worker. It returns the
// size of the smallest one that makes room, 0 if none is needed, or -1.
func (m *machine) fewestVictims(spec TaskSpec, preemptible func(model.TaskID) bool) int {
	best := -1
	if _, ok := m.x.Place(spec); ok {
		return 0
	}
	for i := range m.x.workers {
		w := &m.x.workers[i]
		var candidates []model.Size
		for _, r := range w.tasks {
			if res := m.x.reservations[r]; res.taskSpec.Class == model.Batch && preemptible(res.task) {
				candidates = append(candidates, res.taskSpec.Size)
			}
		}
		if w.state != Available {
			continue
		}
		for set := 1; set < 1<<len(candidates); set++ {
			size, count := model.Size{}, 0
			for j, c := range candidates {
				if set>>j&1 == 1 {
					size, count = size.Add(c), count+1
				}
			}
			limited := spec.Class != model.Interactive && spec.Size.Slots-size.Slots > m.x.slotsLeft(spec)
			if spec.Size.Fits(w.free().Add(size)) && !limited && (best < 0 || count < best) {
				best = count
			}
		}
	}
	return best
}

// check compares all sums of the index with sums over its workers.
func (m *machine) check(t *rapid.T) {
	got, want := m.x.Totals(), Totals{}
	var maxFree vec
	for _, v := range views(m.x) {
		want.Workers++
		want.Capacity = want.Capacity.Add(v.Worker.Capacity)
		used := model.Size{}
		for _, id := range m.x.Tasks(v.Worker.ID) {
			used = used.Add(m.x.reservations[m.x.byTask[id]].taskSpec.Size)
		}
		assert.Equal(t, v.Used, used)
		if v.State != Available {
			continue
		}
		want.Available = want.Available.Add(v.Worker.Capacity)
		if free := v.Free.Vector(); !v.Overcommitted {
			want.Free = want.Free.Add(v.Free)
			raiseTo(&maxFree, &free)
		}
	}
	want.LargestFree = sizeOf(maxFree)
	assert.Equal(t, got, want)
}

// Random sequences of operations must not lead to overcommitted workers, missed fits,
// partially placed gangs, unnecessary preemption or wrong sums.
func TestIndexAgainstLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{x: New(drawOptions(t))}
		for range 6 {
			m.upsert(t)
			m.state(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":      m.check,
			"place": m.place, "gang": m.gang, "inventory": m.inventory, "release": m.release, "resize": m.resize,
			"upsert": m.upsert, "state": m.state, "remove": m.remove, "preempt": m.preempt,
			"options": func(t *rapid.T) { m.x.SetOptions(drawOptions(t)) },
		})
	})
}

// Guards against capacity that is lost when tasks are reserved and released, and
// against decisions that depend on earlier tasks.
func TestReleaseRestoresCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newTestIndex(drawOptions(t), rapid.IntRange(1, 40).Draw(t, "workers"), 8)
		before, totals, probe := views(x), x.Totals(), drawSpec(t)
		first, _ := x.Place(probe)
		var tasks []model.TaskID
		for i := range rapid.IntRange(0, 60).Draw(t, "tasks") {
			spec := drawSpec(t)
			if id, ok := x.Place(spec); ok {
				x.Reserve(id, task("k", i), spec)
				tasks = append(tasks, task("k", i))
			}
		}
		for _, id := range tasks {
			x.Release(id)
		}
		assert.DeepEqual(t, views(x), before)
		assert.Equal(t, x.Totals(), totals)
		again, _ := x.Place(probe)
		assert.Equal(t, again, first)
	})
}

// Guards against a scan from the target load that misses workers or visits them
// twice: PlaceGang must find exactly as much room as a linear scan.
func TestGangFindsAllRoomAtAnyTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := New(Options{WaitingWeight: rapid.IntRange(0, 20).Draw(t, "waiting") * 5,
			PackingWeight: rapid.IntRange(0, 20).Draw(t, "packing") * 5})
		for i := range 40 {
			id := model.WorkerID(fmt.Sprintf("w%02d", i))
			addAvailable(x, string(id), "r", model.Size{Slots: 40, Accel: int64(i % 2)})
			x.Reserve(id, task("k", i), TaskSpec{Class: model.Batch, Size: model.Size{Slots: int64(i)}})
		}
		spec := TaskSpec{Class: rapid.SampledFrom(model.Classes).Draw(t, "class"), Size: model.Size{Slots: 1}}
		_, ok := x.PlaceGang(spec, int(totalFit(x, spec)))
		assert.Assert(t, ok)
		ids, _ := x.PlaceGang(spec, 100)
		for i, id := range ids {
			x.Reserve(id, task("gang", i), spec)
		}
		for _, v := range views(x) {
			assert.Assert(t, !v.Overcommitted)
		}
	})
}
