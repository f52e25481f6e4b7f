package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

var balanced = Options{WaitingWeight: 50, PackingWeight: 50}

// Guards against a class that is placed by the policy of another class.
func TestPolicyOfEachClass(t *testing.T) {
	packing, waiting := Options{PackingWeight: 100}, Options{WaitingWeight: 100}
	for _, c := range []struct {
		name  string
		opts  Options
		class model.Class
		want  model.WorkerID
	}{
		{"batch takes the fullest worker that fits", balanced, model.Batch, "w1"},
		{"batch with packing weight", packing, model.Batch, "w1"},
		{"batch with waiting weight fills workers to half first", waiting, model.Batch, "w2"},
		{"gang", balanced, model.AllAtOnce, "w1"},
		{"interactive takes the least loaded worker", balanced, model.Interactive, "w3"},
		{"interactive with packing weight fills workers to half first", packing, model.Interactive, "w2"},
		{"service takes a rack without its tasks", balanced, model.Service, "w3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newTestIndex(c.opts, 4, 2)
			for i, used := range []int64{8, 6, 3, 1} {
				x.Reserve(x.workers[i].ID, task("used", i), slots(model.Batch, used))
			}
			x.Reserve("w1", task("service", 0), TaskSpec{Class: model.Service, Service: "s"})
			got, ok := x.Place(slots(c.class, 1))
			assert.Assert(t, ok)
			assert.Equal(t, got, c.want)
		})
	}
}

// Guards against a service with several tasks on one rack or worker while another
// has none of them: a single failure would then stop more tasks than necessary.
func TestServiceSpreadsOverRacksThenWorkers(t *testing.T) {
	x := newTestIndex(balanced, 24, 8)
	assert.Equal(t, fill(x, "s", slots(model.Service, 1), 24), 24)
	x.ForEachWorker(func(w WorkerView) bool {
		assert.Equal(t, w.Tasks, 1, "worker %s", w.Worker.ID)
		return true
	})
}

// Guards against batch tasks that use slots reserved for interactive tasks or for
// the services of a failed rack.
func TestReservedSlots(t *testing.T) {
	const workers, total = 32, 32 * 8
	for _, c := range []struct {
		name  string
		opts  Options
		class model.Class
		want  int
	}{
		{"nothing reserved", Options{}, model.Batch, total},
		{"headroom", Options{HeadroomPercent: 25}, model.Batch, total - 64},
		{"more headroom with waiting weight", Options{HeadroomPercent: 25, WaitingWeight: 100}, model.Batch, total - 96},
		{"rack", Options{RackSpare: true}, model.Batch, total - 64},
		{"both", Options{HeadroomPercent: 25, RackSpare: true}, model.AllAtOnce, total - 128},
		{"service may use the slots of the largest rack", Options{HeadroomPercent: 25, RackSpare: true}, model.Service, total - 64},
		{"interactive may use all slots", Options{HeadroomPercent: 25, RackSpare: true}, model.Interactive, total},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newTestIndex(c.opts, workers, 8)
			assert.Equal(t, fill(x, "k", slots(c.class, 1), total+1), c.want)
			if c.class != model.Interactive {
				_, ok := x.PlaceGang(slots(c.class, 1), 1)
				assert.Assert(t, !ok)
			}
			if c.want < total {
				assert.DeepEqual(t, x.Explain(slots(c.class, 1))[model.ReasonHeadroom] > 0, true)
				_, never := x.NeverFits(slots(c.class, 1), total)
				assert.Assert(t, never)
			}
		})
	}
}

// Guards against workers with accelerators that are filled by tasks without them.
func TestAcceleratorsAreUsedLast(t *testing.T) {
	withAccel := standardCapacity
	withAccel.Accel = 4
	for _, class := range model.Classes {
		x := New(balanced)
		addAvailable(x, "accel", "r0", withAccel)
		addAvailable(x, "plain", "r0", standardCapacity)
		w, _ := x.Place(slots(class, 1))
		assert.Equal(t, w, model.WorkerID("plain"), "class %s", class)
		spec := slots(class, 1)
		spec.Size.Accel = 1
		w, _ = x.Place(spec)
		assert.Equal(t, w, model.WorkerID("accel"), "class %s", class)
	}
}

