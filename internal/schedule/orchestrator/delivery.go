package orchestrator

import (
	"time"

	"github.com/jaygw/jaygw"
)

// delivery is the leader's knowledge of which responses reach a VM's agent.
type delivery struct {
	received  uint64    // highest sequence number of a poll whose response the agent has received
	since     time.Time // first response since the agent named that one; zero if there is none
	responses int       // responses since then
	withheld  bool      // the latest response granted no lease
	remainder bool      // the latest response left something out
	taken     bool      // a poll since the latest response has reported a new run
	starting  bool      // the latest poll reports a run that its worker has not confirmed
}

const (
	// maxUndelivered is how long responses may go out without a poll that shows that one has arrived. An agent
	// polls at least each second, and calls fail for up to 2 s while a leader changes.
	maxUndelivered = 2500 * time.Millisecond

	// minUndelivered is the number of responses in that time. An agent that has stood still has received fewer.
	minUndelivered = 3

	// remainderPause is how long the next poll is held after a response that left something out, unless the
	// worker has confirmed the starts of that response. An agent that holds starts back would otherwise poll all
	// the time, and a worker that is sent a thousand starts at once would not confirm all of them in time.
	remainderPause = 100 * time.Millisecond
)

// recordPoll records which response a poll names as received. Earlier builds name none.
func (d *delivery) recordPoll(request jaygw.PollRequest) {
	if request.Received > d.received || request.Received == 0 && request.LastRevision > 0 {
		d.received, d.since, d.responses = request.Received, time.Time{}, 0
	}
}

// recordResponse records a response that is about to be sent. It grants no lease if none has arrived for the
// duration of one: that of the agent is then over, so that withholding another one ends no runs that go on.
func (d *delivery) recordResponse(remainder bool, lease time.Duration, now time.Time) {
	d.remainder, d.taken, d.withheld = remainder, false, d.isLost(now) && now.Sub(d.since) > lease
	if d.since.IsZero() {
		d.since = now
	}
	d.responses++
}

// isLost reports whether responses do not reach the agent. It gets no new runs then, and later no lease: its
// runs are free once the last lease is over. A response that arrives ends this.
func (d *delivery) isLost(now time.Time) bool {
	return d.responses >= minUndelivered && now.Sub(d.since) > maxUndelivered
}

// maxHold returns how long a poll may be held.
func (d *delivery) maxHold() time.Duration {
	switch {
	case d.withheld || d.remainder && d.taken && !d.starting:
		return 0
	case d.remainder:
		return remainderPause
	}
	return MaxHold
}

// holdLimit returns how long a poll of a VM may be held.
func (t *vmTable) holdLimit(name string) time.Duration {
	if vm := t.vms[name]; vm != nil {
		return vm.delivery.maxHold()
	}
	return MaxHold
}

// isWithheld reports whether the latest response to a VM granted no lease.
func (t *vmTable) isWithheld(name string) bool {
	vm := t.vms[name]
	return vm != nil && vm.delivery.withheld
}
