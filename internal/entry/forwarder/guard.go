package forwarder

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
)

type (
	// guardedListener accepts connections whose requests are checked for
	// conflicting lengths.
	guardedListener struct{ net.Listener }

	// guardedConn reads along. net/http drops the content-length of a request
	// that also has a transfer-encoding, so a handler cannot see the conflict.
	guardedConn struct {
		net.Conn
		scanner  scanner
		conflict atomic.Bool
	}

	// scanner follows the framing of requests on a connection up to the first
	// body of unknown length, after which the connection is closed.
	scanner struct {
		line    []byte // the beginning of the present line
		started bool   // the start line was read
		length  string
		encoded bool // there is a transfer-encoding
		skip    int64
		off     bool
	}

	guardKey struct{}
)

// maxScannedLine covers the fields that matter; the rest of a line is not kept.
const maxScannedLine = 128

// Guard makes a server check its connections. It returns the listener to serve.
func Guard(server *http.Server, listener net.Listener) net.Listener {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, guardKey{}, conn)
	}
	return &guardedListener{listener}
}

// Accept accepts a connection.
func (l *guardedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn}, nil
}

// Read reads and checks.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.scanner.feed(p[:n]) {
		c.conflict.Store(true)
	}
	return n, err
}

// CloseWrite lets net/http end a connection without a reset.
func (c *guardedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func lengthsConflict(ctx context.Context) bool {
	conn, ok := ctx.Value(guardKey{}).(*guardedConn)
	return ok && conn.conflict.Load()
}

// feed takes the next bytes and reports whether a request with conflicting
// lengths was found.
func (s *scanner) feed(data []byte) bool {
	conflict := false
	for len(data) > 0 && !s.off {
		if s.skip > 0 {
			n := min(s.skip, int64(len(data)))
			s.skip -= n
			data = data[n:]
			continue
		}
		end := bytes.IndexByte(data, '\n')
		part := data
		if end >= 0 {
			part = data[:end]
		}
		s.line = append(s.line, part[:min(len(part), maxScannedLine-len(s.line))]...)
		if end < 0 {
			break
		}
		data = data[end+1:]
		conflict = s.endLine() || conflict
	}
	return conflict
}

func (s *scanner) endLine() bool {
	line := bytes.TrimSuffix(s.line, []byte{'\r'})
	s.line = s.line[:0]
	switch {
	case len(line) == 0 && s.started:
		return s.endHeader()
	case len(line) == 0:
		return false
	case !s.started:
		s.started = true
		return false
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.EqualFold(name, []byte("transfer-encoding")):
		s.encoded = true
	case bytes.EqualFold(name, []byte("content-length")):
		length := strings.TrimSpace(string(value))
		if s.length != "" && s.length != length {
			s.encoded = true // two lengths conflict like a length and an encoding
		}
		s.length = length
	}
	return false
}

func (s *scanner) endHeader() bool {
	conflict := s.encoded && s.length != ""
	length, err := strconv.ParseInt(s.length, 10, 64)
	if s.length != "" && err != nil || s.encoded {
		s.off = true
	}
	*s = scanner{line: s.line, skip: max(0, length), off: s.off}
	return conflict
}
