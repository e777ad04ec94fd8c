package replicator

import (
	"slices"
	"time"

	"github.com/jaygw/jaygw"
)

// progress is the replication progress of another member as seen by the leader.
type progress struct {
	match       uint64           // index up to which the log is known to equal the leader's
	next        uint64           // index of the next entry to send
	since       time.Duration    // time from which the leader has had this progress
	probing     bool             // whether to send one message at a time, until a match is found
	capacity    uint64           // memory for the state that the last response has named; zero for no bound
	verified    bool             // the last response came from a verified replica, see VoteState
	lastContact time.Duration    // time of the last response
	steadySince time.Duration    // time from which responses have come without a gap of an election time
	lastSent    time.Duration    // time of the last append message
	sentCommit  uint64           // last commit index sent
	sentRound   uint64           // last read round sent
	ackedRound  uint64           // last read round acknowledged
	inFlight    []inFlightAppend // append messages without a response, oldest first

	snapshot  *SnapshotMeta // snapshot that is being sent; nil for none
	offset    uint64        // bytes of the snapshot that the member has received
	lastChunk time.Duration // time at which the last chunk was sent
}

// inFlightAppend is an append message with entries that has no response yet.
type inFlightAppend struct {
	last   uint64 // index of its last entry
	bytes  int    // estimated size of its entries
	sentAt time.Duration
}

// stepLeader commits entries, continues membership changes and sends messages. A membership
// change is effective once appended, so progress and commit index are updated again after it.
func (c *Core) stepLeader() {
	c.updateProgress()
	c.advanceCommit()
	c.promoteLearners()
	c.removeUnresponsive()
	c.improveSpread()
	c.updateProgress()
	c.advanceCommit()
	c.startReadRound()
	for _, m := range c.Members() {
		if p := c.progress[m.ID]; p != nil {
			c.replicate(m.ID, p)
		}
	}
	if current := c.log.membership(); current.index <= c.commit && !isVoter(current.members, c.config.ID) {
		c.follow(c.voteState.Term, 0)
	}
}

// updateProgress adds the progress of new members and drops that of removed ones.
func (c *Core) updateProgress() {
	for _, m := range c.Members() {
		if m.ID != c.config.ID && c.progress[m.ID] == nil {
			c.progress[m.ID] = &progress{next: c.termStart, since: c.now, probing: true, lastContact: c.now, steadySince: c.now}
		}
	}
	if index := c.log.membership().index; index != c.membersIndex {
		c.membersIndex, c.membersSince = index, c.now
	}
	for id := range c.progress {
		if !slices.ContainsFunc(c.Members(), func(m jaygw.Member) bool { return m.ID == id }) {
			delete(c.progress, id)
		}
	}
}

// advanceCommit commits the entries that a majority has stored. Only an entry of the
// current term may be committed by counting replicas; it commits all earlier ones.
func (c *Core) advanceCommit() {
	ids := voters(c.Members())
	matches := make([]uint64, 0, len(ids))
	for _, id := range ids {
		if id == c.config.ID {
			matches = append(matches, c.log.last())
		} else {
			matches = append(matches, c.progress[id].match)
		}
	}
	slices.Sort(matches)
	if len(matches) == 0 {
		return
	}
	index := matches[(len(matches)-1)/2]
	if index > c.commit && index >= c.termStart {
		c.commit = index
		c.voteState.Verified = true
	}
}

// replicate sends a member its next entries or snapshot chunk, and a heartbeat if needed.
func (c *Core) replicate(id uint64, p *progress) {
	resend := resendHeartbeats * c.config.Heartbeat
	if p.snapshot != nil {
		if c.now-p.lastChunk >= resend {
			c.startSnapshot(id, p)
		}
	} else {
		if len(p.inFlight) > 0 && c.now-p.inFlight[0].sentAt >= resend {
			p.next, p.probing, p.inFlight = p.match+1, true, nil
		}
		c.sendEntries(id, p)
	}
	if c.now-p.lastSent >= c.config.Heartbeat || p.sentCommit < c.commit && p.match >= c.commit || p.sentRound < c.readRound {
		c.sendAppend(id, p, p.match, nil)
	}
}

