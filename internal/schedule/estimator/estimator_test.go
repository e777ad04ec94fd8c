package estimator_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/estimator"
	"github.com/jaygw/jaygw/internal/test/seeder"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	seeder.FixSeed(200)
	os.Exit(m.Run())
}

// TestReservationsStayWithinBounds guards against reservations below the declared size although
// lowering is not allowed, above the largest VM, or more than the margin above the peak. They
// would overcommit VMs, never start or waste quota.
func TestReservationsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := estimator.NewUsage()
		amount := rapid.Int64Range(1, 1000)
		declared := jaygw.Resources{CPU: jaygw.MilliCores(amount.Draw(t, "declared")), Memory: 1}
		limit := declared.Max(jaygw.Resources{CPU: jaygw.MilliCores(amount.Draw(t, "limit")), Memory: 1})
		now, peak := jaygw.Time(0), jaygw.MilliCores(0)
		for range rapid.IntRange(3, 300).Draw(t, "samples") {
			used := jaygw.MilliCores(amount.Draw(t, "used"))
			peak = max(peak, used)
			now = now.Add(time.Second)
			u.Observe("job", jaygw.Resources{CPU: used, Memory: 1}, now)
		}
		raised := u.Reserve("job", declared, limit, false)
		require.True(t, declared.Fits(raised) && raised.Fits(limit))
		require.LessOrEqual(t, raised.CPU, max(declared.CPU, peak*115/100))
		lowered := u.Reserve("job", declared, limit, true)
		require.True(t, lowered.Fits(limit) && !lowered.IsZero())
	})
}

// TestInterferenceIsAttributedToTheNoisyJob guards against blaming a quiet job for a co-located
// noisy one, for any mix of their tasks, and against an effect of a job that never ran.
func TestInterferenceIsAttributedToTheNoisyJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := estimator.NewInterference()
		effect := rapid.Float64Range(0.3, 1).Draw(t, "effect")
		now := jaygw.Time(time.Hour)
		for vm := range 4 {
			name := fmt.Sprint("vm-", vm)
			for range 20 {
				now = now.Add(time.Second)
				i.Observe(name, "service", 100*time.Millisecond, now, now)
			}
			for k := range rapid.IntRange(1, 6).Draw(t, "quiet") {
				i.TaskStarted(name, jaygw.TaskID(fmt.Sprint("quiet/", k)), "quiet", now)
			}
			for range 30 {
				now = now.Add(time.Second)
				i.Observe(name, "service", 100*time.Millisecond, now, now)
			}
			noisy := rapid.IntRange(1, 2).Draw(t, "noisy")
			started := now
			for k := range noisy {
				i.TaskStarted(name, jaygw.TaskID(fmt.Sprint("noisy/", k)), "noisy", started)
			}
			for range 30 {
				now = now.Add(time.Second)
				factor := 1.0
				if now.Add(-3*time.Second) >= started {
					factor += effect * float64(noisy)
				}
				i.Observe(name, "service", time.Duration(factor*float64(100*time.Millisecond)), now.Add(-3*time.Second), now)
			}
		}
		require.InDelta(t, effect, i.Effect("service", "noisy", now), 0.25*effect+0.05)
		require.Less(t, i.Effect("service", "quiet", now), 0.05)
		require.Zero(t, i.Effect("service", "other", now))
	})
}

// TestThrottlingDoesNotHideNoisyJobs guards against a job that counts as quiet because its tasks
// are throttled: more of its tasks would then be placed on VMs with services.
func TestThrottlingDoesNotHideNoisyJobs(t *testing.T) {
	i := estimator.NewInterference()
	now := jaygw.Time(time.Hour)
	const base = 100 * time.Millisecond
	observe := func(factor float64) {
		for range 60 {
			now = now.Add(time.Second)
			i.Observe("vm", "service", time.Duration(factor*float64(base)), now, now)
		}
	}
	observe(1)
	i.TaskStarted("vm", "noisy/0", "noisy", now)
	observe(1.5)
	require.InDelta(t, 0.5, i.Effect("service", "noisy", now), 0.1)
	i.TaskThrottled("vm", "noisy/0", 20, now)
	observe(1.1)
	require.Greater(t, i.Effect("service", "noisy", now), 0.25)
}

// TestEqualTasksGetNoMargin guards against a margin on tasks that all use the same amount, which
// would take up a part of the team's quota.
func TestEqualTasksGetNoMargin(t *testing.T) {
	for _, c := range []struct{ spread, reserved jaygw.MilliCores }{{0, 1000}, {40, 1120}} {
		u := estimator.NewUsage()
		now := jaygw.Time(0)
		for k := range 400 {
			now = now.Add(time.Second)
			u.Observe("job", jaygw.Resources{CPU: 1000 + c.spread*jaygw.MilliCores(k%2), Memory: 1}, now)
		}
		size := u.Reserve("job", jaygw.Resources{CPU: 100, Memory: 1}, jaygw.Resources{CPU: 9000, Memory: 1}, false)
		require.InDelta(t, float64(c.reserved), float64(size.CPU), 45)
	}
}
