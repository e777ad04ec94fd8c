// Package registrar is the part of a control group's state machine that keeps the
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
		state   *State
		limits  Limits
		byVM    map[string]map[jaygw.Run]*Placed
		effects map[jaygw.ImagePair]jaygw.EffectEstimate
		active  []*Workflow // not ended, in the order of acceptance
		notify  func(vm string)
		ended   func(*Workflow, jaygw.Time)
		domains func(name string) bool // reports whether a failure domain is out
	}

	// State is what has been committed.
	State struct {
		Catalog   *jaygw.Catalog
		Workflows map[string]*Workflow
		Placed    []*Placed // only in a snapshot; the Registrar keeps them by VM
		Sessions  map[string]*Session
		Finished  []string               // ended workflows, the earliest first
		Order     uint64                 // of the last accepted workflow
		Effects   []jaygw.EffectEstimate // only in a snapshot, sorted; the Registrar keeps them by pair
	}

	// Workflow is an accepted workflow.
	Workflow struct {
		Spec        jaygw.WorkflowSpec
		Queue       jaygw.Queue // as of the acceptance
		Accepted    jaygw.Time
		Order       uint64
		State       jaygw.WorkflowState
		Finished    jaygw.Time
		Reason      string
		Occurrences []*Occurrence // nil once ended
		Runs        int           // placed runs
		Idle        jaygw.Time    // the acceptance, or the end of the latest run
	}

	// Occurrence is one repetition of the steps.
	Occurrence struct {
		Steps []*StepState
		Done  int // steps
	}

	// StepState is how far a step is.
	StepState struct {
		Tasks []TaskState
		Done  int // tasks
		Held  int // tasks with a placed run
	}

	// TaskState is how far a task is.
	TaskState struct {
		Done       bool
		Number     uint64 // of the latest run
		Runs       int    // placed
		Failures   int
		FailedOn   []string // VMs of the failed runs
		LastVM     string
		Checkpoint string
		Released   jaygw.Time // end of the latest run
	}

	// Placed is a run that may be at work on a VM and holds resources there.
	Placed struct {
		Run     jaygw.Run
		VM      string
		Session uint64
		Since   jaygw.Time
		// Stopping is set once the run is to be stopped.
		Stopping bool
		Ticket   string // that the start carries
	}

	// Session is the latest agent process on a VM with the life of its worker.
	Session struct {
		Number  uint64
		Process uint64
		Life    jaygw.WorkerLife
		Domain  string
	}

	// Limits bounds the tables.
	Limits struct {
		Workflows int // including ended ones
		Tasks     int // of one workflow, over all occurrences
		Sessions  int
		Effects   int // pairs of images
	}
)

// retention is how long an ended workflow can be shown. Late copies of its
// submission are answered with the first result for as long.
const retention = 10 * time.Minute

// DefaultLimits carries the target size with a margin of two.
func DefaultLimits() Limits {
	return Limits{Workflows: 50_000, Tasks: 20_000, Sessions: 5_000, Effects: 20_000}
}

// New returns a registrar without workflows. The function reports whether a failure
// domain is out.
func New(domainOut func(string) bool) *Registrar {
	return &Registrar{
		state:   newState(),
		limits:  DefaultLimits(),
		byVM:    map[string]map[jaygw.Run]*Placed{},
		effects: map[jaygw.ImagePair]jaygw.EffectEstimate{},
		notify:  func(string) {},
		ended:   func(*Workflow, jaygw.Time) {},
		domains: domainOut,
	}
}

func newState() *State {
	return &State{Workflows: map[string]*Workflow{}, Sessions: map[string]*Session{}}
}

// Notify sets a function that is called after a change: with a VM whose runs have
// changed, or with an empty name.
func (r *Registrar) Notify(notify func(vm string)) { r.notify = notify }

// OnEnd sets a function that is called with each workflow that has just ended.
func (r *Registrar) OnEnd(ended func(w *Workflow, now jaygw.Time)) { r.ended = ended }

// Catalog returns the catalog in force, or nil.
func (r *Registrar) Catalog() *jaygw.Catalog { return r.state.Catalog }

// Session returns a VM's session, or nil.
func (r *Registrar) Session(vm string) *Session { return r.state.Sessions[vm] }

