// Package claimer claims idempotency keys in the control state, in batches, and records the
// outcomes of the requests that have the keys.
package claimer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

type (
	// Claimer collects claims and settlements while earlier proposals are in flight, and
	// proposes them together.
	Claimer struct {
		proposer jaygw.Proposer
		log      logrus.FieldLogger

		mu          sync.Mutex
		claims      []*claim      // to be proposed
		settlements []*settlement // to be proposed
		inFlight    int           // number of proposals in flight
		paused      bool          // after a failed proposal
		undecided   int           // number of claims and settlements without a decision
		drained     chan struct{} // closed when undecided becomes 0; nil if no call of Drain waits
	}

	// claim is a claim without a decision.
	claim struct {
		jaygw.KeyClaim
		deadline  time.Time // an abandoned claim is not proposed again after this time
		sent      bool      // it is or was part of a proposal
		abandoned bool      // the caller was notified that its request was not executed
		decided   bool      // result holds the decision
		result    chan jaygw.ItemResult
	}

	// settlement is a settlement without a decision.
	settlement struct {
		jaygw.Settlement
		deadline time.Time // it is not proposed again after this time
	}

	// batch holds either the claims or the settlements of one proposal.
	batch struct {
		claims      []*claim
		settlements []*settlement
	}
)

const (
	// maxInFlight is how many proposals are in flight at the same time, which hides the
	// latency of a commit. More would make the batches smaller.
	maxInFlight = 4

	maxClaims        = 256     // largest number of claims in one proposal
	maxSettleBytes   = 1 << 20 // total size of the response bodies in one proposal; a message is limited to 4 MB
	maxUndecided     = 8192    // claims and settlements; further claims are refused
	proposeTimeout   = time.Second
	retryPause       = 50 * time.Millisecond // after a failed proposal
	maxSettleTime    = 30 * time.Second      // a settlement is proposed again for this long
	defaultClaimTime = 15 * time.Second      // how long an abandoned claim without a maximum run time is proposed again
)

// ErrFull is returned when too many claims and settlements wait for the control group.
var ErrFull = errors.New("too many idempotency keys wait for the control group")

var _ jaygw.Claimer = (*Claimer)(nil)

// New returns a claimer that proposes to a control group.
func New(proposer jaygw.Proposer, log logrus.FieldLogger) *Claimer {
	return &Claimer{proposer: proposer, log: log}
}

