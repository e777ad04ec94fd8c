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
	"github.com/sirupsen/logrus"
)

// forwardedKey marks the context of a call that another replica forwarded.
type forwardedKey struct{}

// Forwarded returns a context whose proposals are not forwarded again.
func Forwarded(ctx context.Context) context.Context {
	return context.WithValue(ctx, forwardedKey{}, true)
}

// failFastKey marks the context of a call whose sender tries other replicas itself.
type failFastKey struct{}

// FailFast returns a context whose proposals are not retried for longer than 250 ms when no leader
// is found.
func FailFast(ctx context.Context) context.Context {
	return context.WithValue(ctx, failFastKey{}, true)
}

// Propose commits a command; a replica that does not lead forwards it to the leader. It retries
// while the command is known not to be committed.
func (r *Replica) Propose(ctx context.Context, command jaygw.Command) (jaygw.Result, error) {
	command.Time = 0 // the leader's entry carries the time
	data, err := encoder.Marshal(command)
	if err != nil {
		return jaygw.Result{}, err
	}
	if len(data) > replicator.MaxEntryBytes {
		return jaygw.Refuse(jaygw.RefusedInvalid, "the command has %d bytes, more than %d", len(data), replicator.MaxEntryBytes), nil
	}
	_, singleAttempt := ctx.Value(forwardedKey{}).(bool)
	singleAttempt = singleAttempt || jaygw.TermOf(ctx) != 0
	_, failFast := ctx.Value(failFastKey{}).(bool)
	started := time.Now()
	for {
		result, err := r.proposeHere(ctx, command, data)
		if singleAttempt || !errors.Is(err, jaygw.ErrNotLeader) {
			return result, err
		}
		if result, err = r.forward(ctx, data); !errors.Is(err, jaygw.ErrNotLeader) {
			return result, err
		}
		if failFast && time.Since(started) > failFastWait || !r.pause(ctx, retryInterval) {
			return result, err
		}
	}
}

// proposeHere proposes a command at this replica, which must lead.
func (r *Replica) proposeHere(ctx context.Context, command jaygw.Command, data []byte) (jaygw.Result, error) {
	if status := r.Status(); status.Leader != status.ID {
		return jaygw.Result{}, jaygw.ErrNotLeader
	}
	diskFull := r.diskSpace.fullSignal()
	c := &call{done: make(chan outcome, 1)}
	input := replicator.Input{}
	id, wall := r.lastID.Add(1), jaygw.TimeOf(time.Now())
	if change := command.Members; change != nil {
		input.Change = &replicator.Change{ID: id, WallTime: wall, Add: change.Add, Remove: change.Remove, Leave: change.Leave, ReplaceUnresponsive: change.ReplaceUnresponsive}
	} else {
		// Decode the encoded command, so that this replica applies what the others decode.
		if err := encoder.Unmarshal(data, &c.command); err != nil {
			return jaygw.Result{}, err
		}
		input.Proposal = &replicator.Proposal{ID: id, Term: jaygw.TermOf(ctx), WallTime: wall, Data: data}
	}
	if err := r.enqueue(ctx, event{input: input, call: c}); err != nil {
		return jaygw.Result{}, err
	}
	select {
	case o := <-c.done:
		return o.result, o.err
	case <-ctx.Done():
	case <-diskFull:
	case <-r.done:
	}
	return jaygw.Result{}, jaygw.ErrOutcomeUnknown
}

// enqueue passes an input to Run.
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

// forward sends an encoded command to the leader and returns the leader's result.
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
	if err := converter.ErrorFromCode(response.Error); err != nil {
		return result, err
	}
	return result, encoder.Unmarshal(response.Result, &result)
}

// LeaderAddress returns the address of the leader if another replica leads, and an empty string
// otherwise.
func (r *Replica) LeaderAddress() string {
	status := r.Status()
	for _, m := range status.Members {
		if m.ID == status.Leader && m.ID != status.ID {
			return m.Address
		}
	}
	return ""
}

// HandOver transfers the leadership to another replica if this one leads. It returns once the
// other replica leads or the context has ended.
func (r *Replica) HandOver(ctx context.Context) {
	if status := r.Status(); status.Leader != status.ID {
		return
	}
	if err := r.enqueue(ctx, event{input: replicator.Input{TransferLeadership: true}}); err != nil {
		return
	}
	for status := r.Status(); status.Leader == status.ID || status.Leader == 0; status = r.Status() {
		if !r.pause(ctx, handOverPollInterval) {
			return
		}
	}
}

// Leave lets a learner that has caught up take the place of this replica, which is about to stop. It
// returns once the change is committed, or the group has nobody to replace it, or the context has ended.
func (r *Replica) Leave(ctx context.Context) {
	if !r.isDispensable() {
		return
	}
	started := time.Now()
	for {
		// The first result reports that the learner votes, a later one that nothing is left to change.
		result, err := r.Propose(ctx, jaygw.Command{Members: &jaygw.ChangeMembers{Leave: r.settings.Self.ID}})
		if err == nil && result.AlreadyApplied || !r.pause(ctx, retryInterval) {
			r.log.WithFields(logrus.Fields{
				"member": r.settings.Self.ID, "done": result.AlreadyApplied, "took": time.Since(started).String(), "result": result.Err(), "error": err,
			}).Info("control: replica leaves")
			return
		}
	}
}

// isDispensable reports whether the group, as far as this replica knows, has a learner or more voters than required.
func (r *Replica) isDispensable() bool {
	members, voters := r.Status().Members, 0
	for _, m := range members {
		if m.Voter {
			voters++
		}
	}
	return voters < len(members) || voters > replicator.RequiredVoters(r.settings.Tolerated)
}

// Confirm returns the applied index once a quorum has confirmed, after the call began, that this
// replica's applied state is current. It returns ErrNotConfirmed if no leader responds within 2 s.
func (r *Replica) Confirm(ctx context.Context) (jaygw.Index, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		index, err := r.confirmOnce(ctx)
		if !errors.Is(err, jaygw.ErrNotConfirmed) {
			return index, err
		}
		if !r.pause(ctx, retryInterval) {
			return index, err
		}
	}
}

func (r *Replica) confirmOnce(ctx context.Context) (jaygw.Index, error) {
	if r.diskSpace.isFull() {
		return 0, jaygw.ErrNotConfirmed
	}
	c := &call{done: make(chan outcome, 1)}
	id := r.lastID.Add(1)
	if err := r.enqueue(ctx, event{input: replicator.Input{Read: id}, call: c}); err != nil {
		if errors.Is(err, jaygw.ErrStopped) {
			return 0, err
		}
		return 0, jaygw.ErrNotConfirmed
	}
	timer := time.NewTimer(confirmAttemptTimeout)
	defer timer.Stop()
	select {
	case o := <-c.done:
		return jaygw.Index(o.index), o.err
	case <-timer.C:
		return 0, jaygw.ErrNotConfirmed
	case <-ctx.Done():
		return 0, jaygw.ErrNotConfirmed
	case <-r.done:
		return 0, jaygw.ErrStopped
	}
}

// pause waits and reports whether neither the context nor the replica ended meanwhile.
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
