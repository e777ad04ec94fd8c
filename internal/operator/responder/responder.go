// Package responder serves the operators' HTTP interface.
package responder

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/config/checker"
	"github.com/jaygw/jaygw/internal/config/decoder"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/observe/gatherer"
	"github.com/jaygw/jaygw/internal/operator/planner"
)

type (
	// Replica is the part of a control replica that the responder needs.
	Replica interface {
		jaygw.Control
		// Read calls a function with the state machine between two commands.
		Read(func(*applier.Machine))
	}

	// Responder answers operators from one replica.
	Responder struct {
		replica Replica
		nodes   func() []jaygw.NodeStatus
		gather  Gather
	}

	// Gather collects the events of all processes.
	Gather func(context.Context, []gatherer.Process, gatherer.Filter) gatherer.Timeline

	// Option changes a new Responder.
	Option func(*Responder)
)

const (
	requestTimeout  = 5 * time.Second
	maxRequestBytes = 8 << 20
)

// WithNodes sets the function that lists the nodes that watch the view.
func WithNodes(nodes func() []jaygw.NodeStatus) Option {
	return func(s *Responder) { s.nodes = nodes }
}

// New returns the responder of a replica.
func New(replica Replica, gather Gather, options ...Option) *Responder {
	s := &Responder{replica: replica, gather: gather, nodes: func() []jaygw.NodeStatus { return nil }}
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
	r.HandleFunc("/v1/timeline", s.events).Methods(http.MethodGet)
	return r
}

func (s *Responder) submit(w http.ResponseWriter, r *http.Request) {
	q, ok := readDocument(w, r)
	if !ok {
		return
	}
	s.change(w, r, jaygw.Command{Submit: &jaygw.SubmitDocument{
		Document: q.Document, Digest: checker.Digest(q.Document), Author: q.Author,
	}})
}

func (s *Responder) promote(w http.ResponseWriter, r *http.Request) {
	var q PromoteRequest
	if read(w, r, &q) {
		s.change(w, r, jaygw.Command{Promote: &jaygw.PromoteDocument{
			Environment: q.Environment, Digest: q.Digest, Author: q.Author,
		}})
	}
}

func (s *Responder) plan(w http.ResponseWriter, r *http.Request) {
	q, ok := readDocument(w, r)
	if !ok || !s.confirm(w, r) {
		return
	}
	response := PlanResponse{Environment: q.Document.Environment, Digest: checker.Digest(q.Document)}
	s.replica.Read(func(machine *applier.Machine) {
		var inForce *jaygw.Document
		if e, ok := machine.State().Environments[q.Document.Environment]; ok && e.InForce != nil {
			inForce = &e.InForce.Document
			response.InForce = e.InForce.Digest
			response.InForceNumber = e.InForce.Document.Number
		}
		response.Changes = planner.Plan(inForce, q.Document)
		response.Effects = planner.Effects(inForce, q.Document, usageOf(machine.State(), q.Document.Environment))
	})
	writeJSON(w, http.StatusOK, response)
}

func (s *Responder) setDomain(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	s.change(w, r, jaygw.Command{SetDomain: &jaygw.SetDomain{Name: vars["name"], Out: vars["way"] == "out"}})
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

func (s *Responder) events(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	filter := gatherer.Filter{Subject: query.Get("subject"), Kind: jaygw.EventKind(query.Get("kind"))}
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
	// The state is not confirmed: the time line is wanted most when there is no
	// quorum.
	var processes []gatherer.Process
	for _, m := range s.replica.Status().Members {
		processes = append(processes, gatherer.Process{Name: m.Name, Address: m.Address})
	}
	s.replica.Read(func(machine *applier.Machine) {
		for name, vm := range machine.State().VMs {
			processes = append(processes, gatherer.Process{Name: name, Address: vm.Address})
		}
	})
	writeJSON(w, http.StatusOK, s.gather(r.Context(), processes, filter))
}

// change proposes a command and writes its result.
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
		Index: result.Index, Digest: result.Digest, Already: result.Already, Refusal: result.Refusal,
	})
}

// confirm makes sure that the replica's state is current.
func (s *Responder) confirm(w http.ResponseWriter, r *http.Request) bool {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	if _, err := s.replica.Confirm(ctx); err != nil {
		writeError(w, statusOf(err), err)
		return false
	}
	return true
}

func statusOf(err error) int {
	if errors.Is(err, jaygw.ErrOutcomeUnknown) {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// readDocument reads a request with a document and validates both.
func readDocument(w http.ResponseWriter, r *http.Request) (SubmitRequest, bool) {
	var q SubmitRequest
	if !read(w, r, &q) {
		return q, false
	}
	data, err := json.Marshal(q.Document)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return q, false
	}
	if _, findings := checker.Document("", data); len(findings) > 0 {
		writeJSON(w, http.StatusUnprocessableEntity, ErrorResponse{Error: "the document is not valid", Findings: findings})
		return q, false
	}
	return q, true
}

// usageOf returns what the teams of an environment use.
func usageOf(state *applier.State, environment string) map[string]jaygw.Resources {
	used := map[string]jaygw.Resources{}
	for key, team := range state.Teams {
		if name, ok := strings.CutPrefix(key, environment+"/"); ok {
			used[name] = team.Used
		}
	}
	return used
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return nil, false
	}
	return data, true
}

func read(w http.ResponseWriter, r *http.Request, target any) bool {
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
