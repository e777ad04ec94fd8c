package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/platform/connector"
)

// Handler serves the worker's HTTP interface and the requests for its services.
func (w *Worker) Handler() http.Handler {
	router := mux.NewRouter()
	tasks := router.PathPrefix(connector.Prefix).Subrouter()
	tasks.HandleFunc("/start", handle(w, func(r *http.Request, request connector.StartRequest) (struct{}, error) {
		if request.Instance != w.instance {
			return struct{}{}, ErrInstance
		}
		return struct{}{}, w.Start(r.Context(), request.Permit, jaygw.StartWindow{
			StartBy: w.timeOf(request.StartBy), LeaseEnd: w.timeOf(request.LeaseEnd),
		})
	}))
	tasks.HandleFunc("/extend", handle(w, func(r *http.Request, request connector.ExtendRequest) (struct{}, error) {
		if request.Instance != w.instance {
			return struct{}{}, ErrInstance
		}
		return struct{}{}, w.Extend(r.Context(), request.Kind, w.timeOf(request.LeaseEnd))
	}))
	tasks.HandleFunc("/checkpoint", handle(w, func(r *http.Request, id jaygw.Attempt) (jaygw.Checkpoint, error) {
		return w.Checkpoint(r.Context(), id)
	}))
	tasks.HandleFunc("/throttle", handle(w, func(r *http.Request, request connector.ThrottleRequest) (struct{}, error) {
		return struct{}{}, w.Throttle(r.Context(), request.Attempt, request.Percent)
	}))
	tasks.HandleFunc("/stop", handle(w, func(r *http.Request, id jaygw.Attempt) (jaygw.WorkerTask, error) {
		return w.Stop(r.Context(), id)
	}))
	tasks.HandleFunc("/list", handle(w, func(r *http.Request, request connector.ListRequest) (jaygw.WorkerList, error) {
		return w.List(r.Context(), request.Seen, request.Wait.Std())
	}))
	tasks.HandleFunc("/forget", handle(w, func(r *http.Request, id jaygw.Attempt) (struct{}, error) {
		return struct{}{}, w.Forget(r.Context(), id)
	}))
	tasks.HandleFunc("/usage", handle(w, func(r *http.Request, _ struct{}) ([]jaygw.Usage, error) {
		return w.Usage(r.Context())
	}))
	router.HandleFunc("/health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusNoContent) })
	router.PathPrefix("/{service}").HandlerFunc(w.serve)
	return router
}

// timeOf returns the time at which the worker's clock has a reading.
func (w *Worker) timeOf(reading connector.Clock) time.Time {
	return w.startTime.Add(time.Duration(reading))
}

// serve responds to a request for a service with the request's body. It does so after the
// duration in the query value "work", or at once without one.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	service := mux.Vars(r)["service"]
	if !w.Serves(service) {
		http.Error(rw, fmt.Sprintf("no replica of service %s runs here", service), http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if delay, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
	rw.Header().Set("Content-Type", "application/octet-stream")
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = rw.Write(body)
}

// handle returns a handler that decodes a request, calls the worker and encodes the result.
// An error of the worker becomes the body of a response with status 409.
func handle[Request, Response any](w *Worker, call func(*http.Request, Request) (Response, error)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(connector.ClockHeader, fmt.Sprint(w.now().Sub(w.startTime).Nanoseconds()))
		var request Request
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		result, err := call(r, request)
		if err != nil {
			http.Error(rw, err.Error(), http.StatusConflict)
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(result)
	}
}
