package replicator

import "slices"

// campaign requests the votes of the other voters, or their pre-votes as a PreCandidate.
func (c *Core) campaign(role Role) {
	c.resetElectionDeadline()
	if !c.mayCampaign() {
		c.role = Follower
		return
	}
	c.role, c.leader = role, 0
	c.votes = map[uint64]bool{c.config.ID: c.voteState.Verified}
	kind, term := PreVote, c.voteState.Term+1
	if role == Candidate {
		kind = Vote
		c.voteState.Term, c.voteState.Vote = term, c.config.ID
	}
	for _, id := range voters(c.Members()) {
		if id != c.config.ID {
			c.send(Message{Kind: kind, To: id, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: c.transferRequested})
		}
	}
	c.tallyVotes()
}

// transferLeadership requests the responsive voter with the longest log to start an
// election, so that a stop of the leader costs no election time. Until the transfer has
// succeeded or timed out, proposals are rejected, because they would delay it.
func (c *Core) transferLeadership() {
	if c.role != Leader {
		return
	}
	var successor uint64
	for _, id := range voters(c.Members()) {
		p := c.progress[id]
		if p == nil || c.now-p.lastContact >= c.config.Election {
			continue
		}
		if successor == 0 || p.match > c.progress[successor].match {
			successor = id
		}
	}
	if successor != 0 {
		c.transferDeadline = c.now + c.config.Election
		c.send(Message{Kind: StartElection, To: successor, Term: c.voteState.Term})
	}
}

// handleStartElection starts an election at the request of the leader.
func (c *Core) handleStartElection(m *Message) {
	if m.Term == c.voteState.Term && c.role == Follower && c.leader == m.From && c.voteState.Verified {
		c.transferRequested = true
		c.campaign(Candidate)
		c.transferRequested = false
	}
}

// mayCampaign reports whether the replica is a voter, or was one before a change that may
// not be committed: its log may be the only one with that change.
func (c *Core) mayCampaign() bool {
	memberships := c.log.memberships
	last := len(memberships) - 1
	return isVoter(memberships[last].members, c.config.ID) ||
		last > 0 && memberships[last].index > c.commit && isVoter(memberships[last-1].members, c.config.ID)
}

// tallyVotes continues the election once a majority of Verified voters, or every voter, has
// granted its vote. A voter whose disk was lost may have confirmed entries that it no
// longer has, so its vote counts only together with all others; the first election of a
// new group therefore requires all members.
func (c *Core) tallyVotes() {
	ids := voters(c.Members())
	allVoted := !slices.ContainsFunc(ids, func(id uint64) bool { _, ok := c.votes[id]; return !ok })
	if !allVoted && !majority(ids, func(id uint64) bool { return c.votes[id] }) {
		return
	}
	if c.role == PreCandidate {
		c.campaign(Candidate)
	} else {
		c.becomeLeader()
	}
}

func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.config.ID
	c.progress = map[uint64]*progress{}
	c.lastQuorumCheck = c.now
	c.movedTo = 0
	c.readRound, c.queuedReads, c.activeReads = 0, nil, nil
	c.termStart = c.log.last() + 1
	c.append(Entry{Kind: MembersEntry, Members: c.Members()})
}

// leaderAlive reports whether the leader was in contact within the election time. Until
// then votes are not granted, so that a replica that was cut off cannot disrupt the group.
func (c *Core) leaderAlive() bool {
	return c.role == Leader || c.leader != 0 && c.now-c.leaderContact < c.electionTime()
}

// isUpToDate reports whether the log of a candidate is at least as recent as the log of
// this replica.
func (c *Core) isUpToDate(m *Message) bool {
	term := c.log.lastTerm()
	return m.LogTerm > term || m.LogTerm == term && m.Index >= c.log.last()
}

func (c *Core) handlePreVote(m *Message) {
	if m.Term > c.voteState.Term && !c.leaderAlive() && c.isUpToDate(m) {
		c.send(Message{Kind: PreVoteResponse, To: m.From, Term: m.Term, Unverified: !c.voteState.Verified})
		return
	}
	c.send(Message{Kind: PreVoteResponse, To: m.From, Term: c.voteState.Term, Refused: true})
}

func (c *Core) handleVote(m *Message) {
	granted := (c.voteState.Vote == 0 || c.voteState.Vote == m.From) && c.isUpToDate(m)
	if granted {
		c.voteState.Vote = m.From
		c.resetElectionDeadline()
	}
	c.send(Message{Kind: VoteResponse, To: m.From, Term: c.voteState.Term, Refused: !granted, Unverified: !c.voteState.Verified})
}

func (c *Core) handleVoteResponse(m *Message) {
	expected, term := Candidate, c.voteState.Term
	if m.Kind == PreVoteResponse {
		expected, term = PreCandidate, c.voteState.Term+1
	}
	if c.role == expected && m.Term == term && !m.Refused && isVoter(c.Members(), m.From) {
		c.votes[m.From] = !m.Unverified
		c.tallyVotes()
	}
}
