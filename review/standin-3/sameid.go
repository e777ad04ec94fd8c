package main

import (
	"fmt"
	"net/http"
	"time"
)

// playSameID hands in two jobs with one id in two queues, which different clients have chosen, and checks whether what was accepted
// is known and runs.
func playSameID(rec *record, trouble bool) ([]string, error) {
	e, err := newEstate(rec, size{controls: 3, workers: 4})
	if e != nil {
		defer e.end()
	}
	if err != nil {
		return nil, err
	}
	other := route{host: "imposition.example", prefix: "/impositions/"}
	if !e.configure(mainRoute, other) {
		return nil, errNotReady
	}
	time.Sleep(ackTimeout)
	first, second := smallJob(mainRoute, "00000000000000c1"), smallJob(other, "00000000000000c2")
	if trouble {
		second = smallJob(other, first.id)
	}
	if !e.submit(first) || !e.awaitState(first, "completed", finishTime) {
		return nil, errNotReady
	}
	starts := rec.starts(second.id)
	e.submit(second)
	rec.add("traffic", "ends")
	time.Sleep(finishTime)
	if second.accepted.IsZero() {
		return nil, nil // a refusal is true
	}
	var broken []string
	if status, answer := e.state(second); status != http.StatusOK {
		broken = append(broken, fmt.Sprintf("LOST: job %s%s was accepted, and a GET for it is answered with %d %s", other.prefix, second.id, status, answer))
	}
	if rec.starts(second.id) == starts {
		broken = append(broken, fmt.Sprintf("LOST: job %s%s was accepted, and none of its tasks has started %s later", other.prefix, second.id, finishTime))
	}
	return broken, nil
}
