package placement

import (
	"slices"

	"catkinvalve/internal/core/model"
)

// worker is an element of Index.workers. Its position is its index in all
// forests of workers.
type worker struct {
	model.Worker
	live  bool
	state State
	used  model.Size
	// batch is the part of used that batch tasks hold.
	batchUsed model.Size
	// restricted is the slots held by tasks that may not use the headroom.
	restrictedSlots int64
	// firm is the part of restricted that cannot be preempted.
	nonPreemptibleSlots int64
	tasks               []int32
	// services counts the tasks of class service by service.
	services map[string]int
	rack     int32
	// open and reclaimable tell which trees the worker is in.
	schedulable, inBatchTree bool
}

func (w *worker) free() model.Size { return w.Capacity.Sub(w.used) }

// reservation is a task's hold on a worker.
type reservation struct {
	task     model.TaskID
	taskSpec TaskSpec
	worker   int32
	// place is the reservation's position in the worker's list of tasks.
	position int
}

// Index knows the workers of one data centre and what is reserved on them.
type Index struct {
	opts          Options
	workers       []worker
	byID          map[model.WorkerID]int32
	unusedWorkers []int32

	reservations       []reservation
	byTask             map[model.TaskID]int32
	unusedReservations []int32

	racks       []rack
	rackByKey   map[string]int32
	unusedRacks []int32 // unused positions in racks

	// byLoad orders open workers by dominant used share in steps. Workers with
	// accelerators have a tree of their own, so that tasks without
	// accelerators use them last.
	byLoad       forest
	plain, accel int32
	// byRack has one tree of open workers for each rack.
	byRack forest
	// rackLoad orders racks that have open workers by dominant used share.
	racksByLoad forest
	rackRoot    int32
	// reclaim orders available workers that run batch tasks; the vector is
	// what the worker has left when all its batch tasks are gone.
	batchByLoad forest
	batchRoot   int32

	totals       Totals
	noFitCache   noFitCache
	taskHeadroom taskHeadroom
	// shapes counts workers by capacity.
	workersByCapacity map[model.Size]int
	limits            limits
}

// New returns an empty index.
func New(o Options) *Index {
	return &Index{
		opts:              o,
		byID:              map[model.WorkerID]int32{},
		byTask:            map[model.TaskID]int32{},
		rackByKey:         map[string]int32{},
		workersByCapacity: map[model.Size]int{},
		limits:            limits{interactivePeak: -1},
		plain:             none, accel: none, rackRoot: none, batchRoot: none,
	}
}

// SetOptions changes the policy of later decisions.
func (x *Index) SetOptions(o Options) { x.opts = o }

// Upsert adds a worker or updates its capacity and rack. Reservations and state
// of a known worker are kept; the state of a new worker is NotLeased.
func (x *Index) Upsert(w model.Worker) {
	w.Capacity = nonNegative(w.Capacity)
	i, known := x.byID[w.ID]
	if !known {
		i = x.addWorker(w)
	} else {
		if x.workers[i].Worker == w {
			return
		}
		x.detach(i)
		x.leaveRack(i)
	}
	x.workers[i].Worker = w
	x.joinRack(i)
	x.attach(i)
	x.limits.stale = true
}

func (x *Index) addWorker(w model.Worker) int32 {
	i := int32(len(x.workers))
	if n := len(x.unusedWorkers); n > 0 {
		i, x.unusedWorkers = x.unusedWorkers[n-1], x.unusedWorkers[:n-1]
	} else {
		x.workers = append(x.workers, worker{})
		for _, f := range []*forest{&x.byLoad, &x.byRack, &x.batchByLoad} {
			f.grow(len(x.workers))
		}
	}
	x.workers[i] = worker{live: true, Worker: w}
	x.byID[w.ID] = i
	return i
}

// Remove forgets a worker and all reservations on it.
func (x *Index) Remove(id model.WorkerID) {
	i, ok := x.byID[id]
	if !ok {
		return
	}
	w := &x.workers[i]
	for len(w.tasks) > 0 {
		x.Release(x.reservations[w.tasks[len(w.tasks)-1]].task)
	}
	x.detach(i)
	x.leaveRack(i)
	delete(x.byID, id)
	x.workers[i] = worker{}
	x.unusedWorkers = append(x.unusedWorkers, i)
	x.limits.stale = true
}

