// Package forwarder is the HTTP edge of an entry: it answers callers and sends
// their requests to upstreams through the agents beside them.
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/entry/router"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/sirupsen/logrus"
)

type (
	// Forwarder serves callers.
	Forwarder struct {
		name     string
		router   *router.Router
		dialer   *dialer.Dialer
		log      logrus.FieldLogger
		attempts atomic.Uint64
		ready    atomic.Bool
	}
)

const (
	maxAttempts    = 3
	chunkBytes     = 32 << 10
	defaultTimeout = 10 * time.Second
)

// New returns the forwarder of the entry with this name.
func New(name string, r *router.Router, d *dialer.Dialer, log logrus.FieldLogger) *Forwarder {
	f := &Forwarder{name: name, router: r, dialer: d, log: log}
	f.ready.Store(true)
	return f
}

// SetReady changes the response of /ready, which the balancer asks for.
func (f *Forwarder) SetReady(ready bool) { f.ready.Store(ready) }

// Handler returns the callers' HTTP interface.
func (f *Forwarder) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	r.HandleFunc("/ready", f.answerReady)
	r.PathPrefix("/{service}").HandlerFunc(f.serve)
	return r
}

func (f *Forwarder) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !f.ready.Load() || f.router.View().Index == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request) {
	service := mux.Vars(r)["service"]
	contract, ok := f.router.Contract(service)
	if !ok {
		writeProblem(w, problem{Status: http.StatusNotFound, Title: "No such service", Detail: service, Executed: jaygw.NotExecuted})
		return
	}
	timeout, err := requestTimeout(r, contract)
	if err != nil {
		writeProblem(w, problem{Status: http.StatusBadRequest, Title: "Bad timeout", Detail: err.Error(), Executed: jaygw.NotExecuted})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(contract.MaxBody)))
	if err != nil {
		writeProblem(w, problem{Status: http.StatusBadRequest, Title: "Body not accepted", Detail: err.Error(), Executed: jaygw.NotExecuted})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	f.attempt(ctx, w, r, contract, body)
}

func requestTimeout(r *http.Request, contract jaygw.Contract) (time.Duration, error) {
	timeout := contract.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	text := r.Header.Get(jaygw.HeaderTimeout)
	if text == "" {
		return timeout, nil
	}
	wanted, err := time.ParseDuration(text)
	if err != nil || wanted <= 0 {
		return 0, errors.New("the header jaygw-timeout needs a duration such as 800ms")
	}
	return min(wanted, timeout), nil
}

// attempt tries upstreams until one has answered or the request may have been
// executed and must not run twice.
func (f *Forwarder) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, contract jaygw.Contract, body []byte) {
	tried := map[string]bool{}
	executed := jaygw.NotExecuted
	detail := "no upstream is available"
	for range maxAttempts {
		upstream, ok := f.router.Pick(contract.Service, tried)
		if !ok {
			break
		}
		tried[upstream.VM] = true
		result := f.tryOne(ctx, w, r, contract, body, upstream, len(tried) > 1)
		f.router.Done(upstream)
		if result.answered {
			return
		}
		detail = result.failure
		if !result.notExecuted {
			executed = jaygw.ExecutionUnknown
			if !contract.Idempotent(r.Method) {
				break
			}
		}
		if ctx.Err() != nil {
			break
		}
	}
	status := http.StatusServiceUnavailable
	if ctx.Err() != nil {
		status = http.StatusGatewayTimeout
	}
	writeProblem(w, problem{Status: status, Title: "The request was not answered", Detail: detail, Executed: executed})
}

// outcome is what became of one attempt.
type outcome struct {
	answered    bool // the caller has been sent a response, whole or cut off
	notExecuted bool
	failure     string
}

func (f *Forwarder) tryOne(ctx context.Context, w http.ResponseWriter, r *http.Request, contract jaygw.Contract,
	body []byte, upstream jaygw.Upstream, retry bool,
) outcome {
	id := f.attempts.Add(1)
	deadline, _ := ctx.Deadline()
	head := &messenger.AttemptHead{
		Attempt: id, Entry: f.name, Service: contract.Service, Class: string(contract.Class),
		Method: r.Method, Target: r.URL.RequestURI(), Length: int64(len(body)),
		RemainingNanos: int64(time.Until(deadline)), Retry: retry, Incarnation: uint64(upstream.Incarnation),
		Header: forwardedHeader(r),
	}
	stream, err := messenger.NewDRPCUpstreamClient(f.dialer.Conn(ctx, upstream.Address)).Attempt(ctx)
	if err != nil {
		return outcome{notExecuted: true, failure: err.Error()}
	}
	defer stream.Close()
	if err := send(stream, head, body); err != nil {
		return outcome{failure: err.Error()}
	}
	first, err := stream.Recv()
	if err != nil {
		return outcome{failure: err.Error()}
	}
	if first.Attempt != id || first.Incarnation != uint64(upstream.Incarnation) {
		return outcome{failure: "the response belongs to another attempt"}
	}
	if first.Failure != "" {
		return outcome{notExecuted: first.NotExecuted, failure: first.Failure}
	}
	f.copyResponse(w, stream, first)
	return outcome{answered: true}
}

func send(stream messenger.DRPCUpstream_AttemptClient, head *messenger.AttemptHead, body []byte) error {
	message := &messenger.AttemptRequest{Head: head}
	reader := bytes.NewReader(body)
	for {
		message.Chunk = make([]byte, min(chunkBytes, reader.Len()))
		_, _ = reader.Read(message.Chunk)
		message.Last = reader.Len() == 0
		if err := stream.Send(message); err != nil || message.Last {
			return err
		}
		message = &messenger.AttemptRequest{}
	}
}

// copyResponse sends the response to the caller. A response that ends early
// closes the caller's connection, so that it cannot be taken for a whole one.
func (f *Forwarder) copyResponse(w http.ResponseWriter, stream messenger.DRPCUpstream_AttemptClient, first *messenger.AttemptResponse) {
	for _, field := range first.Header {
		if !hopByHop[http.CanonicalHeaderKey(field.Name)] {
			w.Header().Add(field.Name, field.Value)
		}
	}
	w.WriteHeader(int(first.Status))
	for message := first; ; {
		if message.Failure != "" {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(message.Chunk); err != nil {
			return
		}
		if message.Last {
			return
		}
		next, err := stream.Recv()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		message = next
	}
}
