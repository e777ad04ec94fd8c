// Package runner decides what an agent does with the runs on its worker. It is a pure state
// machine: each method takes an event and the current time and returns the actions to perform.
package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/pacer"
)

type (
	// Runner tracks the runs on one worker and the lease that they run under. It is not
	// safe for concurrent use. All times come from one monotonic clock.
	Runner struct {
		vm             string
		process        uint64
		longestLease   time.Duration
		worker         *jaygw.PoolWorker
		contradiction  *jaygw.PoolWorker // the last report, if it contradicts the earlier ones
		reportSequence uint64            // number of the accepted report; zero if none had one
		late           lateReports       // since the accepted report
		profileSince   time.Time         // when the incarnation began to report its profile; zero for its first one
		session        uint64
		sessionAt      time.Time // when the first response of the session arrived
		sequence       uint64
		sent           map[uint64]time.Time // send times of polls without a response, by sequence
		lastRevision   uint64               // revision of the leader's state in the latest response
		latestResponse uint64               // highest sequence number of a poll that got a response
		nextCheckpoint int                  // index of the run whose checkpoint is next in turn, if a poll has no room for all
		leaseEnd       time.Time

		clock   time.Duration // highest reading of the worker's clock
		clockAt time.Time     // when that reading arrived

		runs            map[jaygw.Run]*run
		drops           []Drop // starts of the latest response that were dropped
		held            bool   // whether a start was held since the last list
		pacer           *pacer.Pacer
		pacesInFlight   map[jaygw.Run]int        // orders on the pace of a run that have no result yet
		settled         map[jaygw.Run]settledEnd // runs whose end the leader has recorded
		unexpected      []Unexpected             // of the latest list
		ends            []numberedEnd            // listed ends from the first unrecorded one, ordered by number
		recordedThrough uint64                   // the leader has recorded all ends up to this number
		firstListed     uint64                   // lowest number of an end in the latest list; zero if none
		lastList        time.Time                // time of the last list, initially of the worker's first report
		adopted         bool                     // whether the worker has listed all its runs and ends, maybe some of an earlier agent process
		knowsRuns       bool                     // whether the worker, maybe an earlier incarnation, has listed all its runs to a session
		mayHaveOrders   bool                     // whether orders to an earlier incarnation or of an earlier agent process may reach the worker
		awaitsList      bool                     // whether the worker was confirmed without a list to a session; orders that it does not know of may reach it
		truncated       bool                     // whether the worker may have more ends than in its last list
		workerLeaseEnd  time.Time                // time until which the worker may continue without the agent
		lastDeadline    time.Time                // when the latest order with a deadline was sent
		earlierDeadline time.Time                // the same, for the earlier incarnation with the worker's name; zero if none
		longLeaseEnd    time.Time                // end of a lease that the agent did not mean to grant; zero if there is none
		contact         contact
	}

	phase int

	run struct {
		phase       phase
		since       time.Time        // when the phase began
		traits      *jaygw.RunTraits // nil while unknown
		tailLatency time.Duration
		usedCPU     jaygw.MilliCores
		doubled     bool // whether its task had another run when it was ordered
		resumed     bool // whether it was started from a checkpoint; true if unknown
		inherited   bool // whether an earlier agent process may have started it
		progress    int
		checkpoint  string
		listed      bool      // whether the worker has listed it
		confirmed   bool      // whether the worker has confirmed its start
		stopCause   string    // why it is stopped
		retryStopAt time.Time // when to send the stop again; zero while a stop is in flight
		end         *jaygw.EndedRun
		endSequence uint64 // number of the latest poll when the end became known; later polls report it
		revived     bool   // whether the latest list has the run although it has ended
		uncounted   bool   // whether the leader may not count the run and may have given its room to others
		adoptedAt   uint64 // number of the latest poll when the run was adopted; later polls report it
	}

	settledEnd struct {
		outcome jaygw.RunOutcome
		at      time.Time // when the leader's response arrived
	}

	numberedEnd struct {
		number   uint64
		run      jaygw.Run
		recorded bool
	}

	// Action is an order to the worker: a start, a stop or a change of pace. Exactly one of
	// Start, Stop and Pace is set.
	Action struct {
		Start   *jaygw.StartOrder
		Stop    *jaygw.Run
		Pace    *pacer.Pace
		StartBy time.Time // when the permit of a start expires
		Cause   string    // why a run is stopped
	}

	// StartDecision says whether a start is sent to the worker.
	StartDecision struct {
		Deadline  time.Duration // on the worker's clock; zero if the start is refused
		Refusal   string        // why it is not sent; empty if it is
		Inherited bool          // whether an earlier agent process may have started the run
		Held      bool          // whether the start is left to a later response
	}

	// Drop is a start order that led to no action.
	Drop struct {
		Order   jaygw.StartOrder
		StartBy time.Time
		Reason  string
	}

	// Unexpected is a run that the worker has begun to list although this agent process has not ordered it, or
	// has taken it for ended.
	Unexpected struct {
		Run     jaygw.Run
		Reason  string
		Outcome jaygw.RunOutcome // of its earlier end; empty if there was none
		Age     time.Duration    // since that end was known, or recorded by the leader
	}
)

