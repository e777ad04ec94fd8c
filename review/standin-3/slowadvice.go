package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// adviser is a stand-in for the platform's service that issues tickets. It handles one call at a time.
	adviser struct {
		record              *record
		decision, perWorker time.Duration
		validity            time.Duration

		calls sync.Mutex // held during a call

		mu      sync.Mutex
		tickets map[string]ticket // by ticket
	}

	ticket struct {
		step, worker string
		until        time.Time
	}
)

const (
	// The workers and the times of advice: a call on all of them takes longer than a ticket is valid, one on ten takes 1.3 s.
	advisedWorkers = 30
	decisionTime   = 300 * time.Millisecond
	workerTime     = 100 * time.Millisecond
	shortTime      = 10 * time.Millisecond // without the disruption
	ticketValidity = 3 * time.Second
)

// serve serves the adviser at a loopback address.
func (a *adviser) serve(address string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /jaygw/advise", a.advise)
	listener, err := (&net.ListenConfig{}).Listen(background, "tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return nil
}

func (a *adviser) advise(rw http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	a.calls.Lock()
	defer a.calls.Unlock()
	a.record.add("advice", "%s on %d workers is asked for", request.Step, len(request.Workers))
	time.Sleep(a.decision + time.Duration(len(request.Workers))*a.perWorker)
	approved := [][]string{}
	a.mu.Lock()
	for _, worker := range request.Workers {
		id := fmt.Sprintf("%08x", rand.Uint32())
		a.tickets[id] = ticket{step: request.Step, worker: worker, until: time.Now().Add(a.validity)}
		approved = append(approved, []string{worker, id})
	}
	a.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(rw).Encode(map[string]any{"approved": approved, "validity-ms": a.validity.Milliseconds()})
	a.record.add("advice", "%s: %d tickets, valid for %s from now; error %v", request.Step, len(approved), a.validity, err)
}

func (a *adviser) isValid(step, worker, id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[id]
	return ok && t.step == step && t.worker == worker && time.Now().Before(t.until)
}

// playSlowAdvice hands in jobs on an advised queue and checks that they start.
func playSlowAdvice(rec *record, trouble bool) ([]string, error) {
	a := &adviser{record: rec, decision: decisionTime, perWorker: shortTime, validity: ticketValidity, tickets: map[string]ticket{}}
	if trouble {
		a.perWorker = workerTime
	}
	address, err := freeAddress()
	if err == nil {
		err = a.serve(address)
	}
	if err != nil {
		return nil, err
	}
	e, err := newEstate(rec, size{controls: 3, workers: advisedWorkers, adviser: address})
	if e != nil {
		defer e.end()
	}
	if err != nil {
		return nil, err
	}
	for _, w := range e.workers {
		w.requireTickets(a.isValid)
	}
	advised := route{host: "imposition.example", prefix: "/impositions/", advice: fmt.Sprintf(
		`{"decision-ms":%d,"per-worker-ms":%d,"validity-ms":%d}`, a.decision.Milliseconds(), a.perWorker.Milliseconds(), a.validity.Milliseconds())}
	if !e.configure(advised) {
		return nil, errNotReady
	}
	time.Sleep(ackTimeout) // all workers have reported
	var jobs []*job
	for i := range 2 {
		j := smallJob(advised, fmt.Sprintf("00000000000002%02x", i))
		jobs = append(jobs, j)
		if !e.submit(j) {
			return nil, errNotReady
		}
	}
	rec.add("traffic", "ends")
	time.Sleep(finishTime)
	var broken []string
	for _, j := range jobs {
		if _, answer := e.state(j); rec.starts(j.id) == 0 {
			broken = append(broken, fmt.Sprintf("LOST: job %s was accepted, and has not started %s after the traffic, with all workers free: %s", j.id, finishTime, answer))
		}
	}
	return broken, nil
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(background, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
