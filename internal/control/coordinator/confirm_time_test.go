package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/control/coordinator"
	"github.com/jaygw/jaygw/internal/control/journaler"
	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/stretchr/testify/require"
)

type (
	// messageStream delivers messages from member 2 to member 1 without a network.
	messageStream struct {
		messenger.DRPCGroup_StepStream
		ctx      context.Context
		messages chan replicator.Message
	}

	// stallingDisk is a disk whose syncs wait while it is stalled.
	stallingDisk struct {
		journaler.Disk
		stalled chan struct{} // nil, or closed once syncs may go on
	}

	stallingFile struct {
		journaler.File
		disk *stallingDisk
	}
)

func (s *messageStream) Context() context.Context { return s.ctx }

func (s *messageStream) Recv() (*messenger.StepMessage, error) {
	select {
	case m := <-s.messages:
		m.From, m.To = 2, 1
		body, err := encoder.Marshal(map[int]any{1: "127.0.0.1:1", 2: m})
		return &messenger.StepMessage{Group: "main", From: m.From, To: m.To, Body: body}, err
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (d *stallingDisk) Create(name string) (journaler.File, error) {
	file, err := d.Disk.Create(name)
	return stallingFile{file, d}, err
}

func (d *stallingDisk) Open(name string) (journaler.File, error) {
	file, err := d.Disk.Open(name)
	return stallingFile{file, d}, err
}

func (f stallingFile) Sync() error {
	if f.disk.stalled != nil {
		<-f.disk.stalled
	}
	return f.File.Sync()
}

// TestReadOutlastsItsContext guards against a read that waits for anything longer than for its context. The time is
// virtual, so that the load of the machine adds nothing to it.
func TestReadOutlastsItsContext(t *testing.T) {
	const (
		allowed  = 700 * time.Millisecond
		flooding = 10_000 // messages, more than the replica queues
	)
	accept := replicator.Message{Kind: replicator.PreVoteResponse, Term: 1}
	for name, test := range map[string]struct {
		join    bool
		receive []replicator.Message // before the read
		lead    bool
		stall   bool
		flood   bool
	}{
		"outsider":                   {join: true},
		"candidate":                  {},
		"leader without quorum":      {receive: []replicator.Message{accept, {Kind: replicator.VoteResponse, Term: 1}}, lead: true},
		"follower of silent leader":  {receive: []replicator.Message{{Kind: replicator.Append, Term: 5}}},
		"stalled disk":               {stall: true},
		"stalled disk, queue filled": {stall: true, flood: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				folder, err := journaler.NewFolder(t.TempDir())
				require.NoError(t, err)
				disk := &stallingDisk{Disk: folder}
				settings := coordinator.Settings{Group: "main", Self: jaygw.Member{ID: 1, Address: "127.0.0.1:1"}, Join: test.join}
				for id := uint64(1); id <= 2 && !test.join; id++ {
					settings.Members = append(settings.Members, jaygw.Member{ID: id, Address: "127.0.0.1:1", Voter: true})
				}
				r, err := coordinator.Open(settings, applier.New("main"), coordinator.WithDisk(disk), coordinator.WithLogger(discardLogger()))
				require.NoError(t, err)
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 2)
				go func() { ended <- r.Run(ctx) }()
				stream := &messageStream{ctx: ctx, messages: make(chan replicator.Message, flooding)}
				go func() { ended <- r.Receive(stream) }()
				if test.lead { // the votes are accepted only while they are awaited
					for r.Status().Term == 0 {
						stream.messages <- accept
						time.Sleep(time.Millisecond)
					}
				}
				for _, m := range test.receive {
					stream.messages <- m
				}
				synctest.Wait()
				require.Equal(t, test.lead, r.Status().Leader == 1)
				if test.stall {
					disk.stalled = make(chan struct{})
					stream.messages <- replicator.Message{Kind: replicator.Append, Term: 5}
				}
				for range flooding / 2 {
					if test.flood {
						stream.messages <- replicator.Message{Kind: replicator.ReadResponse}
					}
				}
				synctest.Wait()
				read, cancelRead := context.WithTimeout(ctx, allowed)
				defer cancelRead()
				started := time.Now()
				_, err = r.Confirm(read)
				require.ErrorIs(t, err, jaygw.ErrNotConfirmed)
				require.Equal(t, allowed, time.Since(started))
				if test.flood {
					require.NotEmpty(t, stream.messages, "the queue is not full")
				}
				if test.stall {
					close(disk.stalled)
				}
				cancel()
				<-ended
				<-ended
			})
		})
	}
}
