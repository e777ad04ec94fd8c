package registrar_test

import (
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/stretchr/testify/require"
)

// TestStopAfterDomainReturned guards against a stop for a failure domain that has returned, and against one that is
// refused for another reason: entries of earlier builds name no domain.
func TestStopAfterDomainReturned(t *testing.T) {
	for name, test := range map[string]struct {
		out       bool
		outDomain string
		stopped   bool
	}{
		"domain still out": {out: true, outDomain: "d", stopped: true},
		"domain returned":  {outDomain: "d"},
		"no domain named":  {stopped: true},
	} {
		t.Run(name, func(t *testing.T) {
			out := false
			r := registrar.New(func(domain string) bool { return out && domain == "d" })
			r.PutCatalog(jaygw.PutCatalog{Catalog: catalog(1)})
			r.Submit(jaygw.SubmitWorkflow{Spec: jaygw.WorkflowSpec{ID: "w", Steps: []jaygw.Step{{Tasks: 1}}}, Host: "h", Path: "/q/w"}, 1)
			r.OpenSession(jaygw.OpenSession{VM: "a", Process: 1, Incarnation: jaygw.WorkerIncarnation{Name: "a"}, Domain: "d"}, 5, 1)
			run := jaygw.Run{Task: jaygw.StepTask{Workflow: "w"}, Number: 1}
			r.StartRuns(jaygw.StartRuns{Grants: []jaygw.RunGrant{{Run: run, VM: "a", Session: 5}}}, 1)
			require.NotNil(t, r.FindPlacement("a", run))
			out = test.out
			result := r.StopRuns(jaygw.StopRuns{Stops: []jaygw.StoppedRun{{Run: run, VM: "a", OutDomain: test.outDomain}}})
			require.Equal(t, test.stopped, r.FindPlacement("a", run).Stopping)
			require.Equal(t, test.stopped, result.Results[0].Code == "")
		})
	}
}
