// Command standin plays the cases of the review. It starts jaygw's daemons as separate processes on
// loopback addresses, beside stand-ins of the platform, the workers, the clients and the operator.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	// estate is a small deployment on loopback addresses.
	estate struct {
		root   string // of the repository
		folder string // temporary folder with settings, data and logs
		net1   int
		net2   int
		zones  []string

		recordMu sync.Mutex
		record   *os.File
		began    time.Time

		controls, entries, agents []*daemon
		pool                      *pool
		adviser                   string
		proxied                   bool // connections to the control replicas pass through proxies
		proxies                   []*proxy
		stop                      context.CancelFunc
		ctx                       context.Context
	}

	// daemon is one process of jaygw.
	daemon struct {
		estate    *estate
		name      string
		role      string
		address   string
		zone      string
		operators string // address of the operators' or the worker's calls
		callers   string
		worker    string
		firstRun  bool
		gone      bool // its machine was removed

		mu      sync.Mutex
		command *exec.Cmd
		ended   chan struct{}
	}
)

const (
	controlMachines = 3

	processPort  = 7720
	behindPort   = 7721 // of a control replica behind a proxy
	controlPort  = 8166
	frontPort    = 8161
	readyPort    = 8167
	workerPort   = 8165
	adviserPort  = 8169
	timeBudget   = 3 * time.Second // of a client
	beatInterval = 1100 * time.Millisecond
	maxHold      = 6 * time.Second
)

func newEstate(folder string, zones []string) (*estate, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "jaygw-review")
	if err != nil {
		return nil, err
	}
	e := &estate{root: root, folder: temporary, record: record, began: time.Now(), zones: zones}
	for range 100 {
		e.net1, e.net2 = 1+rand.IntN(200), rand.IntN(250)
		if e.isFree() {
			break
		}
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.pool = newPool(e)
	return e, nil
}

