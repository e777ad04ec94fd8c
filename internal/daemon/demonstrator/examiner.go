package demonstrator

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/daemon/launcher"
	"github.com/jaygw/jaygw/internal/platform/emulator"
)

// startTolerance is how long after a failure domain is taken out tasks may still start in
// it.
const startTolerance = 3 * time.Second

// placedRun is a run with the VM that it ran on.
type placedRun struct {
	emulator.AttemptRecord
	worker launcher.LocalWorker
}

// checkPromises checks the promises, which are the invariants that jaygw guarantees, and
// completes the report. Most of them are checked on the runs that the emulated workers
// recorded.
func (d *Demonstrator) checkPromises(ctx context.Context, report *Report, outage domainOutage, requests *requester) error {
	var runs []placedRun
	for _, worker := range d.estate.Workers {
		for _, run := range worker.Worker.History() {
			runs = append(runs, placedRun{run, worker})
		}
	}
	slices.SortFunc(runs, func(a, b placedRun) int { return a.Start.Compare(b.Start) })
	report.Promises = []Promise{
		checkOnePlace(runs),
		checkCompletedOnce(runs, d.plan.Job.Tasks),
		checkLateStarts(runs, outage),
		checkResponses(requests, report.Requests),
		d.checkCommitted(ctx),
	}
	for _, run := range runs {
		if run.Complete && run.End.After(outage.from) && run.End.Before(outage.to) {
			report.CompletedInOutage++
		}
		if !run.Complete && !run.End.IsZero() {
			report.Evictions++
		}
	}
	return ctx.Err()
}

// checkOnePlace checks that no run of a task starts before the previous one has ended.
func checkOnePlace(runs []placedRun) Promise {
	p := Promise{Name: "no task runs in two places at once"}
	last := map[jaygw.TaskID]placedRun{}
	for _, run := range runs {
		p.Checked++
		previous, ok := last[run.Attempt.Task]
		if ok && (previous.End.IsZero() || previous.End.After(run.Start)) {
			p.Violations = append(p.Violations, fmt.Sprintf("task %s started on %s while it ran on %s",
				run.Attempt.Task, run.worker.VM, previous.worker.VM))
		}
		last[run.Attempt.Task] = run
	}
	return p
}

// checkCompletedOnce checks that each task of the job has exactly one completed run.
func checkCompletedOnce(runs []placedRun, tasks int) Promise {
	p := Promise{Name: "each batch task finishes exactly once", Checked: tasks}
	completed := map[jaygw.TaskID]int{}
	for _, run := range runs {
		if run.Complete {
			completed[run.Attempt.Task]++
		}
	}
	for id, times := range completed {
		if times != 1 {
			p.Violations = append(p.Violations, fmt.Sprintf("task %s finished %d times", id, times))
		}
	}
	if len(completed) != tasks {
		p.Violations = append(p.Violations, fmt.Sprintf("%d of %d tasks finished", len(completed), tasks))
	}
	return p
}

// checkLateStarts checks that no run starts in the failure domain while it is out, except
// within startTolerance.
func checkLateStarts(runs []placedRun, outage domainOutage) Promise {
	p := Promise{Name: "no task starts in a failure domain that is out"}
	for _, run := range runs {
		if run.worker.Domain != outage.domain {
			continue
		}
		p.Checked++
		if run.Start.After(outage.from.Add(startTolerance)) && run.Start.Before(outage.to) {
			p.Violations = append(p.Violations, fmt.Sprintf("task %s started on %s %s after the domain was taken out",
				run.Attempt.Task, run.worker.VM, run.Start.Sub(outage.from)))
		}
	}
	return p
}

// checkResponses checks that each response echoes the body of its request.
func checkResponses(requests *requester, counts RequestReport) Promise {
	return Promise{Name: "every caller gets the response to its own request", Checked: counts.Answered, Violations: requests.mismatches}
}

// checkCommitted checks that the resources committed on each VM, as the status reports them,
// fit its size.
func (d *Demonstrator) checkCommitted(ctx context.Context) Promise {
	p := Promise{Name: "no VM is committed beyond its size"}
	status, err := d.client.Status(ctx)
	if err != nil {
		p.Violations = append(p.Violations, "the status could not be read: "+err.Error())
		return p
	}
	for _, vm := range status.VMs {
		p.Checked++
		if !vm.Committed.Fits(vm.Size) {
			p.Violations = append(p.Violations, fmt.Sprintf("VM %s has %v committed of %v", vm.Name, vm.Committed, vm.Size))
		}
	}
	return p
}

// Broken returns the number of violations of all promises.
func (r Report) Broken() int {
	violations := 0
	for _, p := range r.Promises {
		violations += len(p.Violations)
	}
	return violations
}

// write prints the report for a person.
func (r Report) write(out io.Writer, plan Plan) {
	q := r.Requests
	fmt.Fprintf(out, "\ntail latency      p50 %.2f ms, p99 %.2f ms with %s of work at the upstream (%d sent, %d answered, %d refused, %d unknown)\n",
		milliseconds(q.P50), milliseconds(q.P99), plan.ServiceTime, q.Sent, q.Answered, q.Refused, q.Unknown)
	fmt.Fprintf(out, "batch throughput  %.1f tasks/s (%d of %d done in %.1f s)\n",
		float64(r.Job.Done)/r.JobTime.Seconds(), r.Job.Done, r.Job.Tasks, r.JobTime.Seconds())
	fmt.Fprintf(out, "evictions         %d\n", r.Evictions)
	fmt.Fprintf(out, "work while away   %d tasks in %s\n\n", r.CompletedInOutage, plan.OutageLength)
	for _, p := range r.Promises {
		fmt.Fprintf(out, "%-55s %6d checked, %d broken\n", p.Name, p.Checked, len(p.Violations))
		for _, detail := range p.Violations {
			fmt.Fprintf(out, "  %s\n", detail)
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
