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
	waitLimit   = 30 * time.Second
	serviceTime = 30 * time.Millisecond
	// maxLeaveDelay is how long new requests may still reach an upstream after it began to
	// leave.
	maxLeaveDelay = 3 * time.Second
)

// estate is an entry with a control replica and two agents in one process. Each of the
// three can be stopped separately.
type estate struct {
	t           *testing.T
	log         *logrus.Logger
	callers     string
	operators   string
	upstreams   [2]*echoUpstream
	stopAgents  [2]context.CancelFunc
	agentErrors [2]chan error
	stopEntry   context.CancelFunc
	entryError  chan error
}

// echoUpstream is an upstream that echoes the body of a request after the requested time, and
// records when the last request arrived and how many there were.
type echoUpstream struct {
	worker      http.Handler
	lastRequest atomic.Int64 // in nanoseconds since 1970
	requests    atomic.Int64
}

func (s *echoUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, connector.Prefix) || r.URL.Path == "/health" {
		s.worker.ServeHTTP(w, r)
		return
	}
	s.lastRequest.Store(time.Now().UnixNano())
	s.requests.Add(1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	delay, _ := time.ParseDuration(r.URL.Query().Get("work"))
	time.Sleep(delay)
	_, _ = w.Write(body)
}

func startEstate(t *testing.T) *estate {
	e := &estate{t: t, log: logrus.New(), entryError: make(chan error, 1)}
	e.log.SetOutput(io.Discard)
	listeners := Listeners{Callers: openListener(t), Operators: openListener(t), Processes: openListener(t)}
	e.callers, e.operators = listeners.Callers.Addr().String(), listeners.Operators.Addr().String()
	control := listeners.Processes.Addr().String()
	entry := New(jaygw.Settings{
		Name: "entry-1", Group: jaygw.DefaultGroup, Region: "r", Domain: "a",
		Control: &jaygw.ControlSettings{ID: 1, DataFolder: t.TempDir(), Members: []jaygw.Member{
			{ID: 1, Name: "entry-1", Address: control, Domain: "a", Voter: true},
		}},
		Limits: jaygw.RequestLimits{BalancerWait: jaygw.Duration(500 * time.Millisecond)},
	}, WithListeners(listeners), WithLogger(e.log))
	ctx, stop := context.WithCancel(context.Background())
	e.stopEntry = stop
	go func() { e.entryError <- entry.Run(ctx, jaygw.RoleEntry) }()
	for i := range e.stopAgents {
		e.startAgent(i, control)
	}
	t.Cleanup(func() {
		e.stopEntry()
		for i := range e.stopAgents {
			e.stopAgents[i]()
		}
	})
	e.deploy()
	return e
}

func openListener(t *testing.T) net.Listener {
	listener, err := listen(anyPort)
	require.NoError(t, err)
	return listener
}

func (e *estate) startAgent(i int, control string) {
	size := jaygw.Resources{CPU: 4 * jaygw.Core, Memory: 8 * jaygw.GB}
	e.upstreams[i] = &echoUpstream{worker: emulator.New(size).Handler()}
	listener := openListener(e.t)
	server := &http.Server{Handler: e.upstreams[i], ReadHeaderTimeout: waitLimit}
	go func() { _ = server.Serve(listener) }()
	e.t.Cleanup(func() { server.Close() })
	agent := New(jaygw.Settings{
		Name: fmt.Sprintf("vm-%d", i), Group: jaygw.DefaultGroup, Region: "r", Domain: "a", Rack: "a-r1",
		Peers: []string{control}, Listen: jaygw.Listen{Processes: anyPort},
		Limits: jaygw.RequestLimits{
			BalancerWait: jaygw.Duration(time.Second), DrainTimeout: jaygw.Duration(10 * time.Second),
		},
		Worker: &jaygw.WorkerSettings{
			Address: listener.Addr().String(), Size: size, Slots: 8, Connections: 64, Services: []string{"booking"},
		},
	}, WithLogger(e.log))
	ctx, stop := context.WithCancel(context.Background())
	e.stopAgents[i], e.agentErrors[i] = stop, make(chan error, 1)
	go func() { e.agentErrors[i] <- agent.Run(ctx, jaygw.RoleAgent) }()
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
	}, waitLimit, 50*time.Millisecond)
	require.Eventually(e.t, func() bool {
		_ = e.send("warm", 0)
		return e.upstreams[0].requests.Load() > 0 && e.upstreams[1].requests.Load() > 0
	}, waitLimit, 20*time.Millisecond)
}

// send makes a request and returns an error unless the response echoes its body.
func (e *estate) send(body string, delay time.Duration) error {
	response, err := http.Post(fmt.Sprintf("http://%s/booking/confirm?work=%s", e.callers, delay), "text/plain", strings.NewReader(body))
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

// startCallers starts callers that send requests until the entry is not ready, as they would
// behind a balancer. The returned function waits for them and returns the failures.
func (e *estate) startCallers(number int) (wait func() []error) {
	var mu sync.Mutex
	var failures []error
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
				if err := e.send(fmt.Sprintf("request %d of sender %d", n, i), serviceTime); err != nil {
					mu.Lock()
					failures = append(failures, err)
					mu.Unlock()
				}
			}
		})
	}
	return func() []error { senders.Wait(); return failures }
}

// TestShutdownCompletesRequestsInFlight guards against requests that are cut off by the
// shutdown of an agent or an entry, and against new requests that still reach an upstream
// later than maxLeaveDelay after it began to leave.
func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	e := startEstate(t)
	wait := e.startCallers(4)
	slow := make(chan error, 2)
	go func() { slow <- e.send("slow at the agent", 2*time.Second) }()
	time.Sleep(300 * time.Millisecond)

	left := time.Now()
	e.stopAgents[0]()
	require.NoError(t, <-e.agentErrors[0])
	time.Sleep(time.Until(left.Add(maxLeaveDelay + 500*time.Millisecond)))
	require.Less(t, time.Unix(0, e.upstreams[0].lastRequest.Load()).Sub(left), maxLeaveDelay)
	require.NoError(t, <-slow)

	go func() { slow <- e.send("slow at the entry", 2*time.Second) }()
	time.Sleep(300 * time.Millisecond)
	e.stopEntry()
	require.Empty(t, wait())
	require.NoError(t, <-slow)
	require.NoError(t, <-e.entryError)
}
