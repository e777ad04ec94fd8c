package allocator_test

import (
	"fmt"
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/allocator"
)

// BenchmarkDecide measures one decision for 24 waiting tasks of a spare step with a label, a
// data rack and a limit per VM. Each VM has three serving tasks, of three out of five images.
func BenchmarkDecide(b *testing.B) {
	for _, count := range []int{75, 300, 600, 1200, 2400} {
		b.Run(fmt.Sprint(count, " VMs"), func(b *testing.B) {
			q := queue("q", 0)
			var vms []allocator.VM
			for i := range count {
				v := vm(fmt.Sprint("vm-", i), 32, "a", fmt.Sprint("rack-", i/8))
				for k := range 3 {
					s := servingStep(fmt.Sprint("serving-", (i+k)%5), 1, 4)
					v.Runs = append(v.Runs, placedRun(fmt.Sprint("w", i, "-", k), s, 40, 100))
				}
				vms = append(vms, v)
			}
			spare := spareStep("spare", 24, 2)
			spare.Label, spare.DataRack, spare.MaxPerVM = "a", "rack-3", 4
			v := allocator.View{
				Catalog: &jaygw.Catalog{Queues: []jaygw.Queue{q}, Services: []jaygw.PoolSpec{{Name: "s"}}}, VMs: vms,
				Workflows: []*registrar.Workflow{workflow("w", q, 0, spare)}, Effect: func(string, string) float64 { return 4 },
			}
			for b.Loop() {
				if len(allocator.Decide(v, 0)) != 24 {
					b.Fatal("not all tasks were placed")
				}
			}
		})
	}
}
