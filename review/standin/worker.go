package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

type (
	// pool holds all workers. One lock guards them, since the members of a gang end together.
	pool struct {
		estate  *estate
		mu      sync.Mutex
		workers []*worker
		gangs   map[string]*gang // by step and run
		starts  []start
		// outcome decides how a run ends by itself, and after which work.
		outcome func(w *worker, task string, run uint64) (how string, work time.Duration)
		// isLate decides whether a start gets no answer and is carried out late, by carryOutLate.
		isLate func(w *worker, o orderBody) bool
		late   []lateStart
	}

	// stepTraits is what the workers know of a step, from its specification.
	stepTraits struct {
		gang bool
		size int // tasks of a gang
	}

	// gang is one run of a gang.
	gang struct {
		members map[string]*running
		working bool
		ended   bool
		done    bool
	}

	// worker is the stand-in of one worker.
	worker struct {
		pool     *pool
		id       string
		agent    *daemon
		zone     string
		labels   []string
		cpu      int64
		listener net.Listener

		born     time.Time
		fence    uint64
		deadline int64
		running  map[string]*running
		highest  map[string]uint64
		ends     []*end
		lastEnd  uint64
		changed  chan struct{}
		state    string
		sequence int
		down     bool // between a crash and the next boot
	}

	// running is a run at work.
	running struct {
		worker *worker
		task   string
		run    uint64
		begun  time.Time
		key    string // of its gang, or empty
	}

	// lateStart is a start that has got no answer and is not carried out yet.
	lateStart struct {
		worker   *worker
		instance string
		order    orderBody
	}

	start struct {
		at     time.Time
		worker string
		zone   string
		task   string
		run    uint64
	}

	end struct {
		number uint64
		task   string
		run    uint64
		how    string
	}

	orderBody struct {
		Task          string `json:"task"`
		Run           uint64 `json:"run"`
		Specification string `json:"specification"`
		Deadline      int64  `json:"deadline-ms"`
		Fence         uint64 `json:"fencing-token"`
		LastSeen      uint64 `json:"last-seen"`
		WaitMs        int64  `json:"wait-ms"`
	}
)

const (
	startPath      = "/jaygw/run-start"
	instanceHeader = "Expected-Instance"

	stopTime    = 50 * time.Millisecond
	gangTimeout = 3 * time.Second
)

func newPool(e *estate) *pool {
	return &pool{
		estate: e, gangs: map[string]*gang{},
		outcome: func(*worker, string, uint64) (string, time.Duration) { return "done", 300 * time.Millisecond },
	}
}

