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
	// guardedListener accepts connections whose requests are checked for conflicting
	// lengths.
	guardedListener struct{ net.Listener }

	// guardedConn scans the bytes that are read from a connection. net/http drops the
	// content-length of a request that also has a transfer-encoding, so a handler cannot
	// see the conflict.
	guardedConn struct {
		net.Conn
		scanner  scanner
		conflict atomic.Bool // a request with conflicting lengths was read
	}

	// scanner follows the framing of requests on a connection up to the first body of
	// unknown length, after which the connection is closed.
	scanner struct {
		line                []byte // first maxScannedLine bytes of the current line
		startLineRead       bool
		contentLength       string // value of the content-length field; empty if there is none
		hasTransferEncoding bool   // there is a transfer-encoding, or a second, different content-length
		bodyLeft            int64  // bytes of the current body that have yet to be read
		stopped             bool   // the framing is no longer followed
	}

	connContextKey struct{}
)

// maxScannedLine is how many bytes of a line are retained. It is enough for the two fields
// that are checked.
const maxScannedLine = 128

// CheckLengths makes a server check its requests for conflicting lengths. It returns the listener
// that the server has to serve.
func CheckLengths(server *http.Server, listener net.Listener) net.Listener {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connContextKey{}, conn)
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

// Read reads from the connection and checks the framing of the requests.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.scanner.scan(p[:n]) {
		c.conflict.Store(true)
	}
	return n, err
}

// CloseWrite lets net/http end a connection without a reset.
func (c *guardedConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// hasConflictingLengths reports whether a request with conflicting lengths was read from the
// connection of the context.
func hasConflictingLengths(ctx context.Context) bool {
	conn, ok := ctx.Value(connContextKey{}).(*guardedConn)
	return ok && conn.conflict.Load()
}

// scan processes the next bytes and reports whether a request with conflicting lengths was
// found.
func (s *scanner) scan(data []byte) bool {
	conflict := false
	for len(data) > 0 && !s.stopped {
		if s.bodyLeft > 0 {
			n := min(s.bodyLeft, int64(len(data)))
			s.bodyLeft -= n
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

// endLine processes a complete line and reports whether it ends a header with a conflict.
func (s *scanner) endLine() bool {
	line := bytes.TrimSuffix(s.line, []byte{'\r'})
	s.line = s.line[:0]
	switch {
	case len(line) == 0 && s.startLineRead:
		return s.endHeader()
	case len(line) == 0:
		return false
	case !s.startLineRead:
		s.startLineRead = true
		return false
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.EqualFold(name, []byte("transfer-encoding")):
		s.hasTransferEncoding = true
	case bytes.EqualFold(name, []byte("content-length")):
		length := strings.TrimSpace(string(value))
		if s.contentLength != "" && s.contentLength != length {
			s.hasTransferEncoding = true // two different lengths are a conflict too
		}
		s.contentLength = length
	}
	return false
}

// endHeader processes the end of a header and reports whether the lengths conflict.
func (s *scanner) endHeader() bool {
	conflict := s.hasTransferEncoding && s.contentLength != ""
	length, err := strconv.ParseInt(s.contentLength, 10, 64)
	if s.contentLength != "" && err != nil || s.hasTransferEncoding {
		s.stopped = true
	}
	*s = scanner{line: s.line, bodyLeft: max(0, length), stopped: s.stopped}
	return conflict
}
