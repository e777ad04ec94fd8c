package auditor_test

import (
	"io"
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/observe/auditor"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// TestAuditorFindsBrokenPromises guards against an auditor that misses a broken promise, or that
// reports one in a correct run.
func TestAuditorFindsBrokenPromises(t *testing.T) {
	size := jaygw.Resources{CPU: 2 * jaygw.Core, Memory: jaygw.GB}
	waiting := &jaygw.Task{ID: "e/j/0", State: jaygw.Waiting, Kind: jaygw.BatchTask}
	holding := func(epoch jaygw.Epoch, vm string, cores jaygw.MilliCores) *jaygw.Task {
		return &jaygw.Task{
			ID: "e/j/0", State: jaygw.Running, Kind: jaygw.BatchTask, Epoch: epoch, VM: vm,
			Reserved: jaygw.Resources{CPU: cores * jaygw.Core},
		}
	}
	done := &jaygw.Task{ID: "e/j/0", State: jaygw.Done, Kind: jaygw.BatchTask, Epoch: 1}
	inForce := func(number uint64) *jaygw.Submitted {
		return &jaygw.Submitted{State: jaygw.Production, Document: jaygw.Document{Environment: "e", Number: number}}
	}
	for name, test := range map[string]struct {
		broken int64
		change func(a *auditor.Auditor)
	}{
		"correct run": {0, func(a *auditor.Auditor) {
			a.TaskChanged(waiting, holding(1, "v", 1))
			a.TaskChanged(holding(1, "v", 1), done)
			a.DocumentChanged(inForce(1))
			a.DocumentChanged(inForce(2))
		}},
		"two attempts at once":      {1, func(a *auditor.Auditor) { a.TaskChanged(holding(1, "v", 1), holding(2, "v", 1)) }},
		"moved within an epoch":     {1, func(a *auditor.Auditor) { a.TaskChanged(holding(1, "v", 1), holding(1, "w", 1)) }},
		"completed twice":           {1, func(a *auditor.Auditor) { a.TaskChanged(done, done) }},
		"held more than the size":   {1, func(a *auditor.Auditor) { a.TaskChanged(waiting, holding(1, "v", 3)) }},
		"committed beyond the size": {1, func(a *auditor.Auditor) { a.VMChanged(nil, &jaygw.VM{Name: "x", Committed: size}) }},
		"started in a domain that is out": {1, func(a *auditor.Auditor) {
			a.DomainChanged(&jaygw.FailureDomain{Name: "d", Out: true})
			a.TaskChanged(waiting, holding(1, "v", 1))
		}},
		"reverted document": {1, func(a *auditor.Auditor) {
			a.DocumentChanged(inForce(2))
			a.DocumentChanged(inForce(1))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			a := auditor.New(metrics.NewRegistry(), log)
			a.VMChanged(nil, &jaygw.VM{Name: "v", Domain: "d", Size: size})
			test.change(a)
			require.Equal(t, test.broken, a.Broken())
		})
	}
}
