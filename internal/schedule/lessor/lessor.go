// Package lessor keeps the leader's account of VM leases: when each VM was last
// heard of and when its tasks can no longer be running.
package lessor

import (
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Lessor is the leader's account of leases. It is not safe for concurrent
	// use. All times come from one monotonic clock.
	Lessor struct {
		leases map[string]*lease
		since  time.Time // start of the leadership
	}

	lease struct {
		heard      time.Time
		batchEnd   time.Time
		serviceEnd time.Time
	}

	// Terms are the lengths of the leases that a response grants.
	Terms struct {
		Batch   time.Duration
		Service time.Duration
	}
)

// DefaultTerms returns the lengths in use.
func DefaultTerms() Terms {
	return Terms{Batch: jaygw.BatchLease, Service: jaygw.ServiceLease}
}

// New returns the account of a leader that was elected at now. VMs that it has
// not heard of may hold a lease that the last leader granted just before.
func New(now time.Time) *Lessor {
	return &Lessor{leases: map[string]*lease{}, since: now}
}

// Heard records that a renewal arrived.
func (l *Lessor) Heard(vm string, now time.Time) { l.entry(vm).heard = now }

// Granted records that a response with these terms is sent at now. The agent
// counts from when it sent the request, which was earlier, so its lease ends
// before the time kept here.
func (l *Lessor) Granted(vm string, now time.Time, terms Terms) {
	entry := l.entry(vm)
	entry.batchEnd = later(entry.batchEnd, now.Add(withMargin(terms.Batch)))
	entry.serviceEnd = later(entry.serviceEnd, now.Add(withMargin(terms.Service)))
}

// Silence returns the time since a VM was last heard of. A new leader counts
// from the start of its leadership.
func (l *Lessor) Silence(vm string, now time.Time) time.Duration {
	if entry, ok := l.leases[vm]; ok {
		return now.Sub(entry.heard)
	}
	return now.Sub(l.since)
}

// Silent reports whether a VM has not been heard of for longer than the limit.
func (l *Lessor) Silent(vm string, now time.Time) bool {
	return l.Silence(vm, now) > jaygw.SilenceLimit
}

// Over reports whether the lease of a VM's tasks of a kind has ended, so that
// none of them can be running.
func (l *Lessor) Over(vm string, kind jaygw.TaskKind, now time.Time) bool {
	entry := l.entry(vm)
	if kind == jaygw.ServiceTask {
		return now.After(entry.serviceEnd)
	}
	return now.After(entry.batchEnd)
}

// Drop forgets a VM that was removed.
func (l *Lessor) Drop(vm string) { delete(l.leases, vm) }

func (l *Lessor) entry(vm string) *lease {
	entry, ok := l.leases[vm]
	if !ok {
		entry = &lease{
			heard:      l.since,
			batchEnd:   l.since.Add(withMargin(jaygw.BatchLease)),
			serviceEnd: l.since.Add(withMargin(jaygw.ServiceLease)),
		}
		l.leases[vm] = entry
	}
	return entry
}

func withMargin(d time.Duration) time.Duration {
	return d + d*jaygw.ClockRateMargin/100
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
