package placement

import "catkinvalve/internal/core/model"

// pieces counts the room for interactive tasks in pieces that one of them fits
// into. Headroom in slots alone does not help on workers that run out of
// processors first: what is left there is too small for any task.
type pieces struct {
	// size is the need of one interactive task; zero turns the rule off.
	size model.Size
	need vec
	// free is the number of such tasks that fit on open workers now.
	free int64
	// want is the number that batch tasks must leave.
	want int64
	// denied is set when a search passed over a worker for this rule.
	denied bool
}

// SetInteractivePieces makes batch tasks leave room for a number of interactive
// tasks of a size on single workers.
func (x *Index) SetInteractiveTaskHeadroom(size model.Size, want int64) {
	x.pieces.want = want
	if size == x.pieces.size {
		return
	}
	x.pieces.size, x.pieces.need, x.pieces.free = size, size.Vector(), 0
	for i := range x.workers {
		if w := &x.workers[i]; w.live && w.open {
			x.pieces.free += x.piecesIn(w.free())
		}
	}
}

func (x *Index) piecesIn(free model.Size) int64 {
	if x.pieces.size == (model.Size{}) {
		return 0
	}
	v := free.Vector()
	return copies(&x.pieces.need, &v)
}

// takesPiece reports whether a task on w would leave too few pieces.
func (x *Index) takesPiece(w *worker, n TaskSpec) bool {
	if n.Class != model.Batch || x.pieces.size == (model.Size{}) {
		return false
	}
	lost := x.piecesIn(w.free()) - x.piecesIn(w.free().Sub(n.Size))
	if lost == 0 || x.pieces.free-lost >= x.pieces.want {
		return false
	}
	x.pieces.denied = true
	return true
}

// Headroom returns the slots that are kept for interactive tasks now.
func (x *Index) HeadroomSlots() int64 {
	return x.opts.headroom(x.totals.Available.Slots, x.limits.demand)
}
