package runner

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/pacer"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

// Idle reports whether the worker need not be asked for a list: it responds and has no runs, and no ends
// that it has to forget.
func (r *Runner) Idle() bool {
	if r.worker == nil || r.session == 0 {
		return true
	}
	return r.contact.listFailedSince.IsZero() && len(r.runs) == 0 && len(r.ends) == 0 && r.firstListed == 0 &&
		!r.lastList.IsZero() && r.adopted && !r.awaitsList && !r.truncated
}

// HasListedEnds reports whether the worker has listed ends that the leader has not recorded.
// The worker responds to a request for a list immediately while it has such ends.
func (r *Runner) HasListedEnds() bool { return len(r.ends) > 0 }

// Urgent reports whether the next list is needed immediately, before a run ends.
func (r *Runner) Urgent() bool {
	if !r.adopted || r.awaitsList {
		return true
	}
	for _, state := range r.runs {
		if state.phase == startUnknown || state.phase == stopped {
			return true
		}
	}
	return false
}

// ListRequest returns the next request for a list. It extends the worker's lease up to the end of
// the agent's own. While the worker does not respond, the request leaves the lease alone: the
// worker might execute it all the same, and the end of the lease would never be certain.
func (r *Runner) ListRequest(now time.Time, wait time.Duration) jaygw.LeaseExtension {
	extension := jaygw.LeaseExtension{Fence: r.session, LastRecordedEnd: r.lastRecordedEnd(), Wait: wait}
	end := r.leaseEnd
	if longest := now.Add(r.longestLease); longest.Before(end) {
		end = longest
	}
	if end.After(now) && r.contact.listFailedSince.IsZero() {
		r.extendWorkerLease(end)
		r.lastDeadline = now
		extension.Deadline = r.workerTime(end)
	}
	return extension
}

// lastRecordedEnd returns the number up to which the worker forgets ends, or zero unless its latest list
// contained such ends. The request may reach a later incarnation with the same name, which numbers its ends
// anew and would forget those that nobody has recorded.
func (r *Runner) lastRecordedEnd() uint64 {
	if r.firstListed == 0 || r.firstListed > r.recordedThrough || !r.contact.listFailedSince.IsZero() {
		return 0
	}
	return r.recordedThrough
}

// giveUp ends a run that this agent process has not started. If an earlier process may have started
// it, only a list shows whether it is there.
func (r *Runner) giveUp(id jaygw.Run, state *run, reason string, now time.Time) {
	if state.inherited {
		state.phase, state.since = startUnknown, now
		return
	}
	r.markEnded(state, jaygw.EndedRun{Run: id, Outcome: jaygw.RunNotStarted, Reason: reason}, now)
}

// extendWorkerLease records that the worker may continue until end.
func (r *Runner) extendWorkerLease(end time.Time) {
	if end.After(r.workerLeaseEnd) {
		r.workerLeaseEnd = end
	}
}

// mayOutlastLease reports whether the worker may continue after the end of the agent's lease. An order to the
// earlier incarnation has a deadline on a clock that is far ahead of that of a later one, which takes it for
// the longest lease if the order reaches it.
func (r *Runner) mayOutlastLease() bool {
	return !r.earlierDeadline.IsZero() && !r.adopted || r.longLeaseEnd.After(r.leaseEnd)
}

// checkEarlierDeadline handles the first list of an incarnation. Orders that were sent before it started
// ended with the earlier one; since this list, its fencing token keeps the others out.
func (r *Runner) checkEarlierDeadline(clock time.Duration, requestedAt, now time.Time) {
	startedAfter := requestedAt.Add(-clock - clock*clockMarginPercent/100)
	if r.earlierDeadline.IsZero() || r.earlierDeadline.Before(startedAfter) {
		return
	}
	r.longLeaseEnd = now.Add(r.longestLease + r.longestLease*clockMarginPercent/100)
	r.extendWorkerLease(r.longLeaseEnd)
}

