package placement

import (
	"cmp"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// Earliest estimates when all tasks of a waiting gang fit, if nothing else
// starts until then, and returns the workers that it would use, each once. ends
// tells when a running task ends; the zero time means that it does not. The
// result is the zero time when the gang fits now, and false when it does not
// fit even after all tasks with a known end.
func (x *Index) EarliestStart(spec TaskSpec, tasks int, endOf func(model.TaskID) time.Time) (time.Time, []model.WorkerID, bool) {
	spec.Size = nonNegative(spec.Size)
	f := x.newForecast(spec, tasks)
	if f.fits() {
		return time.Time{}, f.chooseWorkers(x), true
	}
	for _, e := range x.taskEnds(endOf) {
		f.release(x.reservations[e.reservation])
		if f.fits() {
			return e.at, f.chooseWorkers(x), true
		}
	}
	return time.Time{}, nil, false
}

// ending is the expected end of a reservation.
type taskEnd struct {
	at          time.Time
	reservation int32
}

func (x *Index) taskEnds(endOf func(model.TaskID) time.Time) []taskEnd {
	var out []taskEnd
	for i := range x.workers {
		if x.workers[i].state != Available {
			continue
		}
		for _, r := range x.workers[i].tasks {
			if at := endOf(x.reservations[r].task); !at.IsZero() {
				out = append(out, taskEnd{at, r})
			}
		}
	}
	slices.SortFunc(out, func(a, b taskEnd) int {
		return cmp.Or(a.at.Compare(b.at),
			compareTaskIDs(x.reservations[a.reservation].task, x.reservations[b.reservation].task))
	})
	return out
}

// forecast is a copy of the free capacity from which tasks are released.
type forecast struct {
	request   TaskSpec
	tasks     int64
	free      []vec
	fitCount  []int64
	totalFit  int64
	slotsLeft int64
}

func (x *Index) newForecast(spec TaskSpec, tasks int) *forecast {
	f := &forecast{request: spec, tasks: int64(tasks), slotsLeft: x.slotsLeft(spec),
		free: make([]vec, len(x.workers)), fitCount: make([]int64, len(x.workers))}
	for i := range x.workers {
		if w := &x.workers[i]; w.live && w.state == Available {
			f.free[i] = w.free().Vector()
			f.recount(int32(i))
		}
	}
	return f
}

// count recomputes how many tasks of the gang fit on worker i.
func (f *forecast) recount(i int32) {
	request := f.request.Size.Vector()
	fitting := fitCount(&request, &f.free[i])
	f.totalFit += fitting - f.fitCount[i]
	f.fitCount[i] = fitting
}

func (f *forecast) release(r reservation) {
	f.free[r.worker] = addVec(f.free[r.worker], r.taskSpec.Size.Vector())
	if r.taskSpec.Class != model.Interactive {
		f.slotsLeft += r.taskSpec.Size.Slots
	}
	f.recount(r.worker)
}

func (f *forecast) fits() bool {
	limited := f.request.Class != model.Interactive && f.request.Size.Slots*f.tasks > f.slotsLeft
	return f.tasks > 0 && f.totalFit >= f.tasks && !limited
}

// chosen returns the workers with room for most tasks until all have a place.
func (f *forecast) chooseWorkers(x *Index) []model.WorkerID {
	var order []int32
	for i, n := range f.fitCount {
		if n > 0 {
			order = append(order, int32(i))
		}
	}
	slices.SortFunc(order, func(a, b int32) int {
		return cmp.Or(cmp.Compare(f.fitCount[b], f.fitCount[a]), cmp.Compare(a, b))
	})
	var out []model.WorkerID
	for left := f.tasks; left > 0; order = order[1:] {
		out = append(out, x.workers[order[0]].ID)
		left -= f.fitCount[order[0]]
	}
	return out
}
