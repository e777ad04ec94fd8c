package allocator_test

import (
	"fmt"
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/allocator"
	"github.com/stretchr/testify/require"
)

// TestUnplaceableWorkIsCheap guards against checking all VMs for each of hundreds of steps
// that fit on none of them: with 200 VMs the leader then had no time to serve polls.
func TestUnplaceableWorkIsCheap(t *testing.T) {
	const vmCount, waiting = 200, 300
	q := queue("q", 0)
	var vms []allocator.VM
	for i := range vmCount {
		v := vm(fmt.Sprint("vm-", i), 16)
		v.Runs = []jaygw.PlacedRun{placedRun(fmt.Sprint("s", i), servingStep("search", 1, 16), 90, 100)}
		vms = append(vms, v)
	}
	var workflows []*registrar.Workflow
	for i := range waiting {
		workflows = append(workflows, workflow(fmt.Sprintf("w%03d", i), q, 0, spareStep(fmt.Sprint("image-", i%5), 8, 1+i%3)))
	}
	v := view(t, vms, []jaygw.Queue{q}, workflows...)
	calls := 0
	v.Effect = func(string, string) float64 { calls++; return 20 }
	require.Empty(t, allocator.Decide(v, second))
	require.Less(t, calls, 5*3*vmCount+1, "the effect must be read at most once for each image, size and VM")
}

// TestSmallerWorkStillStarts guards against small tasks that wait because larger tasks of the
// same image fit on no VM.
func TestSmallerWorkStillStarts(t *testing.T) {
	q := queue("q", 0)
	large, small := step(1, 12), step(1, 4)
	large.Image, small.Image = "i", "i"
	grants := allocator.Decide(view(t, []allocator.VM{vm("a", 8)}, []jaygw.Queue{q},
		workflow("large", q, 0, large), workflow("other", q, 0, large), workflow("small", q, 0, small)), 0)
	require.Equal(t, map[string]int{"small@a": 1}, countGrants(grants))
}
