package client

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/locator"
	"github.com/jaygw/jaygw/internal/wire/converter"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

const (
	// locateInterval is the mean interval at which a process that does not reach the group asks
	// other processes for it.
	locateInterval = 400 * time.Millisecond

	// announceInterval is the interval at which a control process exchanges views while it
	// knows the group's leader.
	announceInterval = 2 * time.Second

	// leaderAge is the age of the last exchange with the leader from which on a control process
	// searches for it.
	leaderAge = 2*announceInterval + locateTimeout

	// contactAge is the age of the last response from which on the group counts as lost.
	contactAge = 1500 * time.Millisecond

	// locateTimeout limits one exchange.
	locateTimeout = 500 * time.Millisecond

	// locateTargets is how many processes are asked at once.
	locateTargets = 3
)

// Locator returns what the client knows about its group.
func (c *Client) Locator() *locator.Locator { return c.locator }

// SetSeeds replaces the addresses to call besides the members. It returns whether they have changed.
func (c *Client) SetSeeds(seeds []string) bool {
	if !c.locator.SetSeeds(seeds) {
		return false
	}
	c.mu.Lock()
	c.seeds = slices.Clone(seeds)
	c.mu.Unlock()
	c.addMembers(seeds)
	return true
}

// Reached reports whether the group has responded to a call or to an exchange of views lately.
func (c *Client) Reached(now time.Time) bool { return c.hasResponse(now) || c.reachedLeader(now) }

// hasResponse reports whether the group has responded to a call lately.
func (c *Client) hasResponse(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastResponse) < contactAge
}

// Locate searches for the group until the context ends: while no member responds, it asks the known
// processes in turn for the members and the leader.
func (c *Client) Locate(ctx context.Context) error {
	for c.sleep(ctx, locateInterval/2+rand.N(locateInterval)) {
		if !c.hasResponse(time.Now()) {
			c.exchange(ctx)
		}
	}
	return nil
}

// Announce exchanges views with other processes until the context ends, so that they find a control
// process that they do not know.
func (c *Client) Announce(ctx context.Context) error {
	for {
		c.exchange(ctx)
		interval := locateInterval
		if c.reachedLeader(time.Now()) {
			interval = announceInterval
		}
		if !c.sleep(ctx, interval/2+rand.N(interval)) {
			return nil
		}
	}
}

// reachedLeader reports whether this process leads or has exchanged views with the leader lately.
func (c *Client) reachedLeader(now time.Time) bool {
	if c.locator.Leads() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastLeader) < leaderAge
}

func (c *Client) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// HasReplica asks the process at an address whether it has a replica that bootstraps the group.
func (c *Client) HasReplica(ctx context.Context, address string) (bool, error) {
	response, err := c.locateOnce(ctx, address, c.locator.Request())
	return response.Replica, err
}

// exchange exchanges views with the next processes in turn.
func (c *Client) exchange(ctx context.Context) {
	request := c.locator.Request()
	var calls sync.WaitGroup
	for _, address := range c.locator.NextTargets(locateTargets) {
		calls.Go(func() {
			response, err := c.locateOnce(ctx, address, request)
			if err != nil {
				c.log.WithField("address", address).WithError(err).Debug("client: no response to a search for the group")
				return
			}
			now := time.Now()
			c.locator.HandleResponse(address, response, now)
			if response.View.Leader == address {
				c.mu.Lock()
				c.lastLeader = now
				c.mu.Unlock()
			}
		})
	}
	calls.Wait()
	c.adopt(c.locator.View(), time.Now())
}

func (c *Client) locateOnce(ctx context.Context, address string, request jaygw.LocateRequest) (jaygw.LocateResponse, error) {
	var result jaygw.LocateResponse
	body, err := encoder.Marshal(request)
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	response, err := messenger.NewDRPCGroupClient(c.dialer.Conn(ctx, address)).Locate(ctx, &messenger.CallRequest{Group: c.group, Body: body})
	if err != nil {
		return result, eris.Wrap(err, "locate the group")
	}
	if err := converter.ErrorFromCode(response.Error); err != nil {
		return result, err
	}
	return result, encoder.Unmarshal(response.Body, &result)
}

// adopt uses the members and the leader of a view that is newer than the adopted one, unless the
// members known so far respond.
func (c *Client) adopt(view jaygw.GroupView, now time.Time) {
	if c.hasResponse(now) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(view.Members) == 0 || view.Commit == c.adopted.Commit && view.Leader == c.adopted.Leader {
		return
	}
	changed := view.Leader != c.adopted.Leader || !slices.Equal(view.Members, c.adopted.Members)
	c.adopted = view
	c.replaceMembers(view.Members)
	c.leader = view.Leader
	if changed {
		c.log.WithFields(logrus.Fields{
			"commit": view.Commit, "leader": view.Leader, "members": view.Members, "last-response": c.lastResponse,
		}).Info("client: group located")
	}
}
