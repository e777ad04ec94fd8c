package runner

import (
	"slices"
	"time"

	"github.com/jaygw/jaygw"
)

// start adds a run and returns the action that starts it, or nil if the run must not start.
func (r *Runner) start(order jaygw.StartOrder, sent, now time.Time) *Action {
	id, startBy := order.Run, sent.Add(order.ValidFor)
	_, settled := r.settled[id]
	var reason string
	givenBack := false
	switch {
	case settled:
		reason = "its end is recorded"
	case r.runs[id] != nil:
		reason = "it is known"
	case !now.Before(startBy):
		reason = "the permit was over on arrival" // the next response carries a new one
	case r.worker.Draining:
		reason, givenBack = reasonDraining, true
	case sent.Before(r.profileSince):
		reason, givenBack = reasonProfile, true
	default:
		reason = r.holdReason()
		r.held = r.held || reason != ""
	}
	state := &run{phase: starting, since: now, traits: &order.Traits, checkpoint: order.Checkpoint, resumed: order.Checkpoint != "", doubled: order.Doubled, inherited: !r.adopted}
	if reason == "" || givenBack {
		r.runs[id] = state
	}
	if givenBack {
		r.giveUp(id, state, reason, now)
	}
	if reason != "" {
		r.drops = append(r.drops, Drop{Order: order, StartBy: startBy, Reason: reason})
		return nil
	}
	return &Action{Start: &order, StartBy: startBy}
}

// dropAll drops the starts of a response that does not count.
func (r *Runner) dropAll(starts []jaygw.StartOrder, now time.Time, reason string) []Action {
	for _, order := range starts {
		r.drops = append(r.drops, Drop{Order: order, StartBy: now, Reason: reason})
	}
	return nil
}

// Drops returns the starts of the latest response that were dropped.
func (r *Runner) Drops() []Drop { return r.drops }

// Admit checks a start again immediately before the worker is called, and returns the decision and
// whether the start is admitted.
func (r *Runner) Admit(id jaygw.Run, startBy, now time.Time) (StartDecision, bool) {
	state := r.runs[id]
	if state == nil {
		return StartDecision{Refusal: "it has been forgotten"}, false
	}
	decision := StartDecision{Refusal: r.startRefusal(state, startBy, now), Inherited: state.inherited}
	if decision.Refusal != "" {
		if state.phase == starting {
			r.giveUp(id, state, decision.Refusal, now)
		}
		return decision, false
	}
	if reason := r.holdReason(); reason != "" {
		delete(r.runs, id)
		r.held = true
		return StartDecision{Refusal: reason, Inherited: state.inherited, Held: true}, false
	}
	end := now.Add(startWindow)
	if state.doubled {
		end = now.Add(doubledStartWindow)
	}
	if r.leaseEnd.Before(end) {
		end = r.leaseEnd
	}
	r.extendWorkerLease(end)
	r.lastDeadline = now
	decision.Deadline = r.workerTime(end)
	return decision, true
}

// startRefusal returns why a start must not be sent, or an empty string.
func (r *Runner) startRefusal(state *run, startBy, now time.Time) string {
	switch {
	case state.phase != starting:
		return "it is not starting any more"
	case r.contact.restarted():
		// The leader still counts the run to the earlier incarnation and will free it.
		return "the worker has started again"
	case r.mayOutlastLease():
		return "the lease of the worker may outlast that of the agent"
	case r.worker.Draining:
		return reasonDraining
	case state.since.Before(r.profileSince):
		return reasonProfile
	case !now.Before(startBy):
		return "the permit is over"
	case !now.Before(r.leaseEnd):
		return "the lease is over"
	}
	return ""
}

// holdReason returns why no start is sent for now, or an empty string. The runner forgets a held start, so that
// a later response orders it again, with a new permit.
func (r *Runner) holdReason() string {
	if r.awaitsList {
		return "the worker has not listed its runs to the session"
	}
	for _, state := range r.runs {
		if state.revived || state.uncounted && state.phase != ended {
			return "the worker has a run that the leader may not count"
		}
	}
	return ""
}

// recordCounted records which runs the leader counts to the VM, as of a response.
func (r *Runner) recordCounted(result jaygw.PollResponse) {
	for id, state := range r.runs {
		if state.uncounted && result.Sequence > state.adoptedAt && !slices.Contains(result.Stops, id) {
			state.uncounted = false
		}
	}
	for _, id := range result.Unplaced {
		if state := r.runs[id]; state != nil {
			state.uncounted = true
		}
	}
}

// Started handles the result of a start and returns the actions to perform: a spare run gets its
// pace.
func (r *Runner) Started(id jaygw.Run, reply jaygw.WorkerResponse, err error, now time.Time) []Action {
	r.recordResponse(reply, err, now)
	state := r.runs[id]
	if state == nil || state.phase != starting {
		return nil
	}
	switch {
	case err != nil || reply.Denied == jaygw.DeniedStale || reply.Denied == jaygw.DeniedFence:
		state.phase, state.since = startUnknown, now
	case reply.Denied != "":
		r.giveUp(id, state, "refused by the worker: "+string(reply.Denied), now)
	default:
		state.phase, state.since, state.confirmed = running, now, true
		return r.paceActions(r.pacer.DecideNew(r.observations(), now))
	}
	return nil
}
