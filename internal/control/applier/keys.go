package applier

import (
	"github.com/jaygw/jaygw"
)

// recordOverhead estimates the memory of a key record without its strings and
// body.
const recordOverhead = 128

func (m *Machine) claimKeys(batch jaygw.ClaimKeys) jaygw.Result {
	return each(batch.Claims, m.claim)
}

func (m *Machine) claim(c jaygw.KeyClaim) jaygw.ItemResult {
	record, known := m.state.Keys[c.Key]
	if known {
		if refusal, refused := m.refuseClaim(record, c); refused {
			return refusal
		}
		if record.Outcome == jaygw.KeyPending {
			return jaygw.ItemResult{} // a resend of the same claim
		}
	}
	if c.Retention > 0 {
		c.Expires = m.state.Time.Add(c.Retention)
	}
	if c.Expires <= m.state.Time {
		return item(jaygw.RefusedInvalid, "the claim has already expired")
	}
	if c.Expires > m.state.Time.Add(maxKeyRetention) {
		return item(jaygw.RefusedInvalid, "the claim asks for more than %s", maxKeyRetention)
	}
	if known {
		c.Expires = max(c.Expires, record.Claim.Expires) // one expiry is noted for each key
	}
	next := &jaygw.KeyRecord{Claim: c, Outcome: jaygw.KeyPending, Claimed: m.state.Time}
	if !known && len(m.state.Keys) >= m.limits.Keys || m.keyBytesAfter(record, next) > m.limits.KeyBytes {
		return item(jaygw.RefusedFull, "the table of idempotency keys is full")
	}
	m.putKey(record, next)
	if !known {
		m.index.expireAt(c.Expires, keyTable, c.Key)
	}
	return jaygw.ItemResult{}
}

// refuseClaim decides on a claim of a key that is known.
func (m *Machine) refuseClaim(record *jaygw.KeyRecord, c jaygw.KeyClaim) (jaygw.ItemResult, bool) {
	same := record.Claim.Request == c.Request
	switch {
	case record.Claim.Digest != c.Digest:
		return item(jaygw.RefusedKeyReused, "the key was used for a different request"), true
	case record.Outcome == jaygw.KeyNotExecuted && same:
		// A copy of the claim that was delayed until after its request gave up.
		// Granting it would leave the key pending with no one to settle it.
		return item(jaygw.RefusedState, "the request has given up the key"), true
	case record.Outcome == jaygw.KeyNotExecuted:
		return jaygw.ItemResult{}, false
	case record.Outcome != jaygw.KeyPending:
		refused := item(jaygw.RefusedKeyKnown, "the key's first request is %s", record.Outcome)
		refused.Key = record
		return refused, true
	case same:
		return jaygw.ItemResult{}, false
	}
	if record.Claim.Patience > 0 && m.state.Time >= record.Claimed.Add(record.Claim.Patience) {
		// The claiming entry was lost before it could settle.
		lost := *record
		lost.Outcome = jaygw.KeyUnknown
		refused := item(jaygw.RefusedKeyKnown, "the key's first request is %s", lost.Outcome)
		refused.Key = &lost
		return refused, true
	}
	refused := item(jaygw.RefusedKeyBusy, "the key's first request is %s", record.Outcome)
	refused.Key = record
	return refused, true
}

func (m *Machine) settleKeys(batch jaygw.SettleKeys) jaygw.Result {
	return each(batch.Settlements, m.settle)
}

func (m *Machine) settle(s jaygw.Settlement) jaygw.ItemResult {
	record, ok := m.state.Keys[s.Key]
	if !ok || record.Claim.Request != s.Request {
		return item(jaygw.RefusedUnknown, "the request does not hold the key")
	}
	if s.Outcome != jaygw.KeyCompleted && s.Outcome != jaygw.KeyUnknown && s.Outcome != jaygw.KeyNotExecuted {
		return item(jaygw.RefusedInvalid, "outcome %q is not known", s.Outcome)
	}
	if record.Outcome == s.Outcome {
		return jaygw.ItemResult{} // a resend
	}
	if record.Outcome != jaygw.KeyPending && record.Outcome != jaygw.KeyUnknown {
		return item(jaygw.RefusedState, "the key is settled as %s", record.Outcome)
	}
	next := *record
	next.Outcome = s.Outcome
	if s.Outcome == jaygw.KeyCompleted {
		next.Response = s.Response
	}
	next.Settled = m.state.Time
	if m.keyBytesAfter(record, &next) > m.limits.KeyBytes {
		// The outcome is kept without the response: a resend then learns that
		// the request has run, never runs it again.
		next.Outcome = jaygw.KeyUnknown
		next.Response = nil
	}
	m.putKey(record, &next)
	return jaygw.ItemResult{}
}

func (m *Machine) putKey(old, next *jaygw.KeyRecord) {
	m.index.keyBytes = m.keyBytesAfter(old, next)
	m.state.Keys[next.Claim.Key] = next
}

func (m *Machine) keyBytesAfter(old, next *jaygw.KeyRecord) int {
	return m.index.keyBytes - recordBytes(old) + recordBytes(next)
}

func recordBytes(r *jaygw.KeyRecord) int {
	if r == nil {
		return 0
	}
	size := recordOverhead + len(r.Claim.Key) + len(r.Claim.Digest) + len(r.Claim.Entry) + len(r.Claim.Request)
	if r.Response != nil {
		size += len(r.Response.Body)
		for _, field := range r.Response.Header {
			size += len(field[0]) + len(field[1])
		}
	}
	return size
}
