// Package applier is the deterministic state machine of a control group. It
// applies committed commands to documents, failure domains, VMs, jobs, tasks,
// quotas and idempotency keys.
package applier

import (
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

type (
	// Machine applies commands to a State. Objects in the state are never
	// changed in place: a change replaces them, so that a snapshot may be encoded
	// while later commands are applied. A Machine is not safe for concurrent use.
	Machine struct {
		group     string
		limits    Limits
		state     *State
		index     *index
		observers []jaygw.Observer
		registrar *registrar.Registrar

		// trustGrants disables the check of a VM's free capacity in grants. Only a test
		// of package dispatcher sets it, by reflection, to show that the check is needed.
		trustGrants bool
	}

	// Limits bounds the entries or bytes of each table of the state. A full table refuses
	// new entries.
	Limits struct {
		Environments  int
		Domains       int // failure domains
		Teams         int // teams of all environments
		Trials        int // documents on trial per environment
		Records       int // records of promoted and skipped documents per environment
		DocumentBytes int // encoded bytes of all documents in force and on trial
		VMs           int
		Jobs          int // active jobs and ended jobs that are still retained
		Tasks         int // batch tasks and replicas of services
		PayloadBytes  int // payload bytes of all tasks
		Keys          int // idempotency keys
		KeyBytes      int // estimated bytes of all key records with their responses
		Clients       int // clients whose results are stored for resends
		ResultBytes   int // estimated bytes of all results stored for resends
	}

	// Option configures a new Machine.
	Option func(*Machine)
)

var _ jaygw.StateMachine = (*Machine)(nil)

// DefaultLimits returns limits with a margin of two over the target size.
func DefaultLimits() Limits {
	return Limits{
		Environments:  64,
		Domains:       256,
		Teams:         1024,
		Trials:        16,
		Records:       8192, // 3,700 changes a day, retained for one day
		DocumentBytes: 32 << 20,
		VMs:           5_000,
		Jobs:          50_000,
		Tasks:         150_000,
		PayloadBytes:  16 << 20,
		Keys:          200_000,
		KeyBytes:      64 << 20,
		Clients:       50_000,
		ResultBytes:   32 << 20,
	}
}

// WithLimits replaces the table limits.
func WithLimits(limits Limits) Option {
	return func(m *Machine) { m.limits = limits }
}

// WithObserver adds an observer of applied changes and resets it.
func WithObserver(observer jaygw.Observer) Option {
	return func(m *Machine) { m.Observe(observer) }
}

// New returns a machine with an empty state for one control group.
func New(group string, options ...Option) *Machine {
	m := &Machine{group: group, limits: DefaultLimits(), state: newState()}
	m.registrar = registrar.New(func(domain string) bool {
		d := m.state.Domains[domain]
		return d != nil && d.Out
	})
	for _, option := range options {
		option(m)
	}
	m.index = newIndex(m.state)
	return m
}

// Observe adds an observer of applied changes and resets it.
func (m *Machine) Observe(observer jaygw.Observer) {
	m.observers = append(m.observers, observer)
	observer.Reset()
}

// State returns the current state. It is valid until the next Apply or Restore;
// the objects in it are never changed in place.
func (m *Machine) State() *State { return m.state }

// Registrar returns the registrar, which holds the state of workflows.
func (m *Machine) Registrar() *registrar.Registrar { return m.registrar }

// TasksOn returns the ids of the tasks that hold resources on a VM, sorted.
func (m *Machine) TasksOn(vm string) []jaygw.TaskID { return m.index.tasksOn(vm) }

// TasksOf returns the ids of the tasks of a service or job, sorted. The owner is the name
// of the service or job.
func (m *Machine) TasksOf(environment, owner string) []jaygw.TaskID {
	return m.index.tasksOf(ownerKey(environment, owner))
}

// TasksOfOwnerKey returns the ids of the tasks of a service or job, sorted. The key has the
// form environment/owner.
func (m *Machine) TasksOfOwnerKey(key string) []jaygw.TaskID { return m.index.tasksOf(key) }

// Apply applies one committed command and returns its result. A resent command gets the
// result that is stored for its client and sequence number.
func (m *Machine) Apply(index jaygw.Index, command jaygw.Command) jaygw.Result {
	m.state.Index = index
	m.state.Time = max(m.state.Time, command.Time)
	m.expire()

	if command.Group != "" && command.Group != m.group {
		return m.withIndex(index, jaygw.Refuse(jaygw.RefusedInvalid,
			"command for control group %q reached group %q", command.Group, m.group))
	}
	if stored, found := m.storedResult(command); found {
		return stored
	}
	if refusal, full := m.checkClientLimits(command); full {
		return m.withIndex(index, refusal)
	}
	result := m.dispatch(index, command)
	result.Index = index
	if result.Refusal != nil {
		result.Refusal.Detail = truncateText(result.Refusal.Detail)
	}
	m.storeResult(command, result)
	return result
}

func (m *Machine) withIndex(index jaygw.Index, result jaygw.Result) jaygw.Result {
	result.Index = index
	return result
}

func (m *Machine) dispatch(index jaygw.Index, c jaygw.Command) jaygw.Result {
	if changes := countChanges(c); changes > 1 {
		return jaygw.Refuse(jaygw.RefusedInvalid, "the command holds %d changes; it must hold one", changes)
	}
	switch {
	case c.Submit != nil:
		return m.submitDocument(*c.Submit)
	case c.Promote != nil:
		return m.promoteDocument(*c.Promote)
	case c.SetDomain != nil:
		return m.setDomain(*c.SetDomain)
	case c.AnnounceVM != nil:
		return m.announceVM(c.AnnounceVM.VM)
	case c.ExpireVM != nil:
		return m.expireVM(*c.ExpireVM)
	case c.RemoveVM != nil:
		return m.removeVM(*c.RemoveVM)
	case c.SubmitJob != nil:
		return m.submitJob(c.SubmitJob.Spec)
	case c.CancelJob != nil:
		return m.cancelJob(*c.CancelJob)
	case c.Grant != nil:
		return m.grantTasks(*c.Grant)
	case c.Report != nil:
		return m.reportTasks(*c.Report)
	case c.Evict != nil:
		return m.evictTasks(*c.Evict)
	case c.Resize != nil:
		return m.resizeTasks(*c.Resize)
	case c.BlockedJobs != nil:
		return m.reportBlockedJobs(*c.BlockedJobs)
	case c.Claim != nil:
		return m.claimKeys(*c.Claim)
	case c.Settle != nil:
		return m.settleKeys(*c.Settle)
	case c.Catalog != nil:
		return m.registrar.PutCatalog(*c.Catalog)
	case c.SubmitWorkflow != nil:
		return m.registrar.Submit(*c.SubmitWorkflow, m.state.Time)
	case c.CancelWorkflow != nil:
		return m.registrar.Cancel(*c.CancelWorkflow, m.state.Time)
	case c.OpenSession != nil:
		return m.registrar.OpenSession(*c.OpenSession, index, m.state.Time)
	case c.StartRuns != nil:
		return m.registrar.StartRuns(*c.StartRuns, m.state.Time)
	case c.EndRuns != nil:
		return m.registrar.EndRuns(*c.EndRuns, m.state.Time)
	case c.StopRuns != nil:
		return m.registrar.StopRuns(*c.StopRuns)
	case c.LearnEffects != nil:
		return m.registrar.LearnEffects(*c.LearnEffects)
	case c.BeginWorkflows != nil:
		return m.registrar.BeginWorkflows(*c.BeginWorkflows)
	default:
		return jaygw.Result{} // an empty command is a barrier
	}
}

func countChanges(c jaygw.Command) int {
	changes := 0
	for _, set := range []bool{
		c.Submit != nil, c.Promote != nil, c.SetDomain != nil, c.AnnounceVM != nil, c.ExpireVM != nil,
		c.RemoveVM != nil, c.SubmitJob != nil, c.CancelJob != nil, c.Grant != nil, c.Report != nil,
		c.Evict != nil, c.Resize != nil, c.BlockedJobs != nil, c.Claim != nil, c.Settle != nil,
		c.Catalog != nil, c.SubmitWorkflow != nil, c.CancelWorkflow != nil, c.OpenSession != nil, c.StartRuns != nil, c.EndRuns != nil,
		c.StopRuns != nil,
		c.LearnEffects != nil, c.BeginWorkflows != nil,
	} {
		if set {
			changes++
		}
	}
	return changes
}
