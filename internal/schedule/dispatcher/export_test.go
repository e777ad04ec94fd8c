package dispatcher

import (
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
)

// Decider exports decider to tests on virtual time.
type Decider struct{ d *decider }

// NewDecider returns a decider whose leadership begins at now.
func NewDecider(term uint64, now time.Time) Decider {
	d := newDecider()
	d.setLeadership(term, true, now)
	return Decider{d}
}

func (d Decider) AnnounceCommand(r jaygw.Renewal, m *applier.Machine) (*jaygw.Command, error) {
	return d.d.announceCommand(r, m)
}

func (d Decider) RecordRenewal(r jaygw.Renewal, m *applier.Machine, now time.Time) error {
	return d.d.recordRenewal(r, m, now)
}

func (d Decider) ReportCommand(r jaygw.Renewal, m *applier.Machine) (*jaygw.Command, uint64) {
	return d.d.reportCommand(r, m)
}

func (d Decider) BuildResponse(r jaygw.Renewal, acknowledged uint64, arrivedAt time.Time, m *applier.Machine, now time.Time) (jaygw.RenewalResult, error) {
	return d.d.buildResponse(r, acknowledged, arrivedAt, m, now)
}

func (d Decider) Decide(m *applier.Machine, now time.Time) []jaygw.Command { return d.d.decide(m, now) }

func (d Decider) RecordOutcome(c jaygw.Command, err error) { d.d.recordOutcome(c, err) }

func (d Decider) Unresponsive(vm string, now time.Time) bool { return d.d.lessor.Unresponsive(vm, now) }

// Observer returns the observer that keeps the scheduler's index current.
func (d Decider) Observer() jaygw.Observer { return d.d.scheduler }
