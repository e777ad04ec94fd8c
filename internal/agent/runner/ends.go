package runner

import (
	"time"

	"github.com/jaygw/jaygw"
)

// HasUnrecordedEnds reports whether there are ends that the leader has not recorded.
func (r *Runner) HasUnrecordedEnds() bool {
	for _, state := range r.runs {
		if state.phase == ended {
			return true
		}
	}
	return false
}

func (r *Runner) stop(id jaygw.Run, cause string, now time.Time) *Action {
	if _, settled := r.settled[id]; settled {
		return nil
	}
	state := r.runs[id]
	if state == nil {
		state = &run{}
		r.runs[id] = state
	} else if state.phase >= stopping {
		return nil
	}
	state.phase, state.since, state.retryStopAt, state.stopCause = stopping, now, time.Time{}, cause
	return &Action{Stop: &id, Cause: cause}
}

// Stopped handles the result of a stop. A stop that has no response or was denied is sent again,
// unless the worker has stopped or ended the run already.
func (r *Runner) Stopped(id jaygw.Run, reply jaygw.WorkerResponse, err error, now time.Time) {
	r.recordResponse(reply, err, now)
	state := r.runs[id]
	if state == nil || state.phase != stopping {
		return
	}
	if err != nil || reply.Denied != "" && reply.Denied != jaygw.DeniedStale {
		state.retryStopAt = now.Add(stopRetry)
		return
	}
	state.phase, state.since = stopped, now
}

// DueStops returns the stops to send again and the stops of runs whose lease has expired, which
// happens when the VM was suspended.
func (r *Runner) DueStops(now time.Time) []Action {
	var actions []Action
	for _, id := range r.sortedRuns() {
		state := r.runs[id]
		if state.phase <= running && now.After(r.leaseEnd) {
			actions = append(actions, *r.stop(id, "the lease is over", now))
			continue
		}
		if state.phase == stopping && !state.retryStopAt.IsZero() && !now.Before(state.retryStopAt) {
			state.retryStopAt = time.Time{}
			actions = append(actions, Action{Stop: &id, Cause: state.stopCause})
		}
	}
	r.endExpiredRuns(now)
	return actions
}

// endExpiredRuns ends the runs of a worker that does not list them, once the worker's own
// lease has expired. A worker that has never listed its runs may have the longest lease of an earlier agent
// process. Unlisted runs of a worker that has started again may be on the later incarnation. Their deadline
// was on another clock, so they may have the longest lease there.
func (r *Runner) endExpiredRuns(now time.Time) {
	end := r.workerLeaseEnd
	if end.IsZero() {
		end = r.contact.listFailedSince.Add(r.longestLease + r.longestLease*clockMarginPercent/100)
	}
	if r.contact.listFailedSince.IsZero() || !now.After(end) {
		return
	}
	laterLeaseEnd := end.Add(r.longestLease + r.longestLease*clockMarginPercent/100)
	for _, id := range r.sortedRuns() {
		if state := r.runs[id]; state.phase != ended && (state.listed || !r.contact.restarted() || now.After(laterLeaseEnd)) {
			r.markEnded(state, jaygw.EndedRun{
				Run: id, Outcome: jaygw.RunWorkerLost, Checkpoint: state.checkpoint, Reason: "the worker does not answer and its lease is over",
			}, now)
		}
	}
}

// markEnded ends a run. The end is reported until the leader has recorded it.
func (r *Runner) markEnded(state *run, end jaygw.EndedRun, now time.Time) {
	state.phase, state.since, state.end, state.endSequence, state.revived = ended, now, &end, r.sequence, false
}

// settle removes a run whose end the leader has recorded, and lets the worker discard it. A response
// to a poll that reported another end of the run, or none, does not settle it.
func (r *Runner) settle(id jaygw.Run, sequence uint64, now time.Time) {
	state := r.runs[id]
	if state == nil || state.phase != ended || sequence <= state.endSequence {
		return
	}
	if state.revived {
		r.runs[id] = r.adopt(state.progress, state.checkpoint, now)
	} else {
		delete(r.runs, id)
		r.settled[id] = settledEnd{outcome: state.end.Outcome, at: now}
	}
	for i := range r.ends {
		if r.ends[i].run == id {
			r.ends[i].recorded = true
		}
	}
	for len(r.ends) > 0 && r.ends[0].recorded {
		r.recordedThrough = r.ends[0].number
		r.ends = r.ends[1:]
	}
}
