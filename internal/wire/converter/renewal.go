// Package converter converts between the root package's types and the drpc messages.
package converter

import (
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

// RenewRequest converts a renewal to its message.
func RenewRequest(r jaygw.Renewal) *messenger.RenewRequest {
	m := &messenger.RenewRequest{
		Group:       r.Group,
		Vm:          r.VM,
		Incarnation: uint64(r.Incarnation),
		Sequence:    r.Sequence,
		Served:      r.LastRevision,
		HoldNanos:   int64(r.Hold),
	}
	if r.Announce != nil {
		m.Announce = vmMessage(*r.Announce)
	}
	for _, report := range r.Reports {
		m.Reports = append(m.Reports, reportMessage(report))
	}
	for _, usage := range r.Usage {
		m.Usage = append(m.Usage, usageMessage(usage))
	}
	for _, attempt := range r.Attempts {
		m.Known = append(m.Known, &messenger.Attempt{Task: string(attempt.Task), Epoch: uint64(attempt.Epoch)})
	}
	return m
}

// Renewal converts a message to a renewal.
func Renewal(m *messenger.RenewRequest) jaygw.Renewal {
	r := jaygw.Renewal{
		Group:        m.Group,
		VM:           m.Vm,
		Incarnation:  jaygw.Incarnation(m.Incarnation),
		Sequence:     m.Sequence,
		LastRevision: m.Served,
		Hold:         time.Duration(m.HoldNanos),
	}
	if m.Announce != nil {
		vm := toVM(m.Announce)
		vm.Group = m.Group
		vm.Incarnation = r.Incarnation
		r.Announce = &vm
	}
	for _, report := range m.Reports {
		r.Reports = append(r.Reports, toReport(report))
	}
	for _, usage := range m.Usage {
		r.Usage = append(r.Usage, toUsage(usage))
	}
	for _, attempt := range m.Known {
		r.Attempts = append(r.Attempts, toAttempt(attempt.Task, attempt.Epoch))
	}
	return r
}

// RenewResponse converts the result of a renewal to its message.
func RenewResponse(r jaygw.RenewalResult) *messenger.RenewResponse {
	m := &messenger.RenewResponse{
		Incarnation:       uint64(r.Incarnation),
		Sequence:          r.Sequence,
		BatchLeaseNanos:   int64(r.BatchLease),
		ServiceLeaseNanos: int64(r.ServiceLease),
		Acknowledged:      r.Acknowledged,
		DomainOut:         r.DomainOut,
		Index:             uint64(r.Index),
		Revision:          r.Revision,
		Members:           r.Members,
	}
	for _, permit := range r.Permits {
		m.Permits = append(m.Permits, permitMessage(permit))
	}
	for _, order := range r.Orders {
		m.Orders = append(m.Orders, &messenger.Order{
			Task: string(order.Attempt.Task), Epoch: uint64(order.Attempt.Epoch),
			Action: string(order.Action), Percent: int32(order.Percent),
		})
	}
	return m
}

// RenewalResult converts a message to the result of a renewal.
func RenewalResult(m *messenger.RenewResponse) jaygw.RenewalResult {
	r := jaygw.RenewalResult{
		Incarnation:  jaygw.Incarnation(m.Incarnation),
		Sequence:     m.Sequence,
		BatchLease:   time.Duration(m.BatchLeaseNanos),
		ServiceLease: time.Duration(m.ServiceLeaseNanos),
		Acknowledged: m.Acknowledged,
		DomainOut:    m.DomainOut,
		Index:        jaygw.Index(m.Index),
		Revision:     m.Revision,
		Members:      m.Members,
	}
	for _, permit := range m.Permits {
		r.Permits = append(r.Permits, toPermit(permit))
	}
	for _, order := range m.Orders {
		r.Orders = append(r.Orders, jaygw.Order{
			Attempt: toAttempt(order.Task, order.Epoch),
			Action:  jaygw.Action(order.Action),
			Percent: int(order.Percent),
		})
	}
	return r
}
