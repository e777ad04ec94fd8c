package main

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	largeJob, laterJob = "00000000000000d1", "00000000000000d2"
	largeCount         = 1200
	specificationBytes = 4000
	freezeTime         = 2 * time.Second
	siteWorkers        = 11

	// onlyRack is a label that one worker has.
	onlyRack = "r1-1"
)

// playLarge submits a job of many small tasks that need a label, while the machine beside the only worker with it stands still for
// a moment. The job must run once the machine is back, and so must one that is submitted later. TROUBLE=0 leaves out the freeze.
func playLarge(ctx context.Context, e *estate, trouble string) ([]string, error) {
	operators, entries, err := e.startControl()
	if err != nil {
		return nil, err
	}
	for i := range siteWorkers {
		if err := e.addWorker(fmt.Sprintf("worker-%d", 1+i), e.zones[i%3], fmt.Sprintf("r1-%d", 1+i), capacity{32000, 125000}); err != nil {
			return nil, err
		}
	}
	if err := e.caller.putConfig(ctx, operators); err != nil {
		return nil, err
	}
	if err := playJob(ctx, e, "00000000000000a0", entries); err != nil {
		return nil, err
	}
	agent := e.workers[0].agent
	if trouble != "0" {
		e.rec.line("-- the machine beside worker-1 stands still")
		e.signal(agent, syscall.SIGSTOP)
	}
	large := jobSpec{
		Specification: strings.Repeat("s", specificationBytes),
		Steps:         []stepSpec{{Count: largeCount, CPU: 20, Memory: 40, EstimatedMs: 1000, Label: onlyRack}},
	}
	later := jobSpec{Specification: "short", Steps: []stepSpec{{Count: 4, CPU: 20, Memory: 40, EstimatedMs: 1000, Label: onlyRack}}}
	e.jobs.add(largeJob, large)
	if err := e.caller.submit(ctx, largeJob, large, entries, 5*time.Second); err != nil {
		return nil, err
	}
	if err := pause(ctx, freezeTime); err != nil {
		return nil, err
	}
	if trouble != "0" {
		e.signal(agent, syscall.SIGCONT)
		e.rec.line("-- it goes on")
	}
	if err := pause(ctx, 2*contactTime); err != nil {
		return nil, err
	}
	e.jobs.add(laterJob, later)
	if err := e.caller.submit(ctx, laterJob, later, entries, 5*time.Second); err != nil {
		return nil, err
	}
	if err := pause(ctx, finishTime); err != nil {
		return nil, err
	}
	e.rec.line("-- finish_s after the end of the traffic: the jobs are asked for")
	var broken []string
	for _, id := range []string{largeJob, laterJob} {
		state, err := e.caller.state(ctx, id, entries)
		switch idle := e.jobs.idleTime(id); {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case err != nil:
			broken = append(broken, fmt.Sprintf("LOST: accepted job %s gets no answer in time", id))
		case state != "completed" && idle > 3*time.Second:
			broken = append(broken, fmt.Sprintf("LOST: accepted job %s is %s and nothing of it has run for %s; its worker runs %d tasks", id, state, idle, e.workers[0].countRuns()))
		}
	}
	return broken, nil
}
