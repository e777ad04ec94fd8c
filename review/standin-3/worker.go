package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// worker is a stand-in for the platform's worker, as PROTOCOL.md describes it.
	worker struct {
		id, zone string
		address  string
		born     time.Time
		record   *record
		// ticketValid reports whether a ticket permits a start; nil on a platform without advice.
		ticketValid func(step, worker, ticket string) bool

		mu             sync.Mutex
		fence          uint64
		deadline       int64 // end of the lease on the worker's clock
		running        map[string]*run
		highest        map[string]uint64 // highest run that was started or stopped, by task
		ends           []end
		lastEnd        uint64
		changed        chan struct{} // closed when a run ends
		sequence       int
		unhealthyUntil time.Time // until then it refuses all starts
		refused        int       // starts that it has refused so
		down           bool      // between a crash and the next boot
		// holdUp decides whether a start gets no answer and is carried out late, by deliver; nil if none is.
		holdUp func(w *worker, o order) bool
	}

	run struct {
		number  uint64
		started time.Time
		length  time.Duration // zero for a run that lasts
	}

	end struct {
		number, run   uint64
		task, outcome string
	}

	order struct {
		Task          string `json:"task"`
		Run           uint64 `json:"run"`
		Specification string `json:"specification"`
		Deadline      int64  `json:"deadline-ms"`
		Fence         uint64 `json:"fencing-token"`
		Ticket        string `json:"ticket"`
		LastSeen      uint64 `json:"last-seen"`
		WaitMs        int64  `json:"wait-ms"`
	}

	heartbeat struct {
		Service  string         `json:"service"`
		Address  string         `json:"address"`
		Zone     string         `json:"zone"`
		Version  string         `json:"version"`
		Slots    int            `json:"slots"`
		State    string         `json:"state"`
		Capacity map[string]int `json:"capacity"`
		Labels   []string       `json:"labels"`
		ClockMs  int64          `json:"clock-ms"`
		Born     int64          `json:"born"`
		Sequence int            `json:"sequence"`
	}
)

const (
	service         = "proofing"
	workerCPU       = 16000 // thousandths of a core
	workerMemoryMB  = 64000
	longestLease    = 10 * time.Second
	heartbeatPeriod = 1100 * time.Millisecond
	watchPeriod     = 50 * time.Millisecond
)

// startWorker serves a worker at a loopback address.
func startWorker(id, zone, address string, rec *record) (*worker, error) {
	w := &worker{
		id: id, zone: zone, address: address, born: time.Now(), record: rec,
		running: map[string]*run{}, highest: map[string]uint64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /jaygw/run-start", w.order(w.start))
	mux.HandleFunc("POST /jaygw/run-stop", w.order(w.stop))
	mux.HandleFunc("POST /jaygw/pace", w.order(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /jaygw/hold", w.hold)
	listener, err := (&net.ListenConfig{}).Listen(background, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("worker %s: %w", id, err)
	}
	go w.watch()
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return w, nil
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// order returns a handler that checks the boot and the fencing token before it carries out an order.
func (w *worker) order(action func(order) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.abortIfDown()
		if o.Specification != "" && w.holdUp != nil && w.holdUp(w, o) {
			w.mu.Unlock()
			<-r.Context().Done()
			w.mu.Lock()
			panic(http.ErrAbortHandler)
		}
		status, reason := w.admit(r.Header.Get("Expected-Instance"), o)
		if status == http.StatusOK {
			status, reason = action(o)
		}
		w.respond(rw, status, reason)
	}
}

// abortIfDown breaks off a call to a worker that has crashed.
func (w *worker) abortIfDown() {
	if w.down {
		panic(http.ErrAbortHandler)
	}
}

func (w *worker) admit(instance string, o order) (int, string) {
	if instance != w.id {
		return http.StatusMisdirectedRequest, ""
	}
	if o.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = o.Fence
	w.update()
	return http.StatusOK, ""
}

func (w *worker) respond(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // an error means that the caller has left
}

func (w *worker) start(o order) (int, string) {
	if time.Now().Before(w.unhealthyUntil) {
		w.refused++
		return http.StatusServiceUnavailable, ""
	}
	current := w.running[o.Task]
	switch {
	case current != nil && current.number == o.Run:
		return http.StatusOK, ""
	case o.Run <= w.highest[o.Task]:
		w.extend(o.Deadline)
		return http.StatusConflict, "old"
	case o.Deadline <= w.clock():
		return http.StatusConflict, "late"
	}
	step := o.Task[:strings.LastIndexByte(o.Task, '.')]
	if w.ticketValid != nil && !w.ticketValid(step, w.id, o.Ticket) {
		w.record.add("run", "%s run %d rejected on %s: ticket %q", o.Task, o.Run, w.id, o.Ticket)
		return http.StatusConflict, "ticket"
	}
	w.extend(o.Deadline)
	w.highest[o.Task] = o.Run
	w.running[o.Task] = &run{number: o.Run, started: time.Now(), length: runLength(o.Specification)}
	w.record.started(o.Task, o.Run, w.id)
	return http.StatusOK, ""
}

// runLength returns the time of a run, which the specification "work MS" gives; zero for one that lasts.
func runLength(specification string) time.Duration {
	ms, err := strconv.Atoi(strings.TrimPrefix(specification, "work "))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (w *worker) stop(o order) (int, string) {
	if current := w.running[o.Task]; current != nil && current.number == o.Run {
		w.end(o.Task, "stopped")
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	return http.StatusOK, ""
}

func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+longestLease.Milliseconds()))
}

// update ends the runs whose work is done, and all runs once the lease is over.
func (w *worker) update() {
	lapsed := w.clock() > w.deadline
	for task, r := range w.running {
		switch {
		case lapsed:
			w.end(task, "lapsed")
		case r.length > 0 && time.Since(r.started) >= r.length:
			w.end(task, "done")
		}
	}
}

func (w *worker) end(task, outcome string) {
	w.lastEnd++
	w.ends = append(w.ends, end{number: w.lastEnd, run: w.running[task].number, task: task, outcome: outcome})
	w.record.ended(task, w.running[task].number, w.id, outcome)
	delete(w.running, task)
	close(w.changed)
	w.changed = make(chan struct{})
}

// hold extends the lease, forgets the ends that the caller has seen, and lists the runs once one has ended or the
// caller's wait is over.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abortIfDown()
	if status, reason := w.admit(r.Header.Get("Expected-Instance"), o); status != http.StatusOK {
		w.respond(rw, status, reason)
		return
	}
	w.extend(o.Deadline)
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > o.LastSeen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	for until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); len(w.ends) == 0 && time.Now().Before(until); w.update() {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(10 * time.Millisecond):
		}
		w.mu.Lock()
		w.abortIfDown()
	}
	running, finished := [][]any{}, [][]any{}
	for task, current := range w.running {
		percent := 100
		if current.length > 0 {
			percent = min(99, int(100*time.Since(current.started)/current.length))
		}
		running = append(running, []any{task, current.number, "", percent, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.outcome, ""})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{ // an error means that the caller has left
		"clock-ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": finished,
	})
}

