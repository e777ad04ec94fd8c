package converter

import (
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

func toAttempt(task string, epoch uint64) jaygw.Attempt {
	return jaygw.Attempt{Task: jaygw.TaskID(task), Epoch: jaygw.Epoch(epoch)}
}

func sizeMessage(r jaygw.Resources) *messenger.Size {
	return &messenger.Size{CpuMillicores: int64(r.CPU), MemoryBytes: int64(r.Memory), Accelerators: r.Accelerators}
}

func toSize(m *messenger.Size) jaygw.Resources {
	return jaygw.Resources{
		CPU:          jaygw.MilliCores(m.GetCpuMillicores()),
		Memory:       jaygw.Bytes(m.GetMemoryBytes()),
		Accelerators: m.GetAccelerators(),
	}
}

func vmMessage(vm jaygw.VM) *messenger.Vm {
	return &messenger.Vm{
		Name: vm.Name, Region: vm.Region, Domain: vm.Domain, Rack: vm.Rack,
		Size: sizeMessage(vm.Size), Slots: int32(vm.Slots), Address: vm.Address,
		Services: vm.Services, Leaving: vm.Leaving,
	}
}

func toVM(m *messenger.Vm) jaygw.VM {
	return jaygw.VM{
		Name: m.Name, Region: m.Region, Domain: m.Domain, Rack: m.Rack,
		Size: toSize(m.Size), Slots: int(m.Slots), Address: m.Address,
		Services: m.Services, Leaving: m.Leaving,
	}
}

func checkpointMessage(c jaygw.Checkpoint) *messenger.Checkpoint {
	return &messenger.Checkpoint{Epoch: uint64(c.Epoch), ProgressNanos: int64(c.Progress), Token: c.Token}
}

func toCheckpoint(m *messenger.Checkpoint) jaygw.Checkpoint {
	return jaygw.Checkpoint{
		Epoch:    jaygw.Epoch(m.GetEpoch()),
		Progress: jaygw.Duration(m.GetProgressNanos()),
		Token:    m.GetToken(),
	}
}

func reportMessage(r jaygw.SequencedReport) *messenger.Report {
	return &messenger.Report{
		Task: string(r.Report.Attempt.Task), Epoch: uint64(r.Report.Attempt.Epoch),
		Kind: string(r.Report.Kind), Checkpoint: checkpointMessage(r.Report.Checkpoint),
		Reason: r.Report.Reason, Sequence: r.Sequence,
	}
}

func toReport(m *messenger.Report) jaygw.SequencedReport {
	return jaygw.SequencedReport{
		Sequence: m.Sequence,
		Report: jaygw.Report{
			Attempt:    toAttempt(m.Task, m.Epoch),
			Kind:       jaygw.ReportKind(m.Kind),
			Checkpoint: toCheckpoint(m.Checkpoint),
			Reason:     m.Reason,
		},
	}
}

func usageMessage(u jaygw.Usage) *messenger.Usage {
	return &messenger.Usage{
		Task: string(u.Attempt.Task), Epoch: uint64(u.Attempt.Epoch), Used: sizeMessage(u.Used),
		LagNanos: int64(u.Lag), LatencyNanos: int64(u.Latency), Requests: u.Requests,
	}
}

func toUsage(m *messenger.Usage) jaygw.Usage {
	return jaygw.Usage{
		Attempt: toAttempt(m.Task, m.Epoch), Used: toSize(m.Used),
		Lag: time.Duration(m.LagNanos), Latency: time.Duration(m.LatencyNanos), Requests: m.Requests,
	}
}

func permitMessage(p jaygw.Permit) *messenger.Permit {
	return &messenger.Permit{
		Task: string(p.Attempt.Task), Epoch: uint64(p.Attempt.Epoch), Kind: string(p.Kind),
		Class: string(p.Class), Service: p.Service, Size: sizeMessage(p.Size),
		RunTimeNanos: int64(p.RunTime), Payload: p.Payload,
		Checkpoint: checkpointMessage(p.Checkpoint), ValidNanos: int64(p.ValidFor),
	}
}

func toPermit(m *messenger.Permit) jaygw.Permit {
	return jaygw.Permit{
		Attempt: toAttempt(m.Task, m.Epoch), Kind: jaygw.TaskKind(m.Kind),
		Class: jaygw.Class(m.Class), Service: m.Service, Size: toSize(m.Size),
		RunTime: jaygw.Duration(m.RunTimeNanos), Payload: m.Payload,
		Checkpoint: toCheckpoint(m.Checkpoint), ValidFor: time.Duration(m.ValidNanos),
	}
}
