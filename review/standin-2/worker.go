package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// capacity is that of a worker.
	capacity struct{ cpu, memoryMB int64 }

	// worker stands in for a worker, as the users' protocol describes it.
	worker struct {
		rec                   *record
		jobs                  *registry
		id, zone, rack        string
		address, agentAddress string
		size                  capacity
		agent                 *process
		server                *http.Server
		stop                  chan struct{}

		mu       sync.Mutex
		born     time.Time
		down     bool
		fence    uint64
		lease    int64 // end of the lease on the worker's clock, in milliseconds
		running  map[string]*run
		highest  map[string]uint64 // highest run that was started, stopped or ended, by task
		ends     []end
		lastEnd  uint64
		changed  chan struct{} // closed at an end
		sequence int
	}

	run struct {
		number  uint64
		started time.Time
		step    stepSpec
		done    *time.Timer
	}

	end struct {
		number uint64
		task   string
		run    uint64
		how    string
	}

	// order is the body of a call of the agent.
	order struct {
		Task     string `json:"task"`
		Run      uint64 `json:"run"`
		Spec     string `json:"specification"`
		Deadline int64  `json:"deadline-ms"`
		Fence    uint64 `json:"fencing-token"`
		LastSeen uint64 `json:"last-seen"`
		WaitMs   int64  `json:"wait-ms"`
	}
)

const (
	maxHoldMs         = 6000
	heartbeatInterval = 1500 * time.Millisecond
	startupTime       = 300 * time.Millisecond // until a lasting task is at work
)

func newWorker(rec *record, jobs *registry, id, zone, rack, address, agentAddress string, size capacity) *worker {
	return &worker{
		rec: rec, jobs: jobs, id: id, zone: zone, rack: rack, address: address, agentAddress: agentAddress, size: size,
		stop: make(chan struct{}), born: time.Now(), running: map[string]*run{}, highest: map[string]uint64{}, changed: make(chan struct{}),
	}
}

// listen starts to serve the agent, to send heartbeats and to end runs whose lease is over.
func (w *worker) listen() error {
	listener, err := net.Listen("tcp", w.address) //nolint:noctx // loopback
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /jaygw/run-start", w.serve(w.start))
	mux.HandleFunc("POST /jaygw/run-stop", w.serve(w.stopRun))
	mux.HandleFunc("POST /jaygw/pace", w.serve(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /jaygw/hold", w.hold)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }() // ends with close
	go w.every(20*time.Millisecond, w.expire)
	go w.every(heartbeatInterval, w.heartbeat)
	return nil
}

func (w *worker) every(interval time.Duration, action func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		action()
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

// close ends the worker for good.
func (w *worker) close() {
	w.lose()
	w.server.Close()
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
}

// lose ends the worker with all runs and without a word.
func (w *worker) lose() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	w.down = true
	for task, r := range w.running {
		r.done.Stop()
		w.jobs.ended(w, task, r.number, "lost with its worker")
	}
	w.running = map[string]*run{}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// receive reads an order and checks the boot and the fencing token. The worker must be locked.
func (w *worker) receive(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.respond(rw, http.StatusBadRequest, "")
		return o, false
	}
	switch {
	case w.down:
		panic(http.ErrAbortHandler)
	case r.Header.Get("Expected-Instance") != w.id:
		w.respond(rw, http.StatusMisdirectedRequest, "")
		return o, false
	case o.Fence < w.fence:
		w.respond(rw, http.StatusConflict, "fence")
		return o, false
	}
	w.fence = o.Fence
	return o, true
}

func (w *worker) serve(action func(order) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if o, ok := w.receive(rw, r); ok {
			status, reason := action(o)
			w.respond(rw, status, reason)
		}
	}
}

func (w *worker) respond(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the agent may be gone
}

func (w *worker) extend(deadline int64) { w.lease = max(w.lease, min(deadline, w.clock()+maxHoldMs)) }

func (w *worker) start(o order) (int, string) {
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
	step, ok := w.jobs.step(o.Task)
	if !ok {
		return http.StatusBadRequest, ""
	}
	w.extend(o.Deadline)
	w.highest[o.Task] = o.Run
	r := &run{number: o.Run, started: time.Now(), step: step}
	r.done = time.AfterFunc(step.duration(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[o.Task] == r && !step.LongRunning {
			w.finish(o.Task, "done")
		}
	})
	w.running[o.Task] = r
	w.jobs.began(w, o.Task, o.Run)
	return http.StatusOK, ""
}

func (w *worker) stopRun(o order) (int, string) {
	if current := w.running[o.Task]; current != nil && current.number == o.Run {
		w.finish(o.Task, "stopped")
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	return http.StatusOK, ""
}

// finish ends a run and lists its end.
func (w *worker) finish(task, how string) {
	r := w.running[task]
	r.done.Stop()
	delete(w.running, task)
	w.lastEnd++
	w.ends = append(w.ends, end{number: w.lastEnd, task: task, run: r.number, how: how})
	w.jobs.ended(w, task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// expire ends all runs once the lease is over.
func (w *worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.clock() <= w.lease {
		return
	}
	for task := range w.running {
		w.finish(task, "lapsed")
	}
}

// hold extends the lease, forgets recorded ends and lists runs and ends.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o, ok := w.receive(rw, r)
	if !ok {
		return
	}
	w.extend(o.Deadline)
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && o.WaitMs > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	if w.down {
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for task, run := range w.running {
		running = append(running, []any{task, run.number, "", run.percent(), w.use(run)})
	}
	for _, e := range w.ends[:min(500, len(w.ends))] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{ // the agent may be gone
		"clock-ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": finished,
	})
}

// percent returns the progress of a run, which for a lasting task shows whether it is at work.
func (r *run) percent() int64 {
	if r.step.LongRunning {
		return min(100, 100*time.Since(r.started).Milliseconds()/startupTime.Milliseconds())
	}
	return min(99, 100*time.Since(r.started).Milliseconds()/max(1, r.step.duration().Milliseconds()))
}

// use returns the processor time that a run uses. Tasks that fill share what the others leave.
func (w *worker) use(r *run) int64 {
	if !r.step.Fills {
		return r.step.CPU
	}
	left, filling := w.size.cpu, int64(0)
	for _, other := range w.running {
		if other.step.Fills {
			filling++
		} else {
			left -= other.step.CPU
		}
	}
	return min(r.step.CPU, max(0, left)/max(1, filling))
}

// isRunning reports whether a task is at work.
func (w *worker) isRunning(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running[task] != nil
}

// freeMemory returns the memory that no run takes.
func (w *worker) freeMemory() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	free := w.size.memoryMB
	for _, r := range w.running {
		free -= r.step.Memory
	}
	return free
}

// countRuns returns the number of runs at work.
func (w *worker) countRuns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

func (w *worker) heartbeat() {
	w.mu.Lock()
	w.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,`+
		`"capacity":{"cpu":%d,"requested-memory-mb":%d,"gpu":0},"labels":["a",%q],"machine":%q,"clock-ms":%d,"sequence":%d,"born":%d}`,
		serviceName, w.address, w.zone, w.size.cpu, w.size.memoryMB, w.rack, "m-"+w.id, w.clock(), w.sequence, w.born.UnixMilli())
	down := w.down
	w.mu.Unlock()
	if down {
		return
	}
	client := &http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+w.agentAddress+"/jaygw/instances/"+w.id+"/heartbeat", "application/json", strings.NewReader(body)) //nolint:noctx // has a timeout
	if err == nil {
		response.Body.Close()
	}
}
