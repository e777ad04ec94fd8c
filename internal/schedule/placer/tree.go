package placer

import "github.com/jaygw/jaygw"

// tree is a segment tree over the VMs of one failure domain. Its leaves hold their free resources,
// and each inner node holds the largest amount of each resource below it, so that a search skips
// the parts where the task fits on no VM.
type tree struct {
	leaves int               // capacity, zero or a power of two
	free   []jaygw.Resources // the root is at index 1, the leaves start at index leaves
	nodes  []*Node           // by leaf
	used   int               // leaves in use
}

// closed is the free size of a VM that takes no new tasks. Not even an empty size fits in it.
var closed = jaygw.Resources{CPU: -1, Memory: -1, Accelerators: -1}

// add appends a VM as a leaf without free resources.
func (t *tree) add(n *Node) {
	if t.used == t.leaves {
		t.grow()
	}
	n.leaf = t.used
	t.nodes[n.leaf] = n
	t.used++
	t.set(n.leaf, closed)
}

// grow doubles the number of leaves.
func (t *tree) grow() {
	old := *t
	t.leaves = max(4, 2*old.leaves)
	t.free = make([]jaygw.Resources, 2*t.leaves)
	for i := range t.free {
		t.free[i] = closed
	}
	t.nodes = make([]*Node, t.leaves)
	copy(t.nodes, old.nodes)
	for i := range old.used {
		t.set(i, old.free[old.leaves+i])
	}
}

// remove removes a VM and moves the last leaf to its position.
func (t *tree) remove(n *Node) {
	last := t.used - 1
	moved := t.nodes[last]
	value := t.free[t.leaves+last]
	t.set(last, closed)
	t.nodes[last] = nil
	t.used--
	if last != n.leaf {
		moved.leaf = n.leaf
		t.nodes[n.leaf] = moved
		t.set(n.leaf, value)
	}
}

// set changes the free resources of a leaf and updates the nodes above it.
func (t *tree) set(leaf int, free jaygw.Resources) {
	i := t.leaves + leaf
	t.free[i] = free
	for i > 1 {
		i /= 2
		t.free[i] = t.free[2*i].Max(t.free[2*i+1])
	}
}

// visit calls the function with the VMs where the size fits, until it returns false. It starts at a
// given leaf and continues with the first leaf after the last one.
func (t *tree) visit(size jaygw.Resources, from int, visit func(*Node) bool) {
	if t.used == 0 {
		return
	}
	from %= t.used
	if t.search(1, 0, t.leaves, size, from, t.used, visit) {
		t.search(1, 0, t.leaves, size, 0, from, visit)
	}
}

// search visits the matching leaves in [from, to) below the inner node or leaf i, which covers the
// leaves in [low, high). It returns false if the function did.
func (t *tree) search(i, low, high int, size jaygw.Resources, from, to int, visit func(*Node) bool) bool {
	if high <= from || to <= low || !size.Fits(t.free[i]) {
		return true
	}
	if high-low == 1 {
		return visit(t.nodes[low])
	}
	middle := (low + high) / 2
	return t.search(2*i, low, middle, size, from, to, visit) &&
		t.search(2*i+1, middle, high, size, from, to, visit)
}
