package connector_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/platform/connector"
	"github.com/jaygw/jaygw/internal/platform/emulator"
	"github.com/stretchr/testify/require"
)

var id = jaygw.Attempt{Task: "print/plates/0", Epoch: 2}

// permit returns a permit to continue an attempt from a checkpoint of one minute.
func permit() jaygw.Permit {
	return jaygw.Permit{
		Attempt: id, Kind: jaygw.BatchTask, RunTime: jaygw.Duration(time.Hour),
		Size: jaygw.Resources{CPU: jaygw.Core}, Checkpoint: jaygw.Checkpoint{Epoch: 1, Progress: jaygw.Duration(time.Minute)},
	}
}

// window returns a start window that ends after the given durations from now.
func window(by, lease time.Duration) jaygw.StartWindow {
	now := time.Now()
	return jaygw.StartWindow{StartBy: now.Add(by), LeaseEnd: now.Add(lease)}
}

// serve returns a connector to a worker with this handler.
func serve(t *testing.T, handler http.Handler, options ...connector.Option) *connector.Connector {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return connector.New(strings.TrimPrefix(server.URL, "http://"), options...)
}

func requireRefused(t *testing.T, err, reason error) {
	t.Helper()
	var status *connector.StatusError
	require.ErrorAs(t, err, &status)
	require.Equal(t, http.StatusConflict, status.Status)
	require.Equal(t, reason.Error(), status.Detail)
}

// Guards against a call, a result or a refusal that the connector and the worker's HTTP
// interface encode differently.
func TestCalls(t *testing.T) {
	ctx := t.Context()
	worker := emulator.New(jaygw.Resources{CPU: 4 * jaygw.Core}, emulator.WithInstance("one"))
	c := serve(t, worker.Handler())
	require.ErrorIs(t, c.Start(ctx, permit(), window(time.Minute, time.Hour)), connector.ErrNoClock)
	require.ErrorIs(t, c.Extend(ctx, jaygw.BatchTask, time.Now()), connector.ErrNoClock)

	empty, err := c.List(ctx, 0, 0)
	require.NoError(t, err)
	require.Equal(t, "one", empty.Instance)
	require.Empty(t, empty.Tasks)
	unchanged, err := c.List(ctx, empty.Revision, time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, empty.Revision, unchanged.Revision)

	requireRefused(t, c.Start(ctx, permit(), window(0, time.Hour)), emulator.ErrLate)
	requireRefused(t, c.Start(ctx, permit(), window(time.Minute, 0)), emulator.ErrLate)
	_, err = c.Checkpoint(ctx, id)
	requireRefused(t, err, emulator.ErrNotRunning)
	requireRefused(t, c.Throttle(ctx, id, 50), emulator.ErrNotRunning)
	worker.FailStarts(true)
	requireRefused(t, c.Start(ctx, permit(), window(time.Minute, time.Hour)), emulator.ErrStartsFail)
	worker.FailStarts(false)

	require.NoError(t, c.Start(ctx, permit(), window(time.Minute, time.Hour)))
	require.NoError(t, c.Start(ctx, permit(), window(time.Minute, time.Hour)))
	require.Equal(t, time.Minute, worker.Running()[0].StartProgress)
	list, err := c.List(ctx, empty.Revision, time.Minute)
	require.NoError(t, err)
	require.Equal(t, []jaygw.WorkerTask{{
		Attempt: id, Kind: jaygw.BatchTask, State: jaygw.WorkerRunning, Checkpoint: permit().Checkpoint,
	}}, list.Tasks)
	require.NoError(t, c.Throttle(ctx, id, 50))
	usage, err := c.Usage(ctx)
	require.NoError(t, err)
	require.Equal(t, []jaygw.Usage{{Attempt: id, Used: jaygw.Resources{CPU: jaygw.Core / 2}}}, usage)
	checkpoint, err := c.Checkpoint(ctx, id)
	require.NoError(t, err)
	require.Greater(t, checkpoint.Progress.Std(), time.Minute)
	require.NoError(t, c.Forget(ctx, id))
	require.Len(t, worker.Running(), 1)

	stopped, err := c.Stop(ctx, id)
	require.NoError(t, err)
	require.Equal(t, jaygw.WorkerStopped, stopped.State)
	require.GreaterOrEqual(t, stopped.Checkpoint.Progress, checkpoint.Progress)
	require.NoError(t, c.Forget(ctx, id))
	requireRefused(t, c.Start(ctx, permit(), window(time.Minute, time.Hour)), emulator.ErrFenced)
	_, err = c.Stop(ctx, jaygw.Attempt{Task: "print/plates/1", Epoch: 9})
	require.NoError(t, err)
}

