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

// Handler serves the worker's HTTP interface and the requests of its services.
func (w *Worker) Handler() http.Handler {
	router := mux.NewRouter()
	tasks := router.PathPrefix(connector.Prefix).Subrouter()
	tasks.HandleFunc("/start", handle(w, func(r *http.Request, q connector.StartRequest) (struct{}, error) {
		if q.Instance != w.instance {
			return struct{}{}, ErrInstance
		}
		return struct{}{}, w.Start(r.Context(), q.Permit, jaygw.StartWindow{By: w.at(q.By), LeaseEnd: w.at(q.LeaseEnd)})
	}))
	tasks.HandleFunc("/extend", handle(w, func(r *http.Request, q connector.ExtendRequest) (struct{}, error) {
		if q.Instance != w.instance {
			return struct{}{}, ErrInstance
		}
		return struct{}{}, w.Extend(r.Context(), q.Kind, w.at(q.LeaseEnd))
	}))
	tasks.HandleFunc("/checkpoint", handle(w, func(r *http.Request, id jaygw.Attempt) (jaygw.Checkpoint, error) {
		return w.Checkpoint(r.Context(), id)
	}))
	tasks.HandleFunc("/throttle", handle(w, func(r *http.Request, q connector.ThrottleRequest) (struct{}, error) {
		return struct{}{}, w.Throttle(r.Context(), q.Attempt, q.Percent)
	}))
	tasks.HandleFunc("/stop", handle(w, func(r *http.Request, id jaygw.Attempt) (jaygw.WorkerTask, error) {
		return w.Stop(r.Context(), id)
	}))
	tasks.HandleFunc("/list", handle(w, func(r *http.Request, q connector.ListRequest) (jaygw.WorkerList, error) {
		return w.List(r.Context(), q.Seen, q.Wait.Std())
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

// at returns the time of a reading of the clock that the interface shows.
func (w *Worker) at(reading connector.Clock) time.Time { return w.born.Add(time.Duration(reading)) }

// serve answers a request of a service after the time that the query value
// "work" asks for, with the request's body as the response.
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
	if work, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		timer := time.NewTimer(work)
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

func handle[Q, A any](w *Worker, call func(*http.Request, Q) (A, error)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(connector.ClockHeader, fmt.Sprint(w.now().Sub(w.born).Nanoseconds()))
		var question Q
		if err := json.NewDecoder(r.Body).Decode(&question); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		result, err := call(r, question)
		if err != nil {
			http.Error(rw, err.Error(), http.StatusConflict)
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(result)
	}
}
