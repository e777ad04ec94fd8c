package launcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/operator/client"
	"github.com/jaygw/jaygw/internal/platform/connector"
	"github.com/jaygw/jaygw/internal/platform/emulator"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

const (
	patience = 30 * time.Second
	work     = 30 * time.Millisecond
	// leavingBound is how long after an upstream began to leave a new request may
	// still reach it.
	leavingBound = 3 * time.Second
)

// estate is an entry with a control replica and two agents in one process, each of
// which can be stopped by itself.
type estate struct {
	t         *testing.T
	quiet     *logrus.Logger
	callers   string
	operators string
	upstreams [2]*standIn
	agents    [2]context.CancelFunc
	ended     [2]chan error
	stop      context.CancelFunc
	done      chan error
}

// standIn is an upstream that echoes after some work and notes its last request.
type standIn struct {
	worker http.Handler
	last   atomic.Int64
	count  atomic.Int64
}

func (s *standIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, connector.Prefix) || r.URL.Path == "/health" {
		s.worker.ServeHTTP(w, r)
		return
	}
	s.last.Store(time.Now().UnixNano())
	s.count.Add(1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("work"))
	time.Sleep(wait)
	_, _ = w.Write(body)
}

func start(t *testing.T) *estate {
	e := &estate{t: t, quiet: logrus.New(), done: make(chan error, 1)}
	e.quiet.SetOutput(io.Discard)
	sockets := Listeners{Callers: open(t), Operators: open(t), Processes: open(t)}
	e.callers, e.operators = sockets.Callers.Addr().String(), sockets.Operators.Addr().String()
	control := sockets.Processes.Addr().String()
	entry := New(jaygw.Settings{
		Name: "entry-1", Group: jaygw.DefaultGroup, Region: "r", Domain: "a",
		Control: &jaygw.ControlSettings{ID: 1, DataFolder: t.TempDir(), Members: []jaygw.Member{
			{ID: 1, Name: "entry-1", Address: control, Domain: "a", Voter: true},
		}},
		Limits: jaygw.RequestLimits{BalancerWait: jaygw.Duration(500 * time.Millisecond)},
	}, WithListeners(sockets), WithLogger(e.quiet))
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go func() { e.done <- entry.Run(ctx, jaygw.RoleEntry) }()
	for i := range e.agents {
		e.startAgent(i, control)
	}
	t.Cleanup(func() {
		e.stop()
		for i := range e.agents {
			e.agents[i]()
		}
	})
	e.deploy()
	return e
}

func open(t *testing.T) net.Listener {
	socket, err := listen(anyPort)
	require.NoError(t, err)
	return socket
}

func (e *estate) startAgent(i int, control string) {
	size := jaygw.Resources{CPU: 4 * jaygw.Core, Memory: 8 * jaygw.GB}
	e.upstreams[i] = &standIn{worker: emulator.New(size).Handler()}
	socket := open(e.t)
	server := &http.Server{Handler: e.upstreams[i], ReadHeaderTimeout: patience}
	go func() { _ = server.Serve(socket) }()
	e.t.Cleanup(func() { server.Close() })
	agent := New(jaygw.Settings{
		Name: fmt.Sprintf("vm-%d", i), Group: jaygw.DefaultGroup, Region: "r", Domain: "a", Rack: "a-r1",
		Peers: []string{control}, Listen: jaygw.Listen{Processes: anyPort},
		Limits: jaygw.RequestLimits{
			BalancerWait: jaygw.Duration(time.Second), DrainTimeout: jaygw.Duration(10 * time.Second),
		},
		Worker: &jaygw.WorkerSettings{
			Address: socket.Addr().String(), Size: size, Slots: 8, Connections: 64, Services: []string{"booking"},
		},
	}, WithLogger(e.quiet))
	ctx, stop := context.WithCancel(context.Background())
	e.agents[i], e.ended[i] = stop, make(chan error, 1)
	go func() { e.ended[i] <- agent.Run(ctx, jaygw.RoleAgent) }()
}

func (e *estate) deploy() {
	operator := client.New(e.operators)
	document := jaygw.Document{
		Environment: "e", Number: 1, Domains: []jaygw.DomainSpec{{Name: "a", Region: "r"}},
		Teams: []jaygw.TeamSpec{{Name: "t", Quota: jaygw.Resources{CPU: 4 * jaygw.Core, Memory: 8 * jaygw.GB}}},
		Services: []jaygw.ServiceSpec{{
			Name: "booking", Team: "t", Class: jaygw.LatencyCritical, Replicas: 1, Timeout: jaygw.Duration(10 * time.Second),
			Resources: jaygw.Resources{CPU: jaygw.Core, Memory: jaygw.GB}, RetryPercent: 50,
		}},
	}
	require.Eventually(e.t, func() bool {
		submitted, err := operator.Submit(e.t.Context(), document, "test")
		if err != nil {
			return false
		}
		_, err = operator.Promote(e.t.Context(), "e", submitted.Digest, "test")
		return err == nil
	}, patience, 50*time.Millisecond)
	require.Eventually(e.t, func() bool {
		_ = e.send("warm", 0)
		return e.upstreams[0].count.Load() > 0 && e.upstreams[1].count.Load() > 0
	}, patience, 20*time.Millisecond)
}

// send makes a request and returns why it was not answered as it should be.
func (e *estate) send(body string, work time.Duration) error {
	response, err := http.Post(fmt.Sprintf("http://%s/booking/confirm?work=%s", e.callers, work), "text/plain", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || string(data) != body {
		return fmt.Errorf("status %d: %s", response.StatusCode, data)
	}
	return nil
}

// callers send requests until the entry is not ready, as a balancer lets them.
func (e *estate) call(number int) (wait func() []error) {
	var mu sync.Mutex
	var broken []error
	var senders sync.WaitGroup
	var notReady atomic.Bool
	senders.Go(func() {
		for !notReady.Load() {
			response, err := http.Get("http://" + e.callers + "/ready")
			if err != nil || response.StatusCode != http.StatusNoContent {
				notReady.Store(true)
			}
			if err == nil {
				response.Body.Close()
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	for i := range number {
		senders.Go(func() {
			for n := 0; !notReady.Load(); n++ {
				if err := e.send(fmt.Sprintf("request %d of sender %d", n, i), work); err != nil {
					mu.Lock()
					broken = append(broken, err)
					mu.Unlock()
				}
			}
		})
	}
	return func() []error { senders.Wait(); return broken }
}

// Neither an agent nor an entry that is shut down may cut off a request, and an
// upstream that leaves must get no new one after the bound.
func TestShutdownCutsOffNothing(t *testing.T) {
	e := start(t)
	wait := e.call(4)
	slow := make(chan error, 2)
	go func() { slow <- e.send("slow at the agent", 2*time.Second) }()
	time.Sleep(300 * time.Millisecond)

	left := time.Now()
	e.agents[0]()
	require.NoError(t, <-e.ended[0])
	time.Sleep(time.Until(left.Add(leavingBound + 500*time.Millisecond)))
	require.Less(t, time.Unix(0, e.upstreams[0].last.Load()).Sub(left), leavingBound)
	require.NoError(t, <-slow)

	go func() { slow <- e.send("slow at the entry", 2*time.Second) }()
	time.Sleep(300 * time.Millisecond)
	e.stop()
	require.Empty(t, wait())
	require.NoError(t, <-slow)
	require.NoError(t, <-e.done)
}
