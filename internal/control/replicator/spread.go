package replicator

import (
	"cmp"
	"slices"

	"github.com/jaygw/jaygw"
)

// steadyElections is the time in election times for which the members must be unchanged, and a learner in
// contact without a gap, before a vote moves for the sake of the spread. It is longer than
// unresponsiveElections, so a replica that fails again and again does not move votes each time.
const steadyElections = 4

// Spread describes how the votes of a group are spread over the failure domains.
func Spread(members []jaygw.Member) jaygw.VoterSpread {
	var s jaygw.VoterSpread
	count := len(voters(members))
	for _, m := range members {
		domain := cmp.Or(m.Domain, m.Name)
		if m.Voter && votesInDomain(members, m) > tolerable(count) && !slices.Contains(s.Critical, domain) {
			s.Critical = append(s.Critical, domain)
		}
	}
	s.Possible = leastExcess(members, count) == 0 || count%2 == 0 && leastExcess(members, count-1) == 0
	return s
}

// tolerable returns the number of voters that may be lost while the rest is a majority.
func tolerable(count int) int { return max(count-1, 0) / 2 }

// sameDomain reports whether two members share a failure domain. A member whose domain is unknown
// shares it with no other.
func sameDomain(a, b jaygw.Member) bool {
	return a.ID == b.ID || a.Domain != "" && a.Domain == b.Domain
}

// votesInDomain returns the number of voters in the failure domain of a member.
func votesInDomain(members []jaygw.Member, of jaygw.Member) int {
	votes := 0
	for _, m := range members {
		if m.Voter && sameDomain(m, of) {
			votes++
		}
	}
	return votes
}

// excessVotes returns how many votes have to move until the loss of any one failure domain leaves a
// majority: the sum of the votes that each domain has beyond the number that may be lost.
func excessVotes(members []jaygw.Member) int {
	excess, limit := 0, tolerable(len(voters(members)))
	for i, m := range members {
		isFirst := !slices.ContainsFunc(members[:i], func(o jaygw.Member) bool { return o.Voter && sameDomain(o, m) })
		if m.Voter && isFirst {
			excess += max(0, votesInDomain(members, m)-limit)
		}
	}
	return excess
}

// leastExcess returns the least excess of any set with the given number of votes among the members.
func leastExcess(members []jaygw.Member, count int) int {
	limit, placed := tolerable(count), 0
	for i, m := range members {
		earlier := 0
		for _, o := range members[:i] {
			if sameDomain(o, m) {
				earlier++
			}
		}
		if earlier < limit {
			placed++
		}
	}
	return max(0, count-placed)
}

// withVote returns a copy of the members in which one has a vote or has none.
func withVote(members []jaygw.Member, id uint64, voter bool) []jaygw.Member {
	members = slices.Clone(members)
	for i := range members {
		if members[i].ID == id {
			members[i].Voter = voter
		}
	}
	return members
}

// bestLearner returns the learner whose vote, in place of that of a voter to be removed if one is given,
// keeps the best spread: the least excess, then the fewest votes in its domain, then the first. It
// returns zero if no learner may vote.
func bestLearner(members []jaygw.Member, removed uint64, mayVote func(jaygw.Member) bool) uint64 {
	var best uint64
	var bestExcess, bestVotes int
	remaining := slices.DeleteFunc(slices.Clone(members), func(m jaygw.Member) bool { return m.ID == removed })
	for _, m := range remaining {
		if m.Voter || !mayVote(m) {
			continue
		}
		excess, votes := excessVotes(withVote(remaining, m.ID, true)), votesInDomain(remaining, m)
		if best == 0 || excess < bestExcess || excess == bestExcess && votes < bestVotes {
			best, bestExcess, bestVotes = m.ID, excess, votes
		}
	}
	return best
}

// crowdedVoter returns the voter in the failure domain with the most votes that gives its vote away first:
// the last one that is not excepted, or zero.
func crowdedVoter(members []jaygw.Member, except uint64) uint64 {
	var found uint64
	most := 0
	for _, m := range members {
		if m.Voter && m.ID != except {
			if votes := votesInDomain(members, m); votes >= most {
				found, most = m.ID, votes
			}
		}
	}
	return found
}

// isFreeLearner reports whether a learner that comes for no particular voter may vote.
func (c *Core) isFreeLearner(m jaygw.Member) bool {
	return !m.Voter && m.Replaces == 0 && c.hasCaughtUp(m.ID)
}

