package main

import (
	"fmt"
	"time"
)

const (
	// stepWork is the run time of each step of the job, unhealthyAfter the time after the traffic from which one worker is unhealthy,
	// and unhealthyTime how long it is.
	stepWork       = 12 * time.Second
	unhealthyAfter = 11500 * time.Millisecond
	unhealthyTime  = 6500 * time.Millisecond

	// idleLimit is the time for which a job may have nothing running although a task's turn has come.
	idleLimit = 3 * time.Second
)

// playUnhealthy hands in a job of two steps of one task each. One worker refuses all starts as unhealthy when the turn of the second one
// comes, while all others are free.
func playUnhealthy(rec *record, trouble bool) ([]string, error) {
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
	time.Sleep(ackTimeout) // all workers have reported
	step := fmt.Sprintf(`{"count":1,"cpu":240,"requested-memory-mb":480,"estimated-ms":%d`, stepWork.Milliseconds())
	j := &job{route: mainRoute, id: "00000000000000d1", body: fmt.Sprintf(`{"specification":"work %d","steps":[%s},%s,"after":[0]}]}`, stepWork.Milliseconds(), step, step)}
	if !e.submit(j) {
		return nil, errNotReady
	}
	rec.add("traffic", "ends")
	ended := time.Now()
	time.Sleep(unhealthyAfter)
	if trouble {
		e.workers[0].setUnhealthy(time.Now().Add(unhealthyTime))
		rec.add("worker", "%s is unhealthy for %s", e.workers[0].id, unhealthyTime)
	}
	time.Sleep(time.Until(ended.Add(finishTime)))
	since, longest := time.Time{}, time.Duration(0)
	for time.Since(ended) < finishTime+unhealthyTime {
		now := time.Now()
		switch {
		case rec.isActive(j.id + ".0.1.0"):
			since = time.Time{}
		case since.IsZero():
			since = now
		default:
			longest = max(longest, now.Sub(since))
		}
		time.Sleep(lastingCheck)
	}
	e.state(j)
	rec.add("worker", "%s has refused %d starts", e.workers[0].id, e.workers[0].refusals())
	if longest > idleLimit {
		return []string{fmt.Sprintf("LOST: job %s has had nothing running for %s, from %s after the traffic on, while ten workers were free", j.id, longest, finishTime)}, nil
	}
	return nil, nil
}