// Guards against new tasks on a worker whose reported tasks exceed its capacity, and
// against the loss of reservations that are made before the worker is added.
func TestOvercommittedWorkerGetsNothing(t *testing.T) {
	x := New(balanced)
	x.Reserve("w0", task("old", 0), slots(model.Batch, 9))
	addAvailable(x, "w0", "r0", standardCapacity)
	empty := TaskSpec{Class: model.Interactive, Size: model.Size{}}
	_, ok := x.Place(empty)
	assert.Assert(t, !ok)
	assert.DeepEqual(t, x.Explain(empty), model.Counts{model.ReasonNoFit: 1})
	v, _ := x.Worker("w0")
	assert.Assert(t, v.Overcommitted)
	assert.Assert(t, !x.Resize(task("old", 0), slots(model.Batch, 10).Size))
	assert.Assert(t, x.Resize(task("old", 0), slots(model.Batch, 8).Size))
	_, ok = x.Place(empty)
	assert.Assert(t, ok)
}

// Guards against a resize that uses more than the free capacity or does not shrink.
func TestResize(t *testing.T) {
	x := newTestIndex(balanced, 1, 1)
	x.Reserve("w0", task("a", 0), slots(model.Batch, 4))
	x.Reserve("w0", task("b", 0), slots(model.Batch, 3))
	assert.Assert(t, !x.Resize(task("a", 0), slots(model.Batch, 6).Size))
	assert.Assert(t, x.Resize(task("a", 0), slots(model.Batch, 5).Size))
	mixed := slots(model.Batch, 1).Size
	mixed.MemMB = standardCapacity.MemMB
	assert.Assert(t, !x.Resize(task("a", 0), mixed), "memory cannot grow")
	v, _ := x.Worker("w0")
	assert.Equal(t, v.Used.Slots, int64(4))
	assert.Equal(t, v.Used.MemMB, int64(32000))
	assert.Assert(t, !x.Resize(task("unknown", 0), mixed))
}

// Guards against explanations that give a wrong reason.
func TestExplain(t *testing.T) {
	x := newTestIndex(balanced, 6, 3)
	x.SetState("w0", Draining)
	x.SetState("w1", Quarantined)
	x.SetState("w2", NotLeased)
	x.Reserve("w3", task("full", 0), slots(model.Batch, 8))
	spec := slots(model.Batch, 1)
	spec.Size.MemMB = standardCapacity.MemMB + 1
	assert.DeepEqual(t, x.Explain(spec), model.Counts{
		model.ReasonDraining: 1, model.ReasonQuarantined: 1, model.ReasonNoLease: 1,
		model.ReasonMemory: 3, model.ReasonSlots: 1, model.ReasonCPU: 1, model.ReasonConns: 1,
	})
}

// Guards against refusing tasks that fit later, and against queueing tasks that can
// never run.
func TestNeverFits(t *testing.T) {
	x := New(balanced)
	_, never := x.NeverFits(slots(model.Batch, 9), 1)
	assert.Assert(t, !never, "the capacity is unknown without workers")
	x = newTestIndex(balanced, 2, 1)
	x.SetState("w0", Quarantined)
	x.Reserve("w1", task("full", 0), slots(model.Batch, 8))
	_, never = x.NeverFits(slots(model.Batch, 8), 2)
	assert.Assert(t, !never)
	counts, never := x.NeverFits(slots(model.Batch, 9), 1)
	assert.Assert(t, never)
	assert.Equal(t, counts[model.ReasonSlots], 2)
	counts, never = x.NeverFits(slots(model.AllAtOnce, 3), 5)
	assert.Assert(t, never)
	assert.Equal(t, counts[model.ReasonGang], 1)
}

