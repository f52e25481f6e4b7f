package placement

import (
	"cmp"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// EarliestStart estimates when all tasks of a waiting gang fit, provided that
// nothing else starts until then, and returns the workers that it would use, each
// once. endOf returns the expected end of a running task, or the zero time when no
// end is expected. The resulting time is zero when the gang fits now; the result is
// false when the gang does not fit even after all tasks with an expected end.
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

// taskEnd is the expected end of the task of a reservation.
type taskEnd struct {
	at          time.Time
	reservation int32
}

// taskEnds returns the expected ends of the tasks on available workers, earliest
// first, without the tasks that have none.
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

// forecast simulates the release of running tasks on a copy of the free capacity
// and tracks how many tasks of a waiting gang would fit.
type forecast struct {
	// request describes each of the gang's tasks.
	request TaskSpec
	tasks   int64
	// free and fitCount hold, by worker index, the free capacity and the number
	// of the gang's tasks that fit into it; totalFit is the sum of fitCount.
	free     []vec
	fitCount []int64
	totalFit int64
	// slotsLeft is the number of slots that the gang's class may still use.
	slotsLeft int64
}

// newForecast returns the forecast for the present state of the available workers.
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

// recount recomputes how many tasks of the gang fit on worker i.
func (f *forecast) recount(i int32) {
	request := f.request.Size.Vector()
	fitting := fitCount(&request, &f.free[i])
	f.totalFit += fitting - f.fitCount[i]
	f.fitCount[i] = fitting
}

// release adds the capacity of a reservation to the forecast.
func (f *forecast) release(r reservation) {
	f.free[r.worker] = addVec(f.free[r.worker], r.taskSpec.Size.Vector())
	if r.taskSpec.Class != model.Interactive {
		f.slotsLeft += r.taskSpec.Size.Slots
	}
	f.recount(r.worker)
}

// fits reports whether all tasks of the gang fit.
func (f *forecast) fits() bool {
	limited := f.request.Class != model.Interactive && f.request.Size.Slots*f.tasks > f.slotsLeft
	return f.tasks > 0 && f.totalFit >= f.tasks && !limited
}

// chooseWorkers returns enough workers for all tasks, those that hold most of them
// first. The gang must fit.
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
