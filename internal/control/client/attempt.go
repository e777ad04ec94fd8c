package client

import (
	"context"
	"errors"
	"time"
)

// attempt is one sending of a call that is sent to another member if there is no response.
type attempt struct {
	start time.Time
	stop  context.CancelFunc
}

const (
	// attemptTimeout limits one attempt of a call that may be retried with another member. It is
	// longer than a commit and an election take, and much shorter than the wait limit of callers.
	attemptTimeout = 700 * time.Millisecond

	// silentTime is the time without a response from which an attempt that its caller ends counts as a
	// failure. Otherwise callers with short deadlines would never leave a silent member.
	silentTime = 500 * time.Millisecond
)

// errAttemptTimeout is the cause of the end of an attempt that has timed out.
var errAttemptTimeout = errors.New("no response within the time limit of an attempt")

// beginAttempt returns a new attempt and its context. The attempt must be ended.
func (c *Client) beginAttempt(ctx context.Context) (context.Context, *attempt) {
	ctx, cancel := context.WithTimeoutCause(ctx, attemptTimeout, errAttemptTimeout)
	return ctx, &attempt{start: time.Now(), stop: cancel}
}

// endAttempt releases the resources of an attempt.
func (c *Client) endAttempt(a *attempt) { a.stop() }

// handleError handles the error of a call that got no response from an address. The attempt is nil if
// the call is sent once only.
func (c *Client) handleError(ctx context.Context, a *attempt, address string) {
	cause := context.Cause(ctx)
	endedByCaller := a != nil && cause != nil && !errors.Is(cause, errAttemptTimeout)
	if endedByCaller && time.Since(a.start) < silentTime {
		return
	}
	c.recordFailure(address, "")
}
