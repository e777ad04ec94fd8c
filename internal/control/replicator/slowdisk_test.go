package replicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

type (
	// slowGroup runs replicas whose disks take a time to store the output of a step. A replica receives
	// and sends nothing in that time.
	slowGroup struct {
		now      time.Duration
		replicas []*slowReplica
	}

	slowReplica struct {
		core   *Core
		delay  time.Duration
		ready  time.Duration // time at which the previous output is stored
		inputs []Input
		output []Message // sent once the output is stored
	}
)

func newSlowGroup(seed uint64, delays ...time.Duration) *slowGroup {
	var members []jaygw.Member
	for i := range delays {
		members = append(members, jaygw.Member{ID: uint64(i + 1), Address: fmt.Sprint(i + 1), Voter: true})
	}
	g := &slowGroup{now: time.Second}
	for i, delay := range delays {
		g.replicas = append(g.replicas, &slowReplica{delay: delay, core: New(Config{
			ID: uint64(i + 1), Bootstrap: members, Seed: seed + uint64(i), Heartbeat: DefaultHeartbeat, Election: DefaultElection,
		}, RecoveredState{})})
	}
	return g
}

// step advances the time by one tick of each replica.
func (g *slowGroup) step() {
	g.now += DefaultHeartbeat / 4
	for _, r := range g.replicas {
		if g.now < r.ready {
			continue
		}
		for _, m := range r.output {
			to := g.replicas[m.To-1]
			to.inputs = append(to.inputs, Input{Message: &m})
		}
		r.output = nil
	}
	for _, r := range g.replicas {
		if g.now < r.ready {
			continue
		}
		out := r.core.Step(g.now, r.inputs...)
		r.inputs, r.output = nil, out.Messages
		if out.VoteState != nil {
			r.ready = g.now + r.delay
		}
		if len(out.Entries) > 0 {
			r.ready = max(r.ready, g.now) + r.delay
		}
	}
}

// leader returns a leader that has committed an entry of its term.
func (g *slowGroup) leader() *slowReplica {
	for _, r := range g.replicas {
		if r.core.Role() == Leader && r.core.commit >= r.core.termStart {
			return r
		}
	}
	return nil
}

// TestNoLeaderElectedOnSlowDisks guards against candidates that give up because storing the votes takes
// longer than they wait for them.
func TestNoLeaderElectedOnSlowDisks(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond} {
		for _, slow := range []int{1, 2, 3} {
			t.Run(fmt.Sprintf("%d of 3 with %s", slow, delay), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(200) {
					delays := make([]time.Duration, 3)
					for i := range slow {
						delays[i] = delay
					}
					g := newSlowGroup(1000*seed, delays...)
					for g.leader() == nil && g.now < time.Minute {
						g.step()
					}
					require.NotNil(t, g.leader(), "seed %d: no leader within a minute", seed)
				}
			})
		}
	}
}