const (
	starting     phase = iota
	startUnknown       // whether the start takes effect is unknown until the next list
	running
	stopping
	stopped // the worker confirmed the stop; the end is not listed yet
	ended   // the leader has not recorded the end yet
)

const (
	// startWindow is how long after a start was sent the worker may still execute it. A
	// worker that handles the order later refuses it.
	startWindow = 1500 * time.Millisecond

	// doubledStartWindow is the same for a run whose task has another run.
	doubledStartWindow = 300 * time.Millisecond

	// stopRetry is the pause before a stop without a response is sent again.
	stopRetry = 300 * time.Millisecond

	// settledRetention is how long an ended run is remembered. It exceeds the validity of
	// a permit, so that a permit that arrives late does not start the run again.
	settledRetention = 30 * time.Second

	// sentRetention is how long a poll without a response is remembered.
	sentRetention = time.Minute

	// reasonProfile is why a start that was granted for an earlier profile of the worker is not sent.
	reasonProfile = "the worker has reported another size, service or labels since"

	// reasonDraining is why a draining worker gets no start.
	reasonDraining = "the worker drains"

	// clockMarginPercent is the assumed drift of a slow worker clock. It includes one
	// percentage point of reserve.
	clockMarginPercent = 3
)

// New returns the runner of a new agent process. longestLease limits each extension of the
// worker's lease.
func New(vm string, process uint64, longestLease time.Duration) *Runner {
	return &Runner{
		vm: vm, process: process, longestLease: longestLease,
		sent: map[uint64]time.Time{}, runs: map[jaygw.Run]*run{}, settled: map[jaygw.Run]settledEnd{},
	}
}

// Worker returns the worker's last report, or nil if there is none.
func (r *Runner) Worker() *jaygw.PoolWorker { return r.worker }

// Session returns the number of the session, or zero if none is open.
func (r *Runner) Session() uint64 { return r.session }

// Report handles a report of the worker's state; clock is the reading of the worker's clock in the
// report. A new incarnation resets the state, because the runs of the earlier one have ended; ends
// that the leader has not recorded are still reported.
// Report returns whether the leader should be notified immediately.
func (r *Runner) Report(w jaygw.PoolWorker, clock time.Duration, now time.Time) bool {
	if r.worker == nil || r.worker.Incarnation != w.Incarnation {
		r.earlierDeadline, r.longLeaseEnd = time.Time{}, time.Time{}
		r.mayHaveOrders = r.worker == nil || r.worker.Incarnation.Name == w.Incarnation.Name
		if r.worker != nil && r.worker.Incarnation.Name == w.Incarnation.Name {
			r.earlierDeadline = r.lastDeadline
		}
		maps.DeleteFunc(r.runs, func(_ jaygw.Run, state *run) bool { return state.phase != ended })
		for _, state := range r.runs {
			state.revived = false
		}
		r.pacer, r.pacesInFlight, r.profileSince = pacer.New(), map[jaygw.Run]int{}, time.Time{}
		r.ends, r.recordedThrough, r.firstListed, r.session = nil, 0, 0, 0
		clear(r.sent) // responses to polls of the earlier incarnation order runs that it has lost
		r.clock, r.clockAt = clock, now
		r.lastList, r.workerLeaseEnd, r.contact = now, time.Time{}, contact{lastResponse: now}
		r.adopted, r.awaitsList, r.truncated, r.unexpected = false, false, false, nil
		r.reportSequence, r.late = w.Sequence, lateReports{}
		r.worker = &w
		return true
	}
	if w.Sequence > 0 {
		r.reportSequence = w.Sequence
	}
	r.observeClock(clock, now)
	// A worker drains until its incarnation ends; an older report may arrive late.
	w.Draining = w.Draining || r.worker.Draining
	changed := r.worker.Draining != w.Draining
	if !r.worker.Profile().Equal(w.Profile()) {
		changed, r.profileSince = true, now
	}
	r.worker = &w
	return changed
}

