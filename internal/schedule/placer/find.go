package placer

import (
	"hash/fnv"
	"math"
	"slices"

	"github.com/jaygw/jaygw"
)

// Request describes a task for which a VM is searched.
type Request struct {
	Owner    string // key of the service or job, as OwnerKey returns it
	Size     jaygw.Resources
	Domains  []string // failure domains that the task allows; empty: all
	MayStart []string // failure domains in which the team may start tasks; empty: all
	Spread   bool     // spread the owner's tasks over failure domains, racks and VMs
	Seed     uint64   // selects where the search starts in each failure domain
	// Cost is added to the score of a VM; nil adds nothing. A cost of Never excludes the VM.
	Cost func(*Node) float64
}

const (
	// maxCandidates limits the VMs that are scored per request. The best of a few dozen is
	// close to the best of all, and the time of a search stays constant.
	maxCandidates = 32

	// maxExcluded is the number of VMs excluded by their cost after which the search in a
	// domain ends.
	maxExcluded = 64

	// minPerDomain is the least number of VMs per domain that may be scored, so that every domain
	// is considered.
	minPerDomain = 2

	// Each replica that already runs in the same domain or rack, or on the same VM, adds one of
	// these weights. They outweigh the differences in load.
	domainWeight = 4.0
	rackWeight   = 1.0
	vmWeight     = 8.0

	// imbalanceWeight keeps one resource of a VM from running out while the others stay free.
	imbalanceWeight = 0.5
)

// ExcludingCost is the cost of a VM that must not be chosen. It is infinite.
var ExcludingCost = math.Inf(1)

// Find returns the VM with the lowest score in a sample of those where the task fits, or nil if
// there is none.
func (x *Index) Find(r Request) *Node {
	var best *Node
	bestScore := 0.0
	perDomain := max(minPerDomain, maxCandidates/max(1, len(x.domainNames)))
	for _, name := range x.domainNames {
		if !Allows(r.Domains, name) || !Allows(r.MayStart, name) {
			continue
		}
		d := x.domains[name]
		remaining, allowedExclusions := perDomain, maxExcluded
		d.tree.visit(r.Size, int(r.Seed>>1)%max(1, d.tree.used), func(n *Node) bool {
			score := x.score(n, &r)
			if score == ExcludingCost {
				allowedExclusions--
				return allowedExclusions > 0
			}
			if best == nil || score < bestScore || score == bestScore && n.VM.Name < best.VM.Name {
				best, bestScore = n, score
			}
			remaining--
			return remaining > 0
		})
	}
	return best
}

// score rates a VM for a request; lower is better.
func (x *Index) score(n *Node, r *Request) float64 {
	reserved := n.VM.Size.Sub(n.Spare()).Add(r.Size)
	load, imbalance := utilization(reserved, n.VM.Size)
	score := load + imbalanceWeight*imbalance + n.Risk
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

// utilization returns the largest share of the size that is used over all resources, and the
// difference between the largest and the smallest share.
func utilization(used, size jaygw.Resources) (largest, imbalance float64) {
	cpu, memory := ratio(int64(used.CPU), int64(size.CPU)), ratio(int64(used.Memory), int64(size.Memory))
	largest, smallest := max(cpu, memory), min(cpu, memory)
	if size.Accelerators > 0 {
		accelerators := ratio(used.Accelerators, size.Accelerators)
		largest, smallest = max(largest, accelerators), min(smallest, accelerators)
	}
	return largest, largest - smallest
}

// LargestShare returns the largest share of the size that is used over all resources.
func LargestShare(used, size jaygw.Resources) float64 {
	largest, _ := utilization(used, size)
	return largest
}

func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Sample returns about limit VMs that the function accepts, evenly over the domains that the
// request allows. The seed selects where the search starts in each domain.
func (x *Index) Sample(r Request, limit int, accept func(*Node) bool) []*Node {
	var nodes []*Node
	perDomain := max(minPerDomain, limit/max(1, len(x.domainNames)))
	for _, name := range x.domainNames {
		if !Allows(r.Domains, name) || !Allows(r.MayStart, name) {
			continue
		}
		members := x.domains[name].tree.nodes[:x.domains[name].tree.used]
		remaining := perDomain
		for i := range members {
			if n := members[(i+int(r.Seed>>1)%len(members))%len(members)]; accept(n) {
				nodes = append(nodes, n)
				if remaining--; remaining == 0 {
					break
				}
			}
		}
	}
	return nodes
}

// CouldFit reports whether the task would fit on any VM of the allowed domains if that VM were
// empty and took new tasks.
func (x *Index) CouldFit(r Request) bool {
	for _, n := range x.nodes {
		if r.Size.Fits(n.VM.Size) && Allows(r.Domains, n.Domain.Name) && Allows(r.MayStart, n.Domain.Name) {
			return true
		}
	}
	return false
}

// Allows reports whether a list of names contains a name; an empty list allows all names.
func Allows(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

// Seed returns a number that depends only on a task's attempt. Choices based on it differ between
// tasks but are the same in every run of the program.
func Seed(id jaygw.TaskID, epoch jaygw.Epoch) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{byte(epoch), byte(epoch >> 8), byte(epoch >> 16)})
	return h.Sum64()
}
