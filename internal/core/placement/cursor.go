package placement

// cursorDepth is the stack depth up to which a cursor needs no allocation. A treap
// of 15,000 elements is about 35 levels deep; a deeper stack uses cursor.overflow,
// which is allocated on the heap.
const cursorDepth = 64

// cursor iterates in key order over the elements of a tree whose free vector covers
// a request. It skips subtrees whose maximum is below the request in any dimension.
type cursor struct {
	f          *forest
	request    vec
	descending bool
	bound      float64
	stack      [cursorDepth]int32
	depth      int
	overflow   []int32
}

// start positions the cursor on a tree. A descending cursor visits the keys up to
// and including bound, from the largest; an ascending one visits the keys above
// bound, from the smallest.
func (c *cursor) start(root int32, descending bool, bound float64) {
	c.descending, c.bound, c.depth, c.overflow = descending, bound, 0, nil
	c.descend(root)
}

// next returns the index of the next fitting element, or none.
func (c *cursor) next() int32 {
	for c.depth > 0 {
		i := c.pop()
		n := &c.f.nodes[i]
		if c.descending {
			c.descend(n.left)
		} else {
			c.descend(n.right)
		}
		if fits(&c.request, &n.free) {
			return i
		}
	}
	return none
}

// descend walks from node i to the next element in order and pushes the nodes that
// come later onto the stack.
func (c *cursor) descend(i int32) {
	for i != none {
		n := &c.f.nodes[i]
		switch {
		case !fits(&c.request, &n.maxFree):
			return
		case c.descending && n.key > c.bound:
			i = n.left
		case !c.descending && n.key <= c.bound:
			i = n.right
		default:
			c.push(i)
			if c.descending {
				i = n.right
			} else {
				i = n.left
			}
		}
	}
}

func (c *cursor) push(i int32) {
	if c.depth < cursorDepth {
		c.stack[c.depth] = i
	} else {
		c.overflow = append(c.overflow, i)
	}
	c.depth++
}

// pop removes the top node from the stack, which must not be empty.
func (c *cursor) pop() int32 {
	c.depth--
	if c.depth < cursorDepth {
		return c.stack[c.depth]
	}
	last := len(c.overflow) - 1
	i := c.overflow[last]
	c.overflow = c.overflow[:last]
	return i
}
