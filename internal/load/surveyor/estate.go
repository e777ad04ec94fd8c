// Package surveyor measures what each role costs at several estate sizes, and
// fits a line through the figures.
package surveyor

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/rotisserie/eris"
)

type (
	// Size is the size of an estate.
	Size struct {
		VMs      int
		Services int // service tasks
		Batch    int // batch tasks
		Teams    int
		Domains  int
	}

	// replica is a control replica without a disk or peers: what it costs is the
	// work of the state machine and the scheduler alone.
	replica struct {
		machine *applier.Machine
		index   jaygw.Index
		now     jaygw.Time
	}
)

const (
	environment = "estate"
	jobTasks    = 500 // tasks of one job
	replicas    = 300 // tasks of one service

	vmCores    = 32
	vmGB       = 125
	firstTime  = jaygw.Time(1_700_000_000_000_000_000)
	domainName = "domain-%02d"
)

// Target is the size that the design has to carry.
func Target() Size {
	return Size{VMs: 2400, Services: 7200, Batch: 49000, Teams: 170, Domains: 16}
}

// Part returns a part of the size; teams and domains do not shrink with it.
func (s Size) Part(numerator, denominator int) Size {
	s.VMs = s.VMs * numerator / denominator
	s.Services = s.Services * numerator / denominator
	s.Batch = s.Batch * numerator / denominator
	return s
}

// Tasks returns the number of running tasks.
func (s Size) Tasks() int { return s.Services + s.Batch }

// Propose applies a command at once.
func (r *replica) Propose(_ context.Context, command jaygw.Command) (jaygw.Result, error) {
	r.index++
	r.now++
	command.Time = r.now
	return r.machine.Apply(r.index, command), nil
}

// propose applies commands in turn. A refusal of a whole command is an error.
func (r *replica) propose(commands ...jaygw.Command) error {
	for _, command := range commands {
		result, err := r.Propose(context.Background(), command)
		if err == nil {
			err = result.Err()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Confirm returns the applied index.
func (r *replica) Confirm(context.Context) (jaygw.Index, error) { return r.index, nil }

// Status describes the replica.
func (r *replica) Status() jaygw.ReplicaStatus { return jaygw.ReplicaStatus{Group: jaygw.DefaultGroup} }

// Read calls a function with the state machine.
func (r *replica) Read(read func(*applier.Machine)) { read(r.machine) }

// build returns a replica with an estate of this size, all tasks running.
func build(size Size, observers ...jaygw.Observer) (*replica, error) {
	r := &replica{machine: applier.New(jaygw.DefaultGroup), now: firstTime}
	for _, observer := range observers {
		r.machine.Observe(observer)
	}
	document := documentOf(size)
	commands := []jaygw.Command{
		{Submit: &jaygw.SubmitDocument{Document: document, Digest: "capacity"}},
		{Promote: &jaygw.PromoteDocument{Environment: environment, Digest: "capacity"}},
	}
	for i := range size.VMs {
		commands = append(commands, jaygw.Command{AnnounceVM: &jaygw.AnnounceVM{VM: vmOf(i, size)}})
	}
	for i := 0; i*jobTasks < size.Batch; i++ {
		commands = append(commands, jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: jobOf(i, size)}})
	}
	if err := r.propose(commands...); err != nil {
		return nil, eris.Wrap(err, "build the estate")
	}
	return r, r.start(size)
}

// start grants every task and reports it as started.
func (r *replica) start(size Size) error {
	for number, id := range slices.Sorted(maps.Keys(r.machine.State().Tasks)) {
		task := r.machine.State().Tasks[id]
		vm := vmName(number % size.VMs)
		granted, err := r.Propose(context.Background(), jaygw.Command{Grant: &jaygw.GrantTasks{Grants: []jaygw.Grant{{
			Task: id, After: task.Epoch, VM: vm, Incarnation: 1, Reserve: task.Declared,
		}}}})
		if err != nil {
			return err
		}
		if item := granted.Results[0]; item.Code != "" {
			return eris.Errorf("grant of task %s: %s", id, item.Detail)
		}
		if _, err := r.Propose(context.Background(), started(vm, id, granted.Results[0].Epoch)); err != nil {
			return err
		}
	}
	return nil
}

func started(vm string, id jaygw.TaskID, epoch jaygw.Epoch) jaygw.Command {
	return jaygw.Command{Report: &jaygw.ReportTasks{VM: vm, Incarnation: 1, Reports: []jaygw.Report{{
		Attempt: jaygw.Attempt{Task: id, Epoch: epoch}, Kind: jaygw.Started,
	}}}}
}

func documentOf(size Size) jaygw.Document {
	document := jaygw.Document{Environment: environment, Number: 1}
	for i := range size.Domains {
		document.Domains = append(document.Domains, jaygw.DomainSpec{Name: fmt.Sprintf(domainName, i), Region: fmt.Sprintf("region-%d", i%5)})
	}
	for i := range size.Teams {
		document.Teams = append(document.Teams, jaygw.TeamSpec{Name: teamName(i, size), Quota: jaygw.Resources{
			CPU: 1_000_000 * jaygw.Core, Memory: 1_000_000 * jaygw.GB,
		}})
	}
	for i := 0; i*replicas < size.Services; i++ {
		document.Services = append(document.Services, jaygw.ServiceSpec{
			Name: fmt.Sprintf("service-%03d", i), Team: teamName(i, size), Class: jaygw.LatencyCritical,
			Replicas: min(replicas, size.Services-i*replicas), Timeout: jaygw.Duration(1e9),
			Resources: jaygw.Resources{CPU: 2 * jaygw.Core, Memory: 4 * jaygw.GB},
		})
	}
	return document
}

func jobOf(number int, size Size) jaygw.JobSpec {
	return jaygw.JobSpec{
		Name: fmt.Sprintf("job-%05d", number), Environment: environment, Team: teamName(number, size),
		Tasks: min(jobTasks, size.Batch-number*jobTasks), RunTime: jaygw.Duration(600e9),
		Resources: jaygw.Resources{CPU: jaygw.Core, Memory: 2 * jaygw.GB},
	}
}

func vmOf(number int, size Size) jaygw.VM {
	domain := number % size.Domains
	return jaygw.VM{
		Name: vmName(number), Group: jaygw.DefaultGroup, Region: fmt.Sprintf("region-%d", domain%5),
		Domain: fmt.Sprintf(domainName, domain), Rack: fmt.Sprintf("rack-%04d", number/3),
		Size: jaygw.Resources{CPU: vmCores * jaygw.Core, Memory: vmGB * jaygw.GB}, Slots: 8,
		Address: fmt.Sprintf("10.0.%d.%d:7420", number/250, number%250), Incarnation: 1,
	}
}

func vmName(number int) string { return fmt.Sprintf("vm-%05d", number) }

func teamName(number int, size Size) string { return fmt.Sprintf("team-%03d", number%size.Teams) }
