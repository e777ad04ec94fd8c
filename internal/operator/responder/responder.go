// Package responder serves the operators' HTTP interface.
package responder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/config/checker"
	"github.com/jaygw/jaygw/internal/config/decoder"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/observe/collector"
	"github.com/jaygw/jaygw/internal/operator/planner"
	"github.com/jaygw/jaygw/internal/wire/limiter"
)

type (
	// Replica is the part of a control replica that the responder uses.
	Replica interface {
		jaygw.Control
		// Read calls a function with the state machine while no command is applied.
		Read(func(*applier.Machine))
	}

	// Responder handles the requests of operators with the state of one replica.
	Responder struct {
		replica Replica
		nodes   func() []jaygw.NodeStatus // lists the nodes that watch the view
		collect Collect
	}

	// Collect returns the events of the given processes that match a filter.
	Collect func(context.Context, []collector.Process, collector.Filter) collector.Timeline

	// Option changes a new Responder.
	Option func(*Responder)
)

const (
	// requestTimeout bounds the wait for the control group to commit a command or confirm a read.
	requestTimeout  = 5 * time.Second
	maxRequestBytes = 8 << 20

	// The memory that decoding a request takes, at most: for each object, and for each byte.
	objectBytes, textBytes = 512, 6
)

// WithNodes sets the function that lists the nodes that watch the view.
func WithNodes(nodes func() []jaygw.NodeStatus) Option {
	return func(s *Responder) { s.nodes = nodes }
}

// New returns the responder of a replica. It collects the events of time lines with collect.
func New(replica Replica, collect Collect, options ...Option) *Responder {
	s := &Responder{replica: replica, collect: collect, nodes: func() []jaygw.NodeStatus { return nil }}
	for _, option := range options {
		option(s)
	}
	return s
}

// Handler returns the operators' HTTP interface.
func (s *Responder) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/documents", s.submit).Methods(http.MethodPost)
	r.HandleFunc("/v1/documents/promote", s.promote).Methods(http.MethodPost)
	r.HandleFunc("/v1/plan", s.plan).Methods(http.MethodPost)
	r.HandleFunc("/v1/domains/{name}/{way:out|in}", s.setDomain).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", s.submitJob).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs/{environment}/{name}", s.showJob).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{environment}/{name}/cancel", s.cancelJob).Methods(http.MethodPost)
	r.HandleFunc("/v1/members", s.members).Methods(http.MethodGet)
	r.HandleFunc("/v1/members", s.changeMembers).Methods(http.MethodPost)
	r.HandleFunc("/v1/status", s.status).Methods(http.MethodGet)
	r.HandleFunc("/v1/timeline", s.timeline).Methods(http.MethodGet)
	return r
}

func (s *Responder) submit(w http.ResponseWriter, r *http.Request) {
	body, ok := readDocument(w, r)
	if !ok {
		return
	}
	s.change(w, r, jaygw.Command{Submit: &jaygw.SubmitDocument{
		Document: body.Document, Digest: checker.Digest(body.Document), Author: body.Author,
	}})
}

func (s *Responder) promote(w http.ResponseWriter, r *http.Request) {
	var body PromoteRequest
	if readRequest(w, r, &body) {
		s.change(w, r, jaygw.Command{Promote: &jaygw.PromoteDocument{
			Environment: body.Environment, Digest: body.Digest, Author: body.Author,
		}})
	}
}

func (s *Responder) plan(w http.ResponseWriter, r *http.Request) {
	body, ok := readDocument(w, r)
	if !ok || !s.confirm(w, r) {
		return
	}
	response := PlanResponse{Environment: body.Document.Environment, Digest: checker.Digest(body.Document)}
	s.replica.Read(func(machine *applier.Machine) {
		var inForce *jaygw.Document
		if e, ok := machine.State().Environments[body.Document.Environment]; ok && e.InForce != nil {
			inForce = &e.InForce.Document
			response.InForce = e.InForce.Digest
			response.InForceNumber = e.InForce.Document.Number
		}
		response.Changes = planner.Plan(inForce, body.Document)
		response.Effects = planner.Effects(inForce, body.Document, usageOf(machine.State(), body.Document.Environment))
	})
	writeJSON(w, http.StatusOK, response)
}

func (s *Responder) setDomain(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	set := &jaygw.SetDomain{Name: vars["name"], Out: vars["way"] == "out"}
	if text := r.URL.Query().Get("previous"); text != "" {
		var err error
		if set.Previous, err = strconv.ParseUint(text, 10, 64); err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		set.Order = max(rand.Uint64(), 1)
	}
	s.change(w, r, jaygw.Command{SetDomain: set})
}

