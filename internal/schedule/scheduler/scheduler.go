// Package scheduler decides which tasks start, move and stop. It runs on the leader of a
// control group.
package scheduler

import (
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/schedule/estimator"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

type (
	// Scheduler decides from the applied state and the time. It observes the state machine to
	// keep its index up to date. It is not safe for concurrent use: its callers hold the
	// replica's lock.
	Scheduler struct {
		index        *placer.Index
		queue        *placer.Queue
		usage        *estimator.Usage
		interference *estimator.Interference
		health       *health
		shapes       map[shapeKey]*placer.Shape
		reservations map[jaygw.TaskID]*reservation
		// progressAtStart is the progress at the checkpoint that a running attempt started from.
		progressAtStart map[jaygw.TaskID]jaygw.Duration
		moveBuckets     map[string]*tokenBucket // limit the rate of service moves, by environment
		vmControls      map[string]*vmControl   // reactions to interference, by VM
		latencyReported map[string]bool         // VMs with latency reports since the last decision
		replicaEnded    map[string]bool         // VMs where a replica ended since the last decision
		missingReplicas map[string]int          // declared replicas that are not running, by service
		completeSince   map[string]jaygw.Time   // when the last missing replica ran again, by service
		changedOrders   map[string]bool         // VMs whose orders have changed since ChangedOrders
		unresponsive    map[string]bool         // VMs without contact
		// reportedBlocked holds the reasons that were last reported for blocked jobs, by
		// environment/job.
		reportedBlocked map[string]string
		// blockedCheckVersion is the version of the index at the last check for blocked jobs.
		blockedCheckVersion int
		pendingResizes      map[string]bool // owners whose running tasks have to be resized
		quarantinePercent   int             // largest share of the VMs that may be in quarantine
		totalWeight         float64         // of the teams that use resources or have waiting tasks
		ramping             bool            // VMs may be opening in steps after their return
		indexStale          bool            // the index has to be rebuilt from the state
		documentsChanged    bool            // a document came into force since the last decision
		// updateSlots holds the start of the interval in which each periodic update last ran.
		updateSlots      [periodicUpdates]jaygw.Time
		lastLeavingCheck jaygw.Time // last check of VMs that are leaving

		withoutInterference bool
		withoutEstimates    bool
	}

	// Option configures a Scheduler when New creates it.
	Option func(*Scheduler)

	// decision holds the inputs and the results of one call of Decide.
	decision struct {
		*Scheduler
		machine        *applier.Machine
		state          *applier.State
		now            jaygw.Time
		used           map[string]jaygw.Resources // by team, including the grants and resizes of this decision
		granted        map[jaygw.TaskID]bool
		evicted        map[jaygw.TaskID]bool
		grantsByOwner  map[string]int // grants of this decision, by owner
		taken          []placer.Taken // tasks out of the queue until the end of this decision
		grants         []jaygw.Grant
		evictions      []jaygw.Eviction
		resizes        []jaygw.Resize
		blockedJobs    []jaygw.BlockedJob
		victimSearches int // searches for tasks to evict
	}

	// shapeKey identifies the waiting tasks that fit on the same VMs.
	shapeKey struct {
		noisyOwner        string
		size              jaygw.Resources
		domains, mayStart string
	}
)

const (
	// maxGrants bounds the grants of one decision to keep the log entry small. The next
	// decision follows at once.
	maxGrants = 256

	// updateInterval is the interval of the periodic updates, which need not follow each
	// change of the state.
	updateInterval = time.Second

	// periodicUpdates is the number of functions that runPeriodicUpdates calls.
	periodicUpdates = 6
)

var _ jaygw.Observer = (*Scheduler)(nil)

// WithoutInterference disables the reactions to interference.
func WithoutInterference() Option { return func(s *Scheduler) { s.withoutInterference = true } }

// WithoutEstimates commits the declared sizes of tasks instead of estimates.
func WithoutEstimates() Option { return func(s *Scheduler) { s.withoutEstimates = true } }

// New returns a scheduler. It must be registered as an observer of the state machine that is
// passed to Decide.
func New(options ...Option) *Scheduler {
	s := &Scheduler{}
	for _, option := range options {
		option(s)
	}
	s.Reset()
	return s
}

// Decide returns the commands that the state requires at the time now. The caller must propose
// them in the order returned.
func (s *Scheduler) Decide(machine *applier.Machine, now jaygw.Time) []jaygw.Command {
	d := &decision{
		Scheduler: s, machine: machine, state: machine.State(), now: now,
		used: map[string]jaygw.Resources{}, granted: map[jaygw.TaskID]bool{}, evicted: map[jaygw.TaskID]bool{},
		grantsByOwner: map[string]int{},
	}
	d.prepare()
	d.drainLeavingVMs()
	d.reactToInterference()
	d.resize()
	d.grantReserved()
	for class := range 3 {
		d.grantClass(class)
	}
	s.queue.PutBack(d.taken)
	return d.commands()
}

// prepare updates the index, the queue and the shapes before tasks are placed.
func (d *decision) prepare() {
	if d.indexStale {
		d.rebuild(d.state)
	}
	d.index.ResetPlan()
	if d.documentsChanged {
		d.documentsChanged = false
		d.shapes = map[shapeKey]*placer.Shape{}
		d.queue.ResetShapes("")
	}
	d.runPeriodicUpdates()
	d.queue.Advance(d.now)
	d.unblockShapes()
}

// runPeriodicUpdates runs each update that depends on time alone once per updateInterval. The
// updates are staggered, because all of them in one decision would delay its placements.
func (d *decision) runPeriodicUpdates() {
	for i, update := range [periodicUpdates]func(){
		d.updateRampUp, d.updateTotalWeight, d.updateQuarantine, d.reserveForAged, d.reportBlockedJobs, d.forgetEstimates,
	} {
		if d.now.Sub(d.updateSlots[i]) < updateInterval {
			continue
		}
		offset := jaygw.Time(i) * jaygw.Time(updateInterval) / periodicUpdates
		d.updateSlots[i] = d.now - (d.now-offset)%jaygw.Time(updateInterval)
		update()
	}
}

// forgetEstimates removes estimates that are no longer used.
func (d *decision) forgetEstimates() {
	d.interference.Forget(func(vm string) bool { return d.index.Node(vm) != nil }, d.now)
	d.usage.Forget(d.now)
}

func (d *decision) commands() []jaygw.Command {
	var commands []jaygw.Command
	if len(d.evictions) > 0 {
		commands = append(commands, jaygw.Command{Evict: &jaygw.EvictTasks{Evictions: d.evictions}})
	}
	if len(d.resizes) > 0 {
		commands = append(commands, jaygw.Command{Resize: &jaygw.ResizeTasks{Resizes: d.resizes}})
	}
	if len(d.grants) > 0 {
		commands = append(commands, jaygw.Command{Grant: &jaygw.GrantTasks{Grants: d.grants}})
	}
	if len(d.blockedJobs) > 0 {
		commands = append(commands, jaygw.Command{BlockedJobs: &jaygw.ReportBlockedJobs{Jobs: d.blockedJobs}})
	}
	return commands
}

// evict adds the eviction of the task's attempt to this decision, unless it is there already.
func (d *decision) evict(task *jaygw.Task, reason string) {
	if !d.evicted[task.ID] {
		d.evicted[task.ID] = true
		d.evictions = append(d.evictions, jaygw.Eviction{Attempt: task.Attempt(), Reason: reason})
	}
}

// limits returns the limits of the environment's document in force, or zero limits without one.
func (d *decision) limits(environment string) jaygw.Limits {
	if e, ok := d.state.Environments[environment]; ok && e.InForce != nil {
		return e.InForce.Document.Limits
	}
	return jaygw.Limits{}
}
