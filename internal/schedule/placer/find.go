package placer

import (
	"hash/fnv"
	"math"
	"slices"

	"github.com/jaygw/jaygw"
)

// Request asks for a place for one task.
type Request struct {
	Owner    string // environment/owner
	Size     jaygw.Resources
	Domains  []string // empty: all
	MayStart []string // empty: all
	Spread   bool     // over failure domains, racks and VMs
	Seed     uint64
	// Cost is added to a VM's score; nil adds nothing.
	Cost func(*Node) float64
}

const (
	// maxCandidates bounds the VMs that are scored per request. The best of a
	// few dozen is close to the best of all, and the cost stays constant.
	maxCandidates = 32

	// maxRefused bounds the VMs per domain that are passed over because of their
	// cost.
	maxRefused = 64

	// minPerDomain lets every domain take part in the choice.
	minPerDomain = 2

	// A replica more in the same domain, rack or VM weighs more than any load.
	domainWeight = 4.0
	rackWeight   = 1.0
	vmWeight     = 8.0

	// imbalanceWeight keeps VMs from running out of one resource while the
	// others stay free.
	imbalanceWeight = 0.5
)

// Never is the cost of a VM that must not be chosen.
var Never = math.Inf(1)

// Find returns the best of a sample of VMs where the task fits, or nil if it fits
// nowhere.
func (x *Index) Find(r Request) *Node {
	var best *Node
	bestScore := 0.0
	perDomain := max(minPerDomain, maxCandidates/max(1, len(x.names)))
	for _, name := range x.names {
		if !Allows(r.Domains, name) || !Allows(r.MayStart, name) {
			continue
		}
		d := x.domains[name]
		left, refused := perDomain, maxRefused
		d.tree.visit(r.Size, int(r.Seed>>1)%max(1, d.tree.used), func(n *Node) bool {
			score := x.score(n, &r)
			if score == Never {
				refused--
				return refused > 0
			}
			if best == nil || score < bestScore || score == bestScore && n.VM.Name < best.VM.Name {
				best, bestScore = n, score
			}
			left--
			return left > 0
		})
	}
	return best
}

// score rates a VM for a request; lower is better.
func (x *Index) score(n *Node, r *Request) float64 {
	taken := n.VM.Size.Sub(n.Spare()).Add(r.Size)
	load, spread := shares(taken, n.VM.Size)
	score := load + imbalanceWeight*spread + n.Risk
	if r.Spread {
		score += domainWeight*float64(n.Domain.owners[r.Owner]) +
			rackWeight*float64(n.Domain.racks[rackOwner{n.VM.Rack, r.Owner}]) +
			vmWeight*float64(n.owners[r.Owner])
	}
	if r.Cost != nil {
		score += r.Cost(n)
	}
	return score
}

// shares returns the largest share of the size that is taken and its distance
// from the smallest one.
func shares(taken, size jaygw.Resources) (largest, distance float64) {
	cpu, memory := ratio(int64(taken.CPU), int64(size.CPU)), ratio(int64(taken.Memory), int64(size.Memory))
	largest, smallest := max(cpu, memory), min(cpu, memory)
	if size.Accelerators > 0 {
		accelerators := ratio(taken.Accelerators, size.Accelerators)
		largest, smallest = max(largest, accelerators), min(smallest, accelerators)
	}
	return largest, largest - smallest
}

// Share returns the largest share of the size that is used.
func Share(used, size jaygw.Resources) float64 {
	largest, _ := shares(used, size)
	return largest
}

func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Sample returns up to limit VMs for which the function is true, from a start
// that follows from the seed, evenly over the domains that the request allows.
func (x *Index) Sample(r Request, limit int, accept func(*Node) bool) []*Node {
	var nodes []*Node
	perDomain := max(minPerDomain, limit/max(1, len(x.names)))
	for _, name := range x.names {
		if !Allows(r.Domains, name) || !Allows(r.MayStart, name) {
			continue
		}
		members := x.domains[name].tree.nodes[:x.domains[name].tree.used]
		left := perDomain
		for i := range members {
			if n := members[(i+int(r.Seed>>1)%len(members))%len(members)]; accept(n) {
				nodes = append(nodes, n)
				if left--; left == 0 {
					break
				}
			}
		}
	}
	return nodes
}

// CouldFit reports whether some VM, empty and open, could take the task.
func (x *Index) CouldFit(r Request) bool {
	for _, n := range x.nodes {
		if r.Size.Fits(n.VM.Size) && Allows(r.Domains, n.Domain.Name) && Allows(r.MayStart, n.Domain.Name) {
			return true
		}
	}
	return false
}

// Allows reports whether a list of names admits a name; an empty list admits all.
func Allows(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

// Seed derives a number from a task's attempt, for choices that differ between
// tasks and repeat between runs.
func Seed(id jaygw.TaskID, epoch jaygw.Epoch) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{byte(epoch), byte(epoch >> 8), byte(epoch >> 16)})
	return h.Sum64()
}
