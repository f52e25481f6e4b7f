package placement

// none is the index that stands for no node.
const none = int32(-1)

// node is an element of a treap. Nodes are ordered by key, then by index.
type node struct {
	left, right int32
	priority    uint32
	key         float64
	// free is the element's vector. maxFree is the maximum in each dimension over
	// the element and its subtrees.
	free, maxFree vec
}

// forest is a set of treaps over elements numbered from 0. Each element is in at
// most one of them. All nodes are in one slice, so that inserting and removing does
// not allocate. The priority of a node is a hash of its index, so that the shape of a
// tree depends only on its content.
type forest struct{ nodes []node }

// grow adds nodes until the forest has nodes 0 to n-1.
func (f *forest) grow(n int) {
	for i := len(f.nodes); i < n; i++ {
		f.nodes = append(f.nodes, node{left: none, right: none, priority: hashIndex(uint32(i))})
	}
}

// hashIndex is a bijective integer hash, so that no two elements have the same
// priority.
func hashIndex(v uint32) uint32 {
	v += 0x9e3779b9
	v = (v ^ v>>16) * 0x85ebca6b
	v = (v ^ v>>13) * 0xc2b2ae35
	return v ^ v>>16
}

// insert adds element i to the tree with the given root and returns the new root.
func (f *forest) insert(root, i int32, key float64, free vec) int32 {
	n := &f.nodes[i]
	n.key, n.free, n.maxFree, n.left, n.right = key, free, free, none, none
	return f.insertNode(root, i)
}

// insertNode adds the prepared node i to the tree and returns the new root.
func (f *forest) insertNode(root, i int32) int32 {
	if root == none {
		return i
	}
	r, n := &f.nodes[root], &f.nodes[i]
	if n.priority > r.priority {
		n.left, n.right = f.split(root, i)
		f.updateMaxFree(i)
		return i
	}
	if f.less(i, root) {
		r.left = f.insertNode(r.left, i)
	} else {
		r.right = f.insertNode(r.right, i)
	}
	raiseTo(&r.maxFree, &n.free)
	return root
}

// remove removes element i from the tree with the given root, which must contain it,
// and returns the new root.
func (f *forest) remove(root, i int32) int32 {
	r := &f.nodes[root]
	if root == i {
		return f.merge(r.left, r.right)
	}
	if f.less(i, root) {
		r.left = f.remove(r.left, i)
	} else {
		r.right = f.remove(r.right, i)
	}
	f.updateMaxFree(root)
	return root
}

// split divides the tree into the elements before and after node i and returns the
// two roots.
func (f *forest) split(root, i int32) (int32, int32) {
	if root == none {
		return none, none
	}
	r := &f.nodes[root]
	if f.less(root, i) {
		lower, rest := f.split(r.right, i)
		r.right = lower
		f.updateMaxFree(root)
		return root, rest
	}
	rest, upper := f.split(r.left, i)
	r.left = upper
	f.updateMaxFree(root)
	return rest, root
}

// merge joins two trees and returns the root. All elements of a must be before those
// of b.
func (f *forest) merge(a, b int32) int32 {
	if a == none {
		return b
	}
	if b == none {
		return a
	}
	if f.nodes[a].priority > f.nodes[b].priority {
		f.nodes[a].right = f.merge(f.nodes[a].right, b)
		f.updateMaxFree(a)
		return a
	}
	f.nodes[b].left = f.merge(a, f.nodes[b].left)
	f.updateMaxFree(b)
	return b
}

// less orders nodes by key, then by index.
func (f *forest) less(a, b int32) bool {
	ka, kb := f.nodes[a].key, f.nodes[b].key
	return ka < kb || ka == kb && a < b
}

// updateMaxFree recomputes maxFree of node i from its children.
func (f *forest) updateMaxFree(i int32) {
	n := &f.nodes[i]
	n.maxFree = n.free
	if n.left != none {
		raiseTo(&n.maxFree, &f.nodes[n.left].maxFree)
	}
	if n.right != none {
		raiseTo(&n.maxFree, &f.nodes[n.right].maxFree)
	}
}

// maxFree returns the maximum in each dimension over the tree; zero for an empty
// tree.
func (f *forest) maxFree(root int32) vec {
	if root == none {
		return vec{}
	}
	return f.nodes[root].maxFree
}
