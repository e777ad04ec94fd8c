// Package registrar is the part of a control group's state machine that stores the
// catalog of queues, the workflows in them, their runs, and the agents' sessions.
package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Registrar applies committed commands to a State. It is deterministic and not
	// safe for concurrent use.
	Registrar struct {
		state    *State
		limits   Limits
		runsByVM map[string]*vmRuns // placed runs by VM
		effects  map[jaygw.ImagePair]jaygw.EffectEstimate
		canceled map[canceledKey]bool // cancels of workflows that were unknown, as in state.Canceled
		changes  map[string]uint64    // numbers of the latest changes of queues, by changeKey
		// longestChange is at least the length of the longest key of changes.
		longestChange int
		bytes         int64                       // estimated memory of the workflows and of the cancels of unknown ones
		reduced       int                         // number of workflows in state.Finished that have been reduced, from the first one
		active        []*Workflow                 // workflows that have not ended, in the order of acceptance
		onChange      func(vm string)             // called after a change, see Notify
		onEnd         func(*Workflow, jaygw.Time) // called with each workflow that has ended
		domainOut     func(name string) bool      // reports whether a failure domain is out
	}

	// State is the committed state. Snapshots store it under these field names.
	State struct {
		Catalog   *jaygw.Catalog         // the catalog in force, or nil
		Workflows map[string]*Workflow   // workflows by id
		Placed    []*Placement           // set only in a snapshot; a Registrar indexes them by VM
		Sessions  map[string]*Session    // sessions by VM
		Finished  []string               // ids of the ended workflows, in the order of their ends
		Order     uint64                 // acceptance number of the latest workflow
		Effects   []jaygw.EffectEstimate // set only in a snapshot, sorted; a Registrar indexes them by pair
		// Canceled holds the cancels of workflows that were unknown, in their order.
		Canceled []UnknownCancel `cbor:",omitempty"`
		// QueueChanges is set only in a snapshot, sorted; a Registrar indexes them by queue.
		QueueChanges []QueueChange `cbor:",omitempty"`
	}

	// UnknownCancel is the cancel of a workflow that was unknown. Its submission may arrive later.
	UnknownCancel struct {
		Host string // in lower case
		Path string
		At   jaygw.Time
	}

	// Workflow is an accepted workflow.
	Workflow struct {
		Spec        jaygw.WorkflowSpec
		Queue       jaygw.Queue // the queue as the catalog declared it when the workflow was accepted
		Accepted    jaygw.Time  // time of the acceptance
		Order       uint64      // acceptance number; a later workflow has a higher one
		State       jaygw.WorkflowState
		Finished    jaygw.Time    // time of the end, if the workflow has ended
		Reason      string        // why the workflow failed or was canceled
		Occurrences []*Occurrence // repetitions of the steps; nil once the workflow has ended
		Runs        int           // number of placed runs
		Idle        jaygw.Time    // time of the acceptance, or of the end of the latest run
		// Granted is set once a run has been granted, also if no worker has begun it.
		Granted bool `cbor:",omitempty"`

		bytes int64 // as in Registrar.bytes
	}

	// Occurrence is one repetition of the steps.
	Occurrence struct {
		Steps []*StepState
		Done  int // number of steps whose tasks are all done
	}

	// StepState is the progress of one step.
	StepState struct {
		Tasks []TaskState
		Done  int // number of tasks that are done
		Held  int // number of tasks with a placed run, without those that are done if the step allows copies
	}

	// TaskState is the progress of one task.
	TaskState struct {
		Done       bool
		Number     uint64   // number of the latest run
		Runs       int      // number of placed runs
		Failures   int      // number of failed runs
		FailedOn   []string // VMs of the failed runs
		FailedRuns []uint64 // numbers of the failed runs
		LastVM     string   // VM of the latest run
		// LateVM is the VM whose worker may have an order for the latest run that it has not carried out; empty for none.
		LateVM     string     `cbor:",omitempty"`
		Checkpoint string     // latest checkpoint, or empty
		Released   jaygw.Time // time of the end of the latest run
		// Copied is the number of the run that the latest run is a copy of; zero if that is no copy.
		Copied uint64 `cbor:",omitempty"`
		// CopiedVM is the VM of the run that the latest run is a copy of.
		CopiedVM string `cbor:",omitempty"`
	}

	// Placement is a run that may be running on a VM and holds resources there.
	Placement struct {
		Run     jaygw.Run
		VM      string
		Session uint64     // number of the VM's session at the grant
		Since   jaygw.Time // time of the grant
		// Stopping is set once the run is to be stopped.
		Stopping bool
		Ticket   string // ticket of the grant, for runs of an advised queue
		// Checkpoint is that of the task at the grant. All members of a gang start from the same one.
		Checkpoint string `cbor:",omitempty"`
	}

	// Session is the latest agent process on a VM with the incarnation of its worker.
	Session struct {
		Number  uint64                  // log index of the command that opened the session
		Process uint64                  // number that the agent process has drawn at random
		Life    jaygw.WorkerIncarnation // incarnation of the worker
		Domain  string                  // failure domain of the VM
		// Profile is that of the worker; nil if the session was opened by an earlier build.
		Profile *jaygw.WorkerProfile `cbor:",omitempty"`
		// Sequence is the sequence number of the poll that opened the session.
		Sequence uint64 `cbor:",omitempty"`
		// Superseded holds the latest agent processes that had sessions before, oldest first.
		Superseded []uint64 `cbor:",omitempty"`
	}

	// Limits bounds the sizes of the tables.
	Limits struct {
		Workflows int // workflows, including ended ones that are retained
		Canceled  int // cancels of unknown workflows that are retained
		Tasks     int // tasks of one workflow, over all occurrences
		Sessions  int // sessions, one per VM
		Effects   int // estimates, one per pair of images
		// RemovedQueues bounds the queues that are no longer declared of which the latest change is known.
		RemovedQueues int
	}
)

