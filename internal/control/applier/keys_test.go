package applier_test

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/stretchr/testify/require"
)

func (l *commandLog) claim(request, digest string) jaygw.ItemResult {
	return l.apply(jaygw.Command{Claim: &jaygw.ClaimKeys{Claims: []jaygw.KeyClaim{{
		Key: "k", Digest: digest, Request: request, MaxRunTime: 10 * time.Second, Retention: time.Hour,
	}}}}).Results[0]
}

func (l *commandLog) settle(request string, outcome jaygw.KeyOutcome) jaygw.ItemResult {
	return l.apply(jaygw.Command{Settle: &jaygw.SettleKeys{Settlements: []jaygw.Settlement{{
		Key: "k", Request: request, Outcome: outcome, Response: &jaygw.StoredResponse{Status: 200},
	}}}}).Results[0]
}

// A copy of a claim that arrives after the key was settled as not executed must not make the
// key pending again, and another request must be able to claim the key.
func TestDelayedClaimAfterSettlementIsRefused(t *testing.T) {
	l := newLog(t)
	require.Empty(t, l.claim("r1", "d").Code)
	require.Empty(t, l.claim("r1", "d").Code) // a resend of the claim
	require.Empty(t, l.settle("r1", jaygw.KeyNotExecuted).Code)
	require.Equal(t, jaygw.RefusedState, l.claim("r1", "d").Code)
	require.Empty(t, l.claim("r2", "d").Code)
	require.Equal(t, jaygw.RefusedKeyPending, l.claim("r3", "d").Code)
}

// A resend of a request whose entry was lost must be refused with an unknown outcome, so
// that the request does not run a second time.
func TestClaimOfLostEntryBecomesUnknown(t *testing.T) {
	l := newLog(t)
	require.Empty(t, l.claim("r1", "d").Code)
	require.Equal(t, jaygw.RefusedKeyPending, l.claim("r2", "d").Code)
	require.Equal(t, jaygw.RefusedKeyReused, l.claim("r2", "other").Code)
	l.now += jaygw.Time(10 * time.Second)
	late := l.claim("r2", "d")
	require.Equal(t, jaygw.RefusedKeySettled, late.Code)
	require.Equal(t, jaygw.KeyUnknown, late.Key.Outcome)
	// If the first request is settled later, resends get its response.
	require.Empty(t, l.settle("r1", jaygw.KeyCompleted).Code)
	require.Equal(t, jaygw.KeyCompleted, l.claim("r3", "d").Key.Outcome)
	l.now += jaygw.Time(time.Hour)
	require.Empty(t, l.claim("r4", "other").Code)
}

// A full table must refuse new keys and retain those that it holds.
func TestFullKeyTableRefuses(t *testing.T) {
	limits := applier.DefaultLimits()
	limits.Keys = 1
	l := newLog(t)
	l.machine = applier.New("main", applier.WithLimits(limits))
	require.Empty(t, l.claim("r1", "d").Code)
	result := l.apply(jaygw.Command{Claim: &jaygw.ClaimKeys{Claims: []jaygw.KeyClaim{{Key: "k2", Request: "r2", Retention: time.Hour}}}})
	require.Equal(t, jaygw.RefusedTableFull, result.Results[0].Code)
	require.Equal(t, jaygw.RefusedKeyPending, l.claim("r3", "d").Code)
}
