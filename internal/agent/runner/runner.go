// Package runner decides what an agent does with the runs on its worker. It is a step
// function: events come in with the present time, actions go out.
package runner

import (
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/pacer"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

type (
	// Runner keeps the runs on one worker and the lease that they run under. It is not
	// safe for concurrent use. All times come from one monotonic clock.
	Runner struct {
		vm       string
		process  uint64
		maxHold  time.Duration
		worker   *jaygw.PoolWorker
		session  uint64
		sequence uint64
		sent     map[uint64]time.Time // attendances without a response
		served   uint64
		latest   uint64 // highest attendance that was answered
		leaseEnd time.Time

		clock   time.Duration // latest reading of the worker's clock
		clockAt time.Time     // when it arrived

		runs     map[jaygw.Run]*run
		pacer    *pacer.Pacer
		settled  map[jaygw.Run]time.Time // runs whose end is recorded
		ends     []numberedEnd           // not yet recorded, in the order of their numbers
		seen     uint64                  // all ends up to this number are recorded
		listed   time.Time               // last list, or the start of the worker's life here
		extended time.Time               // time until which the worker may go on by itself
		contact  contact
	}

	phase int

	run struct {
		phase   phase
		since   time.Time        // start of the phase
		traits  *jaygw.RunTraits // nil: not known yet
		tail    time.Duration
		used    jaygw.MilliCores
		resumed bool // from a checkpoint, or not known
		percent int
		saved   string
		retryAt time.Time // of a stop; zero while one is under way
		end     *jaygw.EndedRun
	}

	numberedEnd struct {
		number   uint64
		run      jaygw.Run
		recorded bool
	}

	// Action is something to do at the worker: a start, a stop or a new pace.
	Action struct {
		Start *jaygw.StartOrder
		Stop  *jaygw.Run
		Pace  *pacer.Pace
		By    time.Time // of a start: the end of its permit
	}
)

const (
	starting phase = iota
	unsure         // the start had no answer
	running
	stopping
	stopped // the stop was answered; the end is not listed yet
	ended   // the end is not recorded yet
)

const (
	// startWindow is how long after its order a start may be carried out by the
	// worker. A worker that carries out orders late refuses it then.
	startWindow = 1500 * time.Millisecond

	// stopRetry is the pause before a stop without an answer is sent again.
	stopRetry = 300 * time.Millisecond

	// settledRetention is how long an ended run is remembered. It is longer than a
	// permit is valid, so that no late permit starts the run again.
	settledRetention = 30 * time.Second

	// sentRetention is how long an attendance without a response is remembered.
	sentRetention = time.Minute

	// clockMargin is by how much a worker's clock may be slow, in percent, with a
	// reserve of one.
	clockMargin = 3
)

// New returns the runner of a new agent process.
func New(vm string, process uint64, maxHold time.Duration) *Runner {
	return &Runner{
		vm: vm, process: process, maxHold: maxHold,
		sent: map[uint64]time.Time{}, runs: map[jaygw.Run]*run{}, settled: map[jaygw.Run]time.Time{},
	}
}

// Worker returns the worker as last reported, or nil.
func (r *Runner) Worker() *jaygw.PoolWorker { return r.worker }

// Session returns the session's number, or zero.
func (r *Runner) Session() uint64 { return r.session }

// Report takes what the worker says of itself. A new life knows nothing of the runs
// of the last one: they are over. It returns whether the leader should hear of it
// at once.
func (r *Runner) Report(w jaygw.PoolWorker, clock time.Duration, now time.Time) bool {
	if r.worker == nil || r.worker.Life != w.Life {
		r.runs, r.pacer = map[jaygw.Run]*run{}, pacer.New()
		r.ends, r.seen, r.session = nil, 0, 0
		r.clock, r.clockAt = clock, now
		r.listed, r.extended, r.contact = now, time.Time{}, contact{answered: now}
		r.worker = &w
		return true
	}
	// Draining does not end within a life: an older report may arrive late.
	w.Draining = w.Draining || r.worker.Draining
	changed := r.worker.Draining != w.Draining
	r.worker = &w
	return changed
}

// Attendance returns the next attendance, which is sent at now, or false while there
// is nothing to say.
func (r *Runner) Attendance(now time.Time, hold time.Duration) (jaygw.Attendance, bool) {
	if r.worker == nil {
		return jaygw.Attendance{}, false
	}
	r.forget(now)
	r.sequence++
	r.sent[r.sequence] = now
	worker := *r.worker
	a := jaygw.Attendance{
		VM: r.vm, Process: r.process, Sequence: r.sequence,
		Worker: &worker, Served: r.served, Hold: hold,
	}
	a.Unhealthy = r.contact.fault(now)
	for _, id := range r.ids() {
		known := r.runs[id]
		at := jaygw.KnownRun{
			Run: id, Percent: known.percent, Checkpoint: known.saved, Bare: known.traits == nil && known.phase != ended,
			Paced: r.pacer.Slowed(id), Resumed: known.resumed,
		}
		if known.traits != nil && known.traits.Target > 0 && known.phase == running {
			at.Tail = known.tail
		}
		if known.traits != nil && known.traits.Spare && known.phase == running {
			at.Used = known.used
		}
		a.Known = append(a.Known, at)
		if known.phase == ended {
			a.Ended = append(a.Ended, *known.end)
		}
	}
	return a, true
}

// Unreported reports whether there are ends that are not recorded.
func (r *Runner) Unreported() bool {
	for _, known := range r.runs {
		if known.phase == ended {
			return true
		}
	}
	return false
}

// Attended takes the response to an attendance and returns what to do.
func (r *Runner) Attended(result jaygw.AttendanceResult, now time.Time) []Action {
	sent, ok := r.sent[result.Sequence]
	if !ok || r.worker == nil {
		return nil
	}
	delete(r.sent, result.Sequence)
	if result.Session < r.session {
		return nil // of an earlier life of the worker
	}
	r.session = result.Session
	if result.Sequence > r.latest {
		r.latest, r.served = result.Sequence, result.Revision
	}
	if end := sent.Add(result.Lease); end.After(r.leaseEnd) {
		r.leaseEnd = end
	}
	for _, id := range result.Recorded {
		r.record(id, now)
	}
	r.pacer.Learn(result.Effects)
	for _, t := range result.Traits {
		if known := r.runs[t.Run]; known != nil {
			known.traits = &t.Traits
		}
	}
	var actions []Action
	for _, id := range result.Stops {
		if stop := r.stop(id, now); stop != nil {
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

// start prepares a start, or reports that the run does not start here.
func (r *Runner) start(order jaygw.StartOrder, sent, now time.Time) *Action {
	id := order.Run
	if _, over := r.settled[id]; over || r.runs[id] != nil {
		return nil
	}
	known := &run{phase: starting, since: now, traits: &order.Traits, saved: order.Checkpoint, resumed: order.Checkpoint != ""}
	by := sent.Add(order.Valid)
	if !now.Before(by) {
		return nil // the next response has a new permit
	}
	r.runs[id] = known
	if r.worker.Draining {
		r.over(known, jaygw.EndedRun{Run: id, How: jaygw.RunNotStarted, Reason: "the worker drains"}, now)
		return nil
	}
	return &Action{Start: &order, By: by}
}

// Admit checks a start again right before the worker is called, and returns its
// deadline on the worker's clock.
func (r *Runner) Admit(id jaygw.Run, by, now time.Time) (time.Duration, bool) {
	known := r.runs[id]
	if known == nil || known.phase != starting {
		return 0, false
	}
	if r.worker.Draining || !now.Before(by) || !now.Before(r.leaseEnd) {
		r.over(known, jaygw.EndedRun{Run: id, How: jaygw.RunNotStarted, Reason: "the permit is over"}, now)
		return 0, false
	}
	end := now.Add(startWindow)
	if r.leaseEnd.Before(end) {
		end = r.leaseEnd
	}
	r.extends(end)
	return r.onClock(end), true
}

// Started takes the result of a start.
func (r *Runner) Started(id jaygw.Run, reply jaygw.WorkerReply, err error, now time.Time) {
	r.ordered(reply, err, now)
	known := r.runs[id]
	if known == nil || known.phase != starting {
		return
	}
	switch {
	case err != nil || reply.Denied == jaygw.DeniedOld:
		known.phase, known.since = unsure, now
	case reply.Denied != "":
		r.over(known, jaygw.EndedRun{
			Run: id, How: jaygw.RunNotStarted, Reason: "refused by the worker: " + string(reply.Denied),
		}, now)
	default:
		known.phase, known.since = running, now
	}
}

func (r *Runner) stop(id jaygw.Run, now time.Time) *Action {
	if _, over := r.settled[id]; over {
		return nil
	}
	known := r.runs[id]
	if known == nil {
		known = &run{}
		r.runs[id] = known
	} else if known.phase >= stopping {
		return nil
	}
	known.phase, known.since, known.retryAt = stopping, now, time.Time{}
	return &Action{Stop: &id}
}

// Stopped takes the result of a stop. One without an answer is sent again.
func (r *Runner) Stopped(id jaygw.Run, reply jaygw.WorkerReply, err error, now time.Time) {
	r.ordered(reply, err, now)
	known := r.runs[id]
	if known == nil || known.phase != stopping {
		return
	}
	if err != nil || reply.Denied == jaygw.DeniedBusy {
		known.retryAt = now.Add(stopRetry)
		return
	}
	known.phase, known.since = stopped, now
}

// Due returns the stops that have to be sent again, and those of runs that the lease
// no longer covers: a VM that was suspended finds them at work.
func (r *Runner) Due(now time.Time) []Action {
	var actions []Action
	for _, id := range r.ids() {
		known := r.runs[id]
		if known.phase <= running && now.After(r.leaseEnd) {
			actions = append(actions, *r.stop(id, now))
			continue
		}
		if known.phase == stopping && !known.retryAt.IsZero() && !now.Before(known.retryAt) {
			known.retryAt = time.Time{}
			actions = append(actions, Action{Stop: &id})
		}
	}
	r.lapse(now)
	return actions
}

// lapse ends the runs of a worker that does not list them, once it cannot go on by
// itself any more.
func (r *Runner) lapse(now time.Time) {
	if r.contact.unlisted.IsZero() || r.extended.IsZero() || !now.After(r.extended) {
		return
	}
	for _, id := range r.ids() {
		if known := r.runs[id]; known.phase != ended {
			r.over(known, jaygw.EndedRun{
				Run: id, How: jaygw.RunGone, Checkpoint: known.saved, Reason: "the worker does not answer and its lease is over",
			}, now)
		}
	}
}

// over ends a run; the end is reported until it is recorded.
func (r *Runner) over(known *run, end jaygw.EndedRun, now time.Time) {
	known.phase, known.since, known.end = ended, now, &end
}

// record forgets a run whose end is recorded, and lets the worker forget it too.
func (r *Runner) record(id jaygw.Run, now time.Time) {
	known := r.runs[id]
	if known == nil || known.phase != ended {
		return
	}
	delete(r.runs, id)
	r.settled[id] = now
	for i := range r.ends {
		if r.ends[i].run == id {
			r.ends[i].recorded = true
		}
	}
	for len(r.ends) > 0 && r.ends[0].recorded {
		r.seen = r.ends[0].number
		r.ends = r.ends[1:]
	}
}

func (r *Runner) forget(now time.Time) {
	for sequence, sent := range r.sent {
		if now.Sub(sent) > sentRetention {
			delete(r.sent, sequence)
		}
	}
	for id, at := range r.settled {
		if now.Sub(at) > settledRetention {
			delete(r.settled, id)
		}
	}
}

func (r *Runner) ids() []jaygw.Run {
	ids := make([]jaygw.Run, 0, len(r.runs))
	for id := range r.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, registrar.CompareRuns)
	return ids
}
