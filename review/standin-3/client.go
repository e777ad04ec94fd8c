package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

type (
	// route is a queue of the configuration.
	route struct{ host, prefix, advice string }

	// job is a job of one of the driver's clients.
	job struct {
		route    route
		id, body string
		accepted time.Time // zero if it was not accepted
		answers  []int     // to the attempts to hand it in; 0 for none
	}
)

const (
	clientDeadline  = 3 * time.Second
	clientRetries   = 4
	operatorTimeout = time.Second
	ackTimeout      = 4 * time.Second  // ack-timeout-ms
	finishTime      = 14 * time.Second // finish_s
)

var mainRoute = route{host: "preview.example", prefix: "/previews/"}

// configure sends the first configuration until it is acknowledged, to one control process after the other.
func (e *estate) configure(routes ...route) bool {
	var rows []string
	for i, r := range routes {
		advice := ""
		if r.advice != "" {
			advice = `,"advice":` + r.advice
		}
		rows = append(rows, fmt.Sprintf(`{"name":"r-%d","host":%q,"path-prefix":%q,"kind":"non_idempotent","timeout-ms":3000,`+
			`"target-latency-ms":250,"priority":0,"service":%q,"max-attempts":4,"stretch":1.5%s}`, i, r.host, r.prefix, service, advice))
	}
	body := fmt.Sprintf(`{"version":1,"routes":[%s],"services":[{"name":%q,"health-path":"/health","max-connections":64,"protocol":"h1",`+
		`"tls":false,"cold-start-s":0,"cold-per-s":0,"admission-control":false,"spare":false}],"limits":{"max-header-bytes":16384,`+
		`"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`, strings.Join(rows, ","), service)
	for i, until := 0, time.Now().Add(startTimeout); time.Now().Before(until); i++ {
		status, answer := call(operatorTimeout, http.MethodPost, "http://"+e.controls[i%len(e.controls)]+"/jaygw/configuration/replace", "", body)
		if status == http.StatusOK {
			e.record.add("config", "acknowledged")
			return true
		}
		e.record.add("config", "%d %s", status, answer)
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// submit hands a job in, with the retries of a client, each at another entry.
func (e *estate) submit(j *job) bool {
	for attempt := range 1 + clientRetries {
		entry := e.entries[attempt%len(e.entries)]
		status, answer := call(clientDeadline, http.MethodPost, "http://"+entry+j.route.prefix+j.id, j.route.host, j.body)
		j.answers = append(j.answers, status)
		e.record.add("job", "%s%s at %s, %d bytes: %d %s", j.route.prefix, j.id, entry, len(j.body), status, answer)
		switch {
		case status/100 == 2:
			j.accepted = time.Now()
			return true
		case status == http.StatusNotFound || status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge:
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state returns the answer to a GET of a job, at one entry after the other until one answers or the client's deadline is over.
func (e *estate) state(j *job) (int, string) {
	status, answer := 0, ""
	for i, until := 0, time.Now().Add(clientDeadline); time.Now().Before(until); i++ {
		entry := e.entries[i%len(e.entries)]
		status, answer = call(clientDeadline, http.MethodGet, "http://"+entry+j.route.prefix+j.id, j.route.host, "")
		if status == http.StatusOK || status == http.StatusGone || status == http.StatusNotFound {
			break
		}
		e.record.add("state", "%s%s at %s: %d %s", j.route.prefix, j.id, entry, status, answer)
		time.Sleep(200 * time.Millisecond)
	}
	e.record.add("state", "%s%s: %d %s", j.route.prefix, j.id, status, answer)
	return status, answer
}

// awaitState waits until a job has a state.
func (e *estate) awaitState(j *job, state string, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if _, answer := e.state(j); strings.Contains(answer, `"`+state+`"`) {
			return true
		}
	}
	return false
}

// smallJob returns a job of two tasks that work for a short time.
func smallJob(r route, id string) *job {
	return &job{route: r, id: id, body: `{"specification":"work 300","steps":[{"count":2,"cpu":240,"requested-memory-mb":480,"estimated-ms":300}]}`}
}
