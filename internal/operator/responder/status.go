package responder

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/gorilla/mux"
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
)

// maxExplained bounds the jobs whose waiting tasks one status explains. The state is locked
// meanwhile, and each explanation checks every VM.
const maxExplained = 50

func (s *Responder) status(w http.ResponseWriter, r *http.Request) {
	if !s.confirm(w, r) {
		return
	}
	response := StatusResponse{Replica: s.replica.Status(), Tasks: map[string]int{}}
	s.replica.Read(func(machine *applier.Machine) { response.fill(machine) })
	response.Nodes = s.nodes()
	writeJSON(w, http.StatusOK, response)
}

// fill sets the parts of a status that come from the state machine.
func (r *StatusResponse) fill(machine *applier.Machine) {
	state := machine.State()
	r.Index = state.Index
	for _, name := range slices.Sorted(maps.Keys(state.Environments)) {
		r.Environments = append(r.Environments, environmentStatus(state.Environments[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(state.Domains)) {
		r.Domains = append(r.Domains, *state.Domains[name])
	}
	for _, name := range slices.Sorted(maps.Keys(state.VMs)) {
		r.VMs = append(r.VMs, *state.VMs[name])
	}
	for _, key := range slices.Sorted(maps.Keys(state.Teams)) {
		team := state.Teams[key]
		environment, _, _ := strings.Cut(key, "/")
		r.Teams = append(r.Teams, TeamStatus{Environment: environment, Name: team.Name, Quota: team.Quota, Used: team.Used})
	}
	for _, key := range slices.Sorted(maps.Keys(state.Jobs)) {
		if job := state.Jobs[key]; job.State == jaygw.JobActive {
			status := jobStatus(job)
			if len(r.Jobs) < maxExplained {
				status.Waiting, status.WaitingReason = waitingTasks(machine, key)
			}
			r.Jobs = append(r.Jobs, status)
		}
	}
	for _, task := range state.Tasks {
		r.Tasks[string(task.State)]++
	}
}

// waitingTasks counts the waiting tasks of the job with a key, environment/name, and returns the
// reason why the first one waits.
func waitingTasks(machine *applier.Machine, key string) (count int, reason string) {
	state := machine.State()
	for _, id := range machine.TasksOfOwnerKey(key) {
		if task := state.Tasks[id]; task.State == jaygw.Waiting {
			if count == 0 {
				reason = explain(state, task)
			}
			count++
		}
	}
	return count, reason
}

func environmentStatus(e *applier.Environment) EnvironmentStatus {
	status := EnvironmentStatus{Name: e.Name}
	if e.InForce != nil {
		d := documentStatus(e.InForce)
		status.InForce = &d
	}
	for _, number := range slices.Sorted(maps.Keys(e.Trials)) {
		status.Trials = append(status.Trials, documentStatus(e.Trials[number]))
	}
	return status
}

func documentStatus(d *jaygw.Submitted) DocumentStatus {
	return DocumentStatus{Number: d.Document.Number, Digest: d.Digest, Author: d.Author, Index: d.Index}
}

func jobStatus(job *jaygw.Job) JobStatus {
	return JobStatus{
		Environment: job.Spec.Environment, Name: job.Spec.Name, State: job.State, Tasks: job.Spec.Tasks,
		Done: job.Done, Failed: job.Failed, Canceled: job.Canceled, Reason: job.Reason,
	}
}

func (s *Responder) showJob(w http.ResponseWriter, r *http.Request) {
	if !s.confirm(w, r) {
		return
	}
	vars := mux.Vars(r)
	var response *JobStatus
	s.replica.Read(func(machine *applier.Machine) {
		job, ok := machine.State().Jobs[vars["environment"]+"/"+vars["name"]]
		if !ok {
			return
		}
		status := jobStatus(job)
		for _, id := range machine.TasksOf(vars["environment"], vars["name"]) {
			if task := machine.State().Tasks[id]; !task.State.Ended() {
				status.Open = append(status.Open, OpenTask{Task: *task, NotRunningReason: explain(machine.State(), task)})
			}
		}
		slices.SortFunc(status.Open, func(a, b OpenTask) int { return cmp.Compare(a.ID, b.ID) })
		response = &status
	})
	if response == nil {
		writeJSON(w, http.StatusNotFound, ErrorResponse{Error: "environment " + vars["environment"] + " has no job " + vars["name"]})
		return
	}
	writeJSON(w, http.StatusOK, response)
}
