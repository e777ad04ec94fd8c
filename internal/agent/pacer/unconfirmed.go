package pacer

import (
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

// unconfirmed describes orders on the pace of a run that got no response, or none before the next order. The worker may
// carry them out late, after newer ones.
type unconfirmed struct {
	until  time.Time // when the last of them counts as lost
	repeat time.Time // when the present pace is ordered again
}

const (
	// lateTime is how long after an order without a response the worker may carry it out.
	lateTime = 15 * time.Second

	// repeatInterval is the time between two orders of the same pace meanwhile.
	repeatInterval = time.Second
)

// Unconfirmed handles an order on the pace of a run that got no response, or one while another order of the run was in
// flight. The present pace is then ordered again and again for as long as such an order may be carried out.
func (p *Pacer) Unconfirmed(run jaygw.Run, now time.Time) {
	p.unconfirmed[run] = unconfirmed{until: now.Add(lateTime), repeat: now.Add(repeatInterval)}
}

// repeats returns the present paces that are ordered again, without those that change.
func (p *Pacer) repeats(changes []Pace, now time.Time) []Pace {
	var paces []Pace
	for run, u := range p.unconfirmed {
		switch {
		case now.After(u.until):
			delete(p.unconfirmed, run)
		case now.Before(u.repeat) || slices.ContainsFunc(changes, func(c Pace) bool { return c.Run == run }):
		default:
			u.repeat = now.Add(repeatInterval)
			p.unconfirmed[run] = u
			paces = append(paces, Pace{Run: run, Percent: p.PaceOf(run)})
		}
	}
	slices.SortFunc(paces, func(a, b Pace) int { return registrar.CompareRuns(a.Run, b.Run) })
	return paces
}
