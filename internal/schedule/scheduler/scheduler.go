// Package scheduler decides which tasks start, move and stop. It runs at the
// leader of a control group.
package scheduler

import (
	"cmp"
	"slices"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
)

type (
	// Scheduler decides from the applied state and the time. It is not safe for
	// concurrent use.
	Scheduler struct {
		healthy func(vm string) bool
	}

	// Option changes a new Scheduler.
	Option func(*Scheduler)
)

const (
	// maxGrants bounds the grants of one decision.
	maxGrants = 256
)

// WithHealth sets the function that tells whether a VM may get new tasks.
func WithHealth(healthy func(vm string) bool) Option {
	return func(s *Scheduler) { s.healthy = healthy }
}

// New returns a scheduler.
func New(options ...Option) *Scheduler {
	s := &Scheduler{healthy: func(string) bool { return true }}
	for _, option := range options {
		option(s)
	}
	return s
}

// Decide returns the commands that the state calls for.
func (s *Scheduler) Decide(machine *applier.Machine, now jaygw.Time) []jaygw.Command {
	var commands []jaygw.Command
	if evictions := s.evictions(machine); len(evictions) > 0 {
		commands = append(commands, jaygw.Command{Evict: &jaygw.EvictTasks{Evictions: evictions}})
	}
	if grants := s.grants(machine, now); len(grants) > 0 {
		commands = append(commands, jaygw.Command{Grant: &jaygw.GrantTasks{Grants: grants}})
	}
	return commands
}

// evictions stops the attempts on VMs that are leaving or in a domain that is
// out.
func (s *Scheduler) evictions(machine *applier.Machine) []jaygw.Eviction {
	state := machine.State()
	var evictions []jaygw.Eviction
	for name, vm := range state.VMs {
		domain := state.Domains[vm.Domain]
		if !vm.Leaving && !domain.Out {
			continue
		}
		for _, id := range machine.TasksOn(name) {
			task := state.Tasks[id]
			if task.State == jaygw.Granted || task.State == jaygw.Running {
				evictions = append(evictions, jaygw.Eviction{Attempt: task.Attempt(), Reason: "failure domain " + vm.Domain + " is out"})
			}
		}
	}
	return evictions
}

func (s *Scheduler) grants(machine *applier.Machine, now jaygw.Time) []jaygw.Grant {
	state := machine.State()
	var waiting []*jaygw.Task
	for _, task := range state.Tasks {
		if task.State == jaygw.Waiting && task.NotBefore <= now {
			waiting = append(waiting, task)
		}
	}
	slices.SortFunc(waiting, func(a, b *jaygw.Task) int {
		return cmp.Or(cmp.Compare(a.Class.Priority(), b.Class.Priority()),
			cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	plan := newPlan(state, s.healthy)
	var grants []jaygw.Grant
	for _, task := range waiting {
		if len(grants) == maxGrants {
			break
		}
		vm := plan.place(task)
		if vm == nil {
			continue
		}
		grants = append(grants, jaygw.Grant{
			Task: task.ID, After: task.Epoch, VM: vm.Name, Incarnation: vm.Incarnation, Reserve: task.Declared,
		})
	}
	return grants
}
