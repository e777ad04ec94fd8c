package replicator

import (
	"fmt"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
)

// formationLimit is the time without contact from which on a voter does not hold up a new group that
// removes no unresponsive voters.
const formationLimit = 6 * time.Second

// handleChange appends a membership change, or refuses it.
func (c *Core) handleChange(change *Change) {
	result := AppendResult{ID: change.ID}
	members, err := c.membersAfter(change)
	current := c.log.membership()
	switch {
	case err != nil:
		result.Err = err
	case members == nil:
		result.AlreadyApplied, result.Index = true, current.index
		result.Term, _ = c.log.term(current.index)
	default:
		e := c.append(Entry{Kind: MembersEntry, Time: change.WallTime, Members: members})
		result.Index, result.Term = e.Index, e.Term
	}
	c.output.Appended = append(c.output.Appended, result)
}

// membersAfter returns the members after a change, or nil if they are already as requested.
func (c *Core) membersAfter(change *Change) ([]jaygw.Member, error) {
	if c.role != Leader {
		return nil, jaygw.ErrNotLeader
	}
	current := c.log.membership()
	members := slices.Clone(current.members)
	var err error
	switch {
	case change.Add != nil:
		add := *change.Add
		if add.Replaces == 0 && change.ReplaceUnresponsive {
			add.Replaces = c.longestUnresponsive(unresponsiveElections * c.config.Election)
		}
		members, err = withMember(members, add)
	case change.Remove != 0:
		members, err = c.withoutMember(members, change.Remove)
	default:
		members, err = c.withoutLeaving(members, change.Leave)
	}
	if err != nil || members == nil {
		return nil, err
	}
	if current.index > c.commit || c.commit < c.termStart {
		return nil, refuse(jaygw.RefusedState, "an earlier change of the members is not committed yet; try again")
	}
	return members, nil
}

