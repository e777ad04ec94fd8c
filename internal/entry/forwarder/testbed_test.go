package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/limiter"
	"github.com/jaygw/jaygw/internal/agent/server"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/entry/claimer"
	"github.com/jaygw/jaygw/internal/entry/forwarder"
	"github.com/jaygw/jaygw/internal/entry/router"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
)

type (
	// testbed connects callers, real entries, real agents and simulated upstreams by
	// connections in memory.
	testbed struct {
		faults          faults
		random          *rand.Rand
		log             *logrus.Logger
		upstreams       []*upstream
		agents          []*agent
		entries         []*entry
		control         *controlGroup
		lastIncarnation int // of an agent or entry

		mu             sync.Mutex
		executions     map[string]int               // by id of the send
		operations     map[string]int               // executions by operation
		lastNumber     int                          // of an execution or view
		strayResponses []*messenger.AttemptResponse // sent in place of another attempt's response
	}

	// faults selects the faults to inject into entries and agents.
	faults struct{ retryUnknown, matchByOrder, runRefused bool }

	// listener accepts connections in memory.
	listener struct {
		mu     sync.Mutex
		down   bool // connections are refused
		conns  chan net.Conn
		closed chan struct{}
		once   sync.Once
	}

	upstream struct {
		*listener
		server     *http.Server
		extraDelay atomic.Int64 // additional time of each execution, in nanoseconds
	}

	agent struct {
		messenger.DRPCUpstreamUnimplementedServer
		*server.Server

		testbed        *testbed
		number         int
		incarnation    jaygw.Incarnation
		disturbPercent atomic.Int32 // percentage of response messages that are disturbed
		context        context.Context
		stop           context.CancelFunc
		pipes          []net.Conn
	}

	entry struct {
		*listener
		number    int
		forwarder *forwarder.Forwarder
		router    *router.Router
		pool      *drpcpool.Pool[string, drpcpool.Conn]
		server    *http.Server
		testbed   *testbed
		stop      context.CancelFunc
	}

	// controlGroup applies commands to a real state machine, and loses, delays or
	// duplicates some of them.
	controlGroup struct {
		mu             sync.Mutex
		machine        *applier.Machine
		index          jaygw.Index
		random         *rand.Rand
		disturbPercent atomic.Int32 // percentage of proposals that are disturbed
		unreachable    atomic.Bool  // there is no quorum
	}

	// disturbedStream disturbs the response messages of an attempt.
	disturbedStream struct {
		messenger.DRPCUpstream_AttemptStream
		agent *agent
		first *messenger.AttemptRequest
	}
)

const (
	slots       = 2
	queueLength = 2
	service     = "booking"
)

func newListener() *listener {
	return &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: "memory"} }

func (l *listener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	l.mu.Lock()
	down := l.down
	l.mu.Unlock()
	if down {
		return nil, errors.New("connection refused")
	}
	clientEnd, serverEnd := net.Pipe()
	select {
	case l.conns <- serverEnd:
		return clientEnd, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func newTestbed(seed uint64, entries, agents int, f faults) *testbed {
	tb := &testbed{
		faults: f, random: rand.New(rand.NewPCG(seed, 1)), log: logrus.New(),
		executions: map[string]int{}, operations: map[string]int{},
		control: &controlGroup{machine: applier.New("main"), random: rand.New(rand.NewPCG(seed, 2))},
	}
	tb.log.SetOutput(io.Discard)
	for i := range agents {
		u := &upstream{listener: newListener()}
		u.server = &http.Server{Handler: tb.handler(u)}
		go func() { _ = u.server.Serve(u.listener) }()
		tb.upstreams = append(tb.upstreams, u)
		tb.agents = append(tb.agents, nil)
		tb.startAgent(i)
	}
	for i := range entries {
		tb.entries = append(tb.entries, nil)
		tb.startEntry(i)
	}
	tb.publish()
	return tb
}

func (tb *testbed) startAgent(i int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.lastIncarnation++
	ctx, stop := context.WithCancel(context.Background())
	tb.agents[i] = &agent{
		Server: server.New("upstream", jaygw.Incarnation(tb.lastIncarnation), limiter.New(slots, queueLength),
			server.WithDial(tb.upstreams[i].dial)),
		testbed: tb, number: i, incarnation: jaygw.Incarnation(tb.lastIncarnation), context: ctx, stop: stop,
	}
}

func (tb *testbed) agent(i int) *agent {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.agents[i]
}

func (tb *testbed) entry(i int) *entry {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.entries[i]
}

// crashAgent breaks an agent's connections and starts the agent's next incarnation.
func (tb *testbed) crashAgent(i int) {
	a := tb.agent(i)
	a.stop()
	tb.mu.Lock()
	for _, pipe := range a.pipes {
		pipe.Close()
	}
	tb.mu.Unlock()
	a.Close()
	tb.startAgent(i)
	time.AfterFunc(200*time.Millisecond, tb.publish) // the entries get the new view late
}

func (tb *testbed) startEntry(i int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.lastIncarnation++
	ctx, stop := context.WithCancel(context.Background())
	e := &entry{
		listener: newListener(), number: i, testbed: tb, stop: stop, router: router.New("a", uint64(tb.lastIncarnation)),
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: time.Second}),
	}
	e.forwarder = forwarder.New(fmt.Sprintf("entry-%d", i), strconv.Itoa(tb.lastIncarnation), e.router, e, tb.log,
		forwarder.WithClaimer(claimer.New(tb.control, tb.log)))
	if tb.faults.retryUnknown {
		e.forwarder.RetryUnknown()
	}
	if tb.faults.matchByOrder {
		e.forwarder.MatchByOrder()
	}
	e.server = &http.Server{Handler: e.forwarder.Handler(), ErrorLog: log.New(io.Discard, "", 0)}
	guarded := forwarder.CheckLengths(e.server, e.listener)
	go func() { _ = e.server.Serve(guarded) }()
	go e.forwarder.RenewCredits(ctx)
	tb.entries[i] = e
}

