package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/jaygw/jaygw/internal/wire/converter"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/sirupsen/logrus"
)

const (
	rejoinTimeout  = 900 * time.Millisecond // of a request to join
	rejoinInterval = 300 * time.Millisecond // between two requests
)

// isFromLeader reports whether only a leader sends the message.
func isFromLeader(m *replicator.Message) bool {
	return m.Kind == replicator.Append || m.Kind == replicator.Chunk
}

// rejoin asks a leader to add this replica. The leader has sent a message to an earlier member at
// this address, whose disk was lost, so this replica needs no other way to find its group.
func (r *Replica) rejoin(ctx context.Context, e event) {
	self := r.settings.Self
	isMember := slices.ContainsFunc(r.core.Members(), func(m jaygw.Member) bool { return m.ID == self.ID })
	if isMember || !r.rejoining.CompareAndSwap(false, true) {
		return
	}
	self.Voter, self.Replaces = false, 0
	r.background.Go(func() {
		defer r.rejoining.Store(false)
		result, err := r.requestJoin(ctx, e.address, self)
		r.log.WithFields(logrus.Fields{
			"member": self.ID, "earlier-member": e.earlierMember, "leader": e.address, "result": result.Err(), "error": err,
		}).Info("control: asked the leader of an earlier member to join")
		r.pause(ctx, rejoinInterval)
	})
}

// requestJoin sends a request to join to the replica at an address.
func (r *Replica) requestJoin(ctx context.Context, address string, self jaygw.Member) (jaygw.Result, error) {
	var result jaygw.Result
	ctx, cancel := context.WithTimeout(ctx, rejoinTimeout)
	defer cancel()
	body, err := encoder.Marshal(self)
	if err != nil {
		return result, err
	}
	response, err := messenger.NewDRPCGroupClient(r.dialer.Conn(ctx, address)).Join(ctx, &messenger.CallRequest{
		Group: r.settings.Group, Body: body,
	})
	if err != nil {
		return result, err
	}
	if err := converter.ErrorFromCode(response.Error); err != nil {
		return result, err
	}
	return result, encoder.Unmarshal(response.Body, &result)
}
