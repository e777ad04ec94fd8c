// Package dialer opens and serves drpc connections between jaygw's processes.
package dialer

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

type (
	// Dialer keeps pools of connections by address. A drpc connection carries
	// one stream at a time, so concurrent calls use different connections.
	Dialer struct {
		pool    *drpcpool.Pool[string, drpcpool.Conn]
		timeout time.Duration
	}

	// Option changes a new Dialer.
	Option func(*Dialer)
)

const (
	// MaxMessageBytes is the largest message that is accepted; a larger one
	// closes the connection.
	MaxMessageBytes = 4 << 20

	idleExpiration    = time.Minute
	connsPerAddress   = 64
	defaultDialTime   = time.Second
	softCancelGrace   = 5 * time.Millisecond
	inactivityTimeout = 2 * time.Minute
)

// WithTimeout sets the longest time to open a connection.
func WithTimeout(timeout time.Duration) Option {
	return func(d *Dialer) { d.timeout = timeout }
}

// New returns a dialer without connections.
func New(options ...Option) *Dialer {
	d := &Dialer{
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			KeyCapacity: connsPerAddress,
		}),
		timeout: defaultDialTime,
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Conn returns a connection to an address. It dials at its first call.
func (d *Dialer) Conn(ctx context.Context, address string) drpc.Conn {
	return d.pool.Get(ctx, address, d.dial)
}

// Close closes the idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

func (d *Dialer) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", address)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// Serve accepts connections until the context ends.
func Serve(ctx context.Context, listener net.Listener, handler drpc.Handler) error {
	options := managerOptions()
	options.InactivityTimeout = inactivityTimeout
	server := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: options})
	return eris.Wrap(server.Serve(ctx, listener), "serve drpc")
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}
