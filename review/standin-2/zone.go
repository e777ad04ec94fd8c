package main

import (
	"context"
	"fmt"
	"time"
)

// Times of the users' smallest deployments.
const (
	contactTime = 3 * time.Second
	catchUpTime = 4 * time.Second
	finishTime  = 14 * time.Second
)

// playZone adds a control VM to the first of three zones, stops and starts the one of the last zone as planned work, and later
// takes the power from the first zone. The deployment tolerates the loss of a zone, so accepted jobs must be answered for
// and go on. TROUBLE=0 leaves out the planned stop and the loss, TROUBLE=loss only the stop.
func playZone(ctx context.Context, e *estate, trouble string) ([]string, error) {
	operators, entries, err := e.startControl()
	if err != nil {
		return nil, err
	}
	for i := range 6 {
		zone := e.zones[i%3]
		if err := e.addWorker(fmt.Sprintf("worker-%s-%d", zone, 1+i/3), zone, fmt.Sprintf("r1-%d", 1+i/3), capacity{16000, 62500}); err != nil {
			return nil, err
		}
	}
	if err := e.caller.putConfig(ctx, operators); err != nil {
		return nil, err
	}
	if err := playJob(ctx, e, "00000000000000a0", entries); err != nil {
		return nil, err
	}

	spare := e.zones[0]
	e.rec.line("-- a control VM is added in %s", spare)
	if err := e.startFront(e.newVM("front-"+spare+"-2", spare, true), false); err != nil {
		return nil, err
	}
	if err := pause(ctx, catchUpTime+contactTime); err != nil {
		return nil, err
	}
	if trouble != "0" && trouble != "loss" {
		last := "front-" + e.zones[2] + "-1"
		e.rec.line("-- %s is stopped and started as planned work", last)
		stopped := e.on(last)
		e.terminate(stopped...)
		for _, p := range stopped {
			if err := e.startAgain(p, false); err != nil {
				return nil, err
			}
		}
	}
	if err := pause(ctx, catchUpTime+2*contactTime); err != nil {
		return nil, err
	}

	e.rec.line("-- jobs")
	var jobs []string
	for i := range 6 {
		id := fmt.Sprintf("00000000000000b%d", i)
		spec := jobSpec{Specification: "imposition", Steps: []stepSpec{
			{Count: 8, CPU: 1800, Memory: 1024, EstimatedMs: 2200}, {Count: 8, CPU: 1800, Memory: 1024, EstimatedMs: 2200, After: []int{0}},
		}}
		e.jobs.add(id, spec)
		if err := e.caller.submit(ctx, id, spec, entries, 5*time.Second); err != nil {
			return nil, err
		}
		jobs = append(jobs, id)
	}
	if trouble != "0" {
		lost := e.zones[0]
		e.rec.line("-- %s loses power", lost)
		for _, w := range e.workers {
			if w.zone == lost {
				w.lose()
			}
		}
		e.kill(e.in(lost)...)
	}
	if err := pause(ctx, finishTime); err != nil {
		return nil, err
	}

	e.rec.line("-- finish_s after the end of the traffic: the jobs are asked for")
	var broken []string
	for _, id := range jobs {
		state, err := e.caller.state(ctx, id, entries[1:])
		switch idle := e.jobs.idleTime(id); {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case err != nil:
			broken = append(broken, fmt.Sprintf("LOST: accepted job %s gets no answer in time", id))
		case state != "completed" && idle > 3*time.Second:
			broken = append(broken, fmt.Sprintf("LOST: accepted job %s is %s and nothing of it has run for %s, with idle workers", id, state, idle))
		}
	}
	return broken, nil
}

// playJob submits a job and waits until it is completed, which shows that the deployment works.
func playJob(ctx context.Context, e *estate, id string, entries []string) error {
	spec := jobSpec{Specification: "preview", Steps: []stepSpec{{Count: 6, CPU: 240, Memory: 128, EstimatedMs: 400}}}
	e.jobs.add(id, spec)
	if err := e.caller.submit(ctx, id, spec, entries, 20*time.Second); err != nil {
		return err
	}
	return await(ctx, "job "+id+" is completed", 20*time.Second, func() bool {
		state, err := e.caller.state(ctx, id, entries)
		return err == nil && state == "completed"
	})
}
