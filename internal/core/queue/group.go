package queue

import (
	"time"

	"catkinvalve/internal/core/model"
)

// node is a waiting item with its positions in the heaps that hold it.
type node struct {
	item Item
	seq  uint64
	// readyAt is when a delayed item may be offered.
	readyAt time.Time
	// group is nil once the item no longer waits.
	group *group
	// shape is nil while the item is delayed or skipped in the present cycle.
	shape *shape
	// prev and next link the items of one key.
	prev, next *node

	posShape, posDelayed, posDeadline, posOldest, posNewest int
}

// older orders items first in, first out.
func older(a, b *node) bool {
	if c := a.item.EnqueuedAt.Compare(b.item.EnqueuedAt); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

func newer(a, b *node) bool { return older(b, a) }

func earlierReady(a, b *node) bool {
	if c := a.readyAt.Compare(b.readyAt); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

func earlierDeadline(a, b *node) bool {
	if c := a.item.Deadline.Compare(b.item.Deadline); c != 0 {
		return c < 0
	}
	return older(a, b)
}

// shapeID identifies items that need the same room.
type shapeID struct {
	size  model.Size
	tasks int
}

// shape holds the ready items of one team, class and shapeID.
type shape struct {
	id   shapeID
	need model.Size
	fifo indexedHeap[*node]
	// heap is the heap of shapes that holds this one; nil while withheld.
	heap *indexedHeap[*shape]
	pos  int
}

// moveTo puts the shape into another heap; nil withholds it.
func (s *shape) moveTo(h *indexedHeap[*shape]) {
	if s.heap != nil {
		s.heap.remove(s)
	}
	s.heap = h
	if h != nil {
		h.push(s)
	}
}

func newShapeHeap() indexedHeap[*shape] {
	return indexedHeap[*shape]{
		less: func(a, b *shape) bool { return older(a.fifo.top(), b.fifo.top()) },
		pos:  func(s *shape) *int { return &s.pos },
	}
}

type groupID struct {
	team  string
	class model.Class
}

// group holds the waiting items of one team and class.
type group struct {
	team  *team
	class model.Class
	rank  int
	// oldest and newest hold all items, ready or not.
	oldest, newest indexedHeap[*node]
	shapes         map[shapeID]*shape
	// heads orders the shapes by their first items.
	shapesByAge indexedHeap[*shape]
	cursor      cursor
	pos         int
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

// longer orders groups by the number of waiting items, longest first.
func moreItems(a, b *group) bool {
	if a.oldest.len() != b.oldest.len() {
		return a.oldest.len() > b.oldest.len()
	}
	return a.team.name < b.team.name
}

// ready makes n available to the next offers.
func (g *group) markReady(n *node) {
	id := shapeID{n.item.Size, max(n.item.Tasks, 1)}
	s := g.shapes[id]
	if s == nil {
		s = &shape{id: id, need: n.item.TotalSize()}
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

// unready takes n out of its shape and drops the shape when it is empty.
func (g *group) unmarkReady(n *node) {
	s := n.shape
	if s == nil {
		return
	}
	n.shape = nil
	if s.fifo.len() == 1 {
		// Out of the heap first: the heap compares shapes by their first items.
		s.moveTo(nil)
		delete(g.shapes, s.id)
	}
	s.fifo.remove(n)
	if s.heap != nil {
		s.heap.fix(s)
	}
}