// mayGrow reports whether a learner is the next voter of a group that has the required voters already. One
// more voter than an odd number raises the majority without withstanding one more loss, so two
// learners must have caught up then. The additional votes must not leave a worse spread than the
// present number of votes allows.
func (c *Core) mayGrow(members []jaygw.Member, id uint64) bool {
	if hasPendingReplacement(members) || bestLearner(members, 0, c.isFreeLearner) != id {
		return false
	}
	count := len(voters(members))
	usable := slices.DeleteFunc(slices.Clone(members), func(m jaygw.Member) bool { return !m.Voter && !c.isFreeLearner(m) })
	after := withVote(members, id, true)
	if count%2 == 1 {
		second := bestLearner(after, 0, c.isFreeLearner)
		if second == 0 {
			return false
		}
		after = withVote(after, second, true)
	}
	return excessVotes(after) <= leastExcess(usable, count)
}

// hasPendingReplacement reports whether a voter is to be removed for one that votes already.
func hasPendingReplacement(members []jaygw.Member) bool {
	return slices.ContainsFunc(members, func(m jaygw.Member) bool { return m.Voter && m.Replaces != 0 })
}

// withoutReplaced returns the members once a voter has taken the place of another, or nil if that
// must wait. The other one leaves, unless the vote moved for the sake of the spread: then it stays as a
// learner, or the new voter becomes one again if it has stopped responding meanwhile.
func (c *Core) withoutReplaced(members []jaygw.Member, m jaygw.Member) []jaygw.Member {
	if c.movedTo != m.ID {
		remaining, err := c.withoutMember(members, m.Replaces)
		if err != nil {
			return nil
		}
		return remaining
	}
	demoted := m.Replaces
	if !c.isResponsive(m.ID) && m.ID != c.config.ID {
		demoted = m.ID
	}
	remaining := c.withoutVote(members, demoted)
	if remaining != nil {
		c.movedTo = 0
	}
	return remaining
}

// withoutVote returns the members with a voter as a learner, or nil if the other voters that respond
// would be no majority.
func (c *Core) withoutVote(members []jaygw.Member, id uint64) []jaygw.Member {
	members = withVote(members, id, false)
	for i := range members {
		if members[i].ID == id || members[i].Replaces == id {
			members[i].Replaces = 0
		}
	}
	if !c.quorumActive(members) {
		return nil
	}
	return members
}

// improveSpread moves one vote if the loss of a failure domain would leave no majority, and a learner in
// another domain allows a better spread. The learner votes before the other voter becomes a learner, as in
// each replacement, and no domain has more excess votes meanwhile: the learner's domain stays within
// the number that may be lost. Each move lowers the excess, so moves end. A group with an even number
// of voters can do without one of them, as it withstands no more losses than with one less.
func (c *Core) improveSpread() {
	current := c.log.membership()
	members := current.members
	excess := excessVotes(members)
	if excess == 0 || c.config.RemoveUnresponsiveAfter == 0 || current.index > c.commit || c.commit < c.termStart || c.transferDeadline > c.now {
		return
	}
	unsettled := slices.ContainsFunc(members, func(m jaygw.Member) bool {
		return m.Voter && (m.Replaces != 0 || m.ID != c.config.ID && !c.isResponsive(m.ID))
	})
	steady := steadyElections * c.config.Election
	if unsettled || c.now-c.membersSince < steady {
		return
	}
	crowded := crowdedVoter(members, c.config.ID)
	next := bestLearner(members, crowded, func(m jaygw.Member) bool {
		return c.isFreeLearner(m) && c.now-c.progress[m.ID].steadySince >= steady
	})
	if next != 0 {
		promoted := withVote(members, next, true)
		if excessVotes(promoted) <= excess && excessVotes(withVote(promoted, crowded, false)) < excess && c.quorumActive(promoted) {
			promoted[slices.IndexFunc(promoted, func(m jaygw.Member) bool { return m.ID == next })].Replaces = crowded
			c.movedTo = next
			c.append(Entry{Kind: MembersEntry, Members: promoted})
			return
		}
	}
	count := len(voters(members))
	hasSuccessor := slices.ContainsFunc(members, func(m jaygw.Member) bool { return !m.Voter && c.isResponsive(m.ID) })
	if count%2 == 0 && count > c.requiredVoters() && !hasSuccessor {
		if remaining := c.withoutVote(members, crowded); remaining != nil && excessVotes(remaining) < excess {
			c.append(Entry{Kind: MembersEntry, Members: remaining})
		}
	}
}
