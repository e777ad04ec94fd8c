package coordinator

import (
	"errors"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/journaler"
	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/rotisserie/eris"
)

// apply restores a snapshot and applies entries, and answers the proposals that
// are in them.
func (r *Replica) apply(out replicator.Output) error {
	if out.Install != nil {
		if err := r.restore(*out.Install); err != nil {
			return err
		}
	}
	if len(out.Apply) > 0 {
		if err := r.applyEntries(out.Apply); err != nil {
			return err
		}
	}
	if out.Changed || out.Install != nil || len(out.Apply) > 0 || len(out.Entries) > 0 {
		r.updateStatus()
	}
	return nil
}

func (r *Replica) restore(snapshot replicator.Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.machine.Restore(snapshot.Data); err != nil {
		return eris.Wrapf(err, "restore the snapshot up to entry %d from the leader", snapshot.Meta.Index)
	}
	r.applied = snapshot.Meta.Index
	r.saveAt = r.applied + r.snapshotEvery
	for index, p := range r.pending {
		if index <= r.applied {
			p.call.done <- outcome{err: jaygw.ErrOutcomeUnknown}
			delete(r.pending, index)
		}
	}
	return nil
}

func (r *Replica) applyEntries(entries []replicator.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		var command jaygw.Command
		p, own := r.pending[e.Index]
		delete(r.pending, e.Index)
		switch {
		case e.Kind == replicator.MembersEntry: // a barrier for the machine
		case own && p.term == e.Term:
			command = p.call.command
		default:
			if err := encoder.Unmarshal(e.Data, &command); err != nil {
				return eris.Wrapf(err, "entry %d", e.Index)
			}
		}
		command.Time = e.Time
		result := r.machine.Apply(jaygw.Index(e.Index), command)
		r.applied = e.Index
		r.logBytes += len(e.Data)
		if !own {
			continue
		}
		if p.term == e.Term {
			p.call.done <- outcome{result: result}
		} else {
			p.call.done <- outcome{err: jaygw.ErrNotLeader} // another entry took its place
		}
	}
	return nil
}

// place notes where proposals stand in the log, or answers those that have no place.
func (r *Replica) place(appended []replicator.Appended) {
	for _, a := range appended {
		c := r.proposals[a.ID]
		delete(r.proposals, a.ID)
		var refusal *jaygw.Refusal
		switch {
		case c == nil:
		case errors.As(a.Err, &refusal):
			c.done <- outcome{result: jaygw.Result{Refusal: refusal}}
		case a.Err != nil:
			c.done <- outcome{err: a.Err}
		case a.Already:
			c.done <- outcome{result: jaygw.Result{Index: jaygw.Index(a.Index), Already: true}}
		default:
			if replaced, ok := r.pending[a.Index]; ok {
				replaced.call.done <- outcome{err: jaygw.ErrNotLeader} // its entry was cut off
			}
			r.pending[a.Index] = placed{term: a.Term, call: c}
		}
	}
}

// answer answers the reads that the state covers.
func (r *Replica) answer(out replicator.Output) {
	for _, read := range out.Reads {
		c := r.reads[read.ID]
		delete(r.reads, read.ID)
		switch {
		case c == nil:
		case read.Err != nil:
			c.done <- outcome{err: read.Err}
		default:
			r.confirmed = append(r.confirmed, confirmed{index: read.Index, call: c})
		}
	}
	waiting := r.confirmed[:0]
	for _, c := range r.confirmed {
		if c.index <= r.applied {
			c.call.done <- outcome{index: r.applied}
		} else {
			waiting = append(waiting, c)
		}
	}
	r.confirmed = waiting
}

// snapshot starts to write a snapshot when enough was applied since the last one.
// The state is copied here and encoded beside the running work.
func (r *Replica) snapshot() {
	if r.saving || r.applied < r.saveAt && r.logBytes < snapshotBytes {
		return
	}
	r.saving, r.logBytes = true, 0
	meta := r.core.Meta(r.applied)
	r.mu.Lock()
	encode := r.machine.Snapshot()
	r.mu.Unlock()
	r.work.Go(func() {
		data, err := encode()
		if err == nil {
			meta.Size = uint64(len(data))
			err = r.journal.SaveSnapshot(replicator.Snapshot{Meta: meta, Data: data})
		}
		select {
		case r.inputs <- event{input: replicator.Input{Compacted: &meta}, saved: err}:
		case <-r.done:
		}
	})
}

// saved goes on after a snapshot was written. Without it the log only grows, so
// an error is no reason to stop, but a failed sync is.
func (r *Replica) saved(e event) error {
	r.saving = false
	if err := e.saved; err != nil {
		r.log.Errorf("control: no snapshot was written, the log stays as it is: %v", err)
		r.saveAt = r.applied + min(snapshotRetry, r.snapshotEvery)
		var failed *journaler.SyncError
		if !errors.As(err, &failed) {
			err = nil
		}
		return err
	}
	r.saveAt = e.input.Compacted.Index + r.snapshotEvery
	return r.journal.Trim(e.input.Compacted.Index)
}
