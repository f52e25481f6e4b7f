package placement

import (
	"slices"

	"catkinvalve/internal/core/model"
)

// worker is an element of Index.workers. Its position there is also its node index
// in all forests of workers.
type worker struct {
	model.Worker
	// live is false for an unused element.
	live  bool
	state State
	used  model.Size
	// batchUsed is the part of used that is reserved for batch tasks.
	batchUsed model.Size
	// restrictedSlots counts the slots in use by tasks that may not use the
	// interactive headroom.
	restrictedSlots int64
	// nonPreemptibleSlots is the part of restrictedSlots that cannot be preempted.
	nonPreemptibleSlots int64
	tasks               []int32
	// services maps a service to its number of tasks of class service.
	services map[string]int
	rack     int32
	// schedulable and inBatchTree tell which trees the worker is in. A worker is
	// schedulable when it is Available and not overcommitted.
	schedulable, inBatchTree bool
}

// free returns the capacity that is not reserved. A dimension is negative when the
// reservations exceed the capacity.
func (w *worker) free() model.Size { return w.Capacity.Sub(w.used) }

// reservation records that a task uses capacity of a worker.
type reservation struct {
	task     model.TaskID
	taskSpec TaskSpec
	worker   int32
	// position is the reservation's index in worker.tasks.
	position int
}

// Index holds the workers of one data centre and the tasks reserved on them.
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
	unusedRacks []int32

	// byLoad orders schedulable workers by level of load, see loadKey. Workers
	// with accelerators have a separate tree (root accel; all others: root
	// plain), so that tasks without accelerators use them last.
	byLoad       forest
	plain, accel int32
	// byRack has one tree of schedulable workers for each rack.
	byRack forest
	// racksByLoad orders the racks that have schedulable workers by dominant used
	// share.
	racksByLoad forest
	rackRoot    int32
	// batchByLoad orders the available workers that run batch tasks. Its vectors
	// are the capacity that is free once all batch tasks of a worker are stopped.
	batchByLoad forest
	batchRoot   int32

	totals       Totals
	noFitCache   noFitCache
	taskHeadroom taskHeadroom
	// workersByCapacity maps a capacity to the number of workers that have it.
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

// SetOptions replaces the policy for later decisions.
func (x *Index) SetOptions(o Options) { x.opts = o }

// Upsert adds a worker or updates its capacity and rack. A known worker keeps its
// reservations and state; a new worker starts in state NotLeased.
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

// addWorker adds a worker in state NotLeased and returns its position. The caller must
// add it to its rack and attach it.
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

// Remove deletes a worker and all reservations on it. An unknown worker is ignored.
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

// SetState changes the state of a worker. An unknown worker is ignored.
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

// Reserve assigns capacity of a worker to a task. It does not check whether the
// task fits, because it also records tasks that already run according to the
// worker's inventory; a worker that exceeds its capacity afterwards gets no new
// task. A task that has a reservation already is moved. For a worker that the
// index does not know yet, Reserve adds one without capacity in state NotLeased;
// Upsert sets its capacity later.
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

// addReservation stores a reservation and returns its position in x.reservations. The
// caller must add it to the worker.
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

// Release deletes a task's reservation. An unknown task is ignored.
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

// Resize changes the size of a task's reservation and reports whether the
// reservation now has size s. Each dimension is treated separately: it can always
// shrink, but it keeps its value when the growth exceeds the worker's free
// capacity. The result is false for an unknown task.
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

// resizeDelta returns the change towards size s that is possible now, and whether
// it reaches s.
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

// Tasks returns the tasks reserved on a worker, sorted by key and index; nil when
// the worker is unknown.
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
