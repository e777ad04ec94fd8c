package endtoend

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/observe/collector"
	"github.com/jaygw/jaygw/internal/operator/client"
	"github.com/jaygw/jaygw/internal/operator/responder"
	"github.com/jaygw/jaygw/internal/platform/emulator"
	"github.com/stretchr/testify/require"
)

type (
	// estate is an estate whose daemons run as separate processes on loopback. The stand-in
	// workers run in the test process, so that their records survive the daemons.
	estate struct {
		t       *testing.T
		binary  string
		folder  string
		members []jaygw.Member
		entries []*daemon
		agents  []*daemon
		workers []*worker
		host    string // own loopback address, chosen at random
		port    int    // last port that was handed out

		timeline collector.Timeline // collected before the daemons stop
	}

	// daemon is a process with the settings to start it again. process is nil after its end.
	daemon struct {
		settings jaygw.Settings
		role     jaygw.Role
		file     string // of the settings
		process  *exec.Cmd
		ended    chan error // receives the result when the process has ended
	}

	// worker is a stand-in worker that counts the service requests that it executes.
	worker struct {
		domain string
		server *httptest.Server
		tasks  *emulator.Worker

		mu       sync.Mutex
		executed map[string]int // by request id
	}
)

const (
	estateEntries = 3
	estateAgents  = 11
	perRack       = 3
	firstPort     = 20_000 // below the system's range of ports for outgoing connections
)

var domainNames = []string{"north", "south", "east"}

// newEmptyEstate returns an estate without daemons, on a loopback address of its own.
func newEmptyEstate(t *testing.T) *estate {
	t.Helper()
	return &estate{
		t: t, binary: buildProgram(t), folder: t.TempDir(),
		host: fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(200), rand.IntN(250)), port: firstPort,
	}
}

// newEstate returns an estate with entries and agents, all of them started.
func newEstate(t *testing.T) *estate {
	t.Helper()
	e := newEmptyEstate(t)
	for i := range estateEntries {
		e.members = append(e.members, jaygw.Member{
			ID: uint64(i + 1), Name: fmt.Sprintf("entry-%d", i+1), Address: e.freeAddress(), Domain: domainNames[i], Voter: true,
		})
	}
	for i := range estateEntries {
		e.entries = append(e.entries, e.newEntry(i))
	}
	for i := range estateAgents {
		e.agents = append(e.agents, e.newAgent(i))
	}
	for _, d := range e.daemons() {
		e.start(d)
	}
	t.Cleanup(func() {
		for _, d := range e.daemons() {
			e.kill(d)
		}
	})
	return e
}

func (e *estate) daemons() []*daemon { return append(append([]*daemon{}, e.entries...), e.agents...) }

func (e *estate) newEntry(number int) *daemon {
	member := e.members[number]
	folder := filepath.Join(e.folder, member.Name)
	require.NoError(e.t, os.MkdirAll(folder, 0o750))
	return &daemon{role: jaygw.RoleEntry, settings: jaygw.Settings{
		Name: member.Name, Group: jaygw.DefaultGroup, Region: "province", Domain: member.Domain, Rack: member.Domain + "-r0",
		Listen: jaygw.Listen{Callers: e.freeAddress(), Operators: e.freeAddress(), Processes: member.Address},
		Peers:  e.addressesExcept(number),
		Control: &jaygw.ControlSettings{
			ID: member.ID, DataFolder: folder, Members: e.members,
		},
		Limits: jaygw.RequestLimits{BalancerWait: jaygw.Duration(100 * time.Millisecond)},
		Log:    jaygw.LogSettings{Level: "warning"},
	}}
}

