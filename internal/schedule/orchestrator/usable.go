package orchestrator

import (
	"slices"
	"time"

	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/allocator"
)

// silenceLimit is the time after a response within which its agent has to poll again before the VM gets new
// runs. An agent polls as soon as it has a response, so that the next poll arrives after one round trip.
// With maxPollAge alone, a VM that is cut off gets runs for 2.5 s that wait for the end of its lease.
const silenceLimit = 500 * time.Millisecond

// usableVMs returns the VMs that may take runs, sorted by name.
func (t *vmTable) usableVMs(state *registrar.Registrar, out map[string]bool, now time.Time) []allocator.VM {
	var vms []allocator.VM
	for name, vm := range t.vms {
		session := state.Session(name)
		if vm.worker == nil || vm.expiring || session == nil || session.Number != vm.session ||
			vm.worker.Draining || out[vm.worker.Domain] || vm.unhealthy != "" || vm.unplaced || now.Sub(vm.lastPoll) > maxPollAge ||
			now.Sub(vm.lastResponse) > maxResponseAge || vm.delivery.isLost(now) || t.isSilent(name, now) ||
			t.speeds.Speed(name, now) < slowSpeed {
			continue
		}
		candidate := allocator.VM{Name: name, Session: vm.session, Worker: vm.worker, ExtraSpareShare: vm.headroom, NoCopies: now.Sub(vm.lastPoll) > maxCopyPollAge}
		state.ForEachPlacement(name, func(p *registrar.Placement) {
			if run, ok := state.PlacedRun(p); ok {
				report := vm.reported[p.Run]
				run.TailLatency, run.UsedCPU = report.TailLatency, report.UsedCPU
				candidate.Runs = append(candidate.Runs, run)
			}
		})
		if len(candidate.Runs) < maxVMRuns {
			vms = append(vms, candidate)
		}
	}
	slices.SortFunc(vms, func(a, b allocator.VM) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return vms
}

// isSilent reports whether the agent of a VM has no poll open and has not polled again since the latest response, for
// longer than silenceLimit. Beside a poll that is held, the agent sends reports, which are answered at once.
func (t *vmTable) isSilent(name string, now time.Time) bool {
	vm := t.vms[name]
	return t.openPolls[name] == 0 && vm.lastResponse.After(vm.lastPoll) && now.Sub(vm.lastResponse) > silenceLimit
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
