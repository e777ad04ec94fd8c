package placer

import "github.com/jaygw/jaygw"

// tree holds the free resources of the VMs of one failure domain at its leaves
// and the largest values below each inner node, so that a search skips the parts
// where nothing fits.
type tree struct {
	leaves int // a power of two
	free   []jaygw.Resources
	nodes  []*Node
	used   int
}

var closed = jaygw.Resources{CPU: -1, Memory: -1, Accelerators: -1}

func (t *tree) add(n *Node) {
	if t.used == t.leaves {
		t.grow()
	}
	n.leaf = t.used
	t.nodes[n.leaf] = n
	t.used++
	t.set(n.leaf, closed)
}

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

// remove fills the gap with the last leaf.
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

func (t *tree) set(leaf int, free jaygw.Resources) {
	i := t.leaves + leaf
	t.free[i] = free
	for i > 1 {
		i /= 2
		t.free[i] = t.free[2*i].Max(t.free[2*i+1])
	}
}

// visit calls the function with leaves that hold at least the size, from a given
// leaf on and then from the first, until it returns false.
func (t *tree) visit(size jaygw.Resources, from int, visit func(*Node) bool) {
	if t.used == 0 {
		return
	}
	from %= t.used
	if t.search(1, 0, t.leaves, size, from, t.used, visit) {
		t.search(1, 0, t.leaves, size, 0, from, visit)
	}
}

// search visits the leaves in [from, to) below the node i, which covers [low, high).
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
