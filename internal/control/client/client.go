// Package client calls a control group from any process and finds its leader.
package client

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/distributor"
	"github.com/jaygw/jaygw/internal/control/locator"
	"github.com/jaygw/jaygw/internal/wire/converter"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

type (
	// Client calls a control group. It calls the leader if the leader is known. Otherwise it
	// calls one member until a call to that member fails, and then the next one. It updates
	// its list of members from the responses, and calls the seeds after the members. It is
	// safe for concurrent use.
	Client struct {
		group   string
		dialer  *dialer.Dialer
		locator *locator.Locator
		log     logrus.FieldLogger

		mu           sync.Mutex
		seeds        []string
		members      []string                 // addresses to call: the known members, then the other seeds
		current      int                      // index of the member to call while the leader is unknown
		leader       string                   // address of the leader; empty if unknown
		lastResponse time.Time                // time of the last response without an error
		adopted      jaygw.GroupView          // latest view of the locator that was used
		lastLeader   time.Time                // time of the last exchange of views with the leader
		open         map[string]*openAttempts // attempts that wait for responses, by address
	}

	// Option configures a Client.
	Option func(*Client)
)

const (
	// retryInterval is the pause before a call is sent to the next member.
	retryInterval = 100 * time.Millisecond

	// maxMembers bounds the addresses to call.
	maxMembers = 64
)

// WithLogger sets the logger. The default is the standard logger of logrus.
func WithLogger(log logrus.FieldLogger) Option { return func(c *Client) { c.log = log } }