// retention is the least time for which an ended workflow is retained. During this time its state
// can be queried, and a resent submission of it is acknowledged instead of accepted again. The cancel
// of an unknown workflow is retained for as long.
const retention = 10 * time.Minute

// maxSuperseded bounds the superseded processes of a session.
const maxSuperseded = 8

// DefaultLimits returns limits with a margin of two over the target size.
func DefaultLimits() Limits {
	return Limits{Workflows: 50_000, Canceled: 20_000, Tasks: jaygw.MaxWorkflowTasks, Sessions: 5_000, Effects: 20_000, RemovedQueues: 5_000}
}

// New returns a registrar without workflows. The function domainOut reports whether a failure
// domain is out.
func New(domainOut func(string) bool) *Registrar {
	return &Registrar{
		state:     newState(),
		limits:    DefaultLimits(),
		runsByVM:  map[string]*vmRuns{},
		effects:   map[jaygw.ImagePair]jaygw.EffectEstimate{},
		canceled:  map[canceledKey]bool{},
		changes:   map[string]uint64{},
		onChange:  func(string) {},
		onEnd:     func(*Workflow, jaygw.Time) {},
		domainOut: domainOut,
	}
}

func newState() *State {
	return &State{Workflows: map[string]*Workflow{}, Sessions: map[string]*Session{}}
}

// Notify sets a function that is called after a change: with the name of the VM whose agent has to
// be notified of it, or with an empty name.
func (r *Registrar) Notify(onChange func(vm string)) { r.onChange = onChange }

// OnEnd sets a function that is called with each workflow that has just ended.
func (r *Registrar) OnEnd(onEnd func(w *Workflow, now jaygw.Time)) { r.onEnd = onEnd }

// Catalog returns the catalog in force, or nil.
func (r *Registrar) Catalog() *jaygw.Catalog { return r.state.Catalog }