// Guards against estimates that ignore running tasks or assume an end for tasks
// without an expected one.
func TestEarliest(t *testing.T) {
	x := newTestIndex(balanced, 2, 1)
	x.Reserve("w0", task("a", 0), slots(model.Batch, 4))
	x.Reserve("w0", task("b", 0), slots(model.Batch, 4))
	x.Reserve("w1", task("c", 0), slots(model.Service, 6))
	start := time.Unix(1000, 0)
	ends := func(t model.TaskID) time.Time {
		switch t.Key {
		case "a":
			return start.Add(2 * time.Second)
		case "b":
			return start.Add(time.Second)
		}
		return time.Time{}
	}
	for _, c := range []struct {
		tasks int
		at    time.Time
		ok    bool
	}{{2, time.Time{}, true}, {6, start.Add(time.Second), true}, {7, start.Add(2 * time.Second), true}, {11, time.Time{}, false}} {
		at, workers, ok := x.EarliestStart(slots(model.AllAtOnce, 1), c.tasks, ends)
		assert.Equal(t, ok, c.ok, "%d tasks", c.tasks)
		assert.Equal(t, at, c.at, "%d tasks", c.tasks)
		if c.tasks == 7 {
			assert.DeepEqual(t, workers, []model.WorkerID{"w0"})
		}
	}
}

// Guards against preemption of more tasks than necessary, of protected tasks or of
// another class than batch.
func TestPreempt(t *testing.T) {
	x := newTestIndex(Options{HeadroomPercent: 0}, 2, 1)
	x.Reserve("w0", task("small", 0), slots(model.Batch, 2))
	x.Reserve("w0", task("small", 1), slots(model.Batch, 2))
	x.Reserve("w0", task("service", 0), slots(model.Service, 4))
	x.Reserve("w1", task("large", 0), slots(model.Batch, 5))
	x.Reserve("w1", task("protected", 0), slots(model.Batch, 3))
	preemptible := func(t model.TaskID) bool { return t.Key != "protected" }
	for _, c := range []struct {
		slots int64
		want  []model.TaskID
	}{{1, []model.TaskID{task("small", 0)}}, {2, []model.TaskID{task("small", 0)}},
		{4, []model.TaskID{task("large", 0)}}, {6, nil}} {
		got, _, ok := x.PlanPreemption(slots(model.Interactive, c.slots), preemptible)
		assert.Equal(t, ok, c.want != nil)
		assert.DeepEqual(t, got, c.want)
	}
	x.SetOptions(Options{HeadroomPercent: 50})
	_, _, ok := x.PlanPreemption(slots(model.Service, 1), preemptible)
	assert.Assert(t, !ok, "victims on one worker cannot free enough slots for the headroom")
}

// Guards against stale reserved slots and service counts after a worker moved to
// another rack or was removed.
func TestWorkersMoveAndLeave(t *testing.T) {
	x := newTestIndex(Options{RackSpare: true}, 4, 2)
	x.Reserve("w0", task("s", 0), slots(model.Service, 1))
	x.Upsert(model.Worker{ID: "w0", Rack: "r1", Capacity: standardCapacity})
	w, _ := x.Place(slots(model.Service, 1))
	assert.Equal(t, w, model.WorkerID("w1"))
	for _, id := range []model.WorkerID{"w0", "w1", "w2", "w3", "unknown"} {
		x.Remove(id)
	}
	assert.Equal(t, x.Totals(), Totals{})
	assert.Equal(t, len(x.rackByKey)+len(x.workersByCapacity)+len(x.byTask), 0)
}

// Guards against a service that stays unplaced because the least loaded rack has
// enough of each dimension, but on different workers.
func TestServiceSkipsRackWithoutSingleFit(t *testing.T) {
	x := New(balanced)
	addAvailable(x, "cpu", "r0", model.Size{MilliCPU: 9000, MemMB: 10, Slots: 8})
	addAvailable(x, "mem", "r0", model.Size{MilliCPU: 10, MemMB: 9000, Slots: 8})
	addAvailable(x, "both", "r1", model.Size{MilliCPU: 9000, MemMB: 9000, Slots: 8})
	x.Reserve("both", task("k", 0), TaskSpec{Class: model.Batch, Size: model.Size{Slots: 4}})
	got, ok := x.Place(TaskSpec{Class: model.Service, Size: model.Size{MilliCPU: 5000, MemMB: 5000, Slots: 1}})
	assert.Assert(t, ok)
	assert.Equal(t, got, model.WorkerID("both"))
}
