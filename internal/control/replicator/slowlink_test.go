package replicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// TestCommitTakesLongerThanProposeTimeout shows how long a proposal takes to commit in one term while each message
// between replicas takes a time that has grown slowly. With 1.1 s each way it takes longer than a leader waits (2 s).
func TestCommitTakesLongerThanProposeTimeout(t *testing.T) {
	for _, late := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 1100 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			var members []jaygw.Member
			for id := uint64(1); id <= 3; id++ {
				members = append(members, jaygw.Member{ID: id, Address: fmt.Sprint(id), Voter: true})
			}
			type timed struct {
				at time.Duration
				m  Message
			}
			var cores []*Core
			var network []timed
			for _, m := range members {
				cores = append(cores, New(Config{ID: m.ID, Bootstrap: members, Seed: 5 + m.ID, Heartbeat: DefaultHeartbeat, Election: DefaultElection}, RecoveredState{}))
			}
			delay := time.Millisecond
			now := time.Second
			committed := map[uint64]time.Duration{}
			tick := func(proposeAt int) (index, term uint64) {
				now += DefaultHeartbeat / 4
				var waiting []timed
				inputs := make([][]Input, 3)
				for _, m := range network {
					if m.at <= now {
						inputs[m.m.To-1] = append(inputs[m.m.To-1], Input{Message: &m.m})
					} else {
						waiting = append(waiting, m)
					}
				}
				network = waiting
				for i, c := range cores {
					if i == proposeAt {
						inputs[i] = append(inputs[i], Input{Proposal: &Proposal{ID: 1, Term: c.Term(), Data: []byte("x")}})
					}
					out := c.Step(now, inputs[i]...)
					for _, m := range out.Messages {
						network = append(network, timed{now + delay, m})
					}
					for _, a := range out.Appended {
						if a.Err == nil {
							index, term = a.Index, a.Term
						}
					}
					if c.Role() == Leader {
						for _, e := range out.Apply {
							committed[e.Index] = now
						}
					}
				}
				return index, term
			}
			leader := -1
			for leader < 0 && now < 20*time.Second {
				tick(-1)
				for i, c := range cores {
					if c.Role() == Leader && c.commit >= c.termStart {
						leader = i
					}
				}
			}
			require.GreaterOrEqual(t, leader, 0)
			// The delay grows by a fifth of each second, as with a queue that fills.
			for delay < late {
				delay += DefaultHeartbeat / 4 / 5
				tick(-1)
			}
			for range 100 {
				tick(-1)
			}
			require.Equal(t, Leader, cores[leader].Role())
			proposed := now
			index, term := tick(leader)
			for range 400 {
				tick(-1)
			}
			at, ok := committed[index]
			t.Logf("committed: %v after %s, term %d, then %d", ok, at-proposed, term, cores[leader].Term())
			if late > time.Second {
				require.True(t, ok)
				require.Equal(t, term, cores[leader].Term())
				require.Greater(t, at-proposed, 2*time.Second)
			}
		})
	}
}
