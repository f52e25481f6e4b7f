package placement

// cursorDepth is the stack that a cursor gets without an allocation. Treaps of
// 15,000 elements are about 35 deep; a deeper one spills to the heap.
const cursorDepth = 64

// cursor walks the elements of a tree that fit a need, in key order. Subtrees
// whose largest free values are below the need in any dimension are skipped.
type cursor struct {
	f     *forest
	need  vec
	down  bool
	bound float64
	stack []int32
}

// start positions the cursor on a tree. Going down it visits keys up to bound,
// from the largest; going up it visits keys above bound, from the smallest.
func (c *cursor) start(root int32, down bool, bound float64) {
	c.down, c.bound, c.stack = down, bound, c.stack[:0]
	c.push(root)
}

// next returns the next fitting element, or none.
func (c *cursor) next() int32 {
	for len(c.stack) > 0 {
		i := c.stack[len(c.stack)-1]
		c.stack = c.stack[:len(c.stack)-1]
		n := &c.f.nodes[i]
		if c.down {
			c.push(n.left)
		} else {
			c.push(n.right)
		}
		if fits(&c.need, &n.own) {
			return i
		}
	}
	return none
}

// push descends to the next element in order and remembers the way back.
func (c *cursor) push(i int32) {
	for i != none {
		n := &c.f.nodes[i]
		switch {
		case !fits(&c.need, &n.most):
			return
		case c.down && n.key > c.bound:
			i = n.left
		case !c.down && n.key <= c.bound:
			i = n.right
		default:
			c.stack = append(c.stack, i)
			if c.down {
				i = n.right
			} else {
				i = n.left
			}
		}
	}
}
