package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/rotisserie/eris"
)

// Renew responds to a renewal. It commits the reports in it, waits until the VM's assignments
// change or the agent's hold time has expired, and confirms the leadership with a quorum before
// it responds.
func (d *Dispatcher) Renew(ctx context.Context, r jaygw.Renewal) (jaygw.RenewalResult, error) {
	arrivedAt := time.Now()
	if err := d.announce(ctx, r); err != nil {
		return jaygw.RenewalResult{}, err
	}
	acknowledged, err := d.commitReports(ctx, r, arrivedAt)
	if err != nil {
		return jaygw.RenewalResult{}, err
	}
	d.waitForAssignments(ctx, r)
	for {
		result, err := d.confirmedResponse(ctx, r, acknowledged, arrivedAt)
		if !errors.Is(err, errExpiryPending) {
			return result, err
		}
		if err := d.waitForExpiry(ctx, r.VM); err != nil {
			return result, err
		}
	}
}

// read calls a function with the state machine while the decider and the replica's state are
// locked.
func (d *Dispatcher) read(f func(*applier.Machine)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replica.Read(f)
}

// announce commits the renewal's announcement if it changes what is recorded of the VM. It does so only in the term
// in which it was read: a leader that is followed by another one must not forward an announcement that a later
// incarnation may have overtaken.
func (d *Dispatcher) announce(ctx context.Context, r jaygw.Renewal) error {
	var command *jaygw.Command
	var err error
	d.read(func(machine *applier.Machine) {
		ctx = jaygw.InTerm(ctx, d.term)
		command, err = d.announceCommand(r, machine)
	})
	if command == nil || err != nil {
		return err
	}
	result, err := d.replica.Propose(ctx, *command)
	if err != nil {
		return err
	}
	return result.Err()
}

// commitReports commits the renewal's reports and returns the highest sequence number among them.
func (d *Dispatcher) commitReports(ctx context.Context, r jaygw.Renewal, now time.Time) (uint64, error) {
	var command *jaygw.Command
	var acknowledged uint64
	var err error
	d.read(func(machine *applier.Machine) {
		ctx = jaygw.InTerm(ctx, d.term)
		if err = d.recordRenewal(r, machine, now); err == nil {
			command, acknowledged = d.reportCommand(r, machine)
		}
	})
	if command == nil || err != nil {
		return acknowledged, err
	}
	result, err := d.replica.Propose(ctx, *command)
	if err != nil {
		return 0, err
	}
	return acknowledged, result.Err()
}

// waitForAssignments waits until the VM's assignments differ from those of the last response, or
// until the hold time that the agent allows has expired.
func (d *Dispatcher) waitForAssignments(ctx context.Context, r jaygw.Renewal) {
	if r.Hold <= 0 {
		return
	}
	timer := time.NewTimer(min(r.Hold, jaygw.RenewalInterval))
	defer timer.Stop()
	for {
		revision, changed := d.notifier.VMRevision(r.VM)
		if revision != r.LastRevision {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// confirmedResponse builds the response after a quorum has confirmed the leadership.
func (d *Dispatcher) confirmedResponse(
	ctx context.Context, r jaygw.Renewal, acknowledged uint64, arrivedAt time.Time,
) (result jaygw.RenewalResult, err error) {
	if _, err := d.replica.Confirm(ctx); err != nil {
		return result, err
	}
	d.read(func(machine *applier.Machine) {
		result, err = d.buildResponse(r, acknowledged, arrivedAt, machine, time.Now())
	})
	return result, err
}

// waitForExpiry waits until the outcome of a VM's pending lease expiry is known.
func (d *Dispatcher) waitForExpiry(ctx context.Context, vm string) error {
	d.mu.Lock()
	e, pending := d.expiries[vm]
	d.mu.Unlock()
	if !pending {
		return nil
	}
	select {
	case <-e.done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait for the outcome of the VM's lease expiry")
	}
}