func refuse(code jaygw.RefusalCode, format string, args ...any) error {
	return &jaygw.Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// withMember returns the members with a new learner, or nil if it is already a member. One that is a
// member, but with another failure domain or none, as the initial members, gets its domain recorded.
func withMember(members []jaygw.Member, m jaygw.Member) ([]jaygw.Member, error) {
	if m.ID == 0 || m.Address == "" {
		return nil, refuse(jaygw.RefusedInvalid, "a member needs an id and an address")
	}
	if i := slices.IndexFunc(members, func(other jaygw.Member) bool { return other.ID == m.ID && other.Address == m.Address }); i >= 0 {
		if m.Domain == "" || m.Domain == members[i].Domain {
			return nil, nil
		}
		members[i].Domain = m.Domain
		return members, nil
	}
	members, takesAddress := takeAddress(members, &m)
	replacesKnown := m.Replaces == 0
	for _, other := range members {
		switch {
		case other.ID == m.ID:
			return nil, refuse(jaygw.RefusedConflict, "member %d exists with address %s; a new member needs a new id", other.ID, other.Address)
		case other.ID == m.Replaces:
			replacesKnown = true
		case other.Address == m.Address && !takesAddress:
			return nil, refuse(jaygw.RefusedConflict, "address %s belongs to member %d; name it as the one to replace", m.Address, other.ID)
		}
	}
	if !replacesKnown {
		return nil, refuse(jaygw.RefusedUnknown, "there is no member %d to replace", m.Replaces)
	}
	m.Voter = false
	return append(members, m), nil
}

// takeAddress makes a new member take over its address if it replaces a member there: it reports that,
// makes the new one replace the latest voter there, and drops the learners there. None of those can
// return, as each new member at an address has an empty disk and a new id.
func takeAddress(members []jaygw.Member, m *jaygw.Member) ([]jaygw.Member, bool) {
	i := slices.IndexFunc(members, func(other jaygw.Member) bool { return other.ID == m.Replaces && other.Address == m.Address })
	if i < 0 {
		return members, false
	}
	if !members[i].Voter {
		m.Replaces = members[i].Replaces
	}
	for _, other := range members {
		if other.Voter && other.Address == m.Address {
			m.Replaces = other.ID
		}
	}
	return slices.DeleteFunc(members, func(other jaygw.Member) bool { return !other.Voter && other.Address == m.Address }), true
}

// withoutMember returns the members without the given one, or nil if it is no member.
func (c *Core) withoutMember(members []jaygw.Member, id uint64) ([]jaygw.Member, error) {
	remaining := slices.DeleteFunc(slices.Clone(members), func(m jaygw.Member) bool { return m.ID == id })
	if len(remaining) == len(members) {
		return nil, nil
	}
	if len(voters(remaining)) == 0 || !c.quorumActive(remaining) {
		return nil, refuse(jaygw.RefusedState, "without member %d the voters that respond would be no majority", id)
	}
	for i := range remaining {
		if remaining[i].Replaces == id {
			remaining[i].Replaces = 0
		}
	}
	return remaining, nil
}

// withoutLeaving returns the members once a member is about to stop, or nil if they stay as they are,
// which is then committed. A learner that takes its place becomes a voter before the member is removed:
// any majority before a change must have a voter in common with any majority after it.
func (c *Core) withoutLeaving(members []jaygw.Member, id uint64) ([]jaygw.Member, error) {
	if c.log.membership().index > c.commit || c.commit < c.termStart {
		return nil, refuse(jaygw.RefusedState, "the present members are not committed yet; try again")
	}
	if !isVoter(members, id) {
		return c.withoutMember(members, id)
	}
	successor := bestLearner(members, id, func(m jaygw.Member) bool {
		return (m.Replaces == 0 || m.Replaces == id) && c.hasCaughtUp(m.ID)
	})
	for i, m := range members {
		switch {
		case m.Replaces == id && m.Voter:
			return nil, refuse(jaygw.RefusedState, "member %d is about to be replaced by member %d; try again", id, m.ID)
		case m.ID == successor:
			members[i].Voter, members[i].Replaces = true, id
			return members, nil
		}
	}
	if slices.ContainsFunc(members, func(m jaygw.Member) bool { return !m.Voter && c.isResponsive(m.ID) }) {
		return nil, refuse(jaygw.RefusedState, "the learner that may replace member %d has not caught up; try again", id)
	}
	if len(voters(members)) <= c.requiredVoters() {
		return nil, nil
	}
	return c.withoutMember(members, id)
}

// isResponsive reports whether a member other than this replica has responded within the last election time.
func (c *Core) isResponsive(id uint64) bool {
	p := c.progress[id]
	return p != nil && c.now-p.lastContact < c.config.Election
}

// hasCaughtUp reports whether a responsive member is verified and has every committed entry.
func (c *Core) hasCaughtUp(id uint64) bool {
	return c.isResponsive(id) && c.progress[id].match >= c.commit && c.progress[id].verified
}

// isFormed reports whether the group accepts commands. A new one does once all its voters are verified:
// with a command that a mere majority has stored, the loss of a disk could leave too few verified voters for
// an election. A voter without contact for as long as it takes to remove one counts as lost.
func (c *Core) isFormed() bool {
	limit := c.config.RemoveUnresponsiveAfter
	if limit == 0 {
		limit = formationLimit
	}
	return c.log.hasCommand || c.log.snapshot.Index > 0 || !slices.ContainsFunc(voters(c.Members()), func(id uint64) bool {
		if id == c.config.ID {
			return !c.voteState.Verified
		}
		p := c.progress[id]
		return p == nil || !p.verified && c.now-p.lastContact < limit
	})
}

// longestUnresponsive returns the voter that has not responded for the longest time, if that
// is at least the minimum, or zero.
func (c *Core) longestUnresponsive(minimum time.Duration) uint64 {
	var found uint64
	for _, id := range voters(c.Members()) {
		p := c.progress[id]
		if p != nil && c.now-p.lastContact >= minimum && (found == 0 || p.lastContact < c.progress[found].lastContact) {
			found = id
		}
	}
	return found
}

// lostVoter returns the voter that a member without Replaces comes for, or zero if all are
// responsive. The answer is known once each voter has responded after the member joined, or one has
// been unresponsive for long enough: a lost voter beside its successor would let the group
// withstand one loss less.
func (c *Core) lostVoter(joined time.Duration) (id uint64, known bool) {
	if id = c.longestUnresponsive(unresponsiveElections * c.config.Election); id != 0 {
		return id, true
	}
	return 0, !slices.ContainsFunc(voters(c.Members()), func(id uint64) bool {
		p := c.progress[id]
		return p != nil && p.lastContact <= joined
	})
}

// RequiredVoters returns the number of voters that withstands a number of losses.
func RequiredVoters(losses int) int { return max(minVoters, 2*losses+1) }

func (c *Core) requiredVoters() int { return RequiredVoters(c.config.ToleratedLosses) }

// removeUnresponsive removes a member that has been without contact for the configured time.
// A lost voter that stays still counts towards the majority, so the next loss could stop
// the group.
func (c *Core) removeUnresponsive() {
	current := c.log.membership()
	if c.config.RemoveUnresponsiveAfter == 0 || current.index > c.commit || c.commit < c.termStart {
		return
	}
	id := uint64(0)
	if len(voters(current.members)) > c.requiredVoters() {
		id = c.longestUnresponsive(c.config.RemoveUnresponsiveAfter)
	}
	for _, m := range current.members {
		if p := c.progress[m.ID]; !m.Voter && p != nil && c.now-p.lastContact >= c.config.RemoveUnresponsiveAfter {
			id = m.ID
		}
	}
	if id != 0 {
		if remaining, err := c.withoutMember(current.members, id); err == nil && remaining != nil {
			c.append(Entry{Kind: MembersEntry, Members: remaining})
		}
	}
}

// placeFor returns the voter that a learner without Replaces replaces as the next voter, or zero if it
// replaces none, and false if the learner waits. Of several learners the one that keeps the best spread votes.
func (c *Core) placeFor(members []jaygw.Member, m jaygw.Member) (lost uint64, ok bool) {
	if c.config.RemoveUnresponsiveAfter == 0 || len(voters(members)) < c.requiredVoters() {
		return 0, bestLearner(members, 0, c.isFreeLearner) == m.ID
	}
	lost, known := c.lostVoter(c.progress[m.ID].since)
	if lost == 0 {
		return 0, known && c.mayGrow(members, m.ID)
	}
	return lost, bestLearner(members, lost, c.isFreeLearner) == m.ID
}

// promoteLearners makes a learner that has caught up a voter, and then removes the member
// that it replaces. One at the learner's address has lost its disk, so it is removed first: as a
// voter beside its successor it would raise the majority.
func (c *Core) promoteLearners() {
	current := c.log.membership()
	if current.index > c.commit || c.commit < c.termStart {
		return
	}
	for _, m := range current.members {
		if m.Voter && m.Replaces != 0 {
			if remaining := c.withoutReplaced(current.members, m); remaining != nil {
				c.append(Entry{Kind: MembersEntry, Members: remaining})
				return
			}
		}
	}
	for i, m := range current.members {
		if m.Voter || !c.hasCaughtUp(m.ID) {
			continue
		}
		if m.Replaces != 0 && slices.ContainsFunc(current.members, func(other jaygw.Member) bool {
			return other.ID == m.Replaces && other.Address == m.Address && other.Voter
		}) {
			if remaining, err := c.withoutMember(current.members, m.Replaces); err == nil && remaining != nil {
				c.append(Entry{Kind: MembersEntry, Members: remaining})
				return
			}
			continue
		}
		members := withVote(current.members, m.ID, true)
		if m.Replaces == 0 {
			lost, ok := c.placeFor(current.members, m)
			if !ok {
				continue
			}
			members[i].Replaces = lost
		}
		if c.quorumActive(members) {
			c.append(Entry{Kind: MembersEntry, Members: members})
			return
		}
	}
}
