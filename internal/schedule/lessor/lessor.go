// Package lessor tracks the VM leases that the leader grants: when each VM last renewed its lease,
// and when its tasks can no longer be running.
package lessor

import (
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Lessor tracks the leases of the VMs for the leader. It is not safe for concurrent use. All
	// times come from one monotonic clock.
	Lessor struct {
		leases      map[string]*vmLease // by VM name
		leaderSince time.Time           // start of the leadership
	}

	// vmLease holds when a VM last renewed, and when its leases have certainly expired.
	vmLease struct {
		lastRenewal time.Time
		batchEnd    time.Time
		serviceEnd  time.Time
	}

	// Durations holds the durations of the leases that a response grants, by kind of task. They count
	// from when the agent sent its renewal.
	Durations struct {
		Batch   time.Duration
		Service time.Duration
	}
)

// DefaultDurations returns the default lease durations: jaygw.BatchLease and jaygw.ServiceLease.
func DefaultDurations() Durations {
	return Durations{Batch: jaygw.BatchLease, Service: jaygw.ServiceLease}
}

// New returns the lessor of a leader that was elected at now. A VM that has not renewed yet may
// hold a lease that the previous leader granted just before.
func New(now time.Time) *Lessor {
	return &Lessor{leases: map[string]*vmLease{}, leaderSince: now}
}

// RecordRenewal records that a renewal of a VM arrived at now.
func (l *Lessor) RecordRenewal(vm string, now time.Time) { l.lease(vm).lastRenewal = now }

// RecordGrant records that a response that grants leases of these durations is sent at now. The agent
// counts them from when it sent the request, so its leases end before the times stored here.
func (l *Lessor) RecordGrant(vm string, now time.Time, durations Durations) {
	lease := l.lease(vm)
	lease.batchEnd = later(lease.batchEnd, now.Add(withMargin(durations.Batch)))
	lease.serviceEnd = later(lease.serviceEnd, now.Add(withMargin(durations.Service)))
}

// SinceLastRenewal returns the time since the last renewal of a VM. For a VM that has not renewed in this
// leadership, it counts from the start of the leadership.
func (l *Lessor) SinceLastRenewal(vm string, now time.Time) time.Duration {
	if lease, ok := l.leases[vm]; ok {
		return now.Sub(lease.lastRenewal)
	}
	return now.Sub(l.leaderSince)
}

// Unresponsive reports whether the last renewal of a VM is longer ago than jaygw.MaxRenewalAge.
func (l *Lessor) Unresponsive(vm string, now time.Time) bool {
	return l.SinceLastRenewal(vm, now) > jaygw.MaxRenewalAge
}

// Expired reports whether the lease for a VM's tasks of a kind has expired, so that none of them can
// be running.
func (l *Lessor) Expired(vm string, kind jaygw.TaskKind, now time.Time) bool {
	lease := l.lease(vm)
	if kind == jaygw.ServiceTask {
		return now.After(lease.serviceEnd)
	}
	return now.After(lease.batchEnd)
}

// Remove removes the lease of a VM that was removed.
func (l *Lessor) Remove(vm string) { delete(l.leases, vm) }

func (l *Lessor) lease(vm string) *vmLease {
	lease, ok := l.leases[vm]
	if !ok {
		lease = &vmLease{
			lastRenewal: l.leaderSince,
			batchEnd:    l.leaderSince.Add(withMargin(jaygw.BatchLease)),
			serviceEnd:  l.leaderSince.Add(withMargin(jaygw.ServiceLease)),
		}
		l.leases[vm] = lease
	}
	return lease
}

// withMargin adds the margin for clocks that run at different rates.
func withMargin(d time.Duration) time.Duration {
	return d + d*jaygw.ClockRateMargin/100
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
