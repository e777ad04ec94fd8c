package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/jaygw/jaygw/internal/wire/converter"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/rotisserie/eris"
)

// forwardedKey marks the context of a call that another replica has forwarded.
type forwardedKey struct{}

// Forwarded returns a context whose proposals are not forwarded again.
func Forwarded(ctx context.Context) context.Context {
	return context.WithValue(ctx, forwardedKey{}, true)
}

// impatientKey marks the context of a call whose sender tries other replicas.
type impatientKey struct{}

// Impatient returns a context whose proposals wait only a short time for a leader.
func Impatient(ctx context.Context) context.Context {
	return context.WithValue(ctx, impatientKey{}, true)
}

// Propose commits a command. A replica that does not lead forwards it to the
// leader. It tries again while the command is known not to be committed.
func (r *Replica) Propose(ctx context.Context, command jaygw.Command) (jaygw.Result, error) {
	command.Time = 0 // the leader's entry carries the time
	data, err := encoder.Marshal(command)
	if err != nil {
		return jaygw.Result{}, err
	}
	if len(data) > replicator.MaxEntryBytes {
		return jaygw.Refuse(jaygw.RefusedInvalid, "the command has %d bytes, more than %d", len(data), replicator.MaxEntryBytes), nil
	}
	_, once := ctx.Value(forwardedKey{}).(bool)
	once = once || jaygw.TermOf(ctx) != 0
	_, impatient := ctx.Value(impatientKey{}).(bool)
	begun := time.Now()
	for {
		result, err := r.proposeHere(ctx, command, data)
		if once || !errors.Is(err, jaygw.ErrNotLeader) {
			return result, err
		}
		if result, err = r.forward(ctx, data); !errors.Is(err, jaygw.ErrNotLeader) {
			return result, err
		}
		if impatient && time.Since(begun) > leaderWait || !r.pause(ctx, proposePause) {
			return result, err
		}
	}
}

func (r *Replica) proposeHere(ctx context.Context, command jaygw.Command, data []byte) (jaygw.Result, error) {
	if status := r.Status(); status.Leader != status.ID {
		return jaygw.Result{}, jaygw.ErrNotLeader
	}
	full := r.room.lost()
	c := &call{done: make(chan outcome, 1)}
	input := replicator.Input{}
	id, wall := r.ids.Add(1), jaygw.TimeOf(time.Now())
	if change := command.Members; change != nil {
		input.Change = &replicator.Change{ID: id, Wall: wall, Add: change.Add, Remove: change.Remove, ReplaceSilent: change.ReplaceSilent}
	} else {
		// The command is applied as the other replicas decode it.
		if err := encoder.Unmarshal(data, &c.command); err != nil {
			return jaygw.Result{}, err
		}
		input.Proposal = &replicator.Proposal{ID: id, Term: jaygw.TermOf(ctx), Wall: wall, Data: data}
	}
	if err := r.enqueue(ctx, event{input: input, call: c}); err != nil {
		return jaygw.Result{}, err
	}
	select {
	case o := <-c.done:
		return o.result, o.err
	case <-ctx.Done():
	case <-full:
	case <-r.done:
	}
	return jaygw.Result{}, jaygw.ErrOutcomeUnknown
}

func (r *Replica) enqueue(ctx context.Context, e event) error {
	select {
	case r.inputs <- e:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait for the replica")
	case <-r.done:
		return jaygw.ErrStopped
	}
}

// forward sends a command to the leader.
func (r *Replica) forward(ctx context.Context, data []byte) (jaygw.Result, error) {
	var result jaygw.Result
	address := r.LeaderAddress()
	if address == "" {
		return result, jaygw.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	response, err := messenger.NewDRPCGroupClient(r.dialer.Conn(ctx, address)).Propose(ctx, &messenger.ProposeRequest{
		Group: r.settings.Group, Command: data, Forwarded: true,
	})
	if err != nil {
		return result, errors.Join(jaygw.ErrOutcomeUnknown, err)
	}
	if err := converter.ErrorOf(response.Error); err != nil {
		return result, err
	}
	return result, encoder.Unmarshal(response.Result, &result)
}

// LeaderAddress returns the address of the leader if another replica leads, or
// nothing.
func (r *Replica) LeaderAddress() string {
	status := r.Status()
	for _, m := range status.Members {
		if m.ID == status.Leader && m.ID != status.ID {
			return m.Address
		}
	}
	return ""
}

// HandOver lets another replica lead, if this one does. It returns once that one leads
// or the context has ended.
func (r *Replica) HandOver(ctx context.Context) {
	if status := r.Status(); status.Leader != status.ID {
		return
	}
	if err := r.enqueue(ctx, event{input: replicator.Input{HandOver: true}}); err != nil {
		return
	}
	for status := r.Status(); status.Leader == status.ID || status.Leader == 0; status = r.Status() {
		if !r.pause(ctx, handOverPause) {
			return
		}
	}
}

// Confirm returns once a quorum has confirmed, after the call began, that this
// replica's applied state is current. A replica that no leader answers returns
// ErrNotCurrent.
func (r *Replica) Confirm(ctx context.Context) (jaygw.Index, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	for {
		index, err := r.confirmOnce(ctx)
		if !errors.Is(err, jaygw.ErrNotCurrent) {
			return index, err
		}
		if !r.pause(ctx, proposePause) {
			return index, err
		}
	}
}

func (r *Replica) confirmOnce(ctx context.Context) (jaygw.Index, error) {
	if r.room.isLost() {
		return 0, jaygw.ErrNotCurrent
	}
	c := &call{done: make(chan outcome, 1)}
	id := r.ids.Add(1)
	if err := r.enqueue(ctx, event{input: replicator.Input{Read: id}, call: c}); err != nil {
		if errors.Is(err, jaygw.ErrStopped) {
			return 0, err
		}
		return 0, jaygw.ErrNotCurrent
	}
	timer := time.NewTimer(confirmResend)
	defer timer.Stop()
	select {
	case o := <-c.done:
		return jaygw.Index(o.index), o.err
	case <-timer.C:
		return 0, jaygw.ErrNotCurrent
	case <-ctx.Done():
		return 0, jaygw.ErrNotCurrent
	case <-r.done:
		return 0, jaygw.ErrStopped
	}
}

func (r *Replica) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-r.done:
		return false
	}
}
