package guide

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

// startsAfterOut is how long tasks may still start in a domain that is out.
const startsAfterOut = 3 * time.Second

// placedRun is a run with the VM that it ran on.
type placedRun struct {
	emulator.Run
	worker launcher.LocalWorker
}

// examine checks the promises by what the workers recorded.
func (g *Guide) examine(ctx context.Context, report *Report, gone outage, requests *requester) error {
	var runs []placedRun
	for _, worker := range g.estate.Workers {
		for _, run := range worker.Worker.History() {
			runs = append(runs, placedRun{run, worker})
		}
	}
	slices.SortFunc(runs, func(a, b placedRun) int { return a.Start.Compare(b.Start) })
	report.Promises = []Promise{
		onePlace(runs),
		completedOnce(runs, g.plan.Job.Tasks),
		noLateStarts(runs, gone),
		ownResponses(requests, report.Requests),
		g.withinSize(ctx),
	}
	for _, run := range runs {
		if run.Complete && run.End.After(gone.from) && run.End.Before(gone.to) {
			report.Away++
		}
		if !run.Complete && !run.End.IsZero() {
			report.Evictions++
		}
	}
	return ctx.Err()
}

func onePlace(runs []placedRun) Promise {
	p := Promise{Name: "no task runs in two places at once"}
	last := map[jaygw.TaskID]placedRun{}
	for _, run := range runs {
		p.Checked++
		before, ok := last[run.Attempt.Task]
		if ok && (before.End.IsZero() || before.End.After(run.Start)) {
			p.Broken = append(p.Broken, fmt.Sprintf("task %s started on %s while it ran on %s",
				run.Attempt.Task, run.worker.VM, before.worker.VM))
		}
		last[run.Attempt.Task] = run
	}
	return p
}

func completedOnce(runs []placedRun, tasks int) Promise {
	p := Promise{Name: "each batch task finishes exactly once", Checked: tasks}
	completed := map[jaygw.TaskID]int{}
	for _, run := range runs {
		if run.Complete {
			completed[run.Attempt.Task]++
		}
	}
	for id, times := range completed {
		if times != 1 {
			p.Broken = append(p.Broken, fmt.Sprintf("task %s finished %d times", id, times))
		}
	}
	if len(completed) != tasks {
		p.Broken = append(p.Broken, fmt.Sprintf("%d of %d tasks finished", len(completed), tasks))
	}
	return p
}

func noLateStarts(runs []placedRun, gone outage) Promise {
	p := Promise{Name: "no task starts in a failure domain that is out"}
	for _, run := range runs {
		if run.worker.Domain != gone.domain {
			continue
		}
		p.Checked++
		if run.Start.After(gone.from.Add(startsAfterOut)) && run.Start.Before(gone.to) {
			p.Broken = append(p.Broken, fmt.Sprintf("task %s started on %s %s after the domain was taken out",
				run.Attempt.Task, run.worker.VM, run.Start.Sub(gone.from)))
		}
	}
	return p
}

func ownResponses(requests *requester, counts RequestReport) Promise {
	return Promise{Name: "every caller gets the response to its own request", Checked: counts.Answered, Broken: requests.crossed}
}

// withinSize checks what the control state has committed on each VM.
func (g *Guide) withinSize(ctx context.Context) Promise {
	p := Promise{Name: "no VM is committed beyond its size"}
	status, err := g.client.Status(ctx)
	if err != nil {
		p.Broken = append(p.Broken, "the status could not be read: "+err.Error())
		return p
	}
	for _, vm := range status.VMs {
		p.Checked++
		if !vm.Committed.Fits(vm.Size) {
			p.Broken = append(p.Broken, fmt.Sprintf("VM %s has %v committed of %v", vm.Name, vm.Committed, vm.Size))
		}
	}
	return p
}

// Broken returns the number of broken promises.
func (r Report) Broken() int {
	broken := 0
	for _, p := range r.Promises {
		broken += len(p.Broken)
	}
	return broken
}

func (r Report) write(out io.Writer, plan Plan) {
	q := r.Requests
	fmt.Fprintf(out, "\ntail latency      p50 %.2f ms, p99 %.2f ms with %s of work at the upstream (%d sent, %d answered, %d refused, %d unknown)\n",
		milliseconds(q.P50), milliseconds(q.P99), plan.Work, q.Sent, q.Answered, q.Refused, q.Unknown)
	fmt.Fprintf(out, "batch throughput  %.1f tasks/s (%d of %d done in %.1f s)\n",
		float64(r.Job.Done)/r.JobTime.Seconds(), r.Job.Done, r.Job.Tasks, r.JobTime.Seconds())
	fmt.Fprintf(out, "evictions         %d\n", r.Evictions)
	fmt.Fprintf(out, "work while away   %d tasks in %s\n\n", r.Away, plan.Away)
	for _, p := range r.Promises {
		fmt.Fprintf(out, "%-55s %6d checked, %d broken\n", p.Name, p.Checked, len(p.Broken))
		for _, detail := range p.Broken {
			fmt.Fprintf(out, "  %s\n", detail)
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