// Restarted handles the certainty that the worker has started again, before the report of its later
// incarnation. No further start is admitted. It returns the runs that the later incarnation may have
// because it has the same name: those that the earlier one has not listed.
func (r *Runner) Restarted(later jaygw.WorkerIncarnation) []jaygw.Run {
	if r.worker == nil || r.worker.Incarnation == later {
		return nil
	}
	r.contact.confirmed = true
	var runs []jaygw.Run
	for _, id := range r.sortedRuns() {
		if state := r.runs[id]; r.worker.Incarnation.Name == later.Name && !state.listed && state.phase != ended {
			runs = append(runs, id)
		}
	}
	return runs
}

// Confirmed handles the list by which the worker has confirmed a new incarnation, after its report. The
// poll that opens the session names what is on the list. It was requested without a token of that session,
// so orders of an earlier agent process may still arrive, and the list does not count as complete.
func (r *Runner) Confirmed(list jaygw.RunList, requestedAt, now time.Time) {
	r.awaitsList = r.mayHaveOrders
	if list.Denied != "" {
		return
	}
	r.Listed(list, requestedAt, now)
	r.adopted = false
}

// Unordered returns the runs that the later incarnation lists before its report is accepted, without those
// in known. Nothing was ordered to it yet, so they were ordered to an earlier one, maybe by an earlier
// agent process.
func (r *Runner) Unordered(later jaygw.WorkerIncarnation, listed []jaygw.RunningRun, known []jaygw.Run) []jaygw.Run {
	if r.worker == nil || r.worker.Incarnation.Name != later.Name {
		return nil
	}
	var runs []jaygw.Run
	for _, l := range listed {
		if !slices.Contains(known, l.Run) {
			runs = append(runs, l.Run)
		}
	}
	return runs
}

// EndUnlisted handles ends that the later incarnation lists before its report is accepted. Those of
// unlisted runs count for the earlier one, to which the leader has granted them.
func (r *Runner) EndUnlisted(ends []jaygw.NumberedEnd, now time.Time) {
	for _, listed := range ends {
		if state := r.runs[listed.End.Run]; state != nil && !state.listed && state.phase != ended {
			r.markEnded(state, listed.End, now)
		}
	}
}

// LeaseLeft returns how long the lease lasts after now; it is negative once the lease is over.
func (r *Runner) LeaseLeft(now time.Time) time.Duration { return r.leaseEnd.Sub(now) }

// ClockAge returns the age of the latest reading of the worker's clock.
func (r *Runner) ClockAge(now time.Time) time.Duration { return now.Sub(r.clockAt) }

// workerTime converts a time to the worker's clock. The result is early: the reading was
// taken before it arrived, and a margin covers a slow clock.
func (r *Runner) workerTime(t time.Time) time.Duration {
	ahead := t.Sub(r.clockAt)
	return r.clock + ahead - ahead*clockMarginPercent/100
}

// recordResponse records whether an order got a response, and the clock reading in it.
func (r *Runner) recordResponse(reply jaygw.WorkerResponse, err error, now time.Time) {
	if err != nil {
		r.contact.failedOrders++
		r.contact.lastFailure = now
		return
	}
	r.contact.lastResponse, r.contact.failedOrders = now, 0
	r.updateClock(reply, now)
}

// observeClock stores the reading of the worker's clock in a heartbeat if it is ahead of what workerTime gives. It
// ignores a reading that the clock cannot have, since a heartbeat may come from another program.
func (r *Runner) observeClock(reading time.Duration, now time.Time) {
	elapsed := now.Sub(r.clockAt)
	if latest := r.clock + elapsed + elapsed*clockMarginPercent/100; reading > r.workerTime(now) && reading <= latest {
		r.clock, r.clockAt = reading, now
	}
}

// updateClock stores a reading of the worker's clock.
func (r *Runner) updateClock(reply jaygw.WorkerResponse, now time.Time) {
	if reply.Clock > r.clock {
		r.clock, r.clockAt = reply.Clock, now
	}
}

