package placement

import "catkinvalve/internal/core/model"

// taskHeadroom counts how many interactive tasks of a typical size still fit, and
// how many of them batch tasks must leave room for. Headroom in slots alone is not
// enough on workers that run out of CPU first: what they have left is too small for
// any task.
type taskHeadroom struct {
	// size is the size of one interactive task; zero switches the rule off.
	size model.Size
	// request is size as a vector.
	request vec
	// free is the number of such tasks that fit on schedulable workers now.
	free int64
	// minTasks is the number below which batch tasks must not reduce free.
	minTasks int64
	// denied is set when a search skipped a worker because of this rule. The
	// request must then not enter the noFitCache.
	denied bool
}

// SetInteractiveTaskHeadroom makes batch tasks leave room for minTasks interactive
// tasks of the given size, each of which must fit on one worker. A zero size switches
// the rule off.
func (x *Index) SetInteractiveTaskHeadroom(size model.Size, minTasks int64) {
	x.taskHeadroom.minTasks = minTasks
	if size == x.taskHeadroom.size {
		return
	}
	x.taskHeadroom.size, x.taskHeadroom.request, x.taskHeadroom.free = size, size.Vector(), 0
	for i := range x.workers {
		if w := &x.workers[i]; w.live && w.schedulable {
			x.taskHeadroom.free += x.headroomTasksIn(w.free())
		}
	}
}

// headroomTasksIn returns how many interactive tasks of the configured size fit
// into free.
func (x *Index) headroomTasksIn(free model.Size) int64 {
	if x.taskHeadroom.size == (model.Size{}) {
		return 0
	}
	v := free.Vector()
	return fitCount(&x.taskHeadroom.request, &v)
}

// breaksTaskHeadroom reports whether a batch task on w would leave room for too few
// interactive tasks. It records a positive result in denied.
func (x *Index) breaksTaskHeadroom(w *worker, spec TaskSpec) bool {
	if spec.Class != model.Batch || x.taskHeadroom.size == (model.Size{}) {
		return false
	}
	lost := x.headroomTasksIn(w.free()) - x.headroomTasksIn(w.free().Sub(spec.Size))
	if lost == 0 || x.taskHeadroom.free-lost >= x.taskHeadroom.minTasks {
		return false
	}
	x.taskHeadroom.denied = true
	return true
}

// HeadroomSlots returns the number of slots reserved for interactive tasks now.
func (x *Index) HeadroomSlots() int64 {
	return x.opts.headroom(x.totals.Available.Slots, x.limits.interactivePeak)
}
