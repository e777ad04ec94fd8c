package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	host = "q.example"

	// The bounds of a small deployment.
	contact       = 3 * time.Second
	evacuationMax = 5 * time.Second
	catchUp       = 4 * time.Second
	ackMax        = 4 * time.Second

	freezeTime       = 4 * time.Second
	evacuationRounds = 10

	// siteWorkers is the number of workers of the site, for disruptions of a share of them.
	siteWorkers = 11

	gangAttempts = 2
	gangWork     = 300 * time.Millisecond
	gangTrouble  = 1 * time.Second

	// longWork is the work of a task that goes on while its worker starts again.
	longWork = 8 * time.Second

	// startToCrash is the time between a start without an answer and the crash of the worker.
	startToCrash = 1500 * time.Millisecond

	// bootToOrder is the time between the next boot of the worker and the arrival of the order.
	bootToOrder = 300 * time.Millisecond

	// leaveToLoss is the time between the end of the replaced process and the loss of another one's disk.
	leaveToLoss = 2 * time.Second

	// downTime is the time that a crashed machine is down.
	downTime = time.Second

	// recovery is the time after a disruption from which requests have to be served, and answerLimit how long
	// they are then tried.
	recovery    = 12 * time.Second
	answerLimit = 30 * time.Second
)

// routes is a config with one queue.
const routes = `{"version":%d,"routes":[{"name":"r","host":"q.example","path-prefix":"/jobs/","kind":"non_idempotent",` +
	`"timeout-ms":3000,"target-latency-ms":250,"priority":0,"service":"service","max-attempts":%d,"stretch":1.5}],` +
	`"services":[{"name":"service","health-path":"/health","max-connections":64,"protocol":"h1","tls":false,"cold-start-s":0.0,` +
	`"cold-per-s":0.0,"admission-control":false,"spare":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,` +
	`"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

var errNoAck = errors.New("an order is not acknowledged")

var cases = map[string]func(e *estate, trouble bool) (int, error){
	"evacuation": playEvacuation,
	"gang":       playGang,
	"restarted":  playRestarted,
	"silent":     playSilent,
	"replaced":   playReplaced,
}

func main() {
	runtime.LockOSThread() // a process ends with the thread that started it

	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	e, err := newEstate(folder, []string{"sfax-medina", "sfax-port", "sfax-sakiet"})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer e.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		e.close()
		os.Exit(exitFailed)
	}()
	code, err := cases[name](e, os.Getenv("TROUBLE") != "0")
	if err != nil {
		e.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	e.logf("exit %d", code)
	return code
}

// prepare puts a config in force and waits until jobs are carried out.
func (e *estate) prepare(attempts int) error {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		if e.order(0, "/jaygw/configuration/replace", fmt.Sprintf(routes, 1, attempts), 5*time.Second) {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	for i := 0; time.Now().Before(deadline); i++ {
		id := fmt.Sprintf("%016x", 0xaaaa0000+i)
		if e.submit(0, id, "warm up", `[{"count":1,"cpu":100,"requested-memory-mb":10}]`).status == http.StatusOK && e.awaitCompleted(id, 3*time.Second) {
			return nil
		}
	}
	return fmt.Errorf("the estate does not serve")
}

func (e *estate) submit(entry int, id, specification, steps string) response {
	body := fmt.Sprintf(`{"specification":%q,"steps":%s}`, specification, steps)
	d := e.entries[entry%len(e.entries)]
	r := call(http.MethodPost, d.callers, host, "/jobs/"+id, body, timeBudget)
	e.logf("client: POST %s (%s) at %s -> %d %s", id, specification, d.name, r.status, errText(r.err))
	return r
}

func (e *estate) state(entry int, id string) response {
	d := e.entries[entry%len(e.entries)]
	r := call(http.MethodGet, d.callers, host, "/jobs/"+id, "", timeBudget)
	e.logf("client: GET %s at %s -> %d %s %s", id, d.name, r.status, r.body, errText(r.err))
	return r
}

// awaitCompleted waits until a job is shown as completed.
func (e *estate) awaitCompleted(id string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if r := e.state(0, id); r.status == http.StatusOK && r.body == `{"state":"completed"}` {
			return true
		}
	}
	return false
}

// playEvacuation withdraws the evacuation of a zone and orders it again, while one control process is frozen
// to which the withdrawal was sent first.
func playEvacuation(e *estate, trouble bool) (int, error) {
	if err := e.start(6); err != nil {
		return exitFailed, err
	}
	if err := e.prepare(4); err != nil {
		return exitFailed, err
	}
	zone := e.zones[1]
	order := func(first int, what string) bool {
		return e.order(first, "/jaygw/evacuations/"+zone+"/"+what, "", ackMax)
	}
	if !order(0, "start") {
		return exitFailed, errNoAck
	}
	go e.submitShortJobs()
	for round := range evacuationRounds {
		frozen := round % len(e.controls)
		if trouble {
			e.controls[frozen].signal(syscall.SIGSTOP)
		}
		stopped := time.Now()
		if !order(frozen, "finish") || !order(frozen+1, "start") {
			return exitFailed, errNoAck
		}
		acked := time.Now()
		e.logf("round %d: %s is evacuated again", round+1, zone)
		time.Sleep(time.Until(stopped.Add(freezeTime)))
		if trouble {
			e.controls[frozen].signal(syscall.SIGCONT)
		}
		judgeFrom := acked.Add(evacuationMax)
		if calm := time.Now().Add(contact); calm.After(judgeFrom) {
			judgeFrom = calm
		}
		time.Sleep(time.Until(judgeFrom.Add(time.Second)))
		if e.reportStarts(zone, acked, judgeFrom) > 0 {
			return exitBroken, nil
		}
	}
	return exitHeld, nil
}

// submitShortJobs submits a job with one task a worker, again and again.
func (e *estate) submitShortJobs() {
	for i := 0; e.ctx.Err() == nil; i++ {
		e.submit(0, fmt.Sprintf("%016x", 0xbbbb0000+i), "short", `[{"count":6,"cpu":500,"requested-memory-mb":100,"anti-affinity":1}]`)
		time.Sleep(400 * time.Millisecond)
	}
}

// reportStarts reports the starts in a zone after a time, and returns their number.
func (e *estate) reportStarts(zone string, acked, from time.Time) int {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	late := 0
	for _, s := range e.pool.starts {
		if s.zone == zone && s.at.After(from) {
			late++
			e.logAt(s.at, "EVAC: run %d of %s starts on %s in %s, %.1f s after the ack of its evacuation", s.run, s.task, s.worker, zone, s.at.Sub(acked).Seconds())
		}
	}
	e.logf("%d late starts in the evacuated zone", late)
	return late
}

// playGang submits a gang of two tasks to a worker that for a while fails all that it starts. No other worker
// has the label that the tasks require.
func playGang(e *estate, trouble bool) (int, error) {
	if err := e.start(siteWorkers); err != nil {
		return exitFailed, err
	}
	e.pool.mu.Lock()
	e.pool.workers[0].labels = []string{"b", "r1"}
	e.pool.mu.Unlock()
	if err := e.prepare(gangAttempts); err != nil {
		return exitFailed, err
	}
	time.Sleep(2 * beatInterval) // the labels are known
	failingUntil := time.Now().Add(gangTrouble)
	e.pool.mu.Lock()
	e.pool.outcome = func(w *worker, _ string, _ uint64) (string, time.Duration) {
		if trouble && w == e.pool.workers[0] && time.Now().Before(failingUntil) {
			return "failed", gangWork
		}
		return "done", gangWork
	}
	e.pool.mu.Unlock()
	id := fmt.Sprintf("%016x", 0xcccc0001)
	e.submit(0, id, "gang 2", `[{"count":2,"cpu":2000,"requested-memory-mb":100,"gang-scheduled":true,"requirements":"b"}]`)
	if e.awaitCompleted(id, 15*time.Second) {
		return exitHeld, nil
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	runs := map[uint64]bool{}
	for _, s := range e.pool.starts {
		if strings.HasPrefix(s.task, id) {
			runs[s.run] = true
		}
	}
	e.logf("LOST: the job is not completed; its gang was started %d times, max-attempts is %d", len(runs), gangAttempts)
	if len(runs) >= gangAttempts {
		return exitFailed, errors.New("the gang has had all its attempts")
	}
	return exitBroken, nil
}

// playRestarted leaves a start without an answer, which reaches the worker after it has started again under its id.
func playRestarted(e *estate, trouble bool) (int, error) {
	if err := e.start(siteWorkers); err != nil {
		return exitFailed, err
	}
	p := e.pool
	p.mu.Lock()
	p.workers[0].labels = append(p.workers[0].labels, "b", "c")
	p.workers[1].labels = append(p.workers[1].labels, "b")
	p.mu.Unlock()
	if err := e.prepare(4); err != nil {
		return exitFailed, err
	}
	time.Sleep(2 * beatInterval) // the labels are known
	id := fmt.Sprintf("%016x", 0xdddd0001)
	task := id + ".0.0.0"
	p.mu.Lock()
	p.outcome = func(*worker, string, uint64) (string, time.Duration) { return "done", longWork }
	p.isLate = func(w *worker, o orderBody) bool { return trouble && w == p.workers[0] && o.Task == task && o.Run == 1 }
	p.mu.Unlock()
	e.submit(0, id, "once", `[{"count":1,"cpu":1000,"requested-memory-mb":100,"requirements":"b"}]`)
	// This job makes the first worker the fuller one, so that the next run goes to the second.
	e.submit(0, fmt.Sprintf("%016x", 0xdddd0002), "other", `[{"count":1,"cpu":4000,"requested-memory-mb":100,"requirements":"c"}]`)
	time.Sleep(startToCrash)
	w := p.workers[0]
	if trouble {
		w.crash()
		time.Sleep(downTime)
		w.boot()
		time.Sleep(bootToOrder)
		p.carryOutLate()
	}
	for deadline := time.Now().Add(longWork); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if on := p.runningOn(task); len(on) > 1 {
			e.logf("TWICE: %s runs on %s at the same time", task, strings.Join(on, " and "))
			return exitBroken, nil
		}
	}
	if !e.awaitCompleted(id, 10*time.Second) {
		return exitFailed, errors.New("the job does not end")
	}
	return exitHeld, nil
}

// playSilent silences all open channels between the machines for good. New ones work.
func playSilent(e *estate, trouble bool) (int, error) {
	e.proxied = true
	if err := e.start(4); err != nil {
		return exitFailed, err
	}
	if err := e.prepare(4); err != nil {
		return exitFailed, err
	}
	first := fmt.Sprintf("%016x", 0xeeee0001)
	if e.submit(0, first, "before", `[{"count":4,"cpu":500,"requested-memory-mb":100}]`).status != http.StatusOK {
		return exitFailed, fmt.Errorf("a job is not accepted")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		silenced := 0
		for _, p := range e.proxies {
			silenced += p.silence()
		}
		e.logf("%d open channels to the control machines are silent from now on", silenced)
	}
	return e.judgeAnswers(first), nil
}

// judgeAnswers checks for a time, after a time to recover, that the config can be read, an accepted job is known
// and a new job is accepted.
func (e *estate) judgeAnswers(job string) int {
	time.Sleep(recovery)
	e.logf("the time to recover is over")
	var config, known, accepted bool
	for i, deadline := 0, time.Now().Add(answerLimit); time.Now().Before(deadline) && (!config || !known || !accepted); i++ {
		d := e.controls[i%len(e.controls)]
		if !d.gone {
			r := call(http.MethodGet, d.operators, "", "/jaygw/configuration/read", "", time.Second)
			e.logf("operator: read of the config at %s -> %d %s", d.name, r.status, errText(r.err))
			config = config || r.status == http.StatusOK
		}
		known = known || e.state(i, job).status == http.StatusOK
		accepted = accepted || e.submit(i, fmt.Sprintf("%016x", 0xffff0001), "after", `[{"count":1,"cpu":500,"requested-memory-mb":100}]`).status == http.StatusOK
		time.Sleep(200 * time.Millisecond)
	}
	e.logf("config read back: %t; job %s known: %t; new job accepted: %t", config, job, known, accepted)
	if config && known && accepted {
		return exitHeld
	}
	return exitBroken
}

// playReplaced replaces a control machine, the new one first; then another one loses its disk.
func playReplaced(e *estate, trouble bool) (int, error) {
	if err := e.start(4); err != nil {
		return exitFailed, err
	}
	if err := e.prepare(4); err != nil {
		return exitFailed, err
	}
	first := fmt.Sprintf("%016x", 0xeeee0001)
	if e.submit(0, first, "before", `[{"count":4,"cpu":500,"requested-memory-mb":100}]`).status != http.StatusOK {
		return exitFailed, fmt.Errorf("a job is not accepted")
	}
	if !e.awaitCompleted(first, 5*time.Second) {
		return exitFailed, fmt.Errorf("a job does not end")
	}
	if trouble {
		old := e.controls[0]
		added := &daemon{
			estate: e, name: "control-4", role: "control", address: e.host(30), zone: old.zone, operators: e.at(30, controlPort),
		}
		e.controls = append(e.controls, added)
		if err := added.start(); err != nil {
			return exitFailed, err
		}
		time.Sleep(catchUp + time.Second)
		e.logf("the new machine has had its time to catch up; the old one leaves")
		old.gone = true
		old.signal(syscall.SIGTERM)
		<-old.ended
		e.logf("%s has ended", old.name)
		time.Sleep(leaveToLoss)
		lost := e.controls[1]
		lost.kill()
		if err := os.RemoveAll(filepath.Join(e.folder, "data", lost.name)); err != nil {
			return exitFailed, err
		}
		e.logf("%s has lost its disk", lost.name)
		time.Sleep(downTime)
		if err := lost.start(); err != nil {
			return exitFailed, err
		}
	}
	return e.judgeAnswers(first), nil
}
