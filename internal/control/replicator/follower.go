package replicator

// receive handles a message from another replica.
func (c *Core) receive(m *Message) {
	switch m.Kind {
	case PreVote:
		c.handlePreVote(m)
		return
	case ReadRequest:
		c.handleReadRequest(m)
		return
	case ReadResponse:
		c.handleReadResponse(m)
		return
	case PreVoteResponse:
		if !m.Refused {
			c.handleVoteResponse(m)
			return
		}
	}
	switch {
	case m.Term > c.voteState.Term:
		if m.Kind == Vote && c.leaderAlive() && !m.Transfer {
			return
		}
		c.follow(m.Term, 0)
	case m.Term < c.voteState.Term:
		// The response informs a leader or candidate of an older term of the current one.
		switch m.Kind {
		case Append, Chunk:
			c.send(Message{Kind: AppendResponse, To: m.From, Term: c.voteState.Term, Refused: true})
		case Vote:
			c.send(Message{Kind: VoteResponse, To: m.From, Term: c.voteState.Term, Refused: true})
		}
		return
	}
	switch m.Kind {
	case Vote:
		c.handleVote(m)
	case VoteResponse:
		c.handleVoteResponse(m)
	case Append, Chunk:
		c.receiveFromLeader(m)
	case AppendResponse:
		c.handleAppendResponse(m)
	case ChunkResponse:
		c.handleChunkResponse(m)
	case StartElection:
		c.handleStartElection(m)
	}
}

// receiveFromLeader handles a message from the leader of the current term.
func (c *Core) receiveFromLeader(m *Message) {
	if c.role == Leader {
		c.fault("members %d and %d are both leader of term %d", c.config.ID, m.From, m.Term)
		return
	}
	c.follow(m.Term, m.From)
	c.leaderContact = c.now
	if !c.voteState.Verified && c.voteState.Vote == 0 {
		c.voteState.Vote = m.From // a vote in this term may have been lost with the disk; grant no other
	}
	if m.Kind == Chunk {
		c.handleChunk(m)
		return
	}
	c.handleAppend(m)
}

func (c *Core) handleAppend(m *Message) {
	response := Message{Kind: AppendResponse, To: m.From, Term: c.voteState.Term, Round: m.Round}
	previous, entries := m.Index, m.Entries
	if previous < c.commit {
		// Committed entries are equal in the leader's log.
		skip := min(c.commit-previous, uint64(len(entries)))
		previous, entries = previous+skip, entries[skip:]
		if len(entries) == 0 {
			response.Index = c.commit
			c.adoptCommit(m, c.commit)
			c.send(response)
			return
		}
	} else if term, ok := c.log.term(previous); !ok || term != m.LogTerm {
		response.Refused, response.Index, response.Hint = true, previous, c.conflictHint(previous)
		c.send(response)
		return
	}
	for _, e := range entries {
		if term, ok := c.log.term(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= c.commit {
			c.fault("entry %d of term %d conflicts with the committed entry at the same index", e.Index, e.Term)
			return
		}
		c.log.truncateAndAppend(e)
		c.stored = min(c.stored, e.Index-1)
		c.output.Entries = append(c.output.Entries, e)
	}
	response.Index = previous + uint64(len(entries))
	c.adoptCommit(m, response.Index)
	c.send(response)
}

// conflictHint returns the last index at which the log may match the leader's. All entries
// of the conflicting term are skipped.
func (c *Core) conflictHint(previous uint64) uint64 {
	if previous > c.log.last() {
		return c.log.last()
	}
	index := previous
	term, _ := c.log.term(index)
	for index > c.commit && index > c.log.base {
		if t, _ := c.log.term(index); t != term {
			break
		}
		index--
	}
	return max(index, c.commit)
}

// adoptCommit adopts the leader's commit index as far as the log matches.
func (c *Core) adoptCommit(m *Message, matched uint64) {
	c.commit = max(c.commit, min(m.Commit, matched))
	if c.voteState.Verified || m.Commit == 0 || matched < m.Commit || c.stored < m.Commit {
		return
	}
	// The leader has every entry that was committed in earlier terms, and knows which
	// entries of its own term are committed. So this log has every committed entry if it
	// has the last one and that one is of the leader's term. The vote state is stored before
	// the entries of a step, so it must not promise entries of the same step.
	if term, ok := c.log.term(m.Commit); ok && term == m.Term {
		c.voteState.Verified = true
	}
}

// handleChunk assembles a snapshot from chunks and installs it once it is complete.
func (c *Core) handleChunk(m *Message) {
	if m.Meta == nil || m.Meta.Size > maxSnapshotBytes {
		return
	}
	if m.Meta.Index <= c.commit {
		c.incomingSnapshot = nil
		c.send(Message{Kind: AppendResponse, To: m.From, Term: c.voteState.Term, Index: c.commit})
		return
	}
	if c.incomingSnapshot == nil || c.incomingSnapshot.Meta.Index != m.Meta.Index || c.incomingSnapshot.Meta.Term != m.Meta.Term {
		c.incomingSnapshot = &Snapshot{Meta: *m.Meta}
	}
	in := c.incomingSnapshot
	if m.Offset == uint64(len(in.Data)) && m.Offset+uint64(len(m.Data)) <= in.Meta.Size {
		in.Data = append(in.Data, m.Data...)
	}
	if uint64(len(in.Data)) < in.Meta.Size {
		c.send(Message{Kind: ChunkResponse, To: m.From, Term: c.voteState.Term, Index: in.Meta.Index, Offset: uint64(len(in.Data))})
		return
	}
	c.incomingSnapshot = nil
	c.installSnapshot(*in)
	c.send(Message{Kind: AppendResponse, To: m.From, Term: c.voteState.Term, Index: c.commit})
}

func (c *Core) installSnapshot(s Snapshot) {
	c.commit = s.Meta.Index
	if term, ok := c.log.term(s.Meta.Index); ok && term == s.Meta.Term {
		return // the log already has every entry up to the snapshot
	}
	// The snapshot also replaces what earlier messages of this step appended or committed.
	c.output.Entries, c.output.Apply = nil, nil
	c.log.reset(s.Meta)
	c.stored = 0
	c.emitted = s.Meta.Index
	c.output.Install = &s
}
