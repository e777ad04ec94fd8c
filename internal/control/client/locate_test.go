package client_test

import (
	"context"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/client"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/stretchr/testify/require"
)

// acceptedBy returns a response that names the members.
func acceptedBy(t *testing.T, members ...string) func() (*messenger.ProposeResponse, error) {
	data, err := encoder.Marshal(jaygw.Result{Index: 7})
	require.NoError(t, err)
	return func() (*messenger.ProposeResponse, error) {
		return &messenger.ProposeResponse{Result: data, Members: members, LeaderAddress: members[0]}, nil
	}
}

// TestAllMembersReplacedWhileCutOff guards against a client that forgets its seeds and never finds the
// group again after all members that it knows were replaced.
func TestAllMembersReplacedWhileCutOff(t *testing.T) {
	command := jaygw.Command{CancelWorkflow: &jaygw.CancelWorkflow{Host: "h", Path: "/q/x"}}
	seed, seedAddress := serve(t)
	d := dialer.New()
	defer d.Close()
	group := client.New("main", []string{seedAddress}, d)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()

	const gone = "127.0.0.1:1"
	seed.responses <- acceptedBy(t, gone)
	_, err := group.ProposeIdempotent(ctx, command, time.Second)
	require.NoError(t, err)
	seed.responses <- acceptedBy(t, seedAddress)
	_, err = group.ProposeIdempotent(ctx, command, 2*time.Second)
	require.NoError(t, err)
}
