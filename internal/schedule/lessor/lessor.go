// Package lessor keeps the leader's account of VM leases: when each VM was last
// heard of and when its tasks can no longer be running.
package lessor

import (
	"slices"
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
		incarnation jaygw.Incarnation
		heard       time.Time
		batchEnd    time.Time
		serviceEnd  time.Time
		batchOver   bool
		serviceOver bool
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
func (l *Lessor) Heard(vm string, incarnation jaygw.Incarnation, now time.Time) {
	entry := l.entry(vm)
	entry.incarnation = incarnation
	entry.heard = now
}

// Granted records that a response with these terms is sent at now. The agent
// counts from when it sent the request, which was earlier, so its lease ends
// before the time kept here.
func (l *Lessor) Granted(vm string, incarnation jaygw.Incarnation, now time.Time, terms Terms) {
	entry := l.entry(vm)
	entry.incarnation = incarnation
	entry.batchEnd = now.Add(withMargin(terms.Batch))
	entry.serviceEnd = now.Add(withMargin(terms.Service))
	entry.batchOver = false
	entry.serviceOver = false
}

// Silent reports whether a VM has not been heard of for longer than the limit. A
// new leader counts from the start of its leadership.
func (l *Lessor) Silent(vm string, now time.Time) bool {
	heard := l.since
	if entry, ok := l.leases[vm]; ok {
		heard = entry.heard
	}
	return now.Sub(heard) > jaygw.SilenceLimit
}

// Expired returns the leases that have ended since the last call, as commands
// that end the attempts under them.
func (l *Lessor) Expired(vms map[string]*jaygw.VM, now time.Time) []jaygw.ExpireVM {
	var expired []jaygw.ExpireVM
	for name, vm := range vms {
		entry := l.entry(name)
		var kinds []jaygw.TaskKind
		if !entry.batchOver && now.After(entry.batchEnd) {
			entry.batchOver = true
			kinds = append(kinds, jaygw.BatchTask)
		}
		if !entry.serviceOver && now.After(entry.serviceEnd) {
			entry.serviceOver = true
			kinds = append(kinds, jaygw.ServiceTask)
		}
		if len(kinds) > 0 {
			expired = append(expired, jaygw.ExpireVM{Name: name, Incarnation: vm.Incarnation, Kinds: kinds})
		}
	}
	slices.SortFunc(expired, func(a, b jaygw.ExpireVM) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return expired
}

// Over reports whether every lease of the VM has ended, so that nothing can be
// running on it.
func (l *Lessor) Over(vm string) bool {
	entry, ok := l.leases[vm]
	return ok && entry.batchOver && entry.serviceOver
}

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
