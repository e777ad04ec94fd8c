package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/stretchr/testify/require"
)

// termReplica applies proposals, and stops leading its term before it gets the first one.
type termReplica struct {
	jaygw.Control
	machine *applier.Machine
	terms   []uint64
}

func (r *termReplica) Read(fn func(*applier.Machine)) { fn(r.machine) }

func (r *termReplica) Propose(ctx context.Context, _ jaygw.Command) (jaygw.Result, error) {
	r.terms = append(r.terms, jaygw.TermOf(ctx))
	return jaygw.Result{}, jaygw.ErrNotLeader
}

// TestFormerLeaderForwardsAnnouncement guards against an announcement of an earlier incarnation that a former leader
// forwards to the next one, which has recorded a later incarnation: the live agent is then refused for good.
func TestFormerLeaderForwardsAnnouncement(t *testing.T) {
	replica := &termReplica{machine: applier.New("g")}
	d := New()
	d.SetReplica(replica)
	d.SetLeadership(7, true, time.Now())
	vm := jaygw.VM{Name: "vm-1", Domain: "north", Size: jaygw.Resources{CPU: jaygw.Core, Memory: jaygw.GB}, Incarnation: 1}
	_, err := d.Renew(t.Context(), jaygw.Renewal{VM: "vm-1", Incarnation: 1, Announce: &vm})
	require.ErrorIs(t, err, jaygw.ErrNotLeader)
	require.Equal(t, []uint64{7}, replica.terms)
}