// Claim returns the decision of the control group on a claim. After an error the request must
// not be executed. The claim may still be committed later; the claimer then settles it as not
// executed, so that the key can be claimed again.
func (c *Claimer) Claim(ctx context.Context, key jaygw.KeyClaim) (jaygw.ItemResult, error) {
	limit := key.MaxRunTime
	if limit <= 0 {
		limit = defaultClaimTime
	}
	pending := &claim{KeyClaim: key, deadline: time.Now().Add(limit), result: make(chan jaygw.ItemResult, 1)}
	c.mu.Lock()
	if c.undecided >= maxUndecided {
		c.mu.Unlock()
		return jaygw.ItemResult{}, ErrFull
	}
	c.undecided++
	c.claims = append(c.claims, pending)
	c.startProposals()
	c.mu.Unlock()
	select {
	case result := <-pending.result:
		return result, nil
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if pending.decided {
		return <-pending.result, nil
	}
	pending.abandoned = true
	if !pending.sent {
		c.claims = slices.DeleteFunc(c.claims, func(other *claim) bool { return other == pending })
		c.removeUndecided(1)
	}
	return jaygw.ItemResult{}, eris.Wrap(ctx.Err(), "the control group has not confirmed the claim")
}

// Settle records the outcome of a claimed request and returns immediately. The settlement is
// proposed again until the control group has confirmed it, for at most maxSettleTime; after
// that the outcome of the request counts as unknown.
func (c *Claimer) Settle(s jaygw.Settlement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(s)
	c.startProposals()
}

// settle queues a settlement.
func (c *Claimer) settle(s jaygw.Settlement) {
	c.undecided++
	c.settlements = append(c.settlements, &settlement{Settlement: s, deadline: time.Now().Add(maxSettleTime)})
}

// Drain waits until every claim and settlement has been decided or given up. It returns the
// context's error if the context ends first.
func (c *Claimer) Drain(ctx context.Context) error {
	c.mu.Lock()
	if c.undecided == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.drained == nil {
		c.drained = make(chan struct{})
	}
	drained := c.drained
	c.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// removeUndecided updates the count of undecided claims and settlements when n of them were
// decided or given up.
func (c *Claimer) removeUndecided(n int) {
	c.undecided -= n
	if c.undecided == 0 && c.drained != nil {
		close(c.drained)
		c.drained = nil
	}
}

// startProposals starts proposals while claims or settlements are queued and maxInFlight
// allows it. Settlements come first, because repeated requests wait for the keys that they
// release.
func (c *Claimer) startProposals() {
	for !c.paused && c.inFlight < maxInFlight && len(c.claims)+len(c.settlements) > 0 {
		var b batch
		if len(c.settlements) > 0 {
			b.settlements, c.settlements = splitBySize(c.settlements)
		} else {
			n := min(len(c.claims), maxClaims)
			b.claims = slices.Clone(c.claims[:n])
			c.claims = slices.Delete(c.claims, 0, n)
			for _, pending := range b.claims {
				pending.sent = true
			}
		}
		c.inFlight++
		go c.propose(b)
	}
}

// splitBySize returns the first settlements that fit into one proposal, at least one, and
// the others.
func splitBySize(all []*settlement) (first, rest []*settlement) {
	size := 0
	for i, s := range all {
		if s.Response != nil {
			size += len(s.Response.Body)
		}
		if i > 0 && size > maxSettleBytes {
			return all[:i:i], all[i:]
		}
	}
	return all, nil
}

// propose proposes a batch and passes the decisions on. It requeues a batch without decisions.
func (c *Claimer) propose(b batch) {
	var command jaygw.Command
	if b.claims != nil {
		command.Claim = &jaygw.ClaimKeys{}
		for _, pending := range b.claims {
			command.Claim.Claims = append(command.Claim.Claims, pending.KeyClaim)
		}
	} else {
		command.Settle = &jaygw.SettleKeys{}
		for _, s := range b.settlements {
			command.Settle.Settlements = append(command.Settle.Settlements, s.Settlement)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	result, err := c.proposer.Propose(ctx, command)
	cancel()

	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if err == nil && result.Refusal == nil && len(result.Results) != len(b.claims)+len(b.settlements) {
		err = jaygw.ErrInvalidMessage
	}
	if err != nil {
		c.log.Debugf("entry: idempotency keys were not confirmed: %v", err)
		c.requeue(b, time.Now())
		c.pauseProposals()
		return
	}
	for i, pending := range b.claims {
		c.decideClaim(pending, itemResult(result, i))
	}
	c.removeUndecided(len(b.claims) + len(b.settlements))
	c.startProposals()
}

// itemResult returns the result of an item of a proposal; a refusal of the whole proposal
// applies to each item.
func itemResult(result jaygw.Result, i int) jaygw.ItemResult {
	if result.Refusal != nil {
		return jaygw.ItemResult{Code: result.Refusal.Code, Detail: result.Refusal.Detail}
	}
	return result.Results[i]
}

// decideClaim passes the decision on a claim to Claim. An abandoned claim that was granted is
// settled as not executed.
func (c *Claimer) decideClaim(pending *claim, item jaygw.ItemResult) {
	if !pending.abandoned {
		pending.decided = true
		pending.result <- item
		return
	}
	if item.Code == "" {
		c.settle(jaygw.Settlement{Key: pending.Key, Request: pending.Request, Outcome: jaygw.KeyNotExecuted})
	}
}

// requeue puts a batch without decisions back into the queues, except for abandoned claims and
// settlements whose deadline has passed. A claim may have been committed, so it is proposed again
// even if its request has been refused in the meantime.
func (c *Claimer) requeue(b batch, now time.Time) {
	itemCount := len(b.claims) + len(b.settlements)
	b.claims = slices.DeleteFunc(b.claims, func(pending *claim) bool {
		return pending.abandoned && now.After(pending.deadline)
	})
	b.settlements = slices.DeleteFunc(b.settlements, func(s *settlement) bool { return now.After(s.deadline) })
	c.claims = append(b.claims, c.claims...)
	c.settlements = append(b.settlements, c.settlements...)
	c.removeUndecided(itemCount - len(b.claims) - len(b.settlements))
}

// pauseProposals stops new proposals for retryPause.
func (c *Claimer) pauseProposals() {
	if c.paused {
		return
	}
	c.paused = true
	time.AfterFunc(retryPause, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.paused = false
		c.startProposals()
	})
}
