package orchestrator

import (
	"context"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/stretchr/testify/require"
)

// interruptedReplica applies the proposed commands. It calls a function before each of them.
type interruptedReplica struct {
	jaygw.Control
	machine *applier.Machine
	index   jaygw.Index
	before  func(jaygw.Command)
}

func (r *interruptedReplica) Read(fn func(*applier.Machine)) { fn(r.machine) }

func (r *interruptedReplica) Propose(_ context.Context, command jaygw.Command) (jaygw.Result, error) {
	r.before(command)
	r.index++
	return r.machine.Apply(r.index, command), nil
}

func (r *interruptedReplica) Confirm(context.Context) (jaygw.Index, error) { return r.index, nil }

// TestEndCommittedLateFreesRunOfNextSession guards against a run that is freed and granted elsewhere while its worker
// runs it: an end of one agent process is committed after the session of the next one, which has started the run.
func TestEndCommittedLateFreesRunOfNextSession(t *testing.T) {
	run := jaygw.Run{Task: jaygw.StepTask{Workflow: "w"}, Number: 1}
	poll := func(process, sequence uint64) jaygw.PollRequest {
		return jaygw.PollRequest{VM: "a", Process: process, Sequence: sequence, Worker: &jaygw.PoolWorker{
			Incarnation: jaygw.WorkerIncarnation{Name: "a", StartTime: 10}, Service: "s", Domain: "d",
			Size: jaygw.Resources{CPU: 8 * jaygw.Core, Memory: 8 * jaygw.GB},
		}}
	}
	ends := poll(1, 2)
	ends.Runs = []jaygw.ReportedRun{{Run: run}}
	ends.Ended = []jaygw.EndedRun{{Run: run, Outcome: jaygw.RunNotStarted}}
	for name, checkedDuringSession := range map[string]bool{
		"checked before the session is opened": false, "checked while the session is opened": true,
	} {
		t.Run(name, func(t *testing.T) {
			replica := &interruptedReplica{machine: applier.New("g"), before: func(jaygw.Command) {}}
			propose := func(command jaygw.Command) {
				result, err := replica.Propose(t.Context(), command)
				require.NoError(t, err)
				require.NoError(t, result.Err())
			}
			o := New()
			o.SetReplica(replica)
			o.SetLeadership(1, true, time.Now())
			propose(jaygw.Command{Catalog: &jaygw.PutCatalog{Catalog: jaygw.Catalog{
				Number: 1, Services: []jaygw.PoolSpec{{Name: "s"}},
				Queues: []jaygw.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 2, Timeout: time.Second}},
			}}})
			propose(jaygw.Command{SubmitWorkflow: &jaygw.SubmitWorkflow{Spec: jaygw.WorkflowSpec{ID: "w", Steps: []jaygw.Step{step(1)}}, Host: "h", Path: "/q/w"}})
			opened, err := o.Poll(t.Context(), poll(1, 1))
			require.NoError(t, err)
			propose(jaygw.Command{StartRuns: &jaygw.StartRuns{Grants: []jaygw.RunGrant{{Run: run, VM: "a", Session: opened.Session}}}})

			checked, finished, next := make(chan struct{}), make(chan struct{}), make(chan struct{})
			var ended jaygw.PollResponse
			var endErr error
			reportEnd := func() {
				ended, endErr = o.Poll(t.Context(), ends)
				close(finished)
			}
			replica.before = func(command jaygw.Command) {
				switch {
				case command.EndRuns != nil:
					close(checked)
					<-next
				case command.OpenSession != nil && checkedDuringSession:
					go reportEnd()
					select {
					case <-checked:
					case <-finished:
					}
				}
			}
			if !checkedDuringSession {
				go reportEnd()
				<-checked
			}
			response, err := o.Poll(t.Context(), poll(2, 1))
			close(next)
			<-finished
			placed := replica.machine.Registrar().FindPlacement("a", run) != nil
			if err == nil {
				require.Len(t, response.Starts, 1)
				require.True(t, placed, "the worker runs it")
				require.ErrorIs(t, endErr, jaygw.ErrNotConfirmed)
				require.Empty(t, ended.Recorded, "an end without effect is not confirmed")
			} else {
				require.ErrorIs(t, err, jaygw.ErrNotConfirmed)
				require.NoError(t, endErr)
				require.Equal(t, []jaygw.Run{run}, ended.Recorded)
				require.False(t, placed)
			}

			// The next process is served afterwards, and its own ends count.
			replica.before = func(jaygw.Command) {}
			response, err = o.Poll(t.Context(), poll(2, 2))
			require.NoError(t, err)
			require.Equal(t, placed, len(response.Starts) == 1)
			end := poll(2, 3)
			end.Ended = ends.Ended
			response, err = o.Poll(t.Context(), end)
			require.NoError(t, err)
			require.Equal(t, []jaygw.Run{run}, response.Recorded)
			require.Nil(t, replica.machine.Registrar().FindPlacement("a", run))
		})
	}
}
