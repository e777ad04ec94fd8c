package applier

import (
	"bytes"
	"fmt"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/wire/encoder"
)

func (m *Machine) submitJob(spec jaygw.JobSpec) jaygw.Result {
	key := ownerKey(spec.Environment, spec.Name)
	if old, ok := m.state.Jobs[key]; ok {
		if sameJob(old.Spec, spec) {
			return jaygw.Result{AlreadyApplied: true}
		}
		return jaygw.Refuse(jaygw.RefusedConflict, "environment %s already has another job named %s", spec.Environment, spec.Name)
	}
	if refusal := m.checkJob(spec); refusal != nil {
		return jaygw.Result{Refusal: refusal}
	}
	m.addJob(spec)
	return jaygw.Result{}
}

// addJob adds a job that has been checked, and its tasks.
func (m *Machine) addJob(spec jaygw.JobSpec) {
	key := ownerKey(spec.Environment, spec.Name)
	m.state.Jobs[key] = &jaygw.Job{Spec: spec, State: jaygw.JobActive, Submitted: m.state.Time}
	for i := range spec.Tasks {
		m.putTask(&jaygw.Task{
			ID:          jaygw.TaskID(fmt.Sprintf("%s/%d", key, i)),
			Environment: spec.Environment,
			Owner:       spec.Name,
			Kind:        jaygw.BatchTask,
			Team:        spec.Team,
			Class:       spec.Class(),
			Declared:    spec.Resources,
			RunTime:     spec.RunTime,
			Domains:     spec.Domains,
			Payload:     spec.Payload,
			State:       jaygw.Waiting,
			Since:       m.state.Time,
			Submitted:   m.state.Time,
			Epoch:       m.state.EpochFloor,
		})
	}
}

// sameJob compares the encoded forms of two jobs. In these an empty list equals a missing
// one, which a replica cannot tell apart after decoding.
func sameJob(a, b jaygw.JobSpec) bool {
	left, errLeft := encoder.Marshal(a)
	right, errRight := encoder.Marshal(b)
	return errLeft == nil && errRight == nil && bytes.Equal(left, right)
}

// checkJob refuses a job that is invalid, exceeds a limit or conflicts with a service, and
// one that can never run.
func (m *Machine) checkJob(spec jaygw.JobSpec) *jaygw.Refusal {
	refuse := func(code jaygw.RefusalCode, format string, args ...any) *jaygw.Refusal {
		return &jaygw.Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}
	}
	if err := checkJobSpec(spec, m.limits); err != nil {
		return err
	}
	environment, ok := m.state.Environments[spec.Environment]
	if !ok || environment.InForce == nil {
		return refuse(jaygw.RefusedUnknown, "environment %s has no document in force", spec.Environment)
	}
	team, ok := m.state.Teams[ownerKey(spec.Environment, spec.Team)]
	if !ok || team.Removed {
		return refuse(jaygw.RefusedUnknown, "environment %s has no team %s", spec.Environment, spec.Team)
	}
	for _, service := range environment.InForce.Document.Services {
		if service.Name == spec.Name {
			return refuse(jaygw.RefusedConflict, "environment %s has a service named %s", spec.Environment, spec.Name)
		}
	}
	if len(m.index.tasksByOwner[ownerKey(spec.Environment, spec.Name)]) > 0 {
		return refuse(jaygw.RefusedConflict, "replicas of the former service %s are still stopping", spec.Name)
	}
	if !spec.Resources.Fits(team.Quota) {
		return refuse(jaygw.RefusedNeverFits, "a task of job %s is larger than the quota of team %s", spec.Name, spec.Team)
	}
	if len(m.state.VMs) > 0 && !m.fitsSomeVM(spec, team) {
		return refuse(jaygw.RefusedNeverFits, "a task of job %s is larger than every VM where team %s may start it",
			spec.Name, spec.Team)
	}
	if len(m.state.Jobs) >= m.limits.Jobs {
		return refuse(jaygw.RefusedTableFull, "the table of jobs holds its limit of %d; finished jobs leave it after %s",
			m.limits.Jobs, jobRetention)
	}
	if len(m.state.Tasks)+spec.Tasks > m.limits.Tasks {
		return refuse(jaygw.RefusedTableFull, "the table of tasks holds %d of %d; job %s has %d",
			len(m.state.Tasks), m.limits.Tasks, spec.Name, spec.Tasks)
	}
	if m.index.payloadBytes+spec.Tasks*len(spec.Payload) > m.limits.PayloadBytes {
		return refuse(jaygw.RefusedTableFull, "the payloads of all tasks hold %d of %d bytes; job %s has %d",
			m.index.payloadBytes, m.limits.PayloadBytes, spec.Name, spec.Tasks*len(spec.Payload))
	}
	return nil
}

