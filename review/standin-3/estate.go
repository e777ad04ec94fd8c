package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

type (
	// estate is a small deployment of real processes on loopback addresses.
	estate struct {
		record    *record
		folder    string
		network   string // first three bytes of all addresses
		port      int    // first port on each address
		processes []*exec.Cmd
		controls  []string // addresses for operators
		entries   []string // addresses for callers
		workers   []*worker
		agents    []*os.Process // of the workers
	}

	// size is what an estate consists of. A VM with a control process has an entry too.
	size struct {
		controls, workers int
		adviser           string // address of the service that issues tickets; empty if there is none
	}
)

const (
	metricsPort  = 9464
	controlDisk  = "control"
	startTimeout = 30 * time.Second

	// The allowances of a VM, as DEPLOY.md and the sheets of the small deployments give them.
	frontMemoryMB, sideMemoryMB = 284, 152
	fileDescriptors             = 4100
)

var (
	background = context.Background()
	zones      = []string{"burnaby-a", "burnaby-b", "surrey", "richmond"}

	errNoPorts = errors.New("no free ports")
)

// newEstate starts the processes of a deployment with the commands of deploy/system.toml.
func newEstate(rec *record, s size) (*estate, error) {
	folder, err := os.MkdirTemp("", "jaygw-review")
	if err != nil {
		return nil, err
	}
	e := &estate{record: rec, folder: folder, network: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))}
	if e.port, err = e.freePort(); err != nil {
		return e, err
	}
	for i := range s.controls {
		e.controls = append(e.controls, e.address(1+i, 1))
	}
	for i := range s.controls {
		vm := 1 + i
		settings := e.settings(vm, zones[i%len(zones)], s)
		settings["first-start"], settings["memory"] = true, frontMemoryMB*1_000_000
		control := clone(settings)
		control["data-folder"] = filepath.Join(folder, fmt.Sprintf("%s-%d", controlDisk, vm))
		control["listen"] = map[string]string{"operators": e.controls[i]}
		if err := e.start(vm, "control", metricsPort+1, control); err != nil {
			return e, err
		}
		settings["listen"] = map[string]string{"callers": e.address(vm, 2), "ready": e.address(vm, 3)}
		if err := e.start(vm, "entry", metricsPort, settings); err != nil {
			return e, err
		}
		e.entries = append(e.entries, e.address(vm, 2))
	}
	for i := range s.workers {
		if err := e.startSide(10+i, zones[i%len(zones)], s); err != nil {
			return e, err
		}
	}
	return e, nil
}

// startSide starts a worker and the agent on its VM.
func (e *estate) startSide(vm int, zone string, s size) error {
	w, err := startWorker(fmt.Sprintf("i-%08x", rand.Uint32()), zone, e.address(vm, 4), e.record)
	if err != nil {
		return err
	}
	e.workers = append(e.workers, w)
	settings := e.settings(vm, zone, s)
	settings["first-start"], settings["memory"], settings["worker"] = true, sideMemoryMB*1_000_000, w.address
	settings["longest-lease"] = fmt.Sprintf("%dms", longestLease.Milliseconds())
	settings["listen"] = map[string]string{"operators": e.address(vm, 1)}
	if err := e.start(vm, "agent", metricsPort, settings); err != nil {
		return err
	}
	e.agents = append(e.agents, e.processes[len(e.processes)-1].Process)
	go w.sendHeartbeats(e.address(vm, 1))
	return nil
}

// settings returns what deploy/node.json.tmpl gives for all roles of a VM.
func (e *estate) settings(vm int, zone string, s size) map[string]any {
	return map[string]any{
		"name": fmt.Sprintf("vm-%d", vm), "group": "main", "region": "lower-mainland", "failure-domain": zone, "failure-domains": zones,
		"address": e.host(vm), "process-port": e.port, "seeds": e.controls[:min(len(e.controls), 3)], "adviser": s.adviser,
		"tolerated-losses": 1, "grace": "6s", "file-descriptors": fileDescriptors, "log": map[string]string{"level": "info", "format": "json"},
	}
}

func clone(settings map[string]any) map[string]any {
	copied := map[string]any{}
	for key, value := range settings {
		copied[key] = value
	}
	return copied
}

// start starts a process with its settings file, and its output in a log file beside it.
func (e *estate) start(vm int, role string, metrics int, settings map[string]any) error {
	name := filepath.Join(e.folder, fmt.Sprintf("%s-%d", role, vm))
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(name+".json", data, 0o600); err != nil {
		return err
	}
	log, err := os.Create(name + ".log")
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.CommandContext(background, "target/jaygw", "node", role, "--metrics-port", strconv.Itoa(metrics))
	process.Env = append(os.Environ(), "JAYGW_NODE_FILE="+name+".json")
	process.Stdout, process.Stderr = log, log
	// The process ends with the driver, also if that is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	e.processes = append(e.processes, process)
	return nil
}

// end ends all processes and removes the folder. A process that has ended by itself is recorded.
func (e *estate) end() {
	for _, process := range e.processes {
		if process.Process.Signal(syscall.Signal(0)) != nil {
			e.record.add("process", "%v has ended by itself", process.Args)
		}
		_ = process.Process.Kill() // fails if the process has ended
		_ = process.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.folder)
	}
}

// leaderChanges returns how often a control process has begun to lead, by the log lines of all of them.
func (e *estate) leaderChanges() int {
	changes := 0
	logs, _ := filepath.Glob(filepath.Join(e.folder, "control-*.log"))
	for _, log := range logs {
		data, _ := os.ReadFile(log)
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "control: leadership changed") && strings.Contains(line, `"leads":true`) {
				changes++
			}
		}
	}
	return changes
}

func (e *estate) host(vm int) string { return fmt.Sprintf("%s.%d", e.network, vm) }

func (e *estate) address(vm, port int) string { return fmt.Sprintf("%s:%d", e.host(vm), e.port+port) }

// freePort returns the first of eight ports that nothing listens on at the estate's first address.
func (e *estate) freePort() (int, error) {
	for range 100 {
		port, free := 12000+8*rand.IntN(2000), true
		for i := range 8 {
			conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(background, "tcp", fmt.Sprintf("%s:%d", e.host(1), port+i))
			if err == nil {
				conn.Close()
			}
			free = free && errors.Is(err, syscall.ECONNREFUSED)
		}
		if free {
			return port, nil
		}
	}
	return 0, errNoPorts
}

// call sends a request and returns the status and the body of the answer, or 0 and the error without one.
func call(timeout time.Duration, method, url, host, body string) (int, string) {
	ctx, cancel := context.WithTimeout(background, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Milliseconds", strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(data))
}
