// Package claimer claims idempotency keys in the control state, in batches, and
// records the outcomes of their requests.
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
	// Claimer collects claims and settlements while earlier proposals are on
	// their way, and proposes them together.
	Claimer struct {
		proposer jaygw.Proposer
		log      logrus.FieldLogger

		mu      sync.Mutex
		claims  []*claim
		settles []*settlement
		flying  int // proposals
		paused  bool
		open    int // claims and settlements without a decision
		drained chan struct{}
	}

	claim struct {
		jaygw.KeyClaim
		until     time.Time
		sent      bool
		abandoned bool // its caller has been told that it was not executed
		decided   bool
		result    chan jaygw.ItemResult
	}

	settlement struct {
		jaygw.Settlement
		until time.Time
	}

	batch struct {
		claims  []*claim
		settles []*settlement
	}
)

const (
	// maxFlying proposals at the same time hide the latency of a commit; more
	// would make smaller batches.
	maxFlying = 4

	maxClaims      = 256
	maxSettleBytes = 1 << 20 // of one proposal; a message may have 4 MB
	maxOpen        = 8192
	proposeTimeout = time.Second
	retryPause     = 50 * time.Millisecond
	settleLimit    = 30 * time.Second
	defaultLimit   = 15 * time.Second
)

// ErrFull is returned when too many claims wait for the control group.
var ErrFull = errors.New("too many idempotency keys wait for the control group")

var _ jaygw.Claimer = (*Claimer)(nil)

// New returns a claimer that proposes to a control group.
func New(proposer jaygw.Proposer, log logrus.FieldLogger) *Claimer {
	return &Claimer{proposer: proposer, log: log}
}

// Claim returns the control state's decision on a claim. After an error the
// request must not be executed. The claim may still be committed later; the
// claimer then settles it as not executed, so that the key can be claimed again.
func (c *Claimer) Claim(ctx context.Context, k jaygw.KeyClaim) (jaygw.ItemResult, error) {
	limit := k.Patience
	if limit <= 0 {
		limit = defaultLimit
	}
	p := &claim{KeyClaim: k, until: time.Now().Add(limit), result: make(chan jaygw.ItemResult, 1)}
	c.mu.Lock()
	if c.open >= maxOpen {
		c.mu.Unlock()
		return jaygw.ItemResult{}, ErrFull
	}
	c.open++
	c.claims = append(c.claims, p)
	c.kick()
	c.mu.Unlock()
	select {
	case result := <-p.result:
		return result, nil
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.decided {
		return <-p.result, nil
	}
	p.abandoned = true
	if !p.sent {
		c.claims = slices.DeleteFunc(c.claims, func(other *claim) bool { return other == p })
		c.close(1)
	}
	return jaygw.ItemResult{}, eris.Wrap(ctx.Err(), "the control group has not confirmed the claim")
}

// Settle records the outcome of a claimed request. It is repeated until the control
// group has confirmed it, for a bounded time; after that the claim counts as
// unknown.
func (c *Claimer) Settle(s jaygw.Settlement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(s)
	c.kick()
}

func (c *Claimer) settle(s jaygw.Settlement) {
	c.open++
	c.settles = append(c.settles, &settlement{Settlement: s, until: time.Now().Add(settleLimit)})
}

// Drain returns once nothing waits for a decision or the context has ended.
func (c *Claimer) Drain(ctx context.Context) error {
	c.mu.Lock()
	if c.open == 0 {
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

// close notes that claims or settlements were decided or given up.
func (c *Claimer) close(n int) {
	c.open -= n
	if c.open == 0 && c.drained != nil {
		close(c.drained)
		c.drained = nil
	}
}

// kick starts proposals while there is work and room for them. Settlements go
// first: they free keys that resends wait for.
func (c *Claimer) kick() {
	for !c.paused && c.flying < maxFlying && len(c.claims)+len(c.settles) > 0 {
		var b batch
		if len(c.settles) > 0 {
			b.settles, c.settles = split(c.settles)
		} else {
			n := min(len(c.claims), maxClaims)
			b.claims = slices.Clone(c.claims[:n])
			c.claims = slices.Delete(c.claims, 0, n)
			for _, p := range b.claims {
				p.sent = true
			}
		}
		c.flying++
		go c.propose(b)
	}
}

func split(all []*settlement) (first, rest []*settlement) {
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

func (c *Claimer) propose(b batch) {
	var command jaygw.Command
	if b.claims != nil {
		command.Claim = &jaygw.ClaimKeys{}
		for _, p := range b.claims {
			command.Claim.Claims = append(command.Claim.Claims, p.KeyClaim)
		}
	} else {
		command.Settle = &jaygw.SettleKeys{}
		for _, s := range b.settles {
			command.Settle.Settlements = append(command.Settle.Settlements, s.Settlement)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	result, err := c.proposer.Propose(ctx, command)
	cancel()

	c.mu.Lock()
	defer c.mu.Unlock()
	c.flying--
	if err == nil && result.Refusal == nil && len(result.Results) != len(b.claims)+len(b.settles) {
		err = jaygw.ErrInvalidMessage
	}
	if err != nil {
		c.log.Debugf("entry: idempotency keys were not confirmed: %v", err)
		c.requeue(b, time.Now())
		c.pause()
		return
	}
	for i, p := range b.claims {
		c.decide(p, itemOf(result, i))
	}
	c.close(len(b.claims) + len(b.settles))
	c.kick()
}

func itemOf(result jaygw.Result, i int) jaygw.ItemResult {
	if result.Refusal != nil {
		return jaygw.ItemResult{Code: result.Refusal.Code, Detail: result.Refusal.Detail}
	}
	return result.Results[i]
}

func (c *Claimer) decide(p *claim, item jaygw.ItemResult) {
	if !p.abandoned {
		p.decided = true
		p.result <- item
		return
	}
	if item.Code == "" {
		c.settle(jaygw.Settlement{Key: p.Key, Request: p.Request, Outcome: jaygw.KeyNotExecuted})
	}
}

// requeue puts a batch without a decision back. A claim may have been committed, so
// it is proposed again even if its request was refused meanwhile.
func (c *Claimer) requeue(b batch, now time.Time) {
	before := len(b.claims) + len(b.settles)
	b.claims = slices.DeleteFunc(b.claims, func(p *claim) bool { return p.abandoned && now.After(p.until) })
	b.settles = slices.DeleteFunc(b.settles, func(s *settlement) bool { return now.After(s.until) })
	c.claims = append(b.claims, c.claims...)
	c.settles = append(b.settles, c.settles...)
	c.close(before - len(b.claims) - len(b.settles))
}

func (c *Claimer) pause() {
	if c.paused {
		return
	}
	c.paused = true
	time.AfterFunc(retryPause, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.paused = false
		c.kick()
	})
}
