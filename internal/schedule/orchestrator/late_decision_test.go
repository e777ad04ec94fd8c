package orchestrator

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// lateDecision is a step for which two decisions are made from one state. The VM "a" runs a task of 1 core, and
// "b" is empty and polls only before the second decision.
type lateDecision struct {
	Name    string         `json:"name"`
	Earlier *jaygw.Step    `json:"earlier"` // step of an earlier workflow, if any
	Step    jaygw.Step     `json:"step"`
	Placed  map[string]int `json:"placed"` // runs of both workflows by VM, once both decisions are committed
}

// TestDecisionCommittedLateBreaksLimits guards against a VM beyond its size or the limit of a step, and a part of a
// gang, after a decision was committed whose outcome was unknown when the next one was made.
func TestDecisionCommittedLateBreaksLimits(t *testing.T) {
	data, err := os.ReadFile("testdata/late-decisions.json")
	require.NoError(t, err)
	var cases []lateDecision
	require.NoError(t, json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			h := newHarness(t, "a")
			h.submit("filler", step(1))
			h.decide()
			if c.Earlier != nil {
				h.submit("earlier", *c.Earlier)
			}
			h.submit("w", c.Step)
			first := h.table.decide(h.state, h.out, h.now, jaygw.TimeOf(h.now))
			h.now = h.now.Add(time.Second)
			h.poll("a")
			h.poll("b")
			second := h.table.decide(h.state, h.out, h.now, jaygw.TimeOf(h.now))
			for _, command := range append(first, second...) {
				h.apply(&command)
			}
			for _, vm := range []string{"a", "b"} {
				runs := 0
				for _, run := range h.placed(vm) {
					if run.Task.Workflow != "filler" {
						runs++
					}
				}
				require.Equal(t, c.Placed[vm], runs, "runs on %s", vm)
			}
		})
	}
}