// crashEntry stops an entry and starts its next incarnation.
func (tb *testbed) crashEntry(i int) {
	e := tb.entry(i)
	e.server.Close()
	e.stop()
	e.pool.Close()
	tb.startEntry(i)
	tb.publish()
}

// publish updates the view of all entries.
func (tb *testbed) publish() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.lastNumber++
	view := jaygw.View{
		Index: jaygw.Index(tb.lastNumber),
		Contracts: map[string]jaygw.Contract{service: {
			Environment: "e", Service: service, Class: jaygw.LatencyCritical, Timeout: 2 * time.Second,
			MaxBody: 1 << 20, RetryPercent: 50, Hedge: true,
		}},
		Upstreams: map[string][]jaygw.Upstream{},
	}
	for i, a := range tb.agents {
		view.Upstreams[service] = append(view.Upstreams[service], jaygw.Upstream{
			VM: fmt.Sprintf("vm-%d", i), Domain: string(rune('a' + i%2)), Address: strconv.Itoa(i), Incarnation: a.incarnation,
		})
	}
	for _, e := range tb.entries {
		e.router.Update(view, time.Now())
	}
}

func (tb *testbed) close() {
	for _, e := range tb.entries {
		e.server.Close()
		e.stop()
		e.pool.Close()
	}
	for _, a := range tb.agents {
		a.stop()
		a.Close()
	}
	for _, u := range tb.upstreams {
		u.server.Close()
	}
}

// Conn returns a connection to the current incarnation of the agent with an address.
func (e *entry) Conn(ctx context.Context, address string) drpc.Conn {
	return e.pool.Get(ctx, address, func(context.Context, string) (drpcpool.Conn, error) {
		i, _ := strconv.Atoi(address)
		a := e.testbed.agent(i)
		clientEnd, serverEnd := net.Pipe()
		e.testbed.mu.Lock()
		a.pipes = append(a.pipes, clientEnd, serverEnd)
		e.testbed.mu.Unlock()
		mux := drpcmux.New()
		if err := messenger.DRPCRegisterUpstream(mux, a); err != nil {
			return nil, err
		}
		options := drpcmanager.Options{SoftCancel: true, SoftCancelGrace: 5 * time.Millisecond}
		go func() {
			_ = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: options}).ServeOne(a.context, serverEnd)
		}()
		return drpcconn.NewWithOptions(clientEnd, drpcconn.Options{Manager: options}), nil
	})
}

// Attempt serves an attempt over a stream that disturbs response messages.
func (a *agent) Attempt(stream messenger.DRPCUpstream_AttemptStream) error {
	return a.Server.Attempt(&disturbedStream{DRPCUpstream_AttemptStream: stream, agent: a})
}

// Credits returns the agent's credits undisturbed.
func (a *agent) Credits(ctx context.Context, q *messenger.CreditsRequest) (*messenger.CreditsResponse, error) {
	return a.Server.Credits(ctx, q)
}

// Recv stores the first message for the fault runRefused.
func (s *disturbedStream) Recv() (*messenger.AttemptRequest, error) {
	m, err := s.DRPCUpstream_AttemptStream.Recv()
	if s.first == nil {
		s.first = m
	}
	return m, err
}

