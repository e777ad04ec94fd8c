package coordinator

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

type (
	// peer queues consensus messages for another replica, which one stream sends.
	peer struct {
		address  string
		messages chan replicator.Message
		cancel   context.CancelFunc
		done     chan struct{}
	}

	// outgoing is the stream on which a peer's messages are sent.
	outgoing struct {
		messenger.DRPCGroup_StepClient
		conn     *dialer.Conn
		cancel   context.CancelFunc
		openedAt time.Time
	}

	// envelope is the body of a Step message. The sender's address lets a new member respond
	// before it knows the members.
	envelope struct {
		Address string             `cbor:"1,keyasint"`
		Message replicator.Message `cbor:"2,keyasint"`
	}
)

// queueMessages queues messages for their receivers. It drops a message whose queue is full: the
// consensus protocol tolerates lost messages.
func (r *Replica) queueMessages(ctx context.Context, messages []replicator.Message) {
	for _, m := range messages {
		p := r.peerFor(ctx, m.To)
		if p == nil {
			continue
		}
		select {
		case p.messages <- m:
		default:
		}
	}
}

// peerFor returns the peer with an id, or nil if its address is unknown. A changed address
// replaces the peer.
func (r *Replica) peerFor(ctx context.Context, id uint64) *peer {
	address := r.addresses[id]
	for _, m := range r.core.Members() {
		if m.ID == id {
			address = m.Address
		}
	}
	p := r.peers[id]
	if p != nil && p.address == address || address == "" {
		return p
	}
	if p != nil {
		p.cancel()
	}
	p = &peer{address: address, messages: make(chan replicator.Message, peerQueueSize), done: make(chan struct{})}
	ctx, p.cancel = context.WithCancel(ctx)
	r.peers[id] = p
	go r.runPeer(ctx, p)
	return p
}

// runPeer sends a peer's messages until the context ends.
func (r *Replica) runPeer(ctx context.Context, p *peer) {
	defer close(p.done)
	var stream *outgoing
	defer func() { stream.abandon() }()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.messages:
			sent := r.sendMessage(ctx, p, &stream, m)
			if !sent && stream == nil { // the peer may have closed an idle stream
				sent = r.sendMessage(ctx, p, &stream, m)
			}
			if !sent {
				r.pause(ctx, peerRetryInterval)
			}
			if stream != nil && time.Since(stream.openedAt) >= streamLifetime {
				ended := stream
				stream = nil
				r.background.Go(func() { ended.finish(ctx) })
			}
		}
	}
}

// sendMessage sends a message on the peer's stream, which it opens if necessary, and reports
// whether the message needs no further attempt.
func (r *Replica) sendMessage(ctx context.Context, p *peer, stream **outgoing, m replicator.Message) bool {
	if m.Kind == replicator.Chunk {
		data, err := r.journal.ReadSnapshot(m.Meta.Index, m.Offset, m.Length)
		if err != nil {
			return true // a newer snapshot has replaced this one
		}
		m.Data = data
	}
	body, err := encoder.Marshal(envelope{Address: r.settings.Self.Address, Message: m})
	if err != nil {
		return true
	}
	if *stream == nil {
		if *stream, err = r.openStream(ctx, p.address); err != nil {
			return false
		}
	}
	err = (*stream).Send(&messenger.StepMessage{Group: r.settings.Group, From: m.From, To: m.To, Body: body})
	if err != nil {
		(*stream).abandon()
		*stream = nil
	}
	return err == nil
}

func (r *Replica) openStream(ctx context.Context, address string) (*outgoing, error) {
	conn := r.dialer.Open(ctx, address)
	ctx, cancel := context.WithCancel(ctx)
	stream, err := messenger.NewDRPCGroupClient(conn).Step(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	return &outgoing{DRPCGroup_StepClient: stream, conn: conn, cancel: cancel, openedAt: time.Now()}, nil
}

// abandon ends the stream without the receiver's response.
func (o *outgoing) abandon() {
	if o != nil {
		o.Close()
		o.cancel()
	}
}

// finish ends the stream and waits for the receiver's response, which shows that the connection has forwarded the
// messages. The receiver responds to nothing else on it, and sending doesn't fail while the connection is silent.
func (o *outgoing) finish(ctx context.Context) {
	timer := time.AfterFunc(streamEndTimeout, o.cancel)
	defer timer.Stop()
	if _, err := o.CloseAndRecv(); err != nil && ctx.Err() == nil {
		o.conn.Distrust()
	}
	o.abandon()
}

// Receive handles the messages of another replica's stream until the stream ends. A message that
// cannot be decoded or is addressed to another replica ends it with an error.
func (r *Replica) Receive(stream messenger.DRPCGroup_StepStream) error {
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&messenger.StepDone{})
		}
		if err != nil {
			return err
		}
		if m.Group != r.settings.Group {
			return jaygw.ErrWrongGroup
		}
		var e envelope
		if err := encoder.Unmarshal(m.Body, &e); err != nil || m.From != e.Message.From {
			return jaygw.ErrInvalidMessage
		}
		if to := e.Message.To; to != r.settings.Self.ID {
			if isFromLeader(&e.Message) && e.Address != "" {
				if err := r.enqueue(stream.Context(), event{earlierMember: to, address: e.Address}); err != nil {
					return err
				}
			}
			return jaygw.ErrInvalidMessage
		}
		if err := r.enqueue(stream.Context(), event{input: replicator.Input{Message: &e.Message}, address: e.Address}); err != nil {
			return err
		}
	}
}
