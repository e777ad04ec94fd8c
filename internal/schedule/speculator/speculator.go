// Package speculator decides which runs get a copy on another VM, because they are expected to end late. It performs
// no I/O and reads no clock.
package speculator

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/forecaster"
)

type (
	// Run is the only run of a task whose step allows copies.
	Run struct {
		Run   jaygw.Run
		VM    string
		Pool  string     // service of its queue
		Since jaygw.Time // time of the grant

		// Begun is set if its worker is known to have begun it.
		Begun bool
		// Percent is the reported share of its work that is done, from 0 to 100; zero if it says nothing.
		Percent int
		// Silence is the time since the latest poll of its VM.
		Silence time.Duration
		// OrderExpired is set if no agent can have a valid order to start the run: it had none, or that has expired.
		OrderExpired bool
		// LeaseLeft is the time until the run is considered lost if its VM stays silent.
		LeaseLeft time.Duration

		Estimate forecaster.Estimate // learned for its step of the queue
		// Siblings are the durations of done runs of its step, in any order.
		Siblings []time.Duration
		// LateFactor is how long late runs of its queue take, as a multiple of the median; zero if that is not known.
		LateFactor float64

		Tasks, Open  int        // tasks of its step, and those that are not done
		Failures     int        // of its task
		Copies       int        // earlier copies of the run, which have ended
		MaxAttempts  int        // of its queue
		UsefulBefore jaygw.Time // time from which the result of its workflow is of no use
	}

	// Pool is the state of the VMs of a service.
	Pool struct {
		VMs    int // VMs with recent contact
		Copies int // tasks that have two runs
	}

	// Candidate is a run that should get a copy.
	Candidate struct {
		Run    jaygw.Run
		VM     string
		Pool   string
		Gain   time.Duration // time by which the copy is expected to end earlier
		Reason string
	}

	// Plan lists the runs that should get a copy, the largest gain first, and how many of them may get one, by pool.
	Plan struct {
		Candidates []Candidate
		Room       map[string]int
	}
)

const (
	// maxCopiesPercent bounds the tasks with two runs, in percent of the VMs of a pool with recent contact. A
	// copy of a short task takes about 2% of its VM; with one copy for four VMs, most runs on VMs that were cut off waited.
	maxCopiesPercent = 100

	// maxCopies is how many copies a run may have, one after the other. More would be ended by the same cause.
	maxCopies = 2

	// lastTasksPercent is the share of the tasks of a step that are the last ones. Of fewer than seven tasks, the
	// last two are.
	lastTasksPercent = 30
	minLastTasks     = 2

	// lastSilentPercent is used instead for runs on silent VMs. With a quarter of the VMs cut off, more than a third of the
	// tasks of a step are often there, and none of them ends.
	lastSilentPercent = 60

	// startDelay is the time from the decision to start a copy until its worker has begun it.
	startDelay = 150 * time.Millisecond

	// latePercent is the share of the high estimate after which a run is late. One run in ten exceeds the high
	// estimate without being a straggler.
	latePercent = 115

	// initialLateFactor is used for queues of which no late run is known.
	initialLateFactor = 3.0

	// maxLateFactor bounds the multiple that one run is observed to take.
	maxLateFactor = 10.0

	// lateFactorWeight is the weight of a new observation in the learned factor.
	lateFactorWeight = 0.1

	// minGainPercent is the least gain, in percent of the time of a copy. Below it, the time that a copy takes from
	// idle capacity outweighs the time that it saves.
	minGainPercent = 25

	// nearlyDonePercent is the progress from which a run is left alone, however late it is.
	nearlyDonePercent = 80

	// minSiblings is the number of done runs of a step from which they count instead of the learned estimate. The
	// declared run times of workflows are wrong by different factors, while the tasks of one step are alike.
	minSiblings = 3

	// silentAfter is the time since the latest poll after which a VM is considered cut off. An agent polls again at
	// most a second after its latest poll, since the leader holds none for longer.
	silentAfter = 1600 * time.Millisecond
)

// Decide returns the runs that should get a copy.
func Decide(runs []Run, pools map[string]Pool, now jaygw.Time) Plan {
	plan := Plan{Room: map[string]int{}}
	for name, pool := range pools {
		plan.Room[name] = max(0, max(1, pool.VMs*maxCopiesPercent/100)-pool.Copies)
	}
	for i := range runs {
		r := &runs[i]
		if plan.Room[r.Pool] == 0 || !r.mayBeCopied(now) {
			continue
		}
		if gain, reason := r.gain(now); reason != "" {
			plan.Candidates = append(plan.Candidates, Candidate{Run: r.Run, VM: r.VM, Pool: r.Pool, Gain: gain, Reason: reason})
		}
	}
	slices.SortFunc(plan.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Gain, a.Gain), registrar.CompareRuns(a.Run, b.Run))
	})
	return plan
}

