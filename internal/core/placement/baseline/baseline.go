// Package baseline implements simple placement policies that scan all workers.
// Benchmarks and simulations compare the index of package placement with them.
package baseline

import (
	"math/rand/v2"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement"
)

// Policy determines which of the fitting workers is chosen.
type Policy uint8

// The policies.
const (
	// Random takes each fitting worker with equal probability.
	Random Policy = iota
	// FirstFit takes the first fitting worker in order of insertion.
	FirstFit
	// LeastLoaded takes the fitting worker with the smallest dominant used share.
	LeastLoaded
)

// String returns the name of the policy, for example "first-fit".
func (p Policy) String() string {
	return [...]string{"random", "first-fit", "least-loaded"}[p]
}

// Fleet is a list of workers on which tasks are placed by a policy. It treats all
// workers as available and ignores classes, services and racks.
type Fleet struct {
	policy  Policy
	rng     *rand.Rand
	workers []workerUsage
	byID    map[model.WorkerID]int
	tasks   map[model.TaskID]reservation
}

type workerUsage struct {
	id             model.WorkerID
	capacity, used model.Size
}

type reservation struct {
	worker int
	size   model.Size
}

// New returns an empty fleet. The seed determines the choices of policy Random.
func New(p Policy, seed uint64) *Fleet {
	return &Fleet{policy: p, rng: rand.New(rand.NewPCG(seed, seed)),
		byID: map[model.WorkerID]int{}, tasks: map[model.TaskID]reservation{}}
}

// Upsert adds a worker or updates its capacity.
func (f *Fleet) Upsert(w model.Worker) {
	i, ok := f.byID[w.ID]
	if !ok {
		i = len(f.workers)
		f.byID[w.ID] = i
		f.workers = append(f.workers, workerUsage{id: w.ID})
	}
	f.workers[i].capacity = w.Capacity
}

// Place chooses a worker for a task without reserving capacity. It returns false
// when the task fits on no worker.
func (f *Fleet) Place(spec placement.TaskSpec) (model.WorkerID, bool) {
	best, bestLoad, fitting := -1, 0.0, 0
	for i := range f.workers {
		w := &f.workers[i]
		if !spec.Size.Fits(w.capacity.Sub(w.used)) {
			continue
		}
		switch fitting++; f.policy {
		case FirstFit:
			return w.id, true
		case LeastLoaded:
			if load := w.used.DominantShare(w.capacity); best < 0 || load < bestLoad {
				best, bestLoad = i, load
			}
		default: // Random: reservoir sampling gives each fitting worker the same probability.
			if f.rng.IntN(fitting) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return "", false
	}
	return f.workers[best].id, true
}

// Reserve assigns capacity of a worker to a task. A task that has a reservation
// already is moved. When the worker is unknown, the task has no reservation
// afterwards.
func (f *Fleet) Reserve(id model.WorkerID, t model.TaskID, spec placement.TaskSpec) {
	f.Release(t)
	i, ok := f.byID[id]
	if !ok {
		return
	}
	f.workers[i].used = f.workers[i].used.Add(spec.Size)
	f.tasks[t] = reservation{i, spec.Size}
}

// Release deletes a task's reservation. An unknown task is ignored.
func (f *Fleet) Release(t model.TaskID) {
	if r, ok := f.tasks[t]; ok {
		f.workers[r.worker].used = f.workers[r.worker].used.Sub(r.size)
		delete(f.tasks, t)
	}
}
