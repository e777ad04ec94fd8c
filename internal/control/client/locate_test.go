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

// TestHalfOfTheMembersNeverTried guards against a client that skips every second address after a failed
// call, or forgets the leader that a process without a replica has named.
func TestHalfOfTheMembersNeverTried(t *testing.T) {
	command := jaygw.Command{CancelWorkflow: &jaygw.CancelWorkflow{Host: "h", Path: "/q/x"}}
	const gone = "127.0.0.1:1"
	for name, leads := range map[string]bool{"names the leader": true, "names a leader that is gone": false} {
		t.Run(name, func(t *testing.T) {
			d := dialer.New()
			defer d.Close()
			var addresses []string
			var members []*member
			for range 4 {
				m, address := serve(t)
				members, addresses = append(members, m), append(addresses, address)
			}
			leader, hint := 1, gone
			if leads {
				leader = 3
				hint = addresses[leader]
			}
			for i, m := range members {
				for range cap(m.responses) {
					if i == leader {
						m.responses <- acceptedBy(t, addresses...)
					} else {
						m.responses <- func() (*messenger.ProposeResponse, error) {
							return &messenger.ProposeResponse{Error: messenger.ErrorCode_ERROR_CODE_NOT_LEADER, LeaderAddress: hint}, nil
						}
					}
				}
			}
			group := client.New("main", addresses, d)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, err := group.ProposeIdempotent(ctx, command, 3*time.Second)
			require.NoError(t, err)
			if leads {
				require.Len(t, members[1].responses, cap(members[1].responses), "the named leader is called next")
			}
			result, err := client.New("main", addresses, d).Query(ctx, jaygw.WorkflowQuery{Catalog: true})
			require.NoError(t, err)
			require.Equal(t, uint64(7), result.Number)
		})
	}
}