// Contradicts reports whether a report of the present incarnation differs from its earlier ones in what stays the
// same until a worker starts again. Such a report may come from another program, unless the next one repeats it:
// the runner remembers the report for that.
func (r *Runner) Contradicts(w jaygw.PoolWorker) bool {
	if r.worker == nil || r.worker.Incarnation != w.Incarnation || isSameWorker(r.worker, &w) {
		r.contradiction = nil
		return false
	}
	repeated := r.contradiction != nil && isSameWorker(r.contradiction, &w)
	r.contradiction = &w
	return !repeated
}

func isSameWorker(a, b *jaygw.PoolWorker) bool {
	return a.Service == b.Service && a.Domain == b.Domain && a.Machine == b.Machine && a.Address == b.Address && a.Size == b.Size &&
		slices.Equal(a.Labels, b.Labels)
}

// PollRequest returns the next poll request, which is sent at now, or false if the worker
// has not reported yet. hold is how long the leader may delay its response.
func (r *Runner) PollRequest(now time.Time, hold time.Duration) (jaygw.PollRequest, bool) {
	if r.worker == nil {
		return jaygw.PollRequest{}, false
	}
	r.removeExpired(now)
	r.sequence++
	r.sent[r.sequence] = now
	worker := *r.worker
	request := jaygw.PollRequest{
		VM: r.vm, Process: r.process, Sequence: r.sequence,
		Worker: &worker, LastRevision: r.lastRevision, Hold: hold, RunsUnknown: !r.knowsRuns, Received: r.latestResponse,
	}
	request.Unhealthy = r.contact.unhealthyReason(now)
	if r.mayOutlastLease() {
		request.Unhealthy = "the lease of the worker may outlast that of the agent"
	}
	for _, id := range r.sortedRuns() {
		state := r.runs[id]
		reported := jaygw.ReportedRun{
			Run: id, Percent: state.progress, Checkpoint: state.checkpoint, TraitsUnknown: state.traits == nil && state.phase != ended,
			SlowdownPercent: r.pacer.SlowdownPercent(id), Resumed: state.resumed, Confirmed: state.listed || state.confirmed,
		}
		if state.traits != nil && state.traits.LatencyTarget > 0 && state.phase == running {
			reported.TailLatency = state.tailLatency
		}
		if state.traits != nil && state.traits.Spare && state.phase == running {
			reported.UsedCPU = state.usedCPU
		}
		request.Runs = append(request.Runs, reported)
		if state.phase == ended {
			request.Ended = append(request.Ended, *state.end)
		}
	}
	r.boundRequest(&request)
	return request, true
}

// HandleResponse handles the response to a poll and returns the actions to perform.
func (r *Runner) HandleResponse(result jaygw.PollResponse, now time.Time) []Action {
	r.drops = nil
	sent, ok := r.sent[result.Sequence]
	if !ok || r.worker == nil {
		return r.dropAll(result.Starts, now, "the response is to a poll of an earlier incarnation")
	}
	delete(r.sent, result.Sequence)
	if result.Session < r.session {
		return r.dropAll(result.Starts, now, "the response belongs to an earlier session")
	}
	if result.Session > r.session {
		r.session, r.sessionAt = result.Session, now
	}
	if result.Sequence > r.latestResponse {
		r.latestResponse, r.lastRevision = result.Sequence, result.Revision
	}
	if end := sent.Add(result.Lease); end.After(r.leaseEnd) {
		r.leaseEnd = end
	}
	for _, id := range result.Recorded {
		r.settle(id, result.Sequence, now)
	}
	r.recordCounted(result)
	r.pacer.Learn(result.Effects)
	for _, t := range result.Traits {
		if state := r.runs[t.Run]; state != nil {
			state.traits = &t.Traits
		}
	}
	var actions []Action
	for _, id := range result.Stops {
		if stop := r.stop(id, "the leader", now); stop != nil {
			actions = append(actions, *stop)
		}
	}
	for i := range result.Starts {
		if start := r.start(result.Starts[i], sent, now); start != nil {
			actions = append(actions, *start)
		}
	}
	return actions
}

func (r *Runner) removeExpired(now time.Time) {
	for sequence, sent := range r.sent {
		if now.Sub(sent) > sentRetention {
			delete(r.sent, sequence)
		}
	}
	for id, end := range r.settled {
		if now.Sub(end.at) > settledRetention {
			delete(r.settled, id)
		}
	}
}