// sendHeartbeats reports the worker to the agent on its VM until the driver ends.
func (w *worker) sendHeartbeats(agent string) {
	for {
		w.mu.Lock()
		w.sequence++
		down := w.down
		body, _ := json.Marshal(heartbeat{
			Service: service, Address: w.address, Zone: w.zone, Version: "v1", Slots: 8, State: "ready",
			Capacity: map[string]int{"cpu": workerCPU, "requested-memory-mb": workerMemoryMB, "gpu": 0}, Labels: []string{"a", "r1"},
			ClockMs: w.clock(), Born: w.born.UnixMilli(), Sequence: w.sequence,
		})
		w.mu.Unlock()
		if down {
			time.Sleep(watchPeriod)
			continue
		}
		_, _ = call(time.Second, http.MethodPost, "http://"+agent+"/jaygw/instances/"+w.id+"/heartbeat", "", string(body))
		time.Sleep(heartbeatPeriod)
	}
}

// watch ends runs in time, also while nobody calls.
func (w *worker) watch() {
	for range time.Tick(watchPeriod) {
		w.mu.Lock()
		if !w.down {
			w.update()
		}
		w.mu.Unlock()
	}
}

// requireTickets makes the worker refuse starts without a valid ticket.
func (w *worker) requireTickets(valid func(step, worker, ticket string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ticketValid = valid
}

// refusals returns how many starts the worker has refused as unhealthy.
func (w *worker) refusals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused
}

// setHoldUp sets which starts are held up.
func (w *worker) setHoldUp(holdUp func(w *worker, o order) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holdUp = holdUp
}

// setUnhealthy makes the worker refuse all starts until a time.
func (w *worker) setUnhealthy(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unhealthyUntil = until
}

// crash ends the worker with all that runs on it.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.running {
		w.end(task, "crashed")
	}
	w.down, w.ends = true, nil
}

// boot starts the worker again under its id. It knows nothing of before.
func (w *worker) boot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down, w.born, w.sequence = false, time.Now(), 0
	w.fence, w.deadline, w.lastEnd, w.highest = 0, 0, 0, map[string]uint64{}
}

// deliver carries out a start that was held up, if its boot or a later one with the same id takes it.
func (w *worker) deliver(o order) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	status, reason := w.admit(w.id, o)
	if status == http.StatusOK {
		status, reason = w.start(o)
	}
	return status, reason
}
