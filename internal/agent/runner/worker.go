package runner

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/pacer"
)

// Idle reports whether the worker need not be asked: it answers, and nothing runs
// there.
func (r *Runner) Idle() bool {
	if r.worker == nil || r.session == 0 {
		return true
	}
	return r.contact.unlisted.IsZero() && len(r.runs) == 0 && len(r.ends) == 0 && !r.listed.IsZero() && r.adopted()
}

// Unrecorded reports whether the worker has listed ends that it may not forget yet. It
// answers a call for a list at once then.
func (r *Runner) Unrecorded() bool { return len(r.ends) > 0 }

// adopted reports whether the worker has been asked since its session was opened: it
// may have runs of an earlier agent process.
func (r *Runner) adopted() bool { return !r.extended.IsZero() }

// Urgent reports whether the next list should not wait for an end.
func (r *Runner) Urgent() bool {
	if !r.adopted() {
		return true
	}
	for _, known := range r.runs {
		if known.phase == unsure || known.phase == stopped {
			return true
		}
	}
	return false
}

// Hold returns the next call for a list. It extends the worker's lease as far as the
// agent's own goes. While the worker does not answer, it does not: such a call may be
// carried out all the same, and the end of the lease would never be certain.
func (r *Runner) Hold(now time.Time, wait time.Duration) jaygw.WorkerHold {
	hold := jaygw.WorkerHold{Fence: r.session, Seen: r.seen, Wait: wait}
	end := r.leaseEnd
	if longest := now.Add(r.maxHold); longest.Before(end) {
		end = longest
	}
	if end.After(now) && r.contact.unlisted.IsZero() {
		r.extends(end)
		hold.Deadline = r.onClock(end)
	}
	return hold
}

// extends notes that the worker may go on until a time.
func (r *Runner) extends(end time.Time) {
	if end.After(r.extended) {
		r.extended = end
	}
}

// onClock returns a time on the worker's clock. It comes out early: the reading was
// taken before it arrived, and the clock may be slow.
func (r *Runner) onClock(t time.Time) time.Duration {
	ahead := t.Sub(r.clockAt)
	return r.clock + ahead - ahead*clockMargin/100
}

// ordered notes whether an order was answered, and the reading in the answer.
func (r *Runner) ordered(reply jaygw.WorkerReply, err error, now time.Time) {
	if err != nil {
		r.contact.unanswered++
		r.contact.lost = now
		return
	}
	r.contact.answered, r.contact.unanswered = now, 0
	r.read(reply, now)
}

// read takes a reading of the worker's clock.
func (r *Runner) read(reply jaygw.WorkerReply, now time.Time) {
	if reply.Clock > r.clock {
		r.clock, r.clockAt = reply.Clock, now
	}
}

// Unlisted takes a call for a list that had no answer.
func (r *Runner) Unlisted(now time.Time) {
	if r.contact.unlisted.IsZero() {
		r.contact.unlisted = now
	}
}

// Listed takes a list that was asked for at begun from a life of the worker. It
// returns what to do and whether there is something to report.
func (r *Runner) Listed(list jaygw.RunList, begun, now time.Time) (actions []Action, report bool) {
	if r.worker == nil || list.Denied != "" || list.Life != r.worker.Life {
		return nil, false
	}
	r.read(list.WorkerReply, now)
	r.listed, r.contact.unlisted = now, time.Time{}
	if r.extended.IsZero() {
		r.extended = now
	}
	present := map[jaygw.Run]bool{}
	slices.SortFunc(list.Ended, func(a, b jaygw.EndedRow) int { return cmp.Compare(a.Number, b.Number) })
	for _, row := range list.Ended {
		present[row.End.Run] = true
		report = r.end(row, now) || report
	}
	for _, row := range list.Running {
		present[row.Run] = true
		report = r.atWork(row, now) || report
	}
	actions = r.pace(now)
	for _, id := range r.ids() {
		known := r.runs[id]
		if present[id] || !known.since.Before(begun) {
			continue
		}
		switch known.phase {
		case unsure:
			// The start may still be carried out; a stop prevents it.
			actions = append(actions, *r.stop(id, now))
		case stopped:
			r.over(known, jaygw.EndedRun{Run: id, How: jaygw.RunNotStarted, Reason: "stopped before it was there"}, now)
			report = true
		case running:
			r.over(known, jaygw.EndedRun{Run: id, How: jaygw.RunGone, Checkpoint: known.saved, Reason: "the worker does not list it"}, now)
			report = true
		}
	}
	return actions, report
}

// pace returns the changes of paces that the list calls for.
func (r *Runner) pace(now time.Time) []Action {
	var observed []pacer.Observation
	for id, known := range r.runs {
		if known.phase == running && known.traits != nil {
			observed = append(observed, pacer.Observation{
				Run: id, Traits: *known.traits, Tail: known.tail,
				Share: float64(known.traits.CPU) / float64(max(1, r.worker.Size.CPU)),
				Used:  float64(known.used) / float64(max(1, r.worker.Size.CPU)), Percent: known.percent,
			})
		}
	}
	var actions []Action
	for _, pace := range r.pacer.Decide(observed, now) {
		actions = append(actions, Action{Pace: &pace})
	}
	return actions
}

// Paced takes the result of a change of pace. Without an answer the old one counts,
// and the next list decides again.
func (r *Runner) Paced(pace pacer.Pace, reply jaygw.WorkerReply, err error, now time.Time) {
	r.ordered(reply, err, now)
	if err == nil && reply.Denied == "" {
		r.pacer.Set(pace)
	}
}

// end takes a listed end and reports whether it is new.
func (r *Runner) end(row jaygw.EndedRow, now time.Time) bool {
	if row.Number <= r.seen {
		return false
	}
	for _, e := range r.ends {
		if e.number == row.Number {
			return false
		}
	}
	id := row.End.Run
	r.ends = append(r.ends, numberedEnd{number: row.Number, run: id})
	known := r.runs[id]
	if known == nil {
		known = &run{}
		r.runs[id] = known
	}
	delete(r.settled, id)
	r.over(known, row.End, now)
	return true
}

// atWork takes a listed run and reports whether the leader has to hear of it: an
// earlier agent process has started it, or it was given up and has started late.
func (r *Runner) atWork(row jaygw.RunningRow, now time.Time) bool {
	known := r.runs[row.Run]
	if known == nil {
		delete(r.settled, row.Run)
		r.runs[row.Run] = &run{phase: running, since: now, percent: row.Percent, saved: row.Checkpoint, resumed: true}
		return true
	}
	known.percent, known.tail, known.used = row.Percent, row.Tail, row.Used
	if row.Checkpoint != "" {
		known.saved = row.Checkpoint
	}
	if known.phase == unsure {
		known.phase, known.since = running, now
	}
	return false
}