// checkJobSpec refuses values that no job may have.
func checkJobSpec(spec jaygw.JobSpec, limits Limits) *jaygw.Refusal {
	switch {
	case !validName(spec.Name) || !validName(spec.Environment) || !validName(spec.Team):
		return &jaygw.Refusal{Code: jaygw.RefusedInvalid, Detail: "a job needs valid names of itself, its environment and its team"}
	case spec.Tasks < 1 || spec.Tasks > limits.Tasks:
		return &jaygw.Refusal{Code: jaygw.RefusedInvalid, Detail: fmt.Sprintf("job %s has %d tasks; from 1 to %d are possible",
			spec.Name, spec.Tasks, limits.Tasks)}
	case !validSize(spec.Resources):
		return &jaygw.Refusal{Code: jaygw.RefusedInvalid, Detail: fmt.Sprintf("job %s needs a size that is not negative", spec.Name)}
	case len(spec.Payload) > limits.PayloadBytes:
		return &jaygw.Refusal{Code: jaygw.RefusedInvalid, Detail: fmt.Sprintf("the payload of job %s is longer than %d bytes",
			spec.Name, limits.PayloadBytes)}
	}
	return nil
}

func (m *Machine) fitsSomeVM(spec jaygw.JobSpec, team *jaygw.Team) bool {
	for _, vm := range m.state.VMs {
		if spec.Resources.Fits(vm.Size) && allows(spec.Domains, vm.Domain) && allows(team.MayStart, vm.Domain) {
			return true
		}
	}
	return false
}

func (m *Machine) cancelJob(cancel jaygw.CancelJob) jaygw.Result {
	key := ownerKey(cancel.Environment, cancel.Name)
	job, ok := m.state.Jobs[key]
	if !ok {
		return jaygw.Refuse(jaygw.RefusedUnknown, "environment %s has no job %s", cancel.Environment, cancel.Name)
	}
	if job.State != jaygw.JobActive {
		return jaygw.Result{AlreadyApplied: true}
	}
	for _, id := range m.index.tasksOf(key) {
		// Canceling the last open task of a job removes all tasks of the job.
		if task, ok := m.state.Tasks[id]; ok {
			m.cancelTask(task)
		}
	}
	return jaygw.Result{}
}

// reportBlockedJobs sets the reasons why active jobs cannot run.
func (m *Machine) reportBlockedJobs(batch jaygw.ReportBlockedJobs) jaygw.Result {
	results := make([]jaygw.ItemResult, len(batch.Jobs))
	for i, blocked := range batch.Jobs {
		key := ownerKey(blocked.Environment, blocked.Name)
		job, ok := m.state.Jobs[key]
		if !ok || job.State != jaygw.JobActive {
			results[i] = refuseItem(jaygw.RefusedState, "job %s is not active", key)
			continue
		}
		next := *job
		next.Reason = truncateText(blocked.Reason)
		m.state.Jobs[key] = &next
	}
	return jaygw.Result{Results: results}
}

// taskEnded counts an ended batch task. When the last task of a job has ended, the job's
// tasks are removed and only the counts are retained.
func (m *Machine) taskEnded(task *jaygw.Task) {
	if task.Kind != jaygw.BatchTask {
		return
	}
	key := ownerKey(task.Environment, task.Owner)
	next := *m.state.Jobs[key]
	switch task.State {
	case jaygw.Done:
		next.Done++
	case jaygw.Failed:
		next.Failed++
		next.Reason = fmt.Sprintf("task %s: %s", task.ID, task.Reason)
	case jaygw.Canceled:
		next.Canceled++
	}
	if next.Done+next.Failed+next.Canceled == next.Spec.Tasks {
		next.Finished = m.state.Time
		next.State = finalJobState(next)
		for _, id := range m.index.tasksOf(key) {
			m.dropTask(id)
		}
		m.index.scheduleExpiry(next.Finished.Add(jobRetention), jobTable, key)
	}
	m.state.Jobs[key] = &next
}

func finalJobState(job jaygw.Job) jaygw.JobState {
	switch {
	case job.Failed > 0:
		return jaygw.JobFailed
	case job.Canceled > 0:
		return jaygw.JobCanceled
	default:
		return jaygw.JobDone
	}
}

// allows reports whether a list of names contains a name; an empty list allows all names.
func allows(list []string, name string) bool {
	for _, allowed := range list {
		if allowed == name {
			return true
		}
	}
	return len(list) == 0
}