// Send sends a message. If the message is to be disturbed, Send precedes it with a message
// of another attempt, duplicates it, delays it or ends the stream.
func (s *disturbedStream) Send(m *messenger.AttemptResponse) error {
	tb := s.agent.testbed
	if tb.faults.runRefused && m.Overloaded {
		go s.runRefused()
	}
	tb.mu.Lock()
	disturbed := tb.random.IntN(100) < int(s.agent.disturbPercent.Load())
	kind := tb.random.IntN(4)
	var stray *messenger.AttemptResponse
	if len(tb.strayResponses) > 0 {
		stray = tb.strayResponses[tb.random.IntN(len(tb.strayResponses))]
	}
	if len(tb.strayResponses) < 16 {
		tb.strayResponses = append(tb.strayResponses, &messenger.AttemptResponse{
			Attempt: m.Attempt, Incarnation: m.Incarnation, Status: m.Status, Header: m.Header, Length: m.Length,
			Chunk: append([]byte(nil), m.Chunk...), Last: m.Last, Failure: m.Failure, NotExecuted: m.NotExecuted,
			Sequence: m.Sequence,
		})
	}
	tb.mu.Unlock()
	if !disturbed {
		return s.DRPCUpstream_AttemptStream.Send(m)
	}
	switch {
	case kind == 0 && stray != nil && stray.Attempt != m.Attempt:
		_ = s.DRPCUpstream_AttemptStream.Send(stray)
	case kind == 1:
		_ = s.DRPCUpstream_AttemptStream.Send(m)
	case kind == 2:
		time.Sleep(3 * time.Second)
	case kind == 3:
		return errors.New("the stream was ended by an injected fault")
	}
	return s.DRPCUpstream_AttemptStream.Send(m)
}

// runRefused executes a request that the agent has refused.
func (s *disturbedStream) runRefused() {
	head := s.first.Head
	r := httptest.NewRequest(head.Method, head.Target, strings.NewReader(string(s.first.Chunk)))
	for _, f := range head.Header {
		r.Header.Add(f.Name, f.Value)
	}
	s.agent.testbed.handler(&upstream{}).ServeHTTP(httptest.NewRecorder(), r)
}

// handler counts executions. The response contains the id of the send, the number of the
// execution and the request body, so that a mixture of responses can be detected.
func (tb *testbed) handler(u *upstream) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		tb.mu.Lock()
		tb.lastNumber++
		execution := tb.lastNumber
		tb.executions[r.Header.Get("Test-Send")]++
		tb.operations[r.Header.Get("Test-Operation")]++
		tb.mu.Unlock()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		query := r.URL.Query()
		delay, _ := time.ParseDuration(query.Get("delay"))
		time.Sleep(delay + time.Duration(u.extraDelay.Load()))
		size, _ := strconv.Atoi(query.Get("size"))
		reply := responseOf(r.Header.Get("Test-Send"), execution, string(body), size)
		if query.Get("length") != "" {
			rw.Header().Set("Content-Length", strconv.Itoa(len(reply)))
		}
		for i := 0; i < len(reply); i += 30_000 {
			if query.Get("cut") != "" && i >= len(reply)/2 {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(rw, reply[i:min(len(reply), i+30_000)])
			_ = http.NewResponseController(rw).Flush()
		}
	})
}

// responseOf returns the body of the response to an execution.
func responseOf(send string, execution int, body string, size int) string {
	head := fmt.Sprintf("%s|%d|%d:%.20s|", send, execution, len(body), body)
	return head + strings.Repeat(send+".", size/(len(send)+1)+1) + head
}

// Propose applies a command. If the command is to be disturbed, Propose loses it or its
// result, or applies it late or twice.
func (c *controlGroup) Propose(ctx context.Context, command jaygw.Command) (jaygw.Result, error) {
	c.mu.Lock()
	disturbed := c.random.IntN(100) < int(c.disturbPercent.Load())
	kind := c.random.IntN(4)
	delay := time.Duration(c.random.IntN(6000)) * time.Millisecond
	c.mu.Unlock()
	if c.unreachable.Load() {
		<-ctx.Done()
		return jaygw.Result{}, jaygw.ErrNotLeader
	}
	time.Sleep(time.Millisecond)
	if !disturbed {
		return c.apply(command), nil
	}
	switch kind {
	case 0: // lost
	case 1: // committed, but the result is lost
		c.apply(command)
	case 2: // committed late, and the result is lost
		time.AfterFunc(delay, func() { c.apply(command) })
	default: // committed twice
		time.AfterFunc(delay, func() { c.apply(command) })
		return c.apply(command), nil
	}
	return jaygw.Result{}, jaygw.ErrOutcomeUnknown
}

func (c *controlGroup) apply(command jaygw.Command) jaygw.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	command.Time = jaygw.TimeOf(time.Now())
	return c.machine.Apply(c.index, command)
}
