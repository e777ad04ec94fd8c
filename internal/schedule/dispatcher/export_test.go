package dispatcher

import (
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
)

// Decider is the deciding part, for tests on virtual time.
type Decider struct{ d *decider }

func NewDecider(term uint64, now time.Time) Decider {
	d := newDecider()
	d.lead(term, true, now)
	return Decider{d}
}

func (d Decider) Announcement(r jaygw.Renewal, m *applier.Machine) (*jaygw.Command, error) {
	return d.d.announcement(r, m)
}

func (d Decider) Arrived(r jaygw.Renewal, m *applier.Machine, now time.Time) error {
	return d.d.arrived(r, m, now)
}

func (d Decider) Reports(r jaygw.Renewal, m *applier.Machine) (*jaygw.Command, uint64) {
	return d.d.reports(r, m)
}

func (d Decider) Answer(r jaygw.Renewal, acked uint64, arrived time.Time, m *applier.Machine, now time.Time) (jaygw.RenewalResult, error) {
	return d.d.answer(r, acked, arrived, m, now)
}

func (d Decider) Decide(m *applier.Machine, now time.Time) []jaygw.Command { return d.d.decide(m, now) }

func (d Decider) Settled(c jaygw.Command, err error) { d.d.settled(c, err) }

func (d Decider) Silent(vm string, now time.Time) bool { return d.d.lessor.Silent(vm, now) }

// Observer keeps the scheduler's index current.
func (d Decider) Observer() jaygw.Observer { return d.d.scheduler }
