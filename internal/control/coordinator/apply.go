package coordinator

import (
	"errors"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/journaler"
	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// apply restores a received snapshot, applies committed entries and completes the calls of
// their proposals.
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
	r.nextSnapshot = r.applied + r.snapshotEntries
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
		p, isPending := r.pending[e.Index]
		delete(r.pending, e.Index)
		switch {
		case e.Kind == replicator.MembersEntry: // an empty command that only advances index and time
			r.log.WithFields(logrus.Fields{
				"index": e.Index, "term": e.Term, "members": memberAddresses(e.Members),
			}).Info("control: members changed")
		case isPending && p.term == e.Term:
			command = p.call.command
		default:
			if err := encoder.Unmarshal(e.Data, &command); err != nil {
				return eris.Wrapf(err, "decode log entry %d", e.Index)
			}
		}
		command.Time = e.Time
		result := r.machine.Apply(jaygw.Index(e.Index), command)
		r.applied = e.Index
		r.logBytes += len(e.Data)
		if !isPending {
			continue
		}
		if p.term == e.Term {
			p.call.done <- outcome{result: result}
		} else {
			p.call.done <- outcome{err: jaygw.ErrNotLeader} // an entry of another term took this index
		}
	}
	return nil
}

// recordAppended registers the log index of each appended proposal and completes the calls of
// proposals that were not appended.
func (r *Replica) recordAppended(appended []replicator.AppendResult) {
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
		case a.AlreadyApplied:
			c.done <- outcome{result: jaygw.Result{Index: jaygw.Index(a.Index), AlreadyApplied: true}}
		default:
			if overwritten, ok := r.pending[a.Index]; ok {
				overwritten.call.done <- outcome{err: jaygw.ErrNotLeader} // a new leader truncated its entry
			}
			r.pending[a.Index] = pendingProposal{term: a.Term, call: c}
		}
	}
}

// completeReads completes the confirmed reads whose index is applied.
func (r *Replica) completeReads(out replicator.Output) {
	for _, read := range out.Reads {
		c := r.reads[read.ID]
		delete(r.reads, read.ID)
		switch {
		case c == nil:
		case read.Err != nil:
			c.done <- outcome{err: read.Err}
		default:
			r.confirmedReads = append(r.confirmedReads, confirmedRead{index: read.Index, call: c})
		}
	}
	notApplied := r.confirmedReads[:0]
	for _, c := range r.confirmedReads {
		if c.index <= r.applied {
			c.call.done <- outcome{index: r.applied}
		} else {
			notApplied = append(notApplied, c)
		}
	}
	r.confirmedReads = notApplied
}

// startSnapshot starts writing a snapshot once enough entries were applied since the last one.
// It copies the state and encodes the copy in the background.
func (r *Replica) startSnapshot() {
	if r.savingSnapshot || r.applied < r.nextSnapshot && r.logBytes < r.snapshotBytes {
		return
	}
	r.savingSnapshot, r.logBytes = true, 0
	meta := r.core.Meta(r.applied)
	r.mu.Lock()
	encode := r.machine.Snapshot()
	r.mu.Unlock()
	r.background.Go(func() {
		data, err := encode()
		if err == nil {
			meta.Size = uint64(len(data))
			err = r.journal.SaveSnapshot(replicator.Snapshot{Meta: meta, Data: data})
		}
		select {
		case r.inputs <- event{input: replicator.Input{Compacted: &meta}, snapshotErr: err}:
		case <-r.done:
		}
	})
}

// finishSnapshot trims the log after a snapshot was written. A failed snapshot only lets the log
// grow, so it does not stop the replica unless a sync failed.
func (r *Replica) finishSnapshot(e event) error {
	r.savingSnapshot = false
	if err := e.snapshotErr; err != nil {
		r.log.Errorf("control: cannot write a snapshot, the log is not trimmed: %v", err)
		r.nextSnapshot = r.applied + min(snapshotRetryEntries, r.snapshotEntries)
		var syncErr *journaler.SyncError
		if !errors.As(err, &syncErr) {
			err = nil
		}
		return err
	}
	r.nextSnapshot = e.input.Compacted.Index + r.snapshotEntries
	return r.journal.Trim(e.input.Compacted.Index)
}
