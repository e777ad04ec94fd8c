package applier

import (
	"github.com/jaygw/jaygw"
)

// keyRecordOverheadBytes estimates the memory of a key record without its strings and its
// response.
const keyRecordOverheadBytes = 128

func (m *Machine) claimKeys(batch jaygw.ClaimKeys) jaygw.Result {
	return applyEach(batch.Claims, m.claim)
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
		return refuseItem(jaygw.RefusedInvalid, "the claim has already expired")
	}
	if c.Expires > m.state.Time.Add(maxKeyRetention) {
		return refuseItem(jaygw.RefusedInvalid, "the claim asks for more than %s", maxKeyRetention)
	}
	if known {
		// Only one expiry is scheduled per key, so it must not become earlier.
		c.Expires = max(c.Expires, record.Claim.Expires)
	}
	next := &jaygw.KeyRecord{Claim: c, Outcome: jaygw.KeyPending, Claimed: m.state.Time}
	if !known && len(m.state.Keys) >= m.limits.Keys || m.keyBytesAfter(record, next) > m.limits.KeyBytes {
		return refuseItem(jaygw.RefusedTableFull, "the table of idempotency keys is full")
	}
	m.putKey(record, next)
	if !known {
		m.index.scheduleExpiry(c.Expires, keyTable, c.Key)
	}
	return jaygw.ItemResult{}
}

// refuseClaim returns the refusal of a claim whose key is in the table, and whether the claim
// is refused.
func (m *Machine) refuseClaim(record *jaygw.KeyRecord, c jaygw.KeyClaim) (jaygw.ItemResult, bool) {
	sameRequest := record.Claim.Request == c.Request
	switch {
	case record.Claim.Digest != c.Digest:
		return refuseItem(jaygw.RefusedKeyReused, "the key was used for a different request"), true
	case record.Outcome == jaygw.KeyNotExecuted && sameRequest:
		// A delayed copy of the claim that arrived after its request had settled the key.
		// Accepting it would leave the key pending, with no entry left to settle it.
		return refuseItem(jaygw.RefusedState, "the request has given up the key"), true
	case record.Outcome == jaygw.KeyNotExecuted:
		return jaygw.ItemResult{}, false
	case record.Outcome != jaygw.KeyPending:
		refused := refuseItem(jaygw.RefusedKeySettled, "the key's first request is %s", record.Outcome)
		refused.Key = record
		return refused, true
	case sameRequest:
		return jaygw.ItemResult{}, false
	}
	if record.Claim.MaxRunTime > 0 && m.state.Time >= record.Claimed.Add(record.Claim.MaxRunTime) {
		// The maximum run time has passed without a settlement: the claiming entry was lost.
		abandoned := *record
		abandoned.Outcome = jaygw.KeyUnknown
		refused := refuseItem(jaygw.RefusedKeySettled, "the key's first request is %s", abandoned.Outcome)
		refused.Key = &abandoned
		return refused, true
	}
	refused := refuseItem(jaygw.RefusedKeyPending, "the key's first request is %s", record.Outcome)
	refused.Key = record
	return refused, true
}

func (m *Machine) settleKeys(batch jaygw.SettleKeys) jaygw.Result {
	return applyEach(batch.Settlements, m.settle)
}

func (m *Machine) settle(s jaygw.Settlement) jaygw.ItemResult {
	record, ok := m.state.Keys[s.Key]
	if !ok || record.Claim.Request != s.Request {
		return refuseItem(jaygw.RefusedUnknown, "the request does not hold the key")
	}
	if s.Outcome != jaygw.KeyCompleted && s.Outcome != jaygw.KeyUnknown && s.Outcome != jaygw.KeyNotExecuted {
		return refuseItem(jaygw.RefusedInvalid, "outcome %q is not known", s.Outcome)
	}
	if record.Outcome == s.Outcome {
		return jaygw.ItemResult{} // a resend of the same settlement
	}
	if record.Outcome != jaygw.KeyPending && record.Outcome != jaygw.KeyUnknown {
		return refuseItem(jaygw.RefusedState, "the key is settled as %s", record.Outcome)
	}
	next := *record
	next.Outcome = s.Outcome
	if s.Outcome == jaygw.KeyCompleted {
		next.Response = s.Response
	}
	next.Settled = m.state.Time
	if m.keyBytesAfter(record, &next) > m.limits.KeyBytes {
		// The response does not fit, so the outcome is stored as unknown without it. A resend
		// is then refused, and the request does not run again.
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

// keyBytesAfter returns the total of all key records after one of them is replaced.
func (m *Machine) keyBytesAfter(old, next *jaygw.KeyRecord) int {
	return m.index.keyBytes - keyRecordBytes(old) + keyRecordBytes(next)
}

// keyRecordBytes estimates the memory of a key record.
func keyRecordBytes(r *jaygw.KeyRecord) int {
	if r == nil {
		return 0
	}
	size := keyRecordOverheadBytes + len(r.Claim.Key) + len(r.Claim.Digest) + len(r.Claim.Entry) + len(r.Claim.Request)
	if r.Response != nil {
		size += len(r.Response.Body)
		for _, field := range r.Response.Header {
			size += len(field[0]) + len(field[1])
		}
	}
	return size
}
