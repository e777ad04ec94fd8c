package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

type (
	// estate is a deployment: VMs with processes of the project, and workers.
	estate struct {
		rec    *record
		folder string // temporary folder with settings, logs and disks
		net    [2]int // second and third byte of all addresses
		zones  []string
		seeds  []string // addresses of the first control VMs
		jobs   *registry
		caller *caller

		mu        sync.Mutex
		processes []*process
		workers   []*worker
		nextVM    int
	}

	// vm is a VM of the deployment.
	vm struct {
		name, host, zone string
		disk             string // data folder; empty without a disk
		worker           string // address of the worker beside an agent
	}

	// process is a program of the project on a VM.
	process struct {
		role    string
		vm      *vm
		file    string
		command *exec.Cmd
		ended   chan struct{}
	}
)

// Ports are the same on all VMs, as on the platform.
const (
	callersPort, readyPort, controlPort, processPort, appPort = 8161, 8167, 8166, 7720, 8080
	entryMetrics, controlMetrics                              = 9464, 9465

	graceTime = 6 * time.Second
)

// newEstate returns a deployment of three zones without VMs.
func newEstate(rec *record) (*estate, error) {
	folder, err := os.MkdirTemp("", "jaygw-review-")
	if err != nil {
		return nil, err
	}
	e := &estate{
		rec: rec, folder: folder, zones: []string{"zone-a", "zone-b", "zone-c"}, jobs: newRegistry(rec),
	}
	e.caller = newCaller(rec)
	for range 50 {
		e.net = [2]int{1 + rand.IntN(200), rand.IntN(250)}
		if e.isFree() {
			return e, nil
		}
	}
	return nil, errors.New("no free addresses")
}

// isFree reports whether nothing listens on the ports of the first addresses.
func (e *estate) isFree() bool {
	for vm := 1; vm <= 24; vm++ {
		for _, port := range []int{callersPort, readyPort, controlPort, processPort, appPort, entryMetrics, controlMetrics} {
			listener, err := net.Listen("tcp", net.JoinHostPort(e.host(vm), strconv.Itoa(port))) //nolint:noctx // loopback
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

func (e *estate) host(vm int) string { return fmt.Sprintf("127.%d.%d.%d", e.net[0], e.net[1], vm) }

// newVM adds a VM in a zone.
func (e *estate) newVM(name, zone string, disk bool) *vm {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextVM++
	v := &vm{name: name, host: e.host(e.nextVM), zone: zone}
	if disk {
		v.disk = filepath.Join(e.folder, "disk-"+name)
	}
	return v
}

func (v *vm) address(port int) string { return net.JoinHostPort(v.host, strconv.Itoa(port)) }

// start starts a program on a VM with the command of the deploy file.
func (e *estate) start(role string, v *vm, firstStart bool) (*process, error) {
	p := &process{role: role, vm: v, file: filepath.Join(e.folder, v.name+"-"+role+".json")}
	return p, e.startAgain(p, firstStart)
}

// startAgain starts a process that is not running.
func (e *estate) startAgain(p *process, firstStart bool) error {
	v := p.vm
	listen := map[string]string{}
	settings := map[string]any{
		"name": v.name, "group": "main", "region": "region", "failure-domain": v.zone, "failure-domains": e.zones,
		"address": v.host, "process-port": processPort, "listen": listen, "seeds": e.seeds, "first-start": firstStart,
		"data-folder": "", "worker": "", "adviser": "", "longest-lease": "6000ms", "tolerated-losses": 1, "grace": "6s",
		"log": map[string]string{"level": "info", "format": "json"},
	}
	metrics := entryMetrics
	switch p.role {
	case "entry":
		listen["callers"], listen["ready"] = v.address(callersPort), v.address(readyPort)
	case "control":
		listen["operators"], settings["data-folder"], metrics = v.address(controlPort), v.disk, controlMetrics
	default:
		listen["operators"], settings["worker"] = v.address(controlPort), v.worker
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.file, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(p.file+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/jaygw", "node", p.role, "--metrics-port", strconv.Itoa(metrics)) //nolint:noctx // ended by close
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JAYGW_NODE_FILE=" + p.file}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait() // fails for a process that a signal has ended
		close(ended)
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	p.command, p.ended = command, ended
	if !slices.Contains(e.processes, p) {
		e.processes = append(e.processes, p)
	}
	e.rec.line("%s on %s (%s) started", p.role, v.name, v.zone)
	return nil
}

// signal sends a signal to a process that this program has started.
func (e *estate) signal(p *process, s syscall.Signal) {
	e.rec.line("%s to %s on %s", s, p.role, p.vm.name)
	_ = p.command.Process.Signal(s) // fails if it has ended
}

// terminate stops processes as the platform does: SIGTERM, and SIGKILL after the grace time.
func (e *estate) terminate(processes ...*process) {
	for _, p := range processes {
		e.signal(p, syscall.SIGTERM)
	}
	kill := time.After(graceTime)
	for _, p := range processes {
		select {
		case <-p.ended:
		case <-kill:
			e.signal(p, syscall.SIGKILL)
			<-p.ended
		}
		e.rec.line("%s on %s ended", p.role, p.vm.name)
	}
}

// kill ends processes at once, as a loss of power does.
func (e *estate) kill(processes ...*process) {
	for _, p := range processes {
		e.signal(p, syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.ended
	}
}

// in returns the processes in a zone.
func (e *estate) in(zone string) []*process {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []*process
	for _, p := range e.processes {
		if p.vm.zone == zone {
			found = append(found, p)
		}
	}
	return found
}

// close ends all processes and workers. The folder stays if REVIEW_KEEP is set.
func (e *estate) close() {
	for _, p := range e.processes {
		_ = p.command.Process.Kill() // fails if it has ended
		<-p.ended
	}
	for _, w := range e.workers {
		w.close()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		os.RemoveAll(e.folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", e.folder)
	}
}

// startControl starts a control replica and an entry in each zone. It returns their addresses for operators and callers.
func (e *estate) startControl() (operators, entries []string, err error) {
	var fronts []*vm
	for _, zone := range e.zones {
		v := e.newVM("front-"+zone+"-1", zone, true)
		fronts, operators, entries = append(fronts, v), append(operators, v.address(controlPort)), append(entries, v.address(callersPort))
	}
	e.seeds = operators
	for _, v := range fronts {
		if err := e.startFront(v, true); err != nil {
			return nil, nil, err
		}
	}
	return operators, entries, nil
}

// startFront starts a control replica and an entry on a VM.
func (e *estate) startFront(v *vm, firstStart bool) error {
	for _, role := range []string{"control", "entry"} {
		if _, err := e.start(role, v, firstStart); err != nil {
			return err
		}
	}
	return nil
}

// on returns the processes on a VM.
func (e *estate) on(name string) []*process {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []*process
	for _, p := range e.processes {
		if p.vm.name == name {
			found = append(found, p)
		}
	}
	return found
}

// addWorker adds a worker and the agent beside it on a new VM.
func (e *estate) addWorker(name, zone, rack string, size capacity) error {
	v := e.newVM(name, zone, false)
	v.worker = v.address(appPort)
	w := newWorker(e.rec, e.jobs, name, zone, rack, v.worker, v.address(controlPort), size)
	if err := w.listen(); err != nil {
		return err
	}
	e.mu.Lock()
	e.workers = append(e.workers, w)
	e.mu.Unlock()
	agent, err := e.start("agent", v, true)
	w.agent = agent
	return err
}
