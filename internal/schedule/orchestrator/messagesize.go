package orchestrator

import (
	"slices"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

const (
	// maxStartBytes bounds the starts of one response, of which it carries at least one. A response of 4 MiB
	// (dialer.MaxMessageBytes) would never arrive.
	maxStartBytes = 1 << 20

	// maxTraitBytes and maxEffectBytes bound the other parts whose elements hold names of images, which have
	// the size of a submission at most.
	maxTraitBytes  = 256 << 10
	maxEffectBytes = 256 << 10

	// maxVMRuns is the number of runs from which a VM gets no more. It bounds the lists of runs in a poll and in
	// its response. A VM of 160 cores holds as many tasks of 0.02 cores.
	maxVMRuns = 8192

	// maxEndBytes bounds the ends in one command, which may have replicator.MaxEntryBytes. They hold checkpoints.
	maxEndBytes = 1 << 20

	// maxWithdrawals bounds the runs that one decision withdraws.
	maxWithdrawals = 4096

	// elementBytes is more than what an element of a list takes beside its texts.
	elementBytes = 160
)

func startBytes(s jaygw.StartOrder) int {
	return elementBytes + len(s.Run.Task.Workflow) + len(s.Payload) + len(s.Checkpoint) + len(s.Ticket) + len(s.Traits.Image)
}

func traitBytes(t jaygw.RunWithTraits) int {
	return elementBytes + len(t.Run.Task.Workflow) + len(t.Traits.Image)
}

func effectBytes(e jaygw.ImageEffect) int {
	return elementBytes + len(e.Pair.Spare) + len(e.Pair.Serving)
}

func endBytes(e jaygw.EndedRun) int {
	return elementBytes + len(e.Run.Task.Workflow) + len(e.Checkpoint) + len(e.Reason)
}

// fitting returns how many of the first elements have a limited size in total. One always counts.
func fitting[E any](elements []E, size func(E) int, limit int) int {
	total := 0
	for i, e := range elements {
		if total += size(e); total > limit && i > 0 {
			return i
		}
	}
	return len(elements)
}

// boundStarts sorts the starts and returns those for one response. If they are not all, members of gangs come
// first, as they wait for each other, and a gang that fits into one response is not divided.
func boundStarts(starts []jaygw.StartOrder, isGang func(jaygw.Run) bool) []jaygw.StartOrder {
	slices.SortFunc(starts, func(x, y jaygw.StartOrder) int { return registrar.CompareRuns(x.Run, y.Run) })
	if fitting(starts, startBytes, maxStartBytes) == len(starts) {
		return starts
	}
	var gangs, others []jaygw.StartOrder
	for _, s := range starts {
		if isGang(s.Run) {
			gangs = append(gangs, s)
		} else {
			others = append(others, s)
		}
	}
	starts = slices.Concat(gangs, others)
	count := fitting(starts, startBytes, maxStartBytes)
	if count >= len(gangs) {
		return starts[:count]
	}
	divided := stepKey(starts[count].Run.Task)
	whole := slices.IndexFunc(starts, func(s jaygw.StartOrder) bool { return stepKey(s.Run.Task) == divided })
	if whole > 0 {
		count = whole
	}
	return starts[:count]
}

// boundEnds divides the ends of a VM's runs into commands.
func boundEnds(vm string, ended []jaygw.EndedRun) []jaygw.Command {
	var commands []jaygw.Command
	for {
		count := fitting(ended, endBytes, maxEndBytes)
		commands = append(commands, jaygw.Command{EndRuns: &jaygw.EndRuns{VM: vm, Ended: ended[:count:count]}})
		if ended = ended[count:]; len(ended) == 0 {
			return commands
		}
	}
}