// isFree reports whether the ports are free on the first addresses of the network.
func (e *estate) isFree() bool {
	for vm := 1; vm <= 40; vm++ {
		for _, port := range []int{processPort, controlPort, frontPort, readyPort, workerPort, adviserPort, 9464, 9465} {
			l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", e.at(vm, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (e *estate) host(vm int) string           { return fmt.Sprintf("127.%d.%d.%d", e.net1, e.net2, vm) }
func (e *estate) at(vm, port int) string       { return fmt.Sprintf("%s:%d", e.host(vm), port) }
func (e *estate) since(t time.Time) float64    { return t.Sub(e.began).Seconds() }
func (e *estate) logf(format string, a ...any) { e.logAt(time.Now(), format, a...) }

// logAt writes a line to the record.
func (e *estate) logAt(at time.Time, format string, a ...any) {
	e.recordMu.Lock()
	defer e.recordMu.Unlock()
	fmt.Fprintf(e.record, "%9.3f  %s\n", e.since(at), fmt.Sprintf(format, a...))
}

// start starts the daemons: the control replicas, an entry and agents with one worker each. Zones take turns.
func (e *estate) start(agents int) error {
	vm := 0
	add := func(list *[]*daemon, role string, count int) {
		for i := range count {
			vm++
			*list = append(*list, &daemon{
				estate: e, name: fmt.Sprintf("%s-%d", role, i+1), role: role, address: e.host(vm), zone: e.zones[i%len(e.zones)],
				operators: e.at(vm, controlPort), callers: e.at(vm, frontPort), worker: e.at(vm, workerPort), firstRun: true,
			})
		}
	}
	add(&e.controls, "control", controlMachines)
	add(&e.entries, "entry", 1)
	add(&e.agents, "agent", agents)
	for _, list := range [][]*daemon{e.controls, e.entries, e.agents} {
		for _, d := range list {
			if err := d.addProxy(); err != nil {
				return err
			}
			if err := d.start(); err != nil {
				return err
			}
		}
	}
	for i, d := range e.agents {
		w, err := e.pool.add(fmt.Sprintf("i-%08x", i+1), d)
		if err != nil {
			return err
		}
		go w.beat(e.ctx)
	}
	return nil
}

// addProxy starts the proxy in front of a control replica, where there are proxies.
func (d *daemon) addProxy() error {
	e := d.estate
	if !e.proxied || d.role != "control" {
		return nil
	}
	p, err := newProxy(d.address+fmt.Sprintf(":%d", processPort), d.address+fmt.Sprintf(":%d", behindPort))
	e.proxies = append(e.proxies, p)
	return err
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (e *estate) close() {
	e.stop()
	for _, list := range [][]*daemon{e.agents, e.entries, e.controls} {
		for _, d := range list {
			d.kill()
		}
	}
	e.recordMu.Lock()
	defer e.recordMu.Unlock()
	e.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(e.folder)
	}
}

// settings returns the settings file that deploy/node.json.tmpl gives.
func (d *daemon) settings() map[string]any {
	e := d.estate
	seeds := []string{}
	for _, c := range e.controls {
		if !c.gone && len(seeds) < 3 {
			seeds = append(seeds, c.operators)
		}
	}
	data, worker, adviser := "", "", e.adviser
	listen := map[string]any{"callers": "", "ready": "", "operators": ""}
	switch d.role {
	case "control":
		data = filepath.Join(e.folder, "data", d.name)
		listen["operators"] = d.operators
		if e.proxied {
			listen["processes"] = fmt.Sprintf("%s:%d", d.address, behindPort)
		}
	case "entry":
		listen["callers"], listen["ready"] = d.callers, strings.TrimSuffix(d.callers, fmt.Sprint(frontPort))+fmt.Sprint(readyPort)
	default:
		listen["operators"], worker = d.operators, d.worker
	}
	return map[string]any{
		"name": d.name, "group": "main", "region": "region", "failure-domain": d.zone, "failure-domains": e.zones,
		"address": d.address, "process-port": processPort, "listen": listen, "seeds": seeds, "first-start": d.firstRun,
		"data-folder": data, "worker": worker, "adviser": adviser, "longest-lease": fmt.Sprintf("%dms", maxHold.Milliseconds()),
		"tolerated-losses": 1, "grace": "6s", "log": map[string]string{"level": "info", "format": "json"},
	}
}

// start writes the settings file and starts the process with the command of the deploy file.
func (d *daemon) start() error {
	data, err := json.MarshalIndent(d.settings(), "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(d.estate.folder, d.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(file+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	port := "9464"
	if d.role == "control" {
		port = "9465"
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.command = exec.CommandContext(context.Background(), "target/jaygw", "node", d.role, "--metrics-port", port)
	d.command.Dir = d.estate.root
	d.command.Env = append(os.Environ(), "JAYGW_NODE_FILE="+file)
	d.command.Stdout, d.command.Stderr = log, log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	d.firstRun = false
	ended := make(chan struct{})
	d.ended = ended
	go func(command *exec.Cmd) {
		_ = command.Wait() // fails because a signal ends the process
		close(ended)
	}(d.command)
	d.estate.logf("started %s %s", d.role, d.name)
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command == nil || d.command.Process == nil {
		return
	}
	d.estate.logf("%s gets signal %d (%s)", d.name, int(s), s)
	_ = d.command.Process.Signal(s) // fails if the process has ended
}

func (d *daemon) kill() {
	if d.command == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	<-d.ended
}

// response is what a caller gets; status is zero without a response.
type response struct {
	status int
	body   string
	err    error
}

// call sends one request on a connection of its own, which is closed after the limit.
func call(method, address, host, path, body string, limit time.Duration) response {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	if host != "" {
		r.Host = host
	}
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	r.Header.Set("Deadline-Milliseconds", fmt.Sprint(timeBudget.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return response{err: err}
	}
	return response{status: answer.StatusCode, body: strings.TrimSpace(string(data))}
}

// order sends an operator's order to the control processes in turn, beginning with the given one, until one
// acknowledges it. It moves on after a second without a response.
func (e *estate) order(first int, path, body string, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for i := first; time.Now().Before(deadline); i++ {
		d := e.controls[i%len(e.controls)]
		e.logf("operator sends POST %s to %s", path, d.name)
		r := call(http.MethodPost, d.operators, "", path, body, time.Second)
		e.logf("operator gets %d from %s for POST %s %s", r.status, d.name, path, errText(r.err))
		if r.status >= 200 && r.status < 300 {
			return true
		}
		if r.status >= 400 && r.status < 500 && r.status != http.StatusTooManyRequests && r.status != http.StatusRequestTimeout {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return "(" + err.Error() + ")"
}
