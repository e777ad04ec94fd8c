package main

import (
	"context"
	"fmt"
	"time"
)

const (
	feedJob   = "00000000000000c1"
	feeds     = 3 // lasting tasks that fill
	workers   = 8
	batchJobs = 40 // of one task each

	// lastingTime is the time after the end of its last run by which a lasting task must run, and calmTime the time without
	// impairment before it.
	lastingTime = 6 * time.Second
	calmTime    = 7 * time.Second
)

// playFills runs a job of lasting tasks that fill, and then a burst of large batch work that leaves little of each worker's
// processor. One worker of the former is then lost for good. Such a task takes no part of a worker's capacity but its
// memory, so it must run elsewhere, however full the service is. TROUBLE=0 leaves out the loss.
func playFills(ctx context.Context, e *estate, trouble string) ([]string, error) {
	operators, entries, err := e.startControl()
	if err != nil {
		return nil, err
	}
	for i := range workers {
		if err := e.addWorker(fmt.Sprintf("worker-%d", 1+i), e.zones[i%3], fmt.Sprintf("r1-%d", 1+i/3), capacity{16000, 62500}); err != nil {
			return nil, err
		}
	}
	if err := e.caller.putConfig(ctx, operators); err != nil {
		return nil, err
	}
	feed := jobSpec{Specification: "plate feed", Steps: []stepSpec{
		{Count: feeds, CPU: 6000, Memory: 1024, EstimatedMs: 400, LongRunning: true, Fills: true, Image: "feed"},
	}}
	e.jobs.add(feedJob, feed)
	if err := e.caller.submit(ctx, feedJob, feed, entries, 20*time.Second); err != nil {
		return nil, err
	}
	if err := await(ctx, "all lasting tasks run", 20*time.Second, func() bool { return len(e.missing()) == 0 }); err != nil {
		return nil, err
	}
	e.rec.line("-- a burst of batch work takes 15 of 16 cores of each worker")
	batch := jobSpec{Specification: "imposition", Steps: []stepSpec{{Count: 1, CPU: 3000, Memory: 2048, EstimatedMs: 70_000, Image: "press"}}}
	for i := range batchJobs {
		id := fmt.Sprintf("00000000000000%02d", i)
		e.jobs.add(id, batch)
		if err := e.caller.submit(ctx, id, batch, entries, 5*time.Second); err != nil {
			return nil, err
		}
	}
	if err := pause(ctx, 8*time.Second); err != nil {
		return nil, err
	}
	if missing := e.missing(); len(missing) > 0 {
		return nil, fmt.Errorf("%v do not run before the disruption", missing)
	}
	if trouble != "0" {
		for _, w := range e.workers {
			if w.isRunning(taskName(feedJob, 0, 0)) {
				e.rec.line("-- %s is lost for good", w.id)
				w.lose()
				break
			}
		}
	}
	if err := pause(ctx, 30*time.Second); err != nil {
		return nil, err
	}
	var broken []string
	for _, task := range e.missing() {
		for _, w := range e.workers {
			if !w.down {
				e.rec.line("%s: %d runs, %d MB free", w.id, w.countRuns(), w.freeMemory())
			}
		}
		if idle := e.jobs.sinceLastEnd(task); idle > lastingTime+calmTime {
			broken = append(broken, fmt.Sprintf("LOST: the lasting task %s has not run for %s, although it takes only memory, of which there is plenty", task, idle))
		}
	}
	state, err := e.caller.state(ctx, feedJob, entries)
	e.rec.line("state of the lasting job: %s %v", state, err)
	return broken, nil
}

// missing returns the lasting tasks that do not run.
func (e *estate) missing() []string {
	var missing []string
	for i := range feeds {
		task, found := taskName(feedJob, 0, i), false
		for _, w := range e.workers {
			found = found || w.isRunning(task)
		}
		if !found {
			missing = append(missing, task)
		}
	}
	return missing
}