// ListFailed handles a request for a list that got no response or was denied.
func (r *Runner) ListFailed(now time.Time) {
	if r.contact.listFailedSince.IsZero() {
		r.contact.listFailedSince = now
	}
}

// Listed handles a list that was requested from the worker at requestedAt. It returns the
// actions to perform and whether there is something to report to the leader.
func (r *Runner) Listed(list jaygw.RunList, requestedAt, now time.Time) (actions []Action, report bool) {
	r.unexpected = nil
	if r.worker != nil && list.Denied != "" {
		r.ListFailed(now)
		if list.Denied == jaygw.DeniedIncarnation {
			r.contact.deniedAt = now
		}
		return nil, false
	}
	if r.worker == nil || list.Incarnation != r.worker.Incarnation {
		return nil, false
	}
	r.updateClock(list.WorkerResponse, now)
	r.lastList = now
	if !r.adopted {
		r.checkEarlierDeadline(list.Clock, requestedAt, now)
	}
	r.truncated = list.Truncated
	r.adopted = r.adopted || !list.Truncated
	if !requestedAt.Before(r.contact.deniedAt) {
		r.contact.deniedAt = time.Time{}
	}
	if !r.contact.restarted() {
		r.contact.listFailedSince = time.Time{}
	}
	// After a request with the token of the session, the worker denies orders of earlier processes.
	if r.session != 0 && !requestedAt.Before(r.sessionAt) {
		r.knowsRuns = r.knowsRuns || !list.Truncated
		r.awaitsList = false
	}
	if r.workerLeaseEnd.IsZero() {
		r.workerLeaseEnd = now
	}
	present := map[jaygw.Run]bool{}
	slices.SortFunc(list.Ended, func(a, b jaygw.NumberedEnd) int { return cmp.Compare(a.Number, b.Number) })
	r.firstListed = 0
	if len(list.Ended) > 0 {
		r.firstListed = list.Ended[0].Number
	}
	for _, listedEnd := range list.Ended {
		present[listedEnd.End.Run] = true
		report = r.addEnd(listedEnd, now) || report
	}
	for _, listedRun := range list.Running {
		present[listedRun.Run] = true
		report = r.addRunning(listedRun, now) || report
	}
	actions = r.paceActions(r.pacer.Decide(r.observations(), now))
	for _, id := range r.sortedRuns() {
		state := r.runs[id]
		state.revived = state.revived && present[id]
		if present[id] || !state.since.Before(requestedAt) {
			continue
		}
		// A run without an end in a truncated list may be done.
		switch {
		case state.phase == startUnknown:
			// The worker may still execute the start; a stop prevents it.
			actions = append(actions, *r.stop(id, "its start is not confirmed", now))
		case list.Truncated:
		case state.phase == stopped:
			r.markEnded(state, jaygw.EndedRun{Run: id, Outcome: jaygw.RunNotStarted, Reason: "stopped before it was there", Late: true}, now)
			report = true
		case state.phase == running:
			r.markEnded(state, jaygw.EndedRun{Run: id, Outcome: jaygw.RunWorkerLost, Checkpoint: state.checkpoint, Reason: "the worker does not list it"}, now)
			report = true
		}
	}
	if r.held && r.holdReason() == "" {
		r.held, report = false, true // the response orders the held starts again
	}
	return actions, report
}

// Unexpected returns the runs that the latest list was the first to show although they were not ordered or had
// ended.
func (r *Runner) Unexpected() []Unexpected { return r.unexpected }

// observations returns the state of the running runs in the last list.
func (r *Runner) observations() []pacer.Observation {
	var observations []pacer.Observation
	for id, state := range r.runs {
		if state.phase == running && state.traits != nil {
			observations = append(observations, pacer.Observation{
				Run: id, Traits: *state.traits, TailLatency: state.tailLatency,
				Share:     float64(state.traits.CPU) / float64(max(1, r.worker.Size.CPU)),
				UsedShare: float64(state.usedCPU) / float64(max(1, r.worker.Size.CPU)), Progress: state.progress,
			})
		}
	}
	return observations
}

