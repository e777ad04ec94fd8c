package replicator

import "github.com/jaygw/jaygw"

func (c *Core) read(id uint64) {
	switch {
	case c.role == Leader:
		c.queueRead(read{id: id, from: c.config.ID})
	case c.leader != 0:
		c.send(Message{Kind: ReadAsk, To: c.leader, Read: id})
	default:
		c.out.Reads = append(c.out.Reads, ReadResult{ID: id, Err: jaygw.ErrNotCurrent})
	}
}

func (c *Core) readAsked(m *Message) {
	r := read{id: m.Read, from: m.From}
	if c.role != Leader {
		c.answerRead(r, 0, jaygw.ErrNotCurrent)
		return
	}
	c.queueRead(r)
}

func (c *Core) readDone(m *Message) {
	result := ReadResult{ID: m.Read, Index: m.Index}
	if m.Refused {
		result.Err = jaygw.ErrNotCurrent
	}
	c.out.Reads = append(c.out.Reads, result)
}

func (c *Core) queueRead(r read) {
	if len(c.waiting) >= maxReads {
		c.answerRead(r, 0, jaygw.ErrNotCurrent)
		return
	}
	c.waiting = append(c.waiting, r)
}

// startRound begins to confirm the reads that wait. Before the first commit of
// its term the leader does not know what is committed.
func (c *Core) startRound() {
	c.finishRound() // a change of the members may have made the answers enough
	if len(c.waiting) == 0 || len(c.active) > 0 || c.commit < c.first {
		return
	}
	c.round++
	c.active, c.waiting, c.readAt = c.waiting, nil, c.commit
	c.finishRound()
}

// acknowledged notes that a member took this replica for the leader after the
// round had begun.
func (c *Core) acknowledged(p *progress, round uint64) {
	p.acked = max(p.acked, round)
	c.finishRound()
}

func (c *Core) finishRound() {
	if len(c.active) == 0 || !majority(voters(c.Members()), func(id uint64) bool {
		return id == c.config.ID || c.progress[id] != nil && c.progress[id].acked >= c.round
	}) {
		return
	}
	for _, r := range c.active {
		c.answerRead(r, c.readAt, nil)
	}
	c.active = nil
}

func (c *Core) failReads() {
	for _, r := range append(c.active, c.waiting...) {
		c.answerRead(r, 0, jaygw.ErrNotCurrent)
	}
	c.active, c.waiting = nil, nil
}

func (c *Core) answerRead(r read, index uint64, err error) {
	if r.from == c.config.ID {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: r.id, Index: index, Err: err})
		return
	}
	c.send(Message{Kind: ReadDone, To: r.from, Read: r.id, Index: index, Refused: err != nil})
}