func (e *estate) addressesExcept(number int) []string {
	var addresses []string
	for i, member := range e.members {
		if i != number {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

func (e *estate) newAgent(number int) *daemon {
	rack := number / perRack
	domain := domainNames[rack%len(domainNames)]
	size := jaygw.Resources{CPU: 16 * jaygw.Core, Memory: 62 * jaygw.GB}
	w := &worker{domain: domain, tasks: emulator.New(size), executed: map[string]int{}}
	w.server = httptest.NewServer(w.countRequests(w.tasks.Handler()))
	e.t.Cleanup(w.server.Close)
	e.workers = append(e.workers, w)
	return &daemon{role: jaygw.RoleAgent, settings: jaygw.Settings{
		Name: fmt.Sprintf("vm-%02d", number+1), Group: jaygw.DefaultGroup, Region: "province", Domain: domain,
		Rack:   fmt.Sprintf("%s-r%d", domain, rack/len(domainNames)+1),
		Listen: jaygw.Listen{Processes: e.freeAddress()},
		Peers:  e.addressesExcept(-1),
		Worker: &jaygw.WorkerSettings{Address: w.server.Listener.Addr().String(), Size: size, Slots: 8, Connections: 64},
		Log:    jaygw.LogSettings{Level: "warning"},
	}}
}

// countRequests wraps a handler to count the service requests by their id.
func (w *worker) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(requestHeader); id != "" {
			w.mu.Lock()
			w.executed[id]++
			w.mu.Unlock()
		}
		next.ServeHTTP(rw, r)
	})
}

func (e *estate) start(d *daemon) {
	e.t.Helper()
	data, err := json.MarshalIndent(d.settings, "", "  ")
	require.NoError(e.t, err)
	d.file = filepath.Join(e.folder, d.settings.Name+".json")
	require.NoError(e.t, os.WriteFile(d.file, data, 0o600))
	d.process = exec.Command(e.binary, string(d.role), "--settings", d.file)
	d.process.Stdout = os.Stderr
	d.process.Stderr = os.Stderr
	require.NoError(e.t, d.process.Start())
	d.ended = make(chan error, 1)
	go func(process *exec.Cmd, ended chan error) { ended <- process.Wait() }(d.process, d.ended)
}

func (e *estate) kill(d *daemon) {
	if d.process == nil {
		return
	}
	_ = d.process.Process.Kill()
	<-d.ended
	d.process = nil
}

// terminate sends SIGTERM and returns the result of the process once it has ended.
func (e *estate) terminate(d *daemon) error {
	require.NoError(e.t, d.process.Process.Signal(syscall.SIGTERM))
	defer func() { d.process = nil }()
	return <-d.ended
}

func (e *estate) signal(d *daemon, s syscall.Signal) {
	require.NoError(e.t, d.process.Process.Signal(s))
}

// operator returns a client of the first entry that responds.
func (e *estate) operator(ctx context.Context) *client.Client {
	for ctx.Err() == nil {
		for _, d := range e.entries {
			if d.process == nil {
				continue
			}
			c := client.New(d.settings.Listen.Operators)
			bounded, cancel := context.WithTimeout(ctx, 2*time.Second)
			_, err := c.Status(bounded)
			cancel()
			if err == nil {
				return c
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.NoError(e.t, ctx.Err(), "no entry responds to operators")
	return nil
}

// waitForStatus waits until the status meets a condition, which state describes.
func (e *estate) waitForStatus(ctx context.Context, state string, condition func(responder.StatusResponse) bool) {
	e.t.Helper()
	for ctx.Err() == nil {
		if status, err := e.operator(ctx).Status(ctx); err == nil && condition(status) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Fail(e.t, "the estate did not reach the state: "+state)
}

// leader returns the index of the entry whose replica leads.
func (e *estate) leader(ctx context.Context) int {
	status, err := e.operator(ctx).Status(ctx)
	require.NoError(e.t, err)
	for i, member := range e.members {
		if member.ID == status.Replica.Leader {
			return i
		}
	}
	return 0
}

// freeAddress returns an address that nothing else uses: the estate has a loopback address
// of its own, and each port is handed out once. The ports are below the range that the system
// uses for outgoing connections.
func (e *estate) freeAddress() string {
	e.t.Helper()
	for range 100 {
		e.port++
		address := fmt.Sprintf("%s:%d", e.host, e.port)
		if listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address); err == nil {
			listener.Close()
			return address
		}
	}
	e.t.Fatal("no free port")
	return ""
}

// TestAddressesAreHandedOutOnce guards against two daemons of an estate with the same
// port: the one that binds it second exits.
func TestAddressesAreHandedOutOnce(t *testing.T) {
	e := &estate{t: t, host: "127.0.0.1", port: firstPort}
	used := map[string]bool{}
	for range 500 {
		address := e.freeAddress()
		require.False(t, used[address], address)
		used[address] = true
	}
}
