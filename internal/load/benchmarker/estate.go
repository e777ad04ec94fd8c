// Package benchmarker measures the processor time, the memory and the message sizes that each role
// needs at several estate sizes, and fits a line through the measurements.
package benchmarker

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
	// Size gives the numbers of VMs, tasks, teams and failure domains of an estate.
	Size struct {
		VMs      int // number of VMs
		Services int // number of service tasks
		Batch    int // number of batch tasks
		Teams    int // number of teams
		Domains  int // number of failure domains
	}

	// replica is a control replica without a disk or peers, so that only the cost of the state machine
	// and the scheduler is measured.
	replica struct {
		machine *applier.Machine
		index   jaygw.Index
		now     jaygw.Time
	}
)

const (
	environment        = "estate"
	tasksPerJob        = 500
	replicasPerService = 300

	vmCores          = 32
	vmGB             = 125
	startTime        = jaygw.Time(1_700_000_000_000_000_000)
	domainNameFormat = "domain-%02d"
)

// Target returns the estate size that the design must support.
func Target() Size {
	return Size{VMs: 2400, Services: 7200, Batch: 49000, Teams: 170, Domains: 16}
}

// Fraction returns the size with the numbers of VMs and tasks scaled by numerator/denominator. The numbers
// of teams and failure domains stay the same.
func (s Size) Fraction(numerator, denominator int) Size {
	s.VMs = s.VMs * numerator / denominator
	s.Services = s.Services * numerator / denominator
	s.Batch = s.Batch * numerator / denominator
	return s
}

// Tasks returns the number of service and batch tasks.
func (s Size) Tasks() int { return s.Services + s.Batch }

// Propose applies a command immediately, without replication.
func (r *replica) Propose(_ context.Context, command jaygw.Command) (jaygw.Result, error) {
	r.index++
	r.now++
	command.Time = r.now
	return r.machine.Apply(r.index, command), nil
}

// propose applies commands in turn and returns an error if one of them is refused as a whole.
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

// Confirm returns the index of the last applied command.
func (r *replica) Confirm(context.Context) (jaygw.Index, error) { return r.index, nil }

// Status returns a status that names only the control group.
func (r *replica) Status() jaygw.ReplicaStatus { return jaygw.ReplicaStatus{Group: jaygw.DefaultGroup} }

// Read calls read with the state machine.
func (r *replica) Read(read func(*applier.Machine)) { read(r.machine) }

// build returns a replica whose state holds an estate of the given size, with all tasks running.
func build(size Size, observers ...jaygw.Observer) (*replica, error) {
	r := &replica{machine: applier.New(jaygw.DefaultGroup), now: startTime}
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
	for i := 0; i*tasksPerJob < size.Batch; i++ {
		commands = append(commands, jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: jobOf(i, size)}})
	}
	if err := r.propose(commands...); err != nil {
		return nil, eris.Wrap(err, "build the estate")
	}
	return r, r.start(size)
}

// start grants every task and reports it as started, with the tasks spread evenly over the VMs.
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
		if _, err := r.Propose(context.Background(), startedReport(vm, id, granted.Results[0].Epoch)); err != nil {
			return err
		}
	}
	return nil
}

// startedReport returns the command that reports the start of an attempt.
func startedReport(vm string, id jaygw.TaskID, epoch jaygw.Epoch) jaygw.Command {
	return jaygw.Command{Report: &jaygw.ReportTasks{VM: vm, Incarnation: 1, Reports: []jaygw.Report{{
		Attempt: jaygw.Attempt{Task: id, Epoch: epoch}, Kind: jaygw.Started,
	}}}}
}

func documentOf(size Size) jaygw.Document {
	document := jaygw.Document{Environment: environment, Number: 1}
	for i := range size.Domains {
		document.Domains = append(document.Domains, jaygw.DomainSpec{Name: fmt.Sprintf(domainNameFormat, i), Region: fmt.Sprintf("region-%d", i%5)})
	}
	for i := range size.Teams {
		document.Teams = append(document.Teams, jaygw.TeamSpec{Name: teamName(i, size), Quota: jaygw.Resources{
			CPU: 1_000_000 * jaygw.Core, Memory: 1_000_000 * jaygw.GB,
		}})
	}
	for i := 0; i*replicasPerService < size.Services; i++ {
		document.Services = append(document.Services, jaygw.ServiceSpec{
			Name: fmt.Sprintf("service-%03d", i), Team: teamName(i, size), Class: jaygw.LatencyCritical,
			Replicas: min(replicasPerService, size.Services-i*replicasPerService), Timeout: jaygw.Duration(1e9),
			Resources: jaygw.Resources{CPU: 2 * jaygw.Core, Memory: 4 * jaygw.GB},
		})
	}
	return document
}

func jobOf(number int, size Size) jaygw.JobSpec {
	return jaygw.JobSpec{
		Name: fmt.Sprintf("job-%05d", number), Environment: environment, Team: teamName(number, size),
		Tasks: min(tasksPerJob, size.Batch-number*tasksPerJob), RunTime: jaygw.Duration(600e9),
		Resources: jaygw.Resources{CPU: jaygw.Core, Memory: 2 * jaygw.GB},
	}
}

func vmOf(number int, size Size) jaygw.VM {
	domain := number % size.Domains
	return jaygw.VM{
		Name: vmName(number), Group: jaygw.DefaultGroup, Region: fmt.Sprintf("region-%d", domain%5),
		Domain: fmt.Sprintf(domainNameFormat, domain), Rack: fmt.Sprintf("rack-%04d", number/3),
		Size: jaygw.Resources{CPU: vmCores * jaygw.Core, Memory: vmGB * jaygw.GB}, Slots: 8,
		Address: fmt.Sprintf("10.0.%d.%d:7420", number/250, number%250), Incarnation: 1,
	}
}

func vmName(number int) string { return fmt.Sprintf("vm-%05d", number) }

func teamName(number int, size Size) string { return fmt.Sprintf("team-%03d", number%size.Teams) }
