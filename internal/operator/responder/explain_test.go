package responder

import (
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/stretchr/testify/require"
)

// Guards against an explanation that does not name the first reason why a task does not run. Each
// case changes the state so that another reason applies.
func TestExplainNamesTheReason(t *testing.T) {
	one := jaygw.Resources{CPU: 1, Memory: 1}
	four := jaygw.Resources{CPU: 4, Memory: 4}
	state := func() *applier.State {
		return &applier.State{
			Time:    10,
			Teams:   map[string]*jaygw.Team{"e/t": {Name: "t", Quota: four}},
			Domains: map[string]*jaygw.FailureDomain{"a": {Name: "a"}},
			VMs:     map[string]*jaygw.VM{"v": {Name: "v", Domain: "a", Size: four}},
		}
	}
	for want, change := range map[string]func(*applier.State, *jaygw.Task){
		"1 of 1 VMs have room":        func(*applier.State, *jaygw.Task) {},
		"retried in 10ns after 2":     func(_ *applier.State, task *jaygw.Task) { task.NotBefore, task.Failures = 20, 2 },
		"team t is not declared":      func(s *applier.State, _ *jaygw.Task) { s.Teams["e/t"].Removed = true },
		"larger than the quota":       func(_ *applier.State, task *jaygw.Task) { task.Declared.CPU = 5 },
		"team t has no quota left":    func(s *applier.State, _ *jaygw.Task) { s.Teams["e/t"].Used = four },
		"1 in failure domains closed": func(_ *applier.State, task *jaygw.Task) { task.Domains = []string{"b"} },
		"1 leaving or out":            func(s *applier.State, _ *jaygw.Task) { s.Domains["a"].Out = true },
		"1 too small":                 func(s *applier.State, _ *jaygw.Task) { s.VMs["v"].Size = jaygw.Resources{} },
		"1 without room now":          func(s *applier.State, _ *jaygw.Task) { s.VMs["v"].Committed = four },
		"granted to VM v":             func(_ *applier.State, task *jaygw.Task) { task.State, task.VM = jaygw.Granted, "v" },
		"stopping on VM v: domain leave": func(_ *applier.State, task *jaygw.Task) {
			task.State, task.VM, task.Reason = jaygw.Stopping, "v", "domain leave"
		},
	} {
		s, task := state(), &jaygw.Task{Environment: "e", Team: "t", State: jaygw.Waiting, Declared: one}
		change(s, task)
		require.Contains(t, explain(s, task), want)
	}
}
