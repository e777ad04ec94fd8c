package client

import (
	"context"
	"errors"
	"time"

	"github.com/jaygw/jaygw/internal/wire/dialer"
)

type (
	// attempt is one sending of a call that is sent to another member if there is no response.
	attempt struct {
		start   time.Time
		stop    context.CancelFunc
		free    context.CancelCauseFunc
		address string // empty until a member is selected
		freed   bool
	}

	// openAttempts holds the attempts that wait for responses of one address.
	openAttempts struct {
		attempts     map[*attempt]struct{}
		lastResponse time.Time // time of the last response without an error to one of them
	}
)

const (
	// attemptTimeout limits one attempt of a call that may be retried with another member. It is
	// longer than a commit and an election take, and much shorter than the wait limit of callers.
	attemptTimeout = 700 * time.Millisecond

	// silentTime is the time without a response from which an address counts as silent: a failed attempt
	// then frees the others, and an attempt that its caller ends counts as failed. Otherwise callers with
	// short deadlines would never leave a silent member.
	silentTime = 500 * time.Millisecond
)

var (
	// errAttemptTimeout is the cause of the end of an attempt that has timed out.
	errAttemptTimeout = errors.New("no response within the time limit of an attempt")

	// errFreed is the cause of the end of an attempt after another one has failed at its address.
	errFreed = errors.New("another attempt has failed at the address")
)

// beginAttempt returns a new attempt and its context. The attempt must be ended.
func (c *Client) beginAttempt(ctx context.Context) (context.Context, *attempt) {
	ctx, free := context.WithCancelCause(ctx)
	ctx, stop := context.WithTimeoutCause(ctx, attemptTimeout, errAttemptTimeout)
	return ctx, &attempt{start: time.Now(), stop: stop, free: free}
}

// endAttempt releases the resources of an attempt and reports whether another one has freed it.
func (c *Client) endAttempt(a *attempt, err error) bool {
	a.stop()
	a.free(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	if open := c.open[a.address]; open != nil {
		if err == nil {
			open.lastResponse = time.Now()
		}
		delete(open.attempts, a)
		if len(open.attempts) == 0 {
			delete(c.open, a.address)
		}
	}
	return a.freed
}

// addAttempt adds an attempt to those that wait for responses of an address. The caller must hold the
// mutex.
func (c *Client) addAttempt(a *attempt, address string) {
	a.address = address
	open := c.open[address]
	if open == nil {
		open = &openAttempts{attempts: map[*attempt]struct{}{}}
		c.open[address] = open
	}
	open.attempts[a] = struct{}{}
}

// freeAttempts ends the other attempts at the address of one that has failed, so that they are sent to
// another member. It ends none if the address has responded lately: then the failure tells nothing
// about the others, and a loaded member would never complete a call. The caller must hold the mutex.
func (c *Client) freeAttempts(failed *attempt, now time.Time) {
	open := c.open[failed.address]
	if open == nil || now.Sub(open.lastResponse) < silentTime {
		return
	}
	for a := range open.attempts {
		if a != failed {
			a.freed = true
			a.free(errFreed)
			delete(open.attempts, a)
		}
	}
}

// handleError handles the error of a call that got no response from an address. The attempt is nil if
// the call is sent once only.
func (c *Client) handleError(ctx context.Context, a *attempt, address string, err error) {
	if a == nil {
		c.recordFailure(address, "")
		return
	}
	cause := context.Cause(ctx)
	timedOut := errors.Is(cause, errAttemptTimeout)
	endedByCaller := cause != nil && !timedOut
	if errors.Is(cause, errFreed) || endedByCaller && time.Since(a.start) < silentTime {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selectNext(address, "")
	if timedOut || !endedByCaller && errors.Is(err, dialer.ErrUnreachable) {
		c.freeAttempts(a, time.Now())
	}
}
