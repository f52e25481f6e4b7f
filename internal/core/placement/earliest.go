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
func (x *Index) EarliestStart(n TaskSpec, tasks int, ends func(model.TaskID) time.Time) (time.Time, []model.WorkerID, bool) {
	n.Size = nonNegative(n.Size)
	f := x.newForecast(n, tasks)
	if f.fits() {
		return time.Time{}, f.chosen(x), true
	}
	for _, e := range x.endings(ends) {
		f.release(x.reservations[e.reservation])
		if f.fits() {
			return e.at, f.chosen(x), true
		}
	}
	return time.Time{}, nil, false
}

// ending is the expected end of a reservation.
type ending struct {
	at          time.Time
	reservation int32
}

func (x *Index) endings(ends func(model.TaskID) time.Time) []ending {
	var out []ending
	for i := range x.workers {
		if x.workers[i].state != Available {
			continue
		}
		for _, r := range x.workers[i].tasks {
			if at := ends(x.reservations[r].task); !at.IsZero() {
				out = append(out, ending{at, r})
			}
		}
	}
	slices.SortFunc(out, func(a, b ending) int {
		return cmp.Or(a.at.Compare(b.at),
			compareTasks(x.reservations[a.reservation].task, x.reservations[b.reservation].task))
	})
	return out
}

// forecast is a copy of the free capacity from which tasks are released.
type forecast struct {
	need      TaskSpec
	tasks     int64
	free      []vec
	copies    []int64
	sum       int64
	slotsLeft int64
}

func (x *Index) newForecast(n TaskSpec, tasks int) *forecast {
	f := &forecast{need: n, tasks: int64(tasks), slotsLeft: x.slotsLeft(n),
		free: make([]vec, len(x.workers)), copies: make([]int64, len(x.workers))}
	for i := range x.workers {
		if w := &x.workers[i]; w.live && w.state == Available {
			f.free[i] = w.free().Vector()
			f.count(int32(i))
		}
	}
	return f
}

// count recomputes how many tasks of the gang fit on worker i.
func (f *forecast) count(i int32) {
	need := f.need.Size.Vector()
	now := copies(&need, &f.free[i])
	f.sum += now - f.copies[i]
	f.copies[i] = now
}

func (f *forecast) release(r reservation) {
	f.free[r.worker] = addVec(f.free[r.worker], r.need.Size.Vector())
	if r.need.Class != model.Interactive {
		f.slotsLeft += r.need.Size.Slots
	}
	f.count(r.worker)
}

func (f *forecast) fits() bool {
	limited := f.need.Class != model.Interactive && f.need.Size.Slots*f.tasks > f.slotsLeft
	return f.tasks > 0 && f.sum >= f.tasks && !limited
}

// chosen returns the workers with room for most tasks until all have a place.
func (f *forecast) chosen(x *Index) []model.WorkerID {
	var order []int32
	for i, n := range f.copies {
		if n > 0 {
			order = append(order, int32(i))
		}
	}
	slices.SortFunc(order, func(a, b int32) int {
		return cmp.Or(cmp.Compare(f.copies[b], f.copies[a]), cmp.Compare(a, b))
	})
	var out []model.WorkerID
	for left := f.tasks; left > 0; order = order[1:] {
		out = append(out, x.workers[order[0]].ID)
		left -= f.copies[order[0]]
	}
	return out
}
