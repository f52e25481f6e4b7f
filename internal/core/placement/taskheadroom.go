package placement

import "catkinvalve/internal/core/model"

// pieces counts the room for interactive tasks in pieces that one of them fits
// into. Headroom in slots alone does not help on workers that run out of
// processors first: what is left there is too small for any task.
type taskHeadroom struct {
	// size is the need of one interactive task; zero turns the rule off.
	size    model.Size
	request vec
	// free is the number of such tasks that fit on open workers now.
	free int64
	// want is the number that batch tasks must leave.
	minTasks int64
	// denied is set when a search passed over a worker for this rule.
	denied bool
}

// SetInteractivePieces makes batch tasks leave room for a number of interactive
// tasks of a size on single workers.
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

func (x *Index) headroomTasksIn(free model.Size) int64 {
	if x.taskHeadroom.size == (model.Size{}) {
		return 0
	}
	v := free.Vector()
	return fitCount(&x.taskHeadroom.request, &v)
}

// takesPiece reports whether a task on w would leave too few pieces.
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

// Headroom returns the slots that are kept for interactive tasks now.
func (x *Index) HeadroomSlots() int64 {
	return x.opts.headroom(x.totals.Available.Slots, x.limits.interactivePeak)
}
