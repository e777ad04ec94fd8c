package applier

import (
	"strings"

	"github.com/jaygw/jaygw"
	"github.com/rotisserie/eris"
)

// validate checks the invariants that Apply relies on, so that a damaged snapshot is an
// error on restore and not a panic or an overcommitted VM later.
func (s *State) validate() error {
	if s.Environments == nil || s.Domains == nil || s.VMs == nil || s.Teams == nil ||
		s.Jobs == nil || s.Tasks == nil || s.Keys == nil || s.Clients == nil {
		return eris.New("a table is missing")
	}
	for _, check := range []func() error{s.validateDocuments, s.validateInventory, s.validateJobs, s.validateTasks, s.validateSums} {
		if err := check(); err != nil {
			return err
		}
	}
	for name, c := range s.Clients {
		if c == nil || c.Results == nil {
			return eris.Errorf("client %q has no results", name)
		}
	}
	for key, record := range s.Keys {
		if record == nil || record.Claim.Key != key {
			return eris.Errorf("key %q has no matching record", key)
		}
	}
	return nil
}

func (s *State) validateDocuments() error {
	for name, e := range s.Environments {
		if e == nil || e.Name != name || e.Trials == nil {
			return eris.Errorf("environment %q has no matching entry", name)
		}
		for number, trial := range e.Trials {
			if trial == nil || trial.Document.Number != number || trial.Document.Environment != name {
				return eris.Errorf("environment %s has no matching document %d", name, number)
			}
			if e.InForce != nil && number <= e.InForce.Document.Number {
				return eris.Errorf("environment %s has document %d on trial, which is not newer than the one in force", name, number)
			}
		}
		if e.InForce != nil && e.InForce.Document.Environment != name {
			return eris.Errorf("the document in force of environment %s belongs to another environment", name)
		}
	}
	return nil
}

func (s *State) validateInventory() error {
	for name, domain := range s.Domains {
		if domain == nil || domain.Name != name {
			return eris.Errorf("failure domain %q has no matching entry", name)
		}
	}
	for name, vm := range s.VMs {
		if vm == nil || vm.Name != name || s.Domains[vm.Domain] == nil {
			return eris.Errorf("VM %q has no matching entry or an unknown failure domain", name)
		}
		if !validSize(vm.Size) || !vm.Committed.Fits(vm.Size) {
			return eris.Errorf("VM %s has an invalid size or is overcommitted", name)
		}
	}
	for key, team := range s.Teams {
		if _, name, ok := strings.Cut(key, "/"); team == nil || !ok || team.Name != name {
			return eris.Errorf("team %q has no matching entry", key)
		}
	}
	return nil
}

func (s *State) validateJobs() error {
	taskCounts := map[string]int{}
	for _, task := range s.Tasks {
		if task != nil && task.Kind == jaygw.BatchTask {
			taskCounts[ownerKey(task.Environment, task.Owner)]++
		}
	}
	for key, job := range s.Jobs {
		if job == nil || ownerKey(job.Spec.Environment, job.Spec.Name) != key {
			return eris.Errorf("job %q has no matching entry", key)
		}
		expected := 0
		if job.State == jaygw.JobActive {
			expected = job.Spec.Tasks
		}
		if taskCounts[key] != expected {
			return eris.Errorf("job %s has %d tasks instead of %d", key, taskCounts[key], expected)
		}
	}
	return nil
}

func (s *State) validateTasks() error {
	for id, task := range s.Tasks {
		if task == nil || task.ID != id {
			return eris.Errorf("task %q has no matching entry", id)
		}
		owner := ownerKey(task.Environment, task.Owner)
		job := s.Jobs[owner]
		switch {
		case task.Kind == jaygw.BatchTask && job == nil, task.Kind == jaygw.ServiceTask && job != nil:
			return eris.Errorf("task %s and its owner %s are of different kinds", id, owner)
		case task.Kind != jaygw.BatchTask && task.Kind != jaygw.ServiceTask:
			return eris.Errorf("task %s is of the unknown kind %q", id, task.Kind)
		case task.Kind == jaygw.ServiceTask && task.State.Ended():
			return eris.Errorf("replica %s has ended but is still in the table", id)
		case !task.State.Ended() && !task.State.Holds() && task.State != jaygw.Waiting:
			return eris.Errorf("task %s is in the unknown state %q", id, task.State)
		case task.State.Holds() && (s.VMs[task.VM] == nil || s.Teams[ownerKey(task.Environment, task.Team)] == nil):
			return eris.Errorf("task %s holds resources of an unknown VM or team", id)
		case !validSize(task.Declared) || task.Reserved.Negative() || !task.Reserved.IsZero() && !validSize(task.Reserved):
			return eris.Errorf("task %s has an invalid size", id)
		}
	}
	return nil
}

func (s *State) validateSums() error {
	vms := map[string]jaygw.Resources{}
	teams := map[string]jaygw.Resources{}
	for _, task := range s.Tasks {
		if task.State.Holds() {
			key := ownerKey(task.Environment, task.Team)
			vms[task.VM] = vms[task.VM].Add(task.Reserved)
			teams[key] = teams[key].Add(task.Reserved)
		}
	}
	for name, vm := range s.VMs {
		if vm.Committed != vms[name] {
			return eris.Errorf("the committed resources of VM %s differ from the sum of its tasks", name)
		}
	}
	for key, team := range s.Teams {
		if team.Used != teams[key] {
			return eris.Errorf("the usage of team %s differs from the sum of its tasks", key)
		}
	}
	return nil
}
