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
	// world holds real entries and agents between callers and stand-in upstreams,
	// joined by connections in memory.
	world struct {
		faults    faults
		random    *rand.Rand
		log       *logrus.Logger
		upstreams []*upstream
		agents    []*agent
		entries   []*entry
		control   *control
		lives     int

		mu         sync.Mutex
		executions map[string]int // by send
		operations map[string]int // by operation
		count      int
		stray      []*messenger.AttemptResponse // sent in another attempt's place
	}

	faults struct{ retryUnknown, matchByOrder, runRefused bool }

	// listener accepts connections in memory.
	listener struct {
		mu     sync.Mutex
		down   bool
		conns  chan net.Conn
		closed chan struct{}
		once   sync.Once
	}

	upstream struct {
		*listener
		server *http.Server
		slow   atomic.Int64
	}

	agent struct {
		messenger.DRPCUpstreamUnimplementedServer
		*server.Server

		world   *world
		number  int
		life    jaygw.Incarnation
		chaos   atomic.Int32 // percent of messages that are disturbed
		context context.Context
		stop    context.CancelFunc
		pipes   []net.Conn
	}

	entry struct {
		*listener
		number    int
		forwarder *forwarder.Forwarder
		router    *router.Router
		pool      *drpcpool.Pool[string, drpcpool.Conn]
		server    *http.Server
		world     *world
		stop      context.CancelFunc
	}

	// control applies commands to a real state machine and loses, delays or
	// doubles them.
	control struct {
		mu      sync.Mutex
		machine *applier.Machine
		index   jaygw.Index
		random  *rand.Rand
		percent atomic.Int32 // of proposals that are disturbed
		cut     atomic.Bool  // no quorum
	}

	chaosStream struct {
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
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func newWorld(seed uint64, entries, agents int, f faults) *world {
	w := &world{
		faults: f, random: rand.New(rand.NewPCG(seed, 1)), log: logrus.New(),
		executions: map[string]int{}, operations: map[string]int{},
		control: &control{machine: applier.New("main"), random: rand.New(rand.NewPCG(seed, 2))},
	}
	w.log.SetOutput(io.Discard)
	for i := range agents {
		u := &upstream{listener: newListener()}
		u.server = &http.Server{Handler: w.handler(u)}
		go func() { _ = u.server.Serve(u.listener) }()
		w.upstreams = append(w.upstreams, u)
		w.agents = append(w.agents, nil)
		w.startAgent(i)
	}
	for i := range entries {
		w.entries = append(w.entries, nil)
		w.startEntry(i)
	}
	w.publish()
	return w
}

func (w *world) startAgent(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	ctx, stop := context.WithCancel(context.Background())
	w.agents[i] = &agent{
		Server: server.New("upstream", jaygw.Incarnation(w.lives), limiter.New(slots, queueLength),
			server.WithDial(w.upstreams[i].dial)),
		world: w, number: i, life: jaygw.Incarnation(w.lives), context: ctx, stop: stop,
	}
}

func (w *world) agent(i int) *agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents[i]
}

func (w *world) entry(i int) *entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[i]
}

func (w *world) crashAgent(i int) {
	a := w.agent(i)
	a.stop()
	w.mu.Lock()
	for _, pipe := range a.pipes {
		pipe.Close()
	}
	w.mu.Unlock()
	a.Close()
	w.startAgent(i)
	time.AfterFunc(200*time.Millisecond, w.publish) // the entries learn of it late
}

func (w *world) startEntry(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	ctx, stop := context.WithCancel(context.Background())
	e := &entry{
		listener: newListener(), number: i, world: w, stop: stop, router: router.New("a", uint64(w.lives)),
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: time.Second}),
	}
	e.forwarder = forwarder.New(fmt.Sprintf("entry-%d", i), strconv.Itoa(w.lives), e.router, e, w.log,
		forwarder.WithClaimer(claimer.New(w.control, w.log)))
	if w.faults.retryUnknown {
		e.forwarder.RetryUnknown()
	}
	if w.faults.matchByOrder {
		e.forwarder.MatchByOrder()
	}
	e.server = &http.Server{Handler: e.forwarder.Handler(), ErrorLog: log.New(io.Discard, "", 0)}
	guarded := forwarder.Guard(e.server, e.listener)
	go func() { _ = e.server.Serve(guarded) }()
	go e.forwarder.KeepCredits(ctx)
	w.entries[i] = e
}

func (w *world) crashEntry(i int) {
	e := w.entry(i)
	e.server.Close()
	e.stop()
	e.pool.Close()
	w.startEntry(i)
	w.publish()
}

// publish gives all entries the view.
func (w *world) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
	view := jaygw.View{
		Index: jaygw.Index(w.count),
		Contracts: map[string]jaygw.Contract{service: {
			Environment: "e", Service: service, Class: jaygw.LatencyCritical, Timeout: 2 * time.Second,
			MaxBody: 1 << 20, RetryPercent: 50, Hedge: true,
		}},
		Upstreams: map[string][]jaygw.Upstream{},
	}
	for i, a := range w.agents {
		view.Upstreams[service] = append(view.Upstreams[service], jaygw.Upstream{
			VM: fmt.Sprintf("vm-%d", i), Domain: string(rune('a' + i%2)), Address: strconv.Itoa(i), Incarnation: a.life,
		})
	}
	for _, e := range w.entries {
		e.router.Update(view, time.Now())
	}
}

