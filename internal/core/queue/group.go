package queue

import (
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// node is a waiting item with its positions in the heaps that contain it.
type node struct {
	item Item
	seq  uint64
	// readyAt is the earliest time at which a delayed item is offered.
	readyAt time.Time
	// group is nil when the item no longer waits.
	group *group
	// shape is nil while the item is delayed or skipped in the current cycle.
	shape *shape
	// prev and next link the items of a key.
	prev, next *node

	posShape, posDelayed, posDeadline, posOldest, posNewest int
}

// older orders items by time of admission, the oldest first.
func older(a, b *node) bool {
	if c := a.item.EnqueuedAt.Compare(b.item.EnqueuedAt); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

func newer(a, b *node) bool { return older(b, a) }

// earlierReady orders delayed items by the end of their delay.
func earlierReady(a, b *node) bool {
	if c := a.readyAt.Compare(b.readyAt); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

// earlierDeadline orders items by deadline, then by time of admission.
func earlierDeadline(a, b *node) bool {
	if c := a.item.Deadline.Compare(b.item.Deadline); c != 0 {
		return c < 0
	}
	return older(a, b)
}

// shapeID identifies items that need the same capacity: their tasks have the same
// size and number.
type shapeID struct {
	size  model.Size
	tasks int
}

// shape holds the ready items of one team, class and shapeID.
type shape struct {
	id shapeID
	// totalSize is the size of all tasks of one item.
	totalSize model.Size
	// turn counts the cycles that visited the shape in vain and left out others.
	turn int
	fifo indexedHeap[*node]
	// heap is the heap that contains the shape; nil while the shape is withheld.
	heap *indexedHeap[*shape]
	pos  int
}

// moveTo moves the shape to another heap. With nil it is in no heap and thus
// withheld.
func (s *shape) moveTo(h *indexedHeap[*shape]) {
	if s.heap != nil {
		s.heap.remove(s)
	}
	s.heap = h
	if h != nil {
		h.push(s)
	}
}

// newShapeHeap returns a heap of shapes, ordered by their turns, then by their oldest items.
func newShapeHeap() indexedHeap[*shape] {
	return indexedHeap[*shape]{
		less: func(a, b *shape) bool {
			if a.turn != b.turn {
				return a.turn < b.turn
			}
			return older(a.fifo.top(), b.fifo.top())
		},
		pos: func(s *shape) *int { return &s.pos },
	}
}

// groupID identifies the items of one team and class.
type groupID struct {
	team  string
	class model.Class
}

// group holds the waiting items of one team and class.
type group struct {
	team  *team
	class model.Class
	rank  int
	// oldest and newest hold all items, ready or not, ordered by age.
	oldest, newest indexedHeap[*node]
	shapes         map[shapeID]*shape
	// shapesByAge orders the shapes by their oldest items, those with a lower turn first.
	shapesByAge indexedHeap[*shape]
	// takesTurns is set while the turns of the shapes may differ.
	takesTurns bool
	cursor     cursor
	pos        int
}

func newGroup(t *team, class model.Class) *group {
	g := &group{
		team:        t,
		class:       class,
		rank:        class.Rank(),
		oldest:      indexedHeap[*node]{less: older, pos: func(n *node) *int { return &n.posOldest }},
		newest:      indexedHeap[*node]{less: newer, pos: func(n *node) *int { return &n.posNewest }},
		shapes:      map[shapeID]*shape{},
		shapesByAge: newShapeHeap(),
	}
	g.cursor = cursor{group: g, borrowing: newShapeHeap()}
	return g
}

// moreItems orders groups by the number of waiting items, the largest first.
func moreItems(a, b *group) bool {
	if a.oldest.len() != b.oldest.len() {
		return a.oldest.len() > b.oldest.len()
	}
	return a.team.name < b.team.name
}

// markReady makes n available for offers.
func (g *group) markReady(n *node) {
	id := shapeID{n.item.Size, max(n.item.Tasks, 1)}
	s := g.shapes[id]
	if s == nil {
		s = &shape{id: id, totalSize: n.item.TotalSize(), turn: g.lowestTurn()}
		s.fifo = indexedHeap[*node]{less: older, pos: func(n *node) *int { return &n.posShape }}
		g.shapes[id] = s
	}
	n.shape = s
	s.fifo.push(n)
	if s.heap == nil {
		s.moveTo(&g.shapesByAge)
	} else {
		s.heap.fix(s)
	}
}

// unmarkReady removes n from its shape, and the shape when it is empty.
func (g *group) unmarkReady(n *node) {
	s := n.shape
	if s == nil {
		return
	}
	n.shape = nil
	if s.fifo.len() == 1 {
		// The shape must leave its heap while it still has an item, because the
		// heap compares shapes by their first items.
		s.moveTo(nil)
		delete(g.shapes, s.id)
	}
	s.fifo.remove(n)
	if s.heap != nil {
		s.heap.fix(s)
	}
}

// lowestTurn returns the turn of a new shape, which is neither before nor after all others.
func (g *group) lowestTurn() int {
	if g.shapesByAge.len() == 0 {
		return 0
	}
	return g.shapesByAge.top().turn
}

// resetTurns orders the shapes by age again.
func (g *group) resetTurns() {
	if !g.takesTurns {
		return
	}
	g.takesTurns = false
	inHeap := slices.Clone(g.shapesByAge.items)
	for _, s := range inHeap {
		s.moveTo(nil)
	}
	for _, s := range g.shapes {
		s.turn = 0
	}
	for _, s := range inHeap {
		s.moveTo(&g.shapesByAge)
	}
}
