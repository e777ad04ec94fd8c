package relay_test

import (
	"strings"
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/entry/relay"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// TestInvalidSubmissionsStayAtTheEntry guards against submissions that no group accepts and that fill its log.
func TestInvalidSubmissionsStayAtTheEntry(t *testing.T) {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	g := &slowGroup{}
	service := relay.New(g, log, metrics.NewRegistry())
	for name, change := range map[string]func(*jaygw.WorkflowSpec){
		"no steps":       func(s *jaygw.WorkflowSpec) { s.Steps = nil },
		"too many tasks": func(s *jaygw.WorkflowSpec) { s.Steps[0].Tasks = jaygw.MaxWorkflowTasks + 1 },
		"many faults":    func(s *jaygw.WorkflowSpec) { s.Steps = make([]jaygw.Step, 1000) },
		"a long id":      func(s *jaygw.WorkflowSpec) { s.ID = strings.Repeat("a", jaygw.MaxWorkflowIDBytes+1) },
	} {
		submit := submission("w", 10)
		change(&submit.Spec)
		result, err := service.Submit(t.Context(), submit)
		require.NoError(t, err, name)
		require.NotNil(t, result.Refusal, name)
		require.Equal(t, jaygw.RefusedInvalid, result.Refusal.Code, name)
		require.Less(t, len(result.Refusal.Detail), 2000, name)
	}
	require.Zero(t, g.calls)
}
