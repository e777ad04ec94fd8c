package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/entry/relay"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// fakeGroup returns err for each request and records the wait limit of the last command.
type fakeGroup struct {
	err       error
	waitLimit time.Duration
}

func (g *fakeGroup) ProposeIdempotent(_ context.Context, _ jaygw.Command, waitLimit time.Duration) (jaygw.Result, error) {
	g.waitLimit = waitLimit
	return jaygw.Result{}, g.err
}

func (g *fakeGroup) Query(context.Context, jaygw.WorkflowQuery) (jaygw.WorkflowQueryResult, error) {
	return jaygw.WorkflowQueryResult{}, g.err
}

// TestReached guards against an entry that considers the control group lost because a caller
// has canceled, and against callers that wait long for a group that the entry cannot reach.
func TestReached(t *testing.T) {
	g := &fakeGroup{}
	service := relay.New(g, logrus.New(), metrics.NewRegistry())
	cancel := jaygw.CancelWorkflow{Path: "/q/x"}
	_, err := service.Cancel(t.Context(), cancel)
	require.NoError(t, err)
	require.True(t, service.ControlReached())
	_, err = service.Cancel(t.Context(), cancel)
	require.NoError(t, err)
	usualLimit := g.waitLimit

	canceled, cancelContext := context.WithCancel(t.Context())
	cancelContext()
	g.err = jaygw.ErrOutcomeUnknown
	_, err = service.Cancel(canceled, cancel)
	require.Error(t, err)
	require.True(t, service.ControlReached(), "a canceled request must not count as a lost group")

	_, err = service.Cancel(t.Context(), cancel)
	require.Error(t, err)
	require.False(t, service.ControlReached())
	_, err = service.Cancel(t.Context(), cancel)
	require.Error(t, err)
	require.Less(t, g.waitLimit, usualLimit)
}