func (s *Responder) submitJob(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	spec, findings := checker.Job("", data)
	if len(findings) > 0 {
		writeJSON(w, http.StatusUnprocessableEntity, ErrorResponse{Error: "the job is not valid", Findings: findings})
		return
	}
	s.change(w, r, jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: spec}})
}

func (s *Responder) cancelJob(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	s.change(w, r, jaygw.Command{CancelJob: &jaygw.CancelJob{Environment: vars["environment"], Name: vars["name"]}})
}

// timeline responds with the events of all processes that the replica knows.
func (s *Responder) timeline(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	filter := collector.Filter{Subject: query.Get("subject"), Kind: jaygw.EventKind(query.Get("kind"))}
	for name, limit := range map[string]*jaygw.Time{"since": &filter.Since, "until": &filter.Until} {
		if text := query.Get(name); text != "" {
			at, err := time.Parse(time.RFC3339Nano, text)
			if err != nil {
				writeError(w, http.StatusBadRequest, err)
				return
			}
			*limit = jaygw.TimeOf(at)
		}
	}
	// The state is not confirmed by a quorum, because operators need the time line most while there
	// is none.
	var processes []collector.Process
	for _, m := range s.replica.Status().Members {
		processes = append(processes, collector.Process{Name: m.Name, Address: m.Address})
	}
	s.replica.Read(func(machine *applier.Machine) {
		for name, vm := range machine.State().VMs {
			processes = append(processes, collector.Process{Name: name, Address: vm.Address})
		}
	})
	writeJSON(w, http.StatusOK, s.collect(r.Context(), processes, filter))
}

// change proposes a command with the client's id and sequence number, and writes its result.
func (s *Responder) change(w http.ResponseWriter, r *http.Request, command jaygw.Command) {
	command.Client = r.Header.Get(HeaderClient)
	command.Sequence, _ = strconv.ParseUint(r.Header.Get(HeaderSequence), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	result, err := s.replica.Propose(ctx, command)
	if err != nil {
		writeError(w, statusOf(err), err)
		return
	}
	status := http.StatusOK
	if result.Refusal != nil {
		status = http.StatusConflict
	}
	writeJSON(w, status, ChangeResponse{
		Index: result.Index, Digest: result.Digest, AlreadyApplied: result.AlreadyApplied, Refusal: result.Refusal,
	})
}

// confirm reports whether a quorum confirms that the replica's state is current. If not, it writes
// the error response.
func (s *Responder) confirm(w http.ResponseWriter, r *http.Request) bool {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	if _, err := s.replica.Confirm(ctx); err != nil {
		writeError(w, statusOf(err), err)
		return false
	}
	return true
}

// statusOf returns the HTTP status for an error of the replica.
func statusOf(err error) int {
	if errors.Is(err, jaygw.ErrOutcomeUnknown) {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// readDocument reads a request with a document and validates both. If it returns false, it has
// written the error response.
func readDocument(w http.ResponseWriter, r *http.Request) (SubmitRequest, bool) {
	var body SubmitRequest
	if !readRequest(w, r, &body) {
		return body, false
	}
	data, err := json.Marshal(body.Document)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return body, false
	}
	if _, findings := checker.Document("", data); len(findings) > 0 {
		writeJSON(w, http.StatusUnprocessableEntity, ErrorResponse{Error: "the document is not valid", Findings: findings})
		return body, false
	}
	return body, true
}

// usageOf returns the resources that the teams of an environment use, by team name.
func usageOf(state *applier.State, environment string) map[string]jaygw.Resources {
	used := map[string]jaygw.Resources{}
	for key, team := range state.Teams {
		if name, ok := strings.CutPrefix(key, environment+"/"); ok {
			used[name] = team.Used
		}
	}
	return used
}

// readBody reads the body of a request. If it returns false, it has written the error response.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := limiter.ReadBody(w, r, maxRequestBytes, decodingCost)
	switch {
	case errors.Is(err, limiter.ErrBusy):
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, err)
	case errors.Is(err, limiter.ErrSlow):
		writeError(w, http.StatusRequestTimeout, err)
	case err != nil:
		writeError(w, http.StatusBadRequest, err)
	}
	return data, err == nil
}

// decodingCost returns the memory that decoding a body takes, at most.
func decodingCost(body []byte) int64 {
	return int64(bytes.Count(body, []byte{'{'})*objectBytes + len(body)*textBytes)
}

// readRequest reads and decodes the body of a request. If it returns false, it has written the error
// response.
func readRequest(w http.ResponseWriter, r *http.Request, target any) bool {
	data, ok := readBody(w, r)
	if !ok {
		return false
	}
	if findings := decoder.Decode("", data, target); len(findings) > 0 {
		writeJSON(w, http.StatusUnprocessableEntity, ErrorResponse{Error: "the request is not valid", Findings: findings})
		return false
	}
	return true
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, ErrorResponse{Error: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