// Session returns a VM's session, or nil.
func (r *Registrar) Session(vm string) *Session { return r.state.Sessions[vm] }

// Sessions returns all sessions by VM. The map must not be changed.
func (r *Registrar) Sessions() map[string]*Session { return r.state.Sessions }

// IsDomainOut reports whether a failure domain is out.
func (r *Registrar) IsDomainOut(name string) bool { return r.domainOut(name) }

// Active returns the workflows that have not ended, in the order of acceptance. The
// slice must not be changed.
func (r *Registrar) Active() []*Workflow { return r.active }

// Workflow returns the workflow with an id, or nil.
func (r *Registrar) Workflow(id string) *Workflow { return r.state.Workflows[id] }

// ForEachPlacement calls a function with each run that holds resources on a VM, in no
// particular order.
func (r *Registrar) ForEachPlacement(vm string, visit func(*Placement)) {
	for _, p := range r.placed(vm) {
		visit(p)
	}
}

// FindPlacement returns a run that holds resources on a VM, or nil.
func (r *Registrar) FindPlacement(vm string, run jaygw.Run) *Placement { return r.placed(vm)[run] }

// HasPlacements reports whether any run holds resources on a VM.
func (r *Registrar) HasPlacements(vm string) bool { return len(r.placed(vm)) > 0 }

// VMs returns the names of the VMs on which runs hold resources, sorted.
func (r *Registrar) VMs() []string { return slices.Sorted(maps.Keys(r.runsByVM)) }

// PlacedRun describes a placed run, or returns false if its workflow has been removed.
func (r *Registrar) PlacedRun(p *Placement) (jaygw.PlacedRun, bool) {
	w := r.state.Workflows[p.Run.Task.Workflow]
	if w == nil || p.Run.Task.Step >= len(w.Spec.Steps) {
		return jaygw.PlacedRun{}, false
	}
	placed := jaygw.PlacedRun{
		Run: p.Run, VM: p.VM, Since: p.Since, Step: &w.Spec.Steps[p.Run.Task.Step], Payload: w.Spec.Payload, Checkpoint: p.Checkpoint,
		WorkflowEnded: w.State.Ended(),
	}
	if task := w.task(p.Run.Task); task != nil {
		placed.WorkflowEnded = placed.WorkflowEnded || task.Done || p.Stopping
		placed.Doubled = task.Runs > 1
	}
	return placed, true
}

// IsQueued reports whether a run has been granted for a workflow of which no worker is known to have begun a task.
func (r *Registrar) IsQueued(run jaygw.Run) bool {
	w := r.state.Workflows[run.Task.Workflow]
	if w == nil || w.State != jaygw.WorkflowQueued {
		return false
	}
	task := w.task(run.Task)
	return task != nil && run.Number <= task.Number
}

// CountQueued returns the number of workflows of a queue of which no worker is known to have begun a task.
func (r *Registrar) CountQueued(host, prefix string) int {
	waiting := 0
	for _, w := range r.active {
		if w.State == jaygw.WorkflowQueued && w.Queue.Host == host && w.Queue.Prefix == prefix {
			waiting++
		}
	}
	return waiting
}

// Snapshot returns a copy of the state that later commands do not change.
func (r *Registrar) Snapshot() *State {
	s := &State{
		Catalog: r.state.Catalog, Sessions: maps.Clone(r.state.Sessions),
		Finished: slices.Clone(r.state.Finished), Order: r.state.Order,
		Workflows: make(map[string]*Workflow, len(r.state.Workflows)), Effects: r.Effects(), Canceled: slices.Clone(r.state.Canceled),
		QueueChanges: r.queueChanges(),
	}
	for id, w := range r.state.Workflows {
		s.Workflows[id] = w.clone()
	}
	for _, vm := range r.VMs() {
		placed := r.placed(vm)
		for _, run := range slices.SortedFunc(maps.Keys(placed), CompareRuns) {
			s.Placed = append(s.Placed, placed[run])
		}
	}
	return s
}

