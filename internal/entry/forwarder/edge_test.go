package forwarder_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/entry/forwarder"
	"github.com/jaygw/jaygw/internal/entry/router"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// recordedConn is a connection that supplies a fixed input and records what is written.
type recordedConn struct {
	net.Conn
	input  io.Reader
	mu     sync.Mutex
	output bytes.Buffer
	closed chan struct{}
	once   sync.Once
}

func (c *recordedConn) Read(p []byte) (int, error) { return c.input.Read(p) }
func (c *recordedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.output.Write(p)
}

func (c *recordedConn) Close() error                     { c.once.Do(func() { close(c.closed) }); return nil }
func (c *recordedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *recordedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *recordedConn) SetDeadline(time.Time) error      { return nil }
func (c *recordedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *recordedConn) SetWriteDeadline(time.Time) error { return nil }

// exchangeRaw sends raw bytes to a forwarder with a service that has no upstream, and
// returns all bytes of the responses.
func exchangeRaw(t *testing.T, input []byte) []byte {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	routes := router.New("a", 1)
	routes.Update(jaygw.View{Index: 1, Contracts: map[string]jaygw.Contract{service: {Service: service, MaxBody: 1000}}}, time.Now())
	server := &http.Server{Handler: forwarder.New("entry", "1", routes, nil, logger).Handler(), ErrorLog: log.New(io.Discard, "", 0)}
	memory := newListener()
	guarded := forwarder.CheckLengths(server, memory)
	go func() { _ = server.Serve(guarded) }()
	defer server.Close()
	conn := &recordedConn{input: bytes.NewReader(input), closed: make(chan struct{})}
	memory.conns <- conn
	select {
	case <-conn.closed:
	case <-time.After(time.Minute):
		t.Fatalf("the connection was not closed after %q", input)
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return bytes.Clone(conn.output.Bytes())
}

// statuses returns the status codes of all responses; each response must be complete and
// well-formed.
func statuses(t *testing.T, output []byte) (codes []int) {
	reader := bufio.NewReader(bytes.NewReader(output))
	for {
		if _, err := reader.Peek(1); err != nil {
			return codes
		}
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "%q", output)
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		require.NoError(t, err, "%q", output)
		if response.StatusCode != http.StatusContinue {
			codes = append(codes, response.StatusCode)
		}
	}
}

// hasConflictingLengths is the oracle of the framing check: it reports whether the lengths
// of the first request conflict.
func hasConflictingLengths(input []byte) bool {
	header, _, complete := strings.Cut(string(input), "\r\n\r\n")
	lengths, encodings := map[string]bool{}, 0
	for _, line := range strings.Split(header, "\r\n")[1:] {
		name, value, _ := strings.Cut(line, ":")
		switch strings.ToLower(name) {
		case "content-length":
			lengths[strings.TrimSpace(value)] = true
		case "transfer-encoding":
			encodings++
		}
	}
	return complete && (len(lengths) > 1 || len(lengths) == 1 && encodings > 0)
}

// FuzzEdge guards against request smuggling: a request with conflicting lengths must be
// refused, whatever precedes or follows it. If two hops disagreed on its end, a caller could
// smuggle in a second request.
func FuzzEdge(f *testing.F) {
	for _, input := range []string{
		"POST /booking/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /booking/y HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /booking/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
		"POST /booking/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4, 4\r\n\r\nabcd",
		"POST /booking/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcdPOST /booking/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /booking/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nGET /live HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /booking/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\nContent-Length: 3\r\n\r\nabc",
		"GET /booking/../ready HTTP/1.1\r\nHost: a\r\n\r\n", "GET http://a/booking/%2e%2e/x HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /booking/x HTTP/1.0\r\n\r\n", "CONNECT /booking HTTP/1.1\r\nHost: a\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /booking HTTP/1.1\r\nHost: a\r\njaygw-timeout: -1s\r\n\r\n", "\r\n\r\nGET /live HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /booking/x HTTP/1.1\r\nHost: a\r\nContent-Length: 9999\r\n\r\n", "POST /booking/x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab",
		"PUT /booking/x HTTP/1.1\r\nHost: a\r\nidempotency-key: \r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(input))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		codes := statuses(t, exchangeRaw(t, input))
		if hasConflictingLengths(input) {
			require.NotEmpty(t, codes)
			require.Contains(t, []int{
				http.StatusBadRequest, http.StatusNotImplemented, http.StatusHTTPVersionNotSupported,
				http.StatusRequestHeaderFieldsTooLarge,
			}, codes[0], "%q", input)
			require.Len(t, codes, 1, "a request after conflicting lengths got a response: %q", input)
		}
		// There is no upstream, so only /metrics, which may be percent-encoded, and
		// net/http's own response to "OPTIONS *" can succeed.
		for _, code := range codes {
			if code == http.StatusOK {
				require.Regexp(t, `metrics|%|\*`, string(input))
			}
		}
	})
}

// TestRefusalReachesACallerThatStillSends guards against a connection reset in place of a
// refusal while the caller is still sending its body. The caller could then not know whether
// its request was executed.
func TestRefusalReachesACallerThatStillSends(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	routes := router.New("a", 1)
	routes.Update(jaygw.View{Index: 1, Contracts: map[string]jaygw.Contract{service: {Service: service, MaxBody: 1000}}}, time.Now())
	server := &http.Server{Handler: forwarder.New("entry", "1", routes, nil, logger).Handler()}
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	guarded := forwarder.CheckLengths(server, socket)
	go func() { _ = server.Serve(guarded) }()
	defer server.Close()
	conn, err := net.Dial("tcp", socket.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	const size = 4 << 20
	_, err = fmt.Fprintf(conn, "POST /booking/x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
	require.NoError(t, err)
	go func() { _, _ = io.Copy(conn, io.LimitReader(zeroReader{}, size)) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	require.Equal(t, string(jaygw.NotExecuted), response.Header.Get(jaygw.HeaderExecuted))
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }
