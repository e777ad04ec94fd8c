package allocator_test

import (
	"fmt"
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/allocator"
	"github.com/stretchr/testify/require"
)

// TestWorkWithoutRoomIsCheap guards against a leader that looks at all VMs for each of
// hundreds of steps that wait for room: at 200 VMs it then had no time for attendances.
func TestWorkWithoutRoomIsCheap(t *testing.T) {
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
	asked := 0
	v.Effect = func(string, string) float64 { asked++; return 20 }
	require.Empty(t, allocator.Decide(v, second))
	require.Less(t, asked, 5*3*vmCount+1, "once for each image, size and VM")
}

// TestRoomForSmallerWork guards against small work that waits because larger work of the
// same image found no room.
func TestRoomForSmallerWork(t *testing.T) {
	q := queue("q", 0)
	large, small := step(1, 12), step(1, 4)
	large.Image, small.Image = "i", "i"
	grants := allocator.Decide(view(t, []allocator.VM{vm("a", 8)}, []jaygw.Queue{q},
		workflow("large", q, 0, large), workflow("other", q, 0, large), workflow("small", q, 0, small)), 0)
	require.Equal(t, map[string]int{"small@a": 1}, places(grants))
}