// add starts the stand-in of the worker beside an agent.
func (p *pool) add(id string, agent *daemon) (*worker, error) {
	w := &worker{
		pool: p, id: id, agent: agent, zone: agent.zone, labels: []string{"a", "r1"}, cpu: 8000, born: time.Now(),
		running: map[string]*running{}, highest: map[string]uint64{}, changed: make(chan struct{}), state: "ready",
	}
	var err error
	if w.listener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", agent.worker); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+startPath, w.serve(w.startRun))
	mux.HandleFunc("POST /jaygw/run-stop", w.serve(w.stopRun))
	mux.HandleFunc("POST /jaygw/pace", w.serve(func(orderBody) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /jaygw/hold", w.hold)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(w.listener) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers = append(p.workers, w)
	go w.expireLeases(p.estate.ctx)
	return w, nil
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// expireLeases ends all runs once the lease is over.
func (w *worker) expireLeases(ctx context.Context) {
	for ctx.Err() == nil {
		w.pool.mu.Lock()
		w.expire()
		w.pool.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (w *worker) expire() {
	if w.clock() <= w.deadline {
		return
	}
	for _, r := range w.running {
		w.pool.finish(r, "lapsed")
	}
}

// serve checks the instance and the fencing token, and carries out an order.
func (w *worker) serve(action func(o orderBody) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o orderBody
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.pool.mu.Lock()
		late := r.URL.Path == startPath && w.pool.isLate != nil && w.pool.isLate(w, o)
		if late {
			w.pool.late = append(w.pool.late, lateStart{w, r.Header.Get(instanceHeader), o})
			w.pool.estate.logf("worker %s: start of %s run %d gets no answer", w.id, o.Task, o.Run)
		}
		if late || w.down {
			w.pool.mu.Unlock()
			if late {
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		}
		status, reason := w.carryOut(r.Header.Get(instanceHeader), o, action)
		clock, born := w.clock(), w.born
		w.pool.mu.Unlock()
		body := map[string]any{"clock-ms": clock, "born": born.UnixMilli()}
		if reason != "" {
			body["reason"] = reason
		}
		write(rw, status, body)
	}
}

func write(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // fails if the caller has gone
}

func (w *worker) carryOut(instance string, o orderBody, action func(o orderBody) (int, string)) (int, string) {
	if instance != "" && instance != w.id {
		return http.StatusMisdirectedRequest, ""
	}
	if o.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = o.Fence
	w.expire()
	return action(o)
}

func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) startRun(o orderBody) (int, string) {
	status, reason := w.startOnce(o)
	w.pool.estate.logf("worker %s (%s): start of %s run %d fence %d -> %d %s", w.id, w.zone, o.Task, o.Run, o.Fence, status, reason)
	return status, reason
}

func (w *worker) startOnce(o orderBody) (int, string) {
	current := w.running[o.Task]
	switch {
	case current != nil && current.run == o.Run:
		return http.StatusOK, ""
	case o.Run <= w.highest[o.Task]:
		w.extend(o.Deadline)
		return http.StatusConflict, "old"
	case o.Deadline <= w.clock():
		return http.StatusConflict, "late"
	}
	w.extend(o.Deadline)
	w.highest[o.Task] = o.Run
	r := &running{worker: w, task: o.Task, run: o.Run, begun: time.Now()}
	w.running[o.Task] = r
	p := w.pool
	p.starts = append(p.starts, start{at: r.begun, worker: w.id, zone: w.zone, task: o.Task, run: o.Run})
	if traits := p.traits(o); traits.gang {
		r.key = fmt.Sprintf("%s#%d", o.Task[:strings.LastIndexByte(o.Task, '.')], o.Run)
		p.joinGang(r, traits.size)
		return http.StatusOK, ""
	}
	p.finishLater(r)
	return http.StatusOK, ""
}

// traits reads the traits of a step from the specification: "gang N" for a gang of N.
func (p *pool) traits(o orderBody) stepTraits {
	var t stepTraits
	if n, err := fmt.Sscanf(o.Specification, "gang %d", &t.size); err == nil && n == 1 {
		t.gang = true
	}
	return t
}

// finishLater ends a run by itself after its work.
func (p *pool) finishLater(r *running) {
	how, work := p.outcome(r.worker, r.task, r.run)
	if how == "" {
		return // it lasts
	}
	time.AfterFunc(work, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.finish(r, how)
	})
}

// joinGang adds a member to a run of a gang, which works once all members are there.
func (p *pool) joinGang(r *running, size int) {
	g := p.gangs[r.key]
	if g == nil {
		g = &gang{members: map[string]*running{}}
		p.gangs[r.key] = g
		time.AfterFunc(gangTimeout, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if !g.working && !g.ended {
				g.ended = true
				for _, m := range g.members {
					p.finish(m, "alone")
				}
			}
		})
	}
	g.members[r.task] = r
	if len(g.members) < size {
		return
	}
	g.working = true
	for _, m := range g.members {
		p.finishLater(m)
	}
}

// finish ends a run if it is still at work. The end of one member ends its gang: all are done, or the others
// are broken once their workers have heard of it.
func (p *pool) finish(r *running, how string) {
	w := r.worker
	if w.running[r.task] != r {
		return
	}
	g := p.gangs[r.key]
	if g != nil && g.ended && !g.done && how == "done" {
		how = "broken" // another member has ended otherwise
	}
	delete(w.running, r.task)
	w.lastEnd++
	e := &end{number: w.lastEnd, task: r.task, run: r.run, how: how}
	w.ends = append(w.ends, e)
	p.estate.logf("worker %s: run %d of %s ends %s", w.id, r.run, r.task, how)
	close(w.changed)
	w.changed = make(chan struct{})
	if g == nil || how == "alone" {
		return
	}
	g.ended, g.done = true, g.done || how == "done"
	for _, m := range g.members {
		if how == "done" {
			p.finish(m, "done")
			continue
		}
		time.AfterFunc(gangNotice, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.finish(m, "broken")
		})
	}
}

// gangNotice is the time until the other members of a gang hear of the end of one.
const gangNotice = 20 * time.Millisecond

func (w *worker) stopRun(o orderBody) (int, string) {
	w.pool.estate.logf("worker %s: stop of %s run %d", w.id, o.Task, o.Run)
	if current := w.running[o.Task]; current != nil && current.run == o.Run {
		time.AfterFunc(stopTime, func() {
			w.pool.mu.Lock()
			defer w.pool.mu.Unlock()
			w.pool.finish(current, "stopped")
		})
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	return http.StatusOK, ""
}

// hold extends the lease and lists the runs and the ends.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.pool.mu.Lock()
	if w.down {
		w.pool.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, reason := w.carryOut(r.Header.Get(instanceHeader), o, func(o orderBody) (int, string) {
		w.extend(o.Deadline)
		w.forget(o.LastSeen)
		return http.StatusOK, ""
	})
	changed, wait := w.changed, status == http.StatusOK && len(w.ends) == 0 && o.WaitMs > 0
	w.pool.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	w.pool.mu.Lock()
	if w.down {
		w.pool.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.expire()
	body := map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli()}
	if status == http.StatusOK {
		runs, ends := [][]any{}, [][]any{}
		for task, r := range w.running {
			runs = append(runs, []any{task, r.run, "", 50, 0})
		}
		for _, e := range w.ends {
			ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
		}
		body["running"], body["finished"] = runs, ends
	} else {
		body["reason"] = reason
	}
	w.pool.mu.Unlock()
	write(rw, status, body)
}

// forget removes the ends that the agent has taken note of.
func (w *worker) forget(lastSeen uint64) {
	w.ends = slices.DeleteFunc(w.ends, func(e *end) bool { return e.number <= lastSeen })
}

// beat sends the worker's heartbeats to the agent.
func (w *worker) beat(ctx context.Context) {
	for ctx.Err() == nil {
		w.pool.mu.Lock()
		w.sequence++
		labels, _ := json.Marshal(w.labels)
		body := fmt.Sprintf(`{"service":"service","address":%q,"zone":%q,"version":"v1","slots":8,"state":%q,"cold-remaining-ms":0,`+
			`"capacity":{"cpu":%d,"requested-memory-mb":32000,"gpu":0},"labels":%s,"clock-ms":%d,"born":%d,"sequence":%d}`,
			w.agent.worker, w.zone, w.state, w.cpu, labels, w.clock(), w.born.UnixMilli(), w.sequence)
		id, down := w.id, w.down || time.Since(w.born) < beatInterval/2
		w.pool.mu.Unlock()
		if !down {
			call(http.MethodPost, w.agent.operators, "", "/jaygw/instances/"+id+"/heartbeat", body, time.Second)
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

// crash ends the worker with all that it runs and knows.
func (w *worker) crash() {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.pool.estate.logf("worker %s crashes", w.id)
	w.down, w.running, w.highest, w.ends = true, map[string]*running{}, map[string]uint64{}, nil
	w.fence, w.deadline, w.lastEnd, w.sequence = 0, 0, 0, 0
	close(w.changed)
	w.changed = make(chan struct{})
}

// boot starts the worker again under the id that it had.
func (w *worker) boot() {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.born, w.down = time.Now(), false
	w.pool.estate.logf("worker %s starts again under its id", w.id)
}

// carryOutLate carries out the starts that have got no answer.
func (p *pool) carryOutLate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.late {
		l.worker.carryOut(l.instance, l.order, l.worker.startRun)
	}
	p.late = nil
}

// runningOn returns the workers on which a task runs.
func (p *pool) runningOn(task string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for _, w := range p.workers {
		if w.running[task] != nil {
			ids = append(ids, w.id)
		}
	}
	return ids
}
