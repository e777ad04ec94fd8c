// Package dialer opens and accepts drpc connections between jaygw's processes.
package dialer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

type (
	// Dialer holds a pool of connections to each address. A drpc connection carries one stream at
	// a time, so concurrent calls use different connections.
	Dialer struct {
		pool        *drpcpool.Pool[poolKey, drpcpool.Conn]
		generations generations
		timeout     time.Duration
		tls         *tls.Config // nil: plain TCP
		wrap        func(net.Conn) net.Conn
	}

	// Option is an option of New.
	Option func(*Dialer)
)

const (
	// MaxMessageBytes is the size of the largest message that is accepted. A larger one closes the
	// connection.
	MaxMessageBytes = 4 << 20

	idleExpiration      = time.Minute
	idleConnsPerAddress = 32
	idleConns           = 64 // in all, also those of earlier generations that are not usable yet
	defaultDialTime     = time.Second
	softCancelGrace     = 5 * time.Millisecond
	inactivityTimeout   = 2 * time.Minute

	// unacknowledgedTimeout is how long sent data may stay unacknowledged before the connection is
	// closed. Otherwise TCP would retransmit at growing intervals, and a stream would stay blocked
	// for another minute after a network partition of a minute.
	unacknowledgedTimeout = time.Second
)

// ErrUnreachable is returned if a connection could not be opened, so that nothing was sent.
var ErrUnreachable = errors.New("the address cannot be reached")

// WithTimeout sets the time limit for opening a connection. The default is one second.
func WithTimeout(timeout time.Duration) Option {
	return func(d *Dialer) { d.timeout = timeout }
}

// WithTLS secures connections with a configuration from ReadTLS.
func WithTLS(config *tls.Config) Option {
	return func(d *Dialer) { d.tls = config }
}

// WithWrapper passes each new connection through a function, before TLS.
func WithWrapper(wrap func(net.Conn) net.Conn) Option {
	return func(d *Dialer) { d.wrap = wrap }
}

// New returns a dialer, which opens connections when they are needed.
func New(options ...Option) *Dialer {
	d := &Dialer{
		pool: drpcpool.New[poolKey, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			Capacity:    idleConns,
			KeyCapacity: idleConnsPerAddress,
		}),
		timeout: defaultDialTime,
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Conn returns a connection to an address. It is opened by the first call on it.
func (d *Dialer) Conn(ctx context.Context, address string) drpc.Conn { return d.Open(ctx, address) }

// Open returns a connection like Conn, of which the caller may say that it is silent.
func (d *Dialer) Open(ctx context.Context, address string) *Conn {
	key := d.generations.key(address)
	return &Conn{Conn: d.pool.Get(ctx, key, d.dial), dialer: d, key: key}
}

// Close closes the idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

func (d *Dialer) dial(ctx context.Context, key poolKey) (drpcpool.Conn, error) {
	address := key.address
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	conn, err := (&net.Dialer{Control: setUnacknowledgedTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Join(ErrUnreachable, eris.Wrapf(err, "connect to %s", address))
	}
	if d.wrap != nil {
		conn = d.wrap(conn)
	}
	if d.tls != nil {
		config := d.tls.Clone()
		config.ServerName, _, _ = net.SplitHostPort(address)
		tlsConn := tls.Client(conn, config)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, eris.Wrapf(err, "verify %s", address)
		}
		conn = tlsConn
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// setUnacknowledgedTimeout sets TCP_USER_TIMEOUT.
func setUnacknowledgedTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// Serve accepts connections and serves calls on them until the context is canceled.
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