// Guards against leases that become longer while a call waits to be handled: a lease end
// must reach the worker as a point in time, not as a duration from the call's arrival.
// Extensions to an earlier time or for the other kind of tasks must change nothing.
func TestLeaseEndIsPointInTime(t *testing.T) {
	worker := emulator.New(jaygw.Resources{CPU: 4 * jaygw.Core})
	c := serve(t, worker.Handler())
	_, err := c.List(t.Context(), 0, 0)
	require.NoError(t, err)
	start := window(time.Minute, 300*time.Millisecond)
	require.NoError(t, c.Start(t.Context(), permit(), start))
	extended := start.LeaseEnd.Add(100 * time.Millisecond)
	require.NoError(t, c.Extend(t.Context(), jaygw.BatchTask, extended))
	require.NoError(t, c.Extend(t.Context(), jaygw.BatchTask, start.LeaseEnd))
	require.NoError(t, c.Extend(t.Context(), jaygw.ServiceTask, extended.Add(time.Hour)))
	require.Eventually(t, func() bool { return len(worker.Running()) == 0 }, time.Minute, time.Millisecond)
	require.False(t, time.Now().Before(start.LeaseEnd))
	require.False(t, worker.History()[0].End.After(extended))
}

// Guards against a start or an extension for an earlier instance of a VM that takes effect
// on the instance that has replaced it.
func TestReplacedInstance(t *testing.T) {
	first, second := emulator.New(jaygw.Resources{}, emulator.WithInstance("one")), emulator.New(jaygw.Resources{}, emulator.WithInstance("two"))
	handler := first.Handler()
	c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) }))
	_, err := c.List(t.Context(), 0, 0)
	require.NoError(t, err)
	handler = second.Handler()
	requireRefused(t, c.Start(t.Context(), permit(), window(time.Minute, time.Hour)), emulator.ErrInstance)
	requireRefused(t, c.Extend(t.Context(), jaygw.BatchTask, time.Now().Add(time.Hour)), emulator.ErrInstance)
}

// Guards against responses that violate the protocol and are taken for empty results.
func TestInvalidResponses(t *testing.T) {
	setClock := func(w http.ResponseWriter) { w.Header().Set(connector.ClockHeader, "1") }
	for name, handler := range map[string]http.HandlerFunc{
		"no clock":    func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"instance":"one","tasks":[]}`)) },
		"no instance": func(w http.ResponseWriter, _ *http.Request) { setClock(w); _, _ = w.Write([]byte(`{}`)) },
		"cut off": func(w http.ResponseWriter, _ *http.Request) {
			setClock(w)
			w.Header().Set("Content-Length", "99")
			_, _ = w.Write([]byte(`{"instance":`))
		},
		"not json":   func(w http.ResponseWriter, _ *http.Request) { setClock(w); _, _ = w.Write([]byte(`tasks`)) },
		"status 500": func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "broken", http.StatusInternalServerError) },
	} {
		t.Run(name, func(t *testing.T) {
			_, err := serve(t, handler).List(t.Context(), 0, 0)
			require.Error(t, err)
		})
	}
}

// Guards against calls that hang: a worker that does not respond, or closes its side of the
// connection after it has read the request, must cause an error within the deadline.
func TestUnresponsiveWorkers(t *testing.T) {
	for name, respond := range map[string]func(net.Conn){
		"no response": func(net.Conn) {},
		"half-closed": func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { listener.Close() })
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					t.Cleanup(func() { conn.Close() })
					_, _ = conn.Read(make([]byte, 1024))
					respond(conn)
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			c := connector.New(listener.Addr().String())
			_, err = c.Stop(ctx, id)
			require.Error(t, err)
			_, err = c.List(ctx, 0, time.Second)
			require.Error(t, err)
			require.False(t, errors.Is(err, connector.ErrNoClock))
		})
	}
}