// MayBeLast reports whether the open tasks of a step are its last ones, or would be if they were on silent VMs.
func MayBeLast(tasks, open int) bool { return isLast(tasks, open, lastSilentPercent) }

func isLast(tasks, open, percent int) bool { return open <= max(minLastTasks, tasks*percent/100) }

func (r *Run) isSilent() bool { return r.Silence >= silentAfter }

// mayBeCopied reports whether a copy is safe and of use. A task that has failed gets none: two runs at a time use up
// its attempts sooner, and it may be one that fails everywhere. Nor does a run that its agent may still start: it
// would start after its copy is done.
func (r *Run) mayBeCopied(now jaygw.Time) bool {
	percent := lastTasksPercent
	if r.isSilent() {
		percent = lastSilentPercent
	}
	return isLast(r.Tasks, r.Open, percent) && r.Failures == 0 && r.MaxAttempts > 1 && r.Copies < maxCopies && (r.Begun || r.OrderExpired) && now < r.UsefulBefore
}

// gain returns by how much earlier a copy is expected to end than the run, and why the run is late. The reason is
// empty if the run is not late, or the gain too small.
func (r *Run) gain(now jaygw.Time) (time.Duration, string) {
	expected, known := Expected(r.Estimate, r.Siblings)
	elapsed, copyTime := max(0, now.Sub(r.Since)), expected.Median+startDelay
	var remaining time.Duration
	var reason string
	switch {
	case r.isSilent():
		// The run may be done, but nobody learns of it before contact returns or the lease of the VM ends.
		remaining, reason = r.LeaseLeft+copyTime, "its VM is silent"
	case !known || !IsLate(elapsed, expected):
		return 0, ""
	default:
		remaining, reason = r.remaining(elapsed, expected, now), "it is late"
	}
	gain := remaining - copyTime
	if gain < copyTime*minGainPercent/100 {
		return 0, ""
	}
	return gain, reason
}

// Expected returns the expected duration of a run from the learned estimate and the durations of done runs of its
// step, and whether it is known.
func Expected(learned forecaster.Estimate, siblings []time.Duration) (forecaster.Estimate, bool) {
	if len(siblings) < minSiblings {
		return learned, learned.Samples > 0
	}
	sorted := slices.Sorted(slices.Values(siblings))
	n := len(sorted)
	return forecaster.Estimate{Median: sorted[n/2], High: sorted[(n-1)*9/10], Samples: n}, true
}

// IsLate reports whether a run takes longer than is expected of it.
func IsLate(elapsed time.Duration, expected forecaster.Estimate) bool {
	return elapsed >= expected.High*latePercent/100
}

// LearnLateFactor returns the learned multiple of the median that late runs take, after one more late run. A late run that was
// stopped is expected to have taken as long again. One run counts as maxLateFactor at most: a VM that was cut off reports its ends late.
func LearnLateFactor(learned float64, took, median time.Duration, stopped bool) float64 {
	observed := float64(took) / float64(max(1, median))
	if stopped {
		observed *= 2
	}
	if learned == 0 {
		learned = initialLateFactor
	}
	observed = min(observed, maxLateFactor)
	return learned + lateFactorWeight*(observed-learned)
}

// remaining returns the expected remaining time of a late run, by its progress if that says that it ends earlier. The
// progress was measured before the latest poll, so that the time that follows from it is an upper bound.
func (r *Run) remaining(elapsed time.Duration, expected forecaster.Estimate, now jaygw.Time) time.Duration {
	factor := r.LateFactor
	if factor == 0 {
		factor = initialLateFactor
	}
	remaining := time.Duration(factor*float64(expected.Median)) - elapsed
	if remaining <= 0 {
		remaining = forecaster.ExpectedEnd(r.Since, now, expected).Sub(now)
	}
	switch {
	case r.Percent >= nearlyDonePercent:
		return 0
	case r.Percent > 0:
		return min(remaining, elapsed*time.Duration(100-r.Percent)/time.Duration(r.Percent))
	}
	return remaining
}
