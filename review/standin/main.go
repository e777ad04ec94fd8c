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
	cancelMax     = 3 * time.Second
	catchUp       = 4 * time.Second
	ackMax        = 4 * time.Second

	freezeTime       = 4 * time.Second
	evacuationRounds = 10

	gangAttempts = 2
	gangWork     = 300 * time.Millisecond
	gangTrouble  = 1 * time.Second

	cancelRounds = 8
	cancelFreeze = 3500 * time.Millisecond

	// giveUpAfter is the time after which a client leaves.
	giveUpAfter = 125 * time.Millisecond

	// leaveToLoss is the time between the end of the replaced process and the loss of another one's disk.
	leaveToLoss = 2 * time.Second

	// downTime is the time that the machine without its disk is down.
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
	"cancel":     playCancel,
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
		if e.submit(0, id, "warm up", `[{"count":1,"cpu":100,"requested-memory-mb":10}]`).status == http.StatusOK && e.await(id, "completed", 3*time.Second) {
			return nil
		}
	}
	return fmt.Errorf("the estate does not serve")
}

func (e *estate) submit(entry int, id, specification, steps string) response {
	return e.submitFor(timeBudget, entry, id, specification, steps)
}

// submitFor submits a job; the client leaves after the limit.
func (e *estate) submitFor(limit time.Duration, entry int, id, specification, steps string) response {
	body := fmt.Sprintf(`{"specification":%q,"steps":%s}`, specification, steps)
	d := e.entries[entry%len(e.entries)]
	r := call(http.MethodPost, d.callers, host, "/jobs/"+id, body, limit)
	e.logf("client: POST %s (%s) at %s -> %d %s", id, specification, d.name, r.status, errText(r.err))
	return r
}

func (e *estate) state(entry int, id string) response {
	d := e.entries[entry%len(e.entries)]
	r := call(http.MethodGet, d.callers, host, "/jobs/"+id, "", timeBudget)
	e.logf("client: GET %s at %s -> %d %s %s", id, d.name, r.status, r.body, errText(r.err))
	return r
}

// await waits until a job is shown in a state.
func (e *estate) await(id, state string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if r := e.state(0, id); r.status == http.StatusOK && r.body == fmt.Sprintf(`{"state":%q}`, state) {
			return true
		}
	}
	return false
}

// playEvacuation withdraws the evacuation of a zone and orders it again, while one control process is frozen
// to which the withdrawal was sent first.
func playEvacuation(e *estate, trouble bool) (int, error) {
	if err := e.start(1, 6); err != nil {
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
	if err := e.start(1, 4); err != nil {
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
	if e.await(id, "completed", 15*time.Second) {
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

// playCancel cancels a job whose submission has got no answer: the entry that it was sent to is frozen.
func playCancel(e *estate, trouble bool) (int, error) {
	if err := e.start(2, 4); err != nil {
		return exitFailed, err
	}
	if err := e.prepare(4); err != nil {
		return exitFailed, err
	}
	broken := 0
	for i := range cancelRounds {
		id := fmt.Sprintf("%016x", 0xdddd0000+i)
		if trouble {
			e.entries[1].signal(syscall.SIGSTOP)
		}
		stopped := time.Now()
		e.submitFor(giveUpAfter, 1, id, "given up", `[{"count":1,"cpu":500,"requested-memory-mb":100}]`)
		r := call(http.MethodDelete, e.entries[0].callers, host, "/jobs/"+id, "", timeBudget)
		acked := time.Now()
		e.logf("client: DELETE %s at entry-1 -> %d %s", id, r.status, errText(r.err))
		if r.status != http.StatusOK && r.status != http.StatusGone {
			return exitFailed, errNoAck
		}
		time.Sleep(time.Until(stopped.Add(cancelFreeze)))
		if trouble {
			e.entries[1].signal(syscall.SIGCONT)
		}
		time.Sleep(2 * time.Second)
		e.pool.mu.Lock()
		for _, s := range e.pool.starts {
			if strings.HasPrefix(s.task, id) && s.at.After(acked.Add(cancelMax)) {
				broken++
				e.logAt(s.at, "UNASKED: %s starts %.1f s after the cancel of its job was answered with %d", s.task, s.at.Sub(acked).Seconds(), r.status)
			}
		}
		e.pool.mu.Unlock()
	}
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// playSilent silences all open channels between the machines for good. New ones work.
func playSilent(e *estate, trouble bool) (int, error) {
	e.proxied = true
	if err := e.start(1, 4); err != nil {
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
	if err := e.start(1, 4); err != nil {
		return exitFailed, err
	}
	if err := e.prepare(4); err != nil {
		return exitFailed, err
	}
	first := fmt.Sprintf("%016x", 0xeeee0001)
	if e.submit(0, first, "before", `[{"count":4,"cpu":500,"requested-memory-mb":100}]`).status != http.StatusOK {
		return exitFailed, fmt.Errorf("a job is not accepted")
	}
	if !e.await(first, "completed", 5*time.Second) {
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
