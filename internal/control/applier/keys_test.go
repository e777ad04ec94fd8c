package applier_test

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/stretchr/testify/require"
)

func (l *log) claim(request, digest string) jaygw.ItemResult {
	return l.apply(jaygw.Command{Claim: &jaygw.ClaimKeys{Claims: []jaygw.KeyClaim{{
		Key: "k", Digest: digest, Request: request, Patience: 10 * time.Second, Retention: time.Hour,
	}}}}).Results[0]
}

func (l *log) settle(request string, outcome jaygw.KeyOutcome) jaygw.ItemResult {
	return l.apply(jaygw.Command{Settle: &jaygw.SettleKeys{Settlements: []jaygw.Settlement{{
		Key: "k", Request: request, Outcome: outcome, Response: &jaygw.StoredResponse{Status: 200},
	}}}}).Results[0]
}

// A copy of a claim that arrives after its request was given up must not leave the
// key pending, and a key that was not executed must be free for others.
func TestLateCopyOfAGivenUpClaimIsRefused(t *testing.T) {
	l := newLog(t)
	require.Empty(t, l.claim("r1", "d").Code)
	require.Empty(t, l.claim("r1", "d").Code) // a resend of the proposal
	require.Empty(t, l.settle("r1", jaygw.KeyNotExecuted).Code)
	require.Equal(t, jaygw.RefusedState, l.claim("r1", "d").Code)
	require.Empty(t, l.claim("r2", "d").Code)
	require.Equal(t, jaygw.RefusedKeyBusy, l.claim("r3", "d").Code)
}

// Resends of a request whose entry was lost must learn that the outcome is unknown,
// and the key must not run again.
func TestClaimOfALostEntryBecomesUnknown(t *testing.T) {
	l := newLog(t)
	require.Empty(t, l.claim("r1", "d").Code)
	require.Equal(t, jaygw.RefusedKeyBusy, l.claim("r2", "d").Code)
	require.Equal(t, jaygw.RefusedKeyReused, l.claim("r2", "other").Code)
	l.now += jaygw.Time(10 * time.Second)
	late := l.claim("r2", "d")
	require.Equal(t, jaygw.RefusedKeyKnown, late.Code)
	require.Equal(t, jaygw.KeyUnknown, late.Key.Outcome)
	// A response that is recorded after all is what later resends get.
	require.Empty(t, l.settle("r1", jaygw.KeyCompleted).Code)
	require.Equal(t, jaygw.KeyCompleted, l.claim("r3", "d").Key.Outcome)
	l.now += jaygw.Time(time.Hour)
	require.Empty(t, l.claim("r4", "other").Code)
}

// A full table must refuse new keys and keep those that it has.
func TestFullKeyTableRefuses(t *testing.T) {
	limits := applier.DefaultLimits()
	limits.Keys = 1
	l := newLog(t)
	l.machine = applier.New("main", applier.WithLimits(limits))
	require.Empty(t, l.claim("r1", "d").Code)
	result := l.apply(jaygw.Command{Claim: &jaygw.ClaimKeys{Claims: []jaygw.KeyClaim{{Key: "k2", Request: "r2", Retention: time.Hour}}}})
	require.Equal(t, jaygw.RefusedFull, result.Results[0].Code)
	require.Equal(t, jaygw.RefusedKeyBusy, l.claim("r3", "d").Code)
}