// Restore replaces the state with one from Snapshot, which may be nil.
func (r *Registrar) Restore(state *State) {
	r.state = newState()
	r.runsByVM = map[string]*vmRuns{}
	r.effects = map[jaygw.ImagePair]jaygw.EffectEstimate{}
	r.canceled = map[canceledKey]bool{}
	r.changes = map[string]uint64{}
	r.active = nil
	r.bytes, r.reduced = 0, 0
	if state == nil {
		return
	}
	r.state.Catalog = state.Catalog
	r.state.Finished, r.state.Order, r.state.Canceled = state.Finished, state.Order, state.Canceled
	for _, c := range state.Canceled {
		r.canceled[c.key()] = true
		r.bytes += CancelBytes(c.Host, c.Path)
	}
	for _, c := range state.QueueChanges {
		r.setChange(c.Queue, c.Number)
	}
	if state.Workflows != nil {
		r.state.Workflows = state.Workflows
	}
	if state.Sessions != nil {
		r.state.Sessions = state.Sessions
	}
	for _, p := range state.Placed {
		r.addPlaced(p)
	}
	for _, e := range state.Effects {
		r.effects[e.Pair] = e
	}
	for _, w := range r.state.Workflows {
		w.bytes = 0
		r.charge(w)
		if !w.State.Ended() {
			r.active = append(r.active, w)
		}
	}
	slices.SortFunc(r.active, func(a, b *Workflow) int { return compare(a.Order, b.Order) })
}

// HasGrants reports whether a run of the workflow has been granted. States of earlier builds show that by
// the state of the workflow.
func (w *Workflow) HasGrants() bool { return w.Granted || w.State != jaygw.WorkflowQueued }

// clone returns a copy that later commands do not change.
func (w *Workflow) clone() *Workflow {
	c := *w
	c.Occurrences = make([]*Occurrence, len(w.Occurrences))
	for i, o := range w.Occurrences {
		copied := &Occurrence{Done: o.Done, Steps: make([]*StepState, len(o.Steps))}
		for j, s := range o.Steps {
			copied.Steps[j] = &StepState{Done: s.Done, Held: s.Held, Tasks: slices.Clone(s.Tasks)}
		}
		c.Occurrences[i] = copied
	}
	return &c
}

// step returns the state of a task's step, or nil.
func (w *Workflow) step(id jaygw.StepTask) *StepState {
	if id.Occurrence < 0 || id.Occurrence >= len(w.Occurrences) || id.Step < 0 || id.Step >= len(w.Occurrences[id.Occurrence].Steps) {
		return nil
	}
	return w.Occurrences[id.Occurrence].Steps[id.Step]
}

// task returns the state of a task, or nil.
func (w *Workflow) task(id jaygw.StepTask) *TaskState {
	s := w.step(id)
	if s == nil || id.Index < 0 || id.Index >= len(s.Tasks) {
		return nil
	}
	return &s.Tasks[id.Index]
}

// Ready reports whether all tasks of the steps that a step follows are done, in an occurrence.
func (w *Workflow) Ready(occurrence, step int) bool {
	steps := w.Occurrences[occurrence].Steps
	for _, before := range w.Spec.Steps[step].After {
		if steps[before].Done < len(steps[before].Tasks) {
			return false
		}
	}
	return true
}

// CompareRuns orders runs by task and number.
func CompareRuns(a, b jaygw.Run) int {
	if c := compare(a.Task.Workflow, b.Task.Workflow); c != 0 {
		return c
	}
	for _, pair := range [][2]int{
		{a.Task.Occurrence, b.Task.Occurrence}, {a.Task.Step, b.Task.Step}, {a.Task.Index, b.Task.Index},
	} {
		if c := compare(pair[0], pair[1]); c != 0 {
			return c
		}
	}
	return compare(a.Number, b.Number)
}