// New returns a client of a group. The seeds are the addresses that it starts with, nearest
// first. They need not be members.
func New(group string, seeds []string, d *dialer.Dialer, options ...Option) *Client {
	c := &Client{
		group: group, seeds: slices.Clone(seeds), members: slices.Clone(seeds), dialer: d, locator: locator.New(seeds),
		log: logrus.StandardLogger(), open: map[string]*openAttempts{},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Propose commits a command. After an error it retries with other members until the context
// ends, but only if the command is known not to be committed, or has a client and a sequence
// number, by which the group recognizes a resend and returns the first result.
func (c *Client) Propose(ctx context.Context, command jaygw.Command) (jaygw.Result, error) {
	command.Group = c.group
	data, err := encoder.Marshal(command)
	if err != nil {
		return jaygw.Result{}, err
	}
	for {
		result, err := c.proposeOnce(ctx, nil, data)
		if err == nil || command.Client == "" && !errors.Is(err, jaygw.ErrNotLeader) {
			return result, err
		}
		if !c.sleep(ctx, retryInterval) {
			return jaygw.Result{}, err
		}
	}
}

// proposeOnce proposes an encoded command to the leader or the current member. The attempt is nil if
// the caller bounds the time of the proposal.
func (c *Client) proposeOnce(ctx context.Context, a *attempt, data []byte) (jaygw.Result, error) {
	var result jaygw.Result
	group, address := c.memberClient(ctx, a)
	response, err := group.Propose(ctx, &messenger.ProposeRequest{Group: c.group, Command: data})
	if err != nil {
		c.handleError(ctx, a, address, err)
		if errors.Is(err, dialer.ErrUnreachable) {
			return result, errors.Join(jaygw.ErrNotLeader, err)
		}
		return result, errors.Join(jaygw.ErrOutcomeUnknown, err)
	}
	if err := converter.ErrorFromCode(response.Error); err != nil {
		c.addMembers(response.Members)
		c.recordFailure(address, response.LeaderAddress)
		return result, err
	}
	c.updateMembers(response.Members)
	c.setLeader(response.LeaderAddress)
	return result, encoder.Unmarshal(response.Result, &result)
}

// Renew sends the lease renewal of a VM.
func (c *Client) Renew(ctx context.Context, renewal jaygw.Renewal) (jaygw.RenewalResult, error) {
	group, address := c.memberClient(ctx, nil)
	response, err := group.Renew(ctx, converter.RenewRequest(renewal))
	if err == nil {
		err = converter.ErrorFromCode(response.Error)
	}
	if err != nil {
		c.recordFailure(address, "")
		return jaygw.RenewalResult{}, eris.Wrap(err, "renew")
	}
	c.updateMembers(response.Members)
	return converter.RenewalResult(response), nil
}

// Watch returns the current view once it differs from the one seen, or once the hold time has
// passed. The response is a delta from the view seen, or the complete view. A response with an
// older term or index is rejected with ErrNotConfirmed.
func (c *Client) Watch(ctx context.Context, node string, seen jaygw.View, hold time.Duration) (jaygw.View, error) {
	view := seen
	group, address := c.memberClient(ctx, nil)
	response, err := group.Watch(ctx, &messenger.WatchRequest{
		Group: c.group, Node: node, Term: seen.Term, Index: uint64(seen.Index), Revision: seen.Revision, HoldNanos: int64(hold),
	})
	if err == nil {
		err = converter.ErrorFromCode(response.Error)
	}
	if err != nil {
		c.recordFailure(address, "")
		return view, eris.Wrap(err, "watch")
	}
	c.updateMembers(response.Members)
	var delta jaygw.ViewDelta
	if err := encoder.Unmarshal(response.View, &delta); err != nil {
		return view, err
	}
	view, applied := distributor.Apply(seen, delta)
	if !applied && (delta.Term < seen.Term || delta.Index < seen.Index) {
		return seen, eris.Wrapf(jaygw.ErrNotConfirmed, "watch: term %d, index %d after term %d, index %d",
			delta.Term, delta.Index, seen.Term, seen.Index)
	}
	return view, nil
}

// memberClient returns a client of the leader, or of the current member if the leader is
// unknown, and its address, at which the attempt then waits if there is one.
func (c *Client) memberClient(ctx context.Context, a *attempt) (messenger.DRPCGroupClient, string) {
	c.mu.Lock()
	address := c.leader
	if address == "" {
		address = c.members[c.current%len(c.members)]
	}
	if a != nil {
		c.addAttempt(a, address)
	}
	c.mu.Unlock()
	return messenger.NewDRPCGroupClient(c.dialer.Conn(ctx, address)), address
}

// recordFailure records that a call to an address has failed. The next call goes to the leader that the
// response named, or to the next member. Several calls may fail at an address at the same time; only
// one of them selects the next member, so that none is skipped.
func (c *Client) recordFailure(address, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selectNext(address, leader)
}

// selectNext selects the member to call after a failure. The caller must hold the mutex.
func (c *Client) selectNext(address, leader string) {
	if c.leader == address {
		c.leader = ""
	}
	if c.members[c.current%len(c.members)] == address {
		c.current++
	}
	if leader != "" && leader != address {
		c.leader = leader
	}
}

// setLeader sets the leader that a response has reported, which receives the next calls.
func (c *Client) setLeader(leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
}

// addMembers adds the members that a process without a leader knows. They may be out of date, so
// they replace none.
func (c *Client) addMembers(members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range members {
		if !slices.Contains(c.members, m) && len(c.members) < maxMembers {
			c.members = append(c.members, m)
		}
	}
}

// updateMembers replaces the members by those of a response. Known members retain their order,
// and the current member stays selected unless it was removed.
func (c *Client) updateMembers(members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponse = time.Now()
	c.replaceMembers(members)
}

func (c *Client) replaceMembers(members []string) {
	if len(members) == 0 {
		return
	}
	current := c.members[c.current%len(c.members)]
	updated := slices.DeleteFunc(slices.Clone(c.members), func(m string) bool { return !slices.Contains(members, m) })
	for _, list := range [][]string{members, c.seeds} {
		for _, m := range list {
			if !slices.Contains(updated, m) {
				updated = append(updated, m)
			}
		}
	}
	if !slices.Equal(slices.Sorted(slices.Values(updated)), slices.Sorted(slices.Values(c.members))) {
		c.log.WithFields(logrus.Fields{"from": current, "known": c.members, "now": updated}).Info("client: members replaced by those of a response")
	}
	c.members = updated
	c.current = max(0, slices.Index(updated, current))
}
