package client

import (
	"context"
	"errors"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/wire/converter"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/rotisserie/eris"
)

// Poll sends the poll of an agent to the leader.
func (c *Client) Poll(ctx context.Context, request jaygw.PollRequest) (jaygw.PollResponse, error) {
	var result jaygw.PollResponse
	return result, c.call(ctx, nil, messenger.DRPCGroupClient.Attend, request, &result)
}

// Join requests the group to add a replica as a member.
func (c *Client) Join(ctx context.Context, member jaygw.Member) (jaygw.Result, error) {
	var result jaygw.Result
	return result, c.call(ctx, nil, messenger.DRPCGroupClient.Join, member, &result)
}

// Query reads workflows from a confirmed state. It retries with other members until the
// context ends, without a pause once another call has failed at the member that it waits for.
func (c *Client) Query(ctx context.Context, query jaygw.WorkflowQuery) (jaygw.WorkflowQueryResult, error) {
	resent := false // whether the last attempt was sent without a pause
	for attempts := 1; ; attempts++ {
		var result jaygw.WorkflowQueryResult
		attemptCtx, a := c.beginAttempt(ctx)
		err := c.call(attemptCtx, a, messenger.DRPCGroupClient.Query, query, &result)
		resent = c.endAttempt(a, err) && !resent
		result.Attempts = attempts
		if err == nil || !resent && !c.sleep(ctx, retryInterval) {
			return result, err
		}
	}
}

// ProposeIdempotent commits an idempotent command. It retries with other members until the context ends,
// or until the wait limit has passed and no member has accepted the command. A refusal is
// final only if no earlier attempt may have been committed.
func (c *Client) ProposeIdempotent(ctx context.Context, command jaygw.Command, waitLimit time.Duration) (jaygw.Result, error) {
	command.Group = c.group
	data, err := encoder.Marshal(command)
	if err != nil {
		return jaygw.Result{}, err
	}
	outcomeUnknown, start := false, time.Now()
	resent := false // whether the last attempt was sent without a pause
	for {
		attemptCtx, a := c.beginAttempt(ctx)
		result, err := c.proposeOnce(attemptCtx, a, data)
		resent = c.endAttempt(a, err) && !resent
		if err == nil {
			if outcomeUnknown && result.Refusal != nil && !isFinal(command, result.Refusal) {
				return jaygw.Result{}, eris.Wrap(jaygw.ErrOutcomeUnknown, result.Refusal.Detail)
			}
			return result, nil
		}
		outcomeUnknown = outcomeUnknown || !errors.Is(err, jaygw.ErrNotLeader)
		if (outcomeUnknown || time.Since(start) < waitLimit) && (resent || c.sleep(ctx, retryInterval)) {
			continue
		}
		if outcomeUnknown {
			// The last attempt may have been rejected, but an earlier one may have been accepted.
			return jaygw.Result{}, eris.Wrapf(jaygw.ErrOutcomeUnknown, "last try: %v", err)
		}
		return jaygw.Result{}, err
	}
}

// isFinal reports whether a refusal also holds for earlier attempts of the command. The catalog in force never returns to an older
// one, so that a stale submission stays stale, and an accepted one is not refused as stale.
func isFinal(command jaygw.Command, refusal *jaygw.Refusal) bool {
	return command.SubmitWorkflow != nil && refusal.Code == jaygw.RefusedStale
}

// call sends a request to the leader or the current member and decodes the response into the
// target. The attempt is nil if the request is sent once only.
func (c *Client) call(ctx context.Context, a *attempt, send func(messenger.DRPCGroupClient, context.Context, *messenger.CallRequest) (*messenger.CallResponse, error), request, target any) error {
	body, err := encoder.Marshal(request)
	if err != nil {
		return err
	}
	group, address := c.memberClient(ctx, a)
	response, err := send(group, ctx, &messenger.CallRequest{Group: c.group, Body: body})
	if err != nil {
		c.handleError(ctx, a, address, err)
		return err
	}
	if err := converter.ErrorFromCode(response.Error); err != nil {
		c.addMembers(response.Members)
		leader := response.Leader
		if errors.Is(err, jaygw.ErrNotConfirmed) {
			leader = ""
		}
		c.recordFailure(address, leader)
		return err
	}
	c.updateMembers(response.Members)
	c.setLeader(response.Leader)
	return encoder.Unmarshal(response.Body, target)
}
