package queue

// indexedHeap is a binary heap whose elements store their position, so that any
// element can be removed in O(log n).
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// pos returns where an element stores its position plus one; zero means that
	// it is not in the heap.
	pos func(T) *int
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

// top returns the first element; the heap must not be empty.
func (h *indexedHeap[T]) top() T { return h.items[0] }

func (h *indexedHeap[T]) push(v T) {
	h.items = append(h.items, v)
	*h.pos(v) = len(h.items)
	h.up(len(h.items) - 1)
}

// remove removes v; it does nothing when v is not in the heap.
func (h *indexedHeap[T]) remove(v T) {
	i := *h.pos(v) - 1
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.pos(v) = 0
	if i < last {
		h.fixAt(i)
	}
}

// fix restores the heap order after the sort key of v changed. v must be in the
// heap.
func (h *indexedHeap[T]) fix(v T) { h.fixAt(*h.pos(v) - 1) }

// fixAt restores the heap order after the sort key of the element at i changed.
func (h *indexedHeap[T]) fixAt(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

// up moves the element at i towards the root until it does not come before its parent.
func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the element at i towards the leaves and reports whether it moved.
func (h *indexedHeap[T]) down(i int) (moved bool) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return moved
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			return moved
		}
		h.swap(i, child)
		i, moved = child, true
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.pos(h.items[i]), *h.pos(h.items[j]) = i+1, j+1
}