// SetState changes whether a worker takes new tasks.
func (x *Index) SetState(id model.WorkerID, s State) {
	i, ok := x.byID[id]
	if !ok || x.workers[i].state == s {
		return
	}
	x.detach(i)
	x.workers[i].state = s
	x.attach(i)
	x.limits.stale = true
}

// Reserve takes capacity of a worker for a task. It does not check whether the
// task fits, because a worker's inventory is a fact; a worker that is over its
// capacity afterwards gets no new task. A task that is reserved already moves.
// A reservation on a worker that the index does not know yet is kept until the
// worker is upserted or removed.
func (x *Index) Reserve(id model.WorkerID, t model.TaskID, spec TaskSpec) {
	x.Release(t)
	i, ok := x.byID[id]
	if !ok {
		x.Upsert(model.Worker{ID: id})
		i = x.byID[id]
	}
	spec.Size = nonNegative(spec.Size)
	x.detach(i)
	r := x.addReservation(reservation{task: t, taskSpec: spec, worker: i, position: len(x.workers[i].tasks)})
	x.workers[i].tasks = append(x.workers[i].tasks, r)
	x.addUsage(i, spec, spec.Size)
	x.addServiceCount(i, spec, 1)
	x.attach(i)
}

func (x *Index) addReservation(r reservation) int32 {
	i := int32(len(x.reservations))
	if n := len(x.unusedReservations); n > 0 {
		i, x.unusedReservations = x.unusedReservations[n-1], x.unusedReservations[:n-1]
		x.reservations[i] = r
	} else {
		x.reservations = append(x.reservations, r)
	}
	x.byTask[r.task] = i
	return i
}

// Release returns a task's capacity to its worker. Unknown tasks are ignored.
func (x *Index) Release(t model.TaskID) {
	r, ok := x.byTask[t]
	if !ok {
		return
	}
	res := x.reservations[r]
	x.detach(res.worker)
	w := &x.workers[res.worker]
	last := len(w.tasks) - 1
	w.tasks[res.position] = w.tasks[last]
	x.reservations[w.tasks[res.position]].position = res.position
	w.tasks = w.tasks[:last]
	x.addUsage(res.worker, res.taskSpec, model.Size{}.Sub(res.taskSpec.Size))
	x.addServiceCount(res.worker, res.taskSpec, -1)
	x.attach(res.worker)
	delete(x.byTask, t)
	x.reservations[r] = reservation{}
	x.unusedReservations = append(x.unusedReservations, r)
}

// Resize changes a task's reservation and reports whether it now has size s.
// A dimension always shrinks. It grows only within the worker's free capacity,
// otherwise it keeps its value.
func (x *Index) Resize(t model.TaskID, s model.Size) bool {
	r, ok := x.byTask[t]
	if !ok {
		return false
	}
	res := &x.reservations[r]
	delta, all := x.resizeDelta(res, nonNegative(s))
	if delta != (model.Size{}) {
		x.detach(res.worker)
		x.addUsage(res.worker, res.taskSpec, delta)
		res.taskSpec.Size = res.taskSpec.Size.Add(delta)
		x.attach(res.worker)
	}
	return all
}

// resizeBy returns the change that is possible now, and whether it is all of
// the change to s.
func (x *Index) resizeDelta(res *reservation, s model.Size) (model.Size, bool) {
	free := x.workers[res.worker].free()
	delta, available := s.Sub(res.taskSpec.Size).Vector(), free.Vector()
	overcommitted, all := anyNegative(free), true
	for d := range delta {
		if delta[d] > 0 && (overcommitted || delta[d] > available[d]) {
			delta[d], all = 0, false
		}
	}
	return sizeOf(delta), all
}

// Tasks returns the tasks that hold capacity of a worker, in order of key and
// index.
func (x *Index) Tasks(id model.WorkerID) []model.TaskID {
	i, ok := x.byID[id]
	if !ok {
		return nil
	}
	out := make([]model.TaskID, 0, len(x.workers[i].tasks))
	for _, r := range x.workers[i].tasks {
		out = append(out, x.reservations[r].task)
	}
	slices.SortFunc(out, compareTaskIDs)
	return out
}
