package registrar_test

import (
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/stretchr/testify/require"
)

// TestReplicasOfTwoBuildsAgree guards against replicas of one group that differ while some are of the build before
// profiles, which ignores the field: a run that one of them does not know is started again once it leads.
func TestReplicasOfTwoBuildsAgree(t *testing.T) {
	replicas := map[string]*registrar.Registrar{}
	open := jaygw.OpenSession{VM: "a", Process: 1, Incarnation: jaygw.WorkerIncarnation{Name: "a"}}
	for _, build := range []string{"earlier", "present"} {
		r := registrar.New(func(string) bool { return false })
		r.PutCatalog(jaygw.PutCatalog{Catalog: catalog(1)})
		r.Submit(jaygw.SubmitWorkflow{Spec: jaygw.WorkflowSpec{ID: "w", Steps: []jaygw.Step{{Tasks: 1}}}, Host: "h", Path: "/q/w"}, 1)
		r.OpenSession(open, 5, 1) // by a leader of the earlier build
		replicas[build] = r
	}
	// A leader of the present build opens the session again; the earlier build decodes no profile.
	replicas["earlier"].OpenSession(open, 6, 1)
	open.Profile = &jaygw.WorkerProfile{Service: "s", Size: jaygw.Resources{CPU: jaygw.Core, Memory: jaygw.GB}}
	replicas["present"].OpenSession(open, 6, 1)
	run := jaygw.Run{Task: jaygw.StepTask{Workflow: "w"}, Number: 1}
	grant := jaygw.RunGrant{Run: run, VM: "a", Session: replicas["present"].Session("a").Number}
	placed := map[string]bool{}
	for build, r := range replicas {
		result := r.StartRuns(jaygw.StartRuns{Grants: []jaygw.RunGrant{grant}}, 1).Results[0]
		t.Logf("%s build: session %d, refusal %q", build, r.Session("a").Number, result.Detail)
		placed[build] = r.FindPlacement("a", run) != nil
	}
	require.Equal(t, placed["present"], placed["earlier"])
}