// Sessions returns all sessions by VM. The map must not be changed.
func (r *Registrar) Sessions() map[string]*Session { return r.state.Sessions }

// Active returns the workflows that have not ended, in the order of acceptance. The
// slice must not be changed.
func (r *Registrar) Active() []*Workflow { return r.active }

// Workflow returns a workflow, or nil.
func (r *Registrar) Workflow(id string) *Workflow { return r.state.Workflows[id] }

// PlacedOn calls a function with each run that holds resources on a VM, in no
// particular order.
func (r *Registrar) PlacedOn(vm string, visit func(*Placed)) {
	for _, p := range r.byVM[vm] {
		visit(p)
	}
}

// Placed returns a run that holds resources on a VM, or nil.
func (r *Registrar) Placed(vm string, run jaygw.Run) *Placed { return r.byVM[vm][run] }

// Holds reports whether a VM holds runs.
func (r *Registrar) Holds(vm string) bool { return len(r.byVM[vm]) > 0 }

// VMs returns the VMs that hold runs, sorted.
func (r *Registrar) VMs() []string { return slices.Sorted(maps.Keys(r.byVM)) }

// PlacedRun describes a placed run, or returns false if its workflow is forgotten.
func (r *Registrar) PlacedRun(p *Placed) (jaygw.PlacedRun, bool) {
	w := r.state.Workflows[p.Run.Task.Workflow]
	if w == nil || p.Run.Task.Step >= len(w.Spec.Steps) {
		return jaygw.PlacedRun{}, false
	}
	placed := jaygw.PlacedRun{
		Run: p.Run, VM: p.VM, Since: p.Since, Step: &w.Spec.Steps[p.Run.Task.Step], Payload: w.Spec.Payload, Over: w.State.Ended(),
	}
	if task := w.task(p.Run.Task); task != nil {
		placed.Checkpoint = task.Checkpoint
		placed.Over = placed.Over || task.Done || p.Stopping
	}
	return placed, true
}

// Waiting counts the workflows of a queue of which no task has started.
func (r *Registrar) Waiting(host, prefix string) int {
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
		Workflows: make(map[string]*Workflow, len(r.state.Workflows)), Effects: r.Effects(),
	}
	for id, w := range r.state.Workflows {
		s.Workflows[id] = w.clone()
	}
	for _, vm := range r.VMs() {
		for _, run := range slices.SortedFunc(maps.Keys(r.byVM[vm]), CompareRuns) {
			s.Placed = append(s.Placed, r.byVM[vm][run])
		}
	}
	return s
}

// Restore replaces the state with one from Snapshot, which may be nil.
func (r *Registrar) Restore(state *State) {
	r.state = newState()
	r.byVM = map[string]map[jaygw.Run]*Placed{}
	r.effects = map[jaygw.ImagePair]jaygw.EffectEstimate{}
	r.active = nil
	if state == nil {
		return
	}
	r.state.Catalog = state.Catalog
	r.state.Finished, r.state.Order = state.Finished, state.Order
	if state.Workflows != nil {
		r.state.Workflows = state.Workflows
	}
	if state.Sessions != nil {
		r.state.Sessions = state.Sessions
	}
	for _, p := range state.Placed {
		r.hold(p)
	}
	for _, e := range state.Effects {
		r.effects[e.Pair] = e
	}
	for _, w := range r.state.Workflows {
		if !w.State.Ended() {
			r.active = append(r.active, w)
		}
	}
	slices.SortFunc(r.active, func(a, b *Workflow) int { return compare(a.Order, b.Order) })
}

func (r *Registrar) hold(p *Placed) {
	runs := r.byVM[p.VM]
	if runs == nil {
		runs = map[jaygw.Run]*Placed{}
		r.byVM[p.VM] = runs
	}
	runs[p.Run] = p
}

func (r *Registrar) release(p *Placed) {
	delete(r.byVM[p.VM], p.Run)
	if len(r.byVM[p.VM]) == 0 {
		delete(r.byVM, p.VM)
	}
}

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

func (w *Workflow) task(id jaygw.StepTask) *TaskState {
	s := w.step(id)
	if s == nil || id.Index < 0 || id.Index >= len(s.Tasks) {
		return nil
	}
	return &s.Tasks[id.Index]
}

// Ready reports whether all steps that a step follows are done.
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