// sendEntries sends entries as far as flow control allows.
func (c *Core) sendEntries(id uint64, p *progress) {
	bytes := 0
	for _, f := range p.inFlight {
		bytes += f.bytes
	}
	for p.next <= c.log.last() && bytes < maxInFlightBytes && (!p.probing || len(p.inFlight) == 0) {
		if _, ok := c.log.term(p.next - 1); !ok || p.next <= c.log.base {
			c.startSnapshot(id, p)
			return
		}
		last, size := p.next, 0
		for ; last <= c.log.last() && size < maxAppendBytes; last++ {
			size += len(c.log.entries[last-c.log.base-1].Data) + entryOverhead
		}
		last--
		p.inFlight = append(p.inFlight, inFlightAppend{last: last, bytes: size, sentAt: c.now})
		bytes += size
		c.sendAppend(id, p, p.next-1, slices.Clone(c.log.between(p.next-1, last)))
		p.next = last + 1
	}
}

func (c *Core) sendAppend(id uint64, p *progress, previous uint64, entries []Entry) {
	term, ok := c.log.term(previous)
	if !ok {
		previous, term = 0, 0 // index 0 matches every log
	}
	p.lastSent, p.sentCommit, p.sentRound = c.now, c.commit, c.readRound
	c.send(Message{
		Kind: Append, To: id, Term: c.voteState.Term, Index: previous, LogTerm: term,
		Commit: c.commit, Round: c.readRound, Entries: entries,
	})
}

// startSnapshot starts to send the present snapshot, or sends its last chunk again.
func (c *Core) startSnapshot(id uint64, p *progress) {
	if p.snapshot == nil || p.snapshot.Index != c.log.snapshot.Index {
		meta := c.log.snapshot
		p.snapshot, p.offset, p.inFlight = &meta, 0, nil
	}
	c.sendChunk(id, p)
}

func (c *Core) sendChunk(id uint64, p *progress) {
	p.lastChunk = c.now
	c.send(Message{
		Kind: Chunk, To: id, Term: c.voteState.Term, Meta: p.snapshot, Offset: p.offset,
		Length: min(c.config.Chunk, p.snapshot.Size-p.offset),
	})
}

// recordResponse records contact with a member and returns its progress, or nil if the
// replica is not the leader or the sender is no member.
func (c *Core) recordResponse(m *Message) *progress {
	if c.role != Leader || c.progress[m.From] == nil {
		return nil
	}
	p := c.progress[m.From]
	if c.now-p.lastContact >= c.config.Election {
		p.steadySince = c.now
	}
	p.lastContact = c.now
	return p
}

func (c *Core) handleChunkResponse(m *Message) {
	p := c.recordResponse(m)
	if p == nil || p.snapshot == nil || p.snapshot.Index != m.Index || m.Offset == p.offset || m.Offset > p.snapshot.Size {
		return
	}
	p.offset = m.Offset
	c.sendChunk(m.From, p)
}

func (c *Core) handleAppendResponse(m *Message) {
	p := c.recordResponse(m)
	if p == nil {
		return
	}
	p.verified, p.capacity = !m.Unverified, m.Capacity
	if m.Refused {
		if m.Index <= p.match {
			p.match = 0 // the member lost its disk, or the response is late; safe in both cases
		}
		p.next = max(min(m.Hint+1, m.Index), p.match+1)
		p.probing, p.inFlight = true, nil
		c.acknowledgeRound(p, m.Round)
		return
	}
	if m.Index > p.match && m.Index <= c.log.last() {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
		p.probing = false
	}
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot, p.next = nil, p.match+1
	}
	for len(p.inFlight) > 0 && p.inFlight[0].last <= p.match {
		p.inFlight = p.inFlight[1:]
	}
	c.acknowledgeRound(p, m.Round)
}

// quorumActive reports whether a majority of the voters, including this replica if it is one,
// was in contact within the last election timeout.
func (c *Core) quorumActive(members []jaygw.Member) bool {
	return majority(voters(members), func(id uint64) bool {
		if id == c.config.ID {
			return true
		}
		p := c.progress[id]
		return p != nil && c.now-p.lastContact < c.electionTime()
	})
}