func (w *world) close() {
	for _, e := range w.entries {
		e.server.Close()
		e.stop()
		e.pool.Close()
	}
	for _, a := range w.agents {
		a.stop()
		a.Close()
	}
	for _, u := range w.upstreams {
		u.server.Close()
	}
}

// Conn connects an entry to the agent that has an address now.
func (e *entry) Conn(ctx context.Context, address string) drpc.Conn {
	return e.pool.Get(ctx, address, func(context.Context, string) (drpcpool.Conn, error) {
		i, _ := strconv.Atoi(address)
		a := e.world.agent(i)
		near, far := net.Pipe()
		e.world.mu.Lock()
		a.pipes = append(a.pipes, near, far)
		e.world.mu.Unlock()
		mux := drpcmux.New()
		if err := messenger.DRPCRegisterUpstream(mux, a); err != nil {
			return nil, err
		}
		options := drpcmanager.Options{SoftCancel: true, SoftCancelGrace: 5 * time.Millisecond}
		go func() {
			_ = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: options}).ServeOne(a.context, far)
		}()
		return drpcconn.NewWithOptions(near, drpcconn.Options{Manager: options}), nil
	})
}

// Attempt serves an attempt over a stream that disturbs responses.
func (a *agent) Attempt(stream messenger.DRPCUpstream_AttemptStream) error {
	return a.Server.Attempt(&chaosStream{DRPCUpstream_AttemptStream: stream, agent: a})
}

// Credits is not disturbed.
func (a *agent) Credits(ctx context.Context, q *messenger.CreditsRequest) (*messenger.CreditsResponse, error) {
	return a.Server.Credits(ctx, q)
}

// Recv keeps the first message for the fault that runs refused requests.
func (s *chaosStream) Recv() (*messenger.AttemptRequest, error) {
	m, err := s.DRPCUpstream_AttemptStream.Recv()
	if s.first == nil {
		s.first = m
	}
	return m, err
}

// Send puts a message of another attempt in front, doubles, delays or cuts.
func (s *chaosStream) Send(m *messenger.AttemptResponse) error {
	w := s.agent.world
	if w.faults.runRefused && m.Overloaded {
		go s.runRefused()
	}
	w.mu.Lock()
	disturbed := w.random.IntN(100) < int(s.agent.chaos.Load())
	kind := w.random.IntN(4)
	var stray *messenger.AttemptResponse
	if len(w.stray) > 0 {
		stray = w.stray[w.random.IntN(len(w.stray))]
	}
	if len(w.stray) < 16 {
		w.stray = append(w.stray, &messenger.AttemptResponse{
			Attempt: m.Attempt, Incarnation: m.Incarnation, Status: m.Status, Header: m.Header, Length: m.Length,
			Chunk: append([]byte(nil), m.Chunk...), Last: m.Last, Failure: m.Failure, NotExecuted: m.NotExecuted,
			Sequence: m.Sequence,
		})
	}
	w.mu.Unlock()
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
		return errors.New("cut")
	}
	return s.DRPCUpstream_AttemptStream.Send(m)
}

func (s *chaosStream) runRefused() {
	head := s.first.Head
	r := httptest.NewRequest(head.Method, head.Target, strings.NewReader(string(s.first.Chunk)))
	for _, f := range head.Header {
		r.Header.Add(f.Name, f.Value)
	}
	s.agent.world.handler(&upstream{}).ServeHTTP(httptest.NewRecorder(), r)
}

// handler counts executions. The response names the send, the operation and the
// execution, so that any mixture of responses shows.
func (w *world) handler(u *upstream) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		w.count++
		execution := w.count
		w.executions[r.Header.Get("Test-Send")]++
		w.operations[r.Header.Get("Test-Operation")]++
		w.mu.Unlock()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		query := r.URL.Query()
		delay, _ := time.ParseDuration(query.Get("delay"))
		time.Sleep(delay + time.Duration(u.slow.Load()))
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

func responseOf(send string, execution int, body string, size int) string {
	head := fmt.Sprintf("%s|%d|%d:%.20s|", send, execution, len(body), body)
	return head + strings.Repeat(send+".", size/(len(send)+1)+1) + head
}

// Propose applies a command, and may lose it, its result, or apply a copy late.
func (c *control) Propose(ctx context.Context, command jaygw.Command) (jaygw.Result, error) {
	c.mu.Lock()
	disturbed := c.random.IntN(100) < int(c.percent.Load())
	kind := c.random.IntN(4)
	late := time.Duration(c.random.IntN(6000)) * time.Millisecond
	c.mu.Unlock()
	if c.cut.Load() {
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
	case 2: // committed late
		time.AfterFunc(late, func() { c.apply(command) })
	default: // committed twice
		time.AfterFunc(late, func() { c.apply(command) })
		return c.apply(command), nil
	}
	return jaygw.Result{}, jaygw.ErrOutcomeUnknown
}

func (c *control) apply(command jaygw.Command) jaygw.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	command.Time = jaygw.TimeOf(time.Now())
	return c.machine.Apply(c.index, command)
}
