package replicator

import "github.com/jaygw/jaygw"

// requestRead queues a read as the leader, or forwards it to the leader.
func (c *Core) requestRead(id uint64) {
	switch {
	case c.role == Leader:
		c.queueRead(pendingRead{id: id, requester: c.config.ID})
	case c.leader != 0:
		c.send(Message{Kind: ReadRequest, To: c.leader, Read: id})
	default:
		c.output.Reads = append(c.output.Reads, ReadResult{ID: id, Err: jaygw.ErrNotConfirmed})
	}
}

func (c *Core) handleReadRequest(m *Message) {
	r := pendingRead{id: m.Read, requester: m.From}
	if c.role != Leader {
		c.completeRead(r, 0, jaygw.ErrNotConfirmed)
		return
	}
	c.queueRead(r)
}

func (c *Core) handleReadResponse(m *Message) {
	result := ReadResult{ID: m.Read, Index: m.Index}
	if m.Refused {
		result.Err = jaygw.ErrNotConfirmed
	}
	c.output.Reads = append(c.output.Reads, result)
}

func (c *Core) queueRead(r pendingRead) {
	if len(c.queuedReads) >= maxQueuedReads {
		c.completeRead(r, 0, jaygw.ErrNotConfirmed)
		return
	}
	c.queuedReads = append(c.queuedReads, r)
}

// startReadRound starts to confirm the queued reads. Before the first commit of its term
// the leader does not know which entries are committed.
func (c *Core) startReadRound() {
	c.finishReadRound() // a membership change may have made the acknowledgments a majority
	if len(c.queuedReads) == 0 || len(c.activeReads) > 0 || c.commit < c.termStart {
		return
	}
	c.readRound++
	c.activeReads, c.queuedReads, c.readIndex = c.queuedReads, nil, c.commit
	c.finishReadRound()
}

// acknowledgeRound records that a member accepted this replica as the leader after the read
// round had started.
func (c *Core) acknowledgeRound(p *progress, round uint64) {
	p.ackedRound = max(p.ackedRound, round)
	c.finishReadRound()
}

// finishReadRound completes the active reads once a majority has acknowledged their round.
func (c *Core) finishReadRound() {
	if len(c.activeReads) == 0 || !majority(voters(c.Members()), func(id uint64) bool {
		return id == c.config.ID || c.progress[id] != nil && c.progress[id].ackedRound >= c.readRound
	}) {
		return
	}
	for _, r := range c.activeReads {
		c.completeRead(r, c.readIndex, nil)
	}
	c.activeReads = nil
}

// failReads fails all reads when the leader steps down.
func (c *Core) failReads() {
	for _, r := range append(c.activeReads, c.queuedReads...) {
		c.completeRead(r, 0, jaygw.ErrNotConfirmed)
	}
	c.activeReads, c.queuedReads = nil, nil
}

// completeRead returns the result of a read to the replica that requested it.
func (c *Core) completeRead(r pendingRead, index uint64, err error) {
	if r.requester == c.config.ID {
		c.output.Reads = append(c.output.Reads, ReadResult{ID: r.id, Index: index, Err: err})
		return
	}
	c.send(Message{Kind: ReadResponse, To: r.requester, Read: r.id, Index: index, Refused: err != nil})
}
