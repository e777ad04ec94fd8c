package dialer_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
)

type (
	// heldGroup responds to Status once it is released.
	heldGroup struct {
		messenger.DRPCGroupUnimplementedServer
		calls   atomic.Int64
		release chan struct{}
	}

	// countedConn counts the open connections.
	countedConn struct {
		net.Conn
		open *atomic.Int64
		once sync.Once
	}
)

func (g *heldGroup) Status(context.Context, *messenger.StatusRequest) (*messenger.StatusResponse, error) {
	g.calls.Add(1)
	<-g.release
	return &messenger.StatusResponse{}, nil
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// TestDistrustedConnectionsDoNotStayOpen guards against connections that were in use when their address was distrusted: they went back
// to a pool that nobody takes them from, and stayed open for a minute.
func TestDistrustedConnectionsDoNotStayOpen(t *testing.T) {
	const calls = 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	group, mux := &heldGroup{release: make(chan struct{})}, drpcmux.New()
	require.NoError(t, messenger.DRPCRegisterGroup(mux, group))
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() { defer close(served); _ = dialer.Serve(ctx, listener, mux) }()
	t.Cleanup(func() { cancel(); <-served })

	var open atomic.Int64
	d := dialer.New(dialer.WithWrapper(func(conn net.Conn) net.Conn {
		open.Add(1)
		return &countedConn{Conn: conn, open: &open}
	}))
	defer d.Close()
	var all sync.WaitGroup
	conn := d.Open(ctx, listener.Addr().String())
	for range calls {
		all.Go(func() {
			_, err := messenger.NewDRPCGroupClient(d.Open(ctx, listener.Addr().String())).Status(ctx, &messenger.StatusRequest{})
			require.NoError(t, err)
		})
	}
	require.Eventually(t, func() bool { return group.calls.Load() == calls }, 10*time.Second, time.Millisecond)
	conn.Distrust()
	close(group.release)
	all.Wait()
	require.Eventually(t, func() bool { return open.Load() == 0 }, 10*time.Second, time.Millisecond)
}
