package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

const (
	// upTime is how long the workers have been up when the job comes. An order's deadline is then beyond the longest lease on the
	// clock of a later boot.
	upTime = 20 * time.Second

	// A start is held up for lateness. Its worker crashes after crashDelay and is back after downTime. The machine beside it stands still for
	// freezeTime from the start on.
	lateness   = 2500 * time.Millisecond
	crashDelay = 500 * time.Millisecond
	downTime   = time.Second
	freezeTime = 8 * time.Second

	lateWork = 30 * time.Second
)

// playLateOrder holds up the first start of a task until its worker has started again under its id, while the agent beside it stands still,
// and checks whether the task has two runs at a time.
func playLateOrder(rec *record, trouble bool) ([]string, error) {
	e, err := newEstate(rec, size{controls: 3, workers: 11})
	if e != nil {
		defer e.end()
	}
	if err != nil {
		return nil, err
	}
	if !e.configure(mainRoute) {
		return nil, errNotReady
	}
	time.Sleep(upTime)
	type held struct {
		worker *worker
		order  order
	}
	starts := make(chan held, 1)
	if trouble {
		for _, w := range e.workers {
			w.setHoldUp(func(w *worker, o order) bool {
				select {
				case starts <- held{w, o}:
					return true
				default:
					return false // one order only
				}
			})
		}
	}
	j := &job{route: mainRoute, id: "00000000000000e1", body: fmt.Sprintf(
		`{"specification":"work %d","steps":[{"count":1,"cpu":240,"requested-memory-mb":480,"estimated-ms":%d}]}`, lateWork.Milliseconds(), lateWork.Milliseconds())}
	if !e.submit(j) {
		return nil, errNotReady
	}
	task := j.id + ".0.0.0"
	if trouble {
		var h held
		select {
		case h = <-starts:
		case <-time.After(finishTime):
			return nil, errNotReady
		}
		agent := e.agents[slices.Index(e.workers, h.worker)]
		_ = agent.Signal(syscall.SIGSTOP)
		rec.add("trouble", "run %d is held up on %s, whose agent stands still", h.order.Run, h.worker.id)
		time.AfterFunc(freezeTime, func() {
			_ = agent.Signal(syscall.SIGCONT)
			rec.add("trouble", "the agent of %s goes on", h.worker.id)
		})
		time.AfterFunc(lateness, func() {
			status, reason := h.worker.deliver(h.order)
			rec.add("trouble", "run %d is carried out late on %s: %d %s", h.order.Run, h.worker.id, status, reason)
		})
		time.Sleep(crashDelay)
		h.worker.crash()
		rec.add("trouble", "%s crashes", h.worker.id)
		time.Sleep(downTime)
		h.worker.boot()
		rec.add("trouble", "%s starts again", h.worker.id)
	}
	var broken []string
	for until := time.Now().Add(finishTime); time.Now().Before(until); time.Sleep(lastingCheck) {
		if runs := rec.activeRuns(task); len(runs) > 1 && len(broken) == 0 {
			broken = append(broken, fmt.Sprintf("TWICE: task %s has two runs at a time: %v", task, runs))
			rec.add("found", "%s", broken[0])
		}
	}
	e.state(j)
	return broken, nil
}