func (r *Runner) paceActions(paces []pacer.Pace) []Action {
	var actions []Action
	for _, pace := range paces {
		r.pacesInFlight[pace.Run]++
		actions = append(actions, Action{Pace: &pace})
	}
	return actions
}

// Paced handles the result of a change of pace. Without a response the old pace counts, and
// the next list leads to a new decision. Beside another order in flight, the worker may have carried out
// the two in the other order, so that the pace is not certain.
func (r *Runner) Paced(pace pacer.Pace, reply jaygw.WorkerResponse, err error, now time.Time) {
	r.recordResponse(reply, err, now)
	if r.pacesInFlight[pace.Run]--; r.pacesInFlight[pace.Run] <= 0 {
		delete(r.pacesInFlight, pace.Run)
	}
	if err == nil && reply.Denied == "" {
		r.pacer.SetPace(pace)
	}
	if err != nil || r.pacesInFlight[pace.Run] > 0 {
		r.pacer.Unconfirmed(pace.Run, now)
	}
}

// addEnd adds a listed end and reports whether it is new.
func (r *Runner) addEnd(listedEnd jaygw.NumberedEnd, now time.Time) bool {
	if listedEnd.Number <= r.recordedThrough {
		return false
	}
	for _, e := range r.ends {
		if e.number == listedEnd.Number {
			return false
		}
	}
	id := listedEnd.End.Run
	r.ends = append(r.ends, numberedEnd{number: listedEnd.Number, run: id})
	state := r.runs[id]
	if state == nil {
		state = &run{}
		r.runs[id] = state
	}
	delete(r.settled, id)
	state.listed = true
	r.markEnded(state, listedEnd.End, now)
	return true
}

// addRunning updates a listed run and reports whether the leader must be notified: the run was
// started by an earlier agent process, or it had been given up and started late.
func (r *Runner) addRunning(listedRun jaygw.RunningRun, now time.Time) bool {
	state := r.runs[listedRun.Run]
	if state == nil {
		unexpected := Unexpected{Run: listedRun.Run, Reason: "it was not ordered by this process"}
		if end, settled := r.settled[listedRun.Run]; settled {
			unexpected.Reason, unexpected.Outcome, unexpected.Age = "its end is recorded", end.outcome, now.Sub(end.at)
		}
		r.unexpected = append(r.unexpected, unexpected)
		delete(r.settled, listedRun.Run)
		r.runs[listedRun.Run] = r.adopt(listedRun.Percent, listedRun.Checkpoint, now)
		return true
	}
	if state.phase == ended && !state.revived {
		state.revived = true
		r.unexpected = append(r.unexpected, Unexpected{
			Run: listedRun.Run, Reason: "its end is known", Outcome: state.end.Outcome, Age: now.Sub(state.since),
		})
	}
	state.listed = true
	state.progress, state.tailLatency, state.usedCPU = listedRun.Percent, listedRun.TailLatency, listedRun.UsedCPU
	if listedRun.Checkpoint != "" {
		state.checkpoint = listedRun.Checkpoint
	}
	if state.phase == startUnknown {
		state.phase, state.since = running, now
	}
	return false
}

// adopt returns a listed run that this process has not ordered, or whose end the leader has recorded. The leader
// may not count it until a response to a later poll shows that it does.
func (r *Runner) adopt(progress int, checkpoint string, now time.Time) *run {
	return &run{
		phase: running, since: now, listed: true, progress: progress, checkpoint: checkpoint, resumed: true,
		uncounted: true, adoptedAt: r.sequence,
	}
}

func (r *Runner) sortedRuns() []jaygw.Run {
	ids := make([]jaygw.Run, 0, len(r.runs))
	for id := range r.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, registrar.CompareRuns)
	return ids
}
