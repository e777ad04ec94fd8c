package registrar_test

import (
	"math/rand/v2"
	"testing"

	"github.com/jaygw/jaygw"
)

// TestMalformedGrants guards against a panic on a command that names what does not exist.
func TestMalformedGrants(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		r := newLimitedState()
		steps := []jaygw.Step{{Tasks: 2, Gang: true}, {Tasks: 2, MaxPerVM: 1, After: []int{0}}, {Tasks: 1}}
		r.Submit(jaygw.SubmitWorkflow{Spec: jaygw.WorkflowSpec{ID: "w", Steps: steps}, Host: "h", Path: "/q/w"}, 1)
		var grants []jaygw.RunGrant
		for range random.IntN(5) {
			grants = append(grants, jaygw.RunGrant{
				Run: jaygw.Run{Number: uint64(random.IntN(3)), Task: jaygw.StepTask{
					Workflow: []string{"w", "", "x"}[random.IntN(3)], Occurrence: random.IntN(4) - 2, Step: random.IntN(6) - 2, Index: random.IntN(5) - 2,
				}},
				VM: []string{"plain", "other", "earlier-build", "none"}[random.IntN(4)], Session: uint64(5 + random.IntN(2)),
			})
		}
		r.StartRuns(jaygw.StartRuns{Grants: grants}, 1)
		var ends []jaygw.EndedRun
		for _, g := range grants {
			ends = append(ends, jaygw.EndedRun{Run: g.Run, Outcome: []jaygw.RunOutcome{jaygw.RunDone, jaygw.RunFailed}[random.IntN(2)]})
			r.StopRuns(jaygw.StopRuns{Stops: []jaygw.StoppedRun{{Run: g.Run, VM: g.VM}}})
		}
		r.EndRuns(jaygw.EndRuns{VM: "plain", Ended: ends}, 2)
		r.Restore(r.Snapshot())
	}
}
