// Package admitter decides which submitted workflows are refused because the work that was accepted before them leaves
// them no useful end. It performs no I/O and reads no clock.
package admitter

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/allocator"
	"github.com/jaygw/jaygw/internal/schedule/forecaster"
)

type (
	// View is the state from which the expected times are computed.
	View struct {
		Catalog   *jaygw.Catalog
		Workflows []*registrar.Workflow
		// Cores is the CPU of the usable VMs, by service.
		Cores map[string]float64
		// Largest is, by service, the size that a task may have to fit on a usable VM; a service without one has no bound.
		Largest map[string]jaygw.Resources
		// Estimate returns the expected duration of a run of a queue's step; nil stands for the declared one.
		Estimate func(queue string, step int, declared time.Duration) forecaster.Estimate
		// Known reports whether a workflow is in the state; nil if none is.
		Known func(id string) bool
	}

	// Submission is a workflow that is not in the state, and the queue that would take it.
	Submission struct {
		Spec  *jaygw.WorkflowSpec
		Queue *jaygw.Queue
	}

	// Decision is the decision on a submission.
	Decision struct {
		Refused bool
		// Expected is the time until the expected end of a refused workflow; the longest duration if it
		// would not be served while the overload lasts.
		Expected time.Duration
		// Objective is the time within which the workflow should end.
		Objective time.Duration
		// RetryAfter is the time after which a refused workflow should be submitted again, in whole seconds.
		RetryAfter time.Duration
		// Preferred is set if the workflow was refused before.
		Preferred bool

		predicted time.Duration // time until the end if the workflow does not turn late before its start
	}

	// Admitter holds a summary of the work by queue. It is not safe for concurrent use.
	Admitter struct {
		since     jaygw.Time // start of the warm-up
		refreshed jaygw.Time
		classes   map[classKey]*class
		cores     map[string]float64 // of the usable VMs, by service
		estimates estimates
		refused   refusedTable
	}
)

const (
	// warmUp is the time after a change of leader during which everything is admitted: the VMs have to poll and
	// the first runs to end before rates are known.
	warmUp = 3 * time.Second

	// overloadTime is the time for which a queue has to be overloaded before anything is refused.
	overloadTime = time.Second

	// minRetry and maxRetry bound the time until a retry, without the jitter. Callers that wait for longer would return
	// to an idle pool.
	minRetry = time.Second
	maxRetry = 30 * time.Second

	// jitterPercent is the largest jitter of a retry, in percent of the time until the retry; at least a second is used.
	jitterPercent = 25

	// minSlackPart is the part of the time between critical path and objective that a workflow may always wait.
	minSlackPart = 4

	// maxPredicted bounds the predictions of a class. Workflows beyond it do not correct later ones.
	maxPredicted = 4096

	// maxClasses bounds the table of classes. Workflows beyond it are admitted.
	maxClasses = 1024

	// crowdedShare is the part of its share below which a class with delayed workflows counts as crowded out.
	crowdedShare = 0.9

	// maxWait bounds the computed times, so that their sums do not overflow.
	maxWait = 1000 * time.Hour

	// Never is the expected time of a workflow that would not be served while the overload lasts.
	Never = time.Duration(math.MaxInt64)
)

// New returns an admitter that admits everything until it is warm.
func New(now jaygw.Time) *Admitter {
	return &Admitter{since: now, refreshed: now, classes: map[classKey]*class{}, estimates: estimates{}, refused: newRefusedTable()}
}

// RecordDone records a task of an accepted workflow whose run has ended as done.
func (a *Admitter) RecordDone(spec *jaygw.WorkflowSpec, queue *jaygw.Queue, step int, now jaygw.Time) {
	if isExempt(spec, queue) || step < 0 || step >= len(spec.Steps) {
		return
	}
	if c := a.classOf(spec, queue, now); c != nil {
		c.done.add(allocator.TaskWork(&spec.Steps[step]), now)
	}
}

// RecordEnd records the end of an accepted workflow, and the time that it took if it was completed.
func (a *Admitter) RecordEnd(w *registrar.Workflow, now jaygw.Time) {
	c := a.classes[keyOf(w.Queue.Name, &w.Spec)]
	if c == nil {
		return
	}
	predicted, ok := c.predicted[w.Spec.ID]
	delete(c.predicted, w.Spec.ID)
	if ok && w.State == jaygw.WorkflowCompleted && now >= c.sheltered {
		excess := now.Sub(w.Accepted) - predicted.took
		if predicted.busy {
			c.busy.add(excess)
		} else {
			c.calm.add(excess)
		}
	}
}

// Refresh updates the summary.
func (a *Admitter) Refresh(view View, now jaygw.Time) {
	elapsed := max(0, now.Sub(a.refreshed).Seconds())
	a.refreshed, a.cores = now, view.Cores
	estimate := a.estimates.recording(view.Estimate)
	for _, c := range a.classes {
		c.backlog = backlog{}
		for id, p := range c.pending {
			known := view.Known != nil && view.Known(id)
			if known || now.Sub(p.at) > pendingAge {
				delete(c.pending, id)
			}
			if !known && now.Sub(p.at) > pendingAge {
				delete(c.predicted, id)
			}
		}
	}
	for _, w := range view.Workflows {
		queue := view.Catalog.QueueAt(w.Queue.Host, w.Queue.Prefix)
		if queue == nil {
			queue = &w.Queue
		}
		if isExempt(&w.Spec, queue) || len(w.Occurrences) == 0 || !view.fits(&w.Spec, queue.Service) {
			continue
		}
		if c := a.classOf(&w.Spec, queue, now); c != nil {
			c.backlog.add(w, queue, estimate, now)
		}
	}
	outstanding, due := a.refused.outstanding(now)
	pools := map[string][]*class{}
	for key, c := range a.classes {
		c.backlog.index()
		c.refused, c.reserved = outstanding[key], due[key]
		c.updateDelayed(now)
		if len(a.classes) > maxClasses/2 && c.isIdle(now) {
			delete(a.classes, key)
			continue
		}
		pools[c.service] = append(pools[c.service], c)
	}
	for _, classes := range pools {
		setRates(classes, now)
	}
	for _, c := range a.classes {
		c.virtual = max(0, c.virtual-c.rate*elapsed)
		if !c.crowding {
			c.virtual = min(c.virtual, c.waiting())
		}
	}
}

// fits reports whether each task of a workflow fits on some VM. Others wait without delaying anything.
func (v *View) fits(spec *jaygw.WorkflowSpec, service string) bool {
	largest, ok := v.Largest[service]
	for i := range spec.Steps {
		if ok && !spec.Steps[i].Size.Fits(largest) {
			return false
		}
	}
	return true
}

// isIdle reports whether the class holds nothing any more.
func (c *class) isIdle(now jaygw.Time) bool {
	return c.backlog.workflows == 0 && len(c.pending) == 0 && c.refused == 0 && c.offered.rate(now) == 0 && c.done.rate(now) == 0
}

// Expected returns, for each queue with waiting work, the time in which it is expected to be served.
func (a *Admitter) Expected() map[string]time.Duration {
	expected := map[string]time.Duration{}
	for key, c := range a.classes {
		wait := time.Duration(0)
		if c.rate > 0 {
			wait = seconds(c.waiting() / c.rate)
		}
		expected[key.queue] = max(expected[key.queue], wait)
	}
	return expected
}

// Decide decides on a submission and records the decision. A workflow that was admitted lately is admitted again.
func (a *Admitter) Decide(s Submission, now jaygw.Time) Decision {
	id := s.Spec.ID
	if isExempt(s.Spec, s.Queue) {
		return Decision{}
	}
	c := a.classOf(s.Spec, s.Queue, now)
	if c == nil {
		return Decision{}
	}
	if _, ok := c.pending[id]; ok {
		return Decision{}
	}
	p := allocator.ProspectOf(s.Spec, s.Queue)
	entry, returned := a.refused.entries[id]
	if !returned {
		c.offered.add(p.Work, now)
	}
	d := a.judge(c, s, p, returned, now)
	key := keyOf(s.Queue.Name, s.Spec)
	if !d.Refused {
		c.pending[id] = pendingWorkflow{work: p.Work, at: now}
		c.virtual += p.Work
		if len(c.predicted) < maxPredicted {
			c.predicted[id] = prediction{took: d.predicted, busy: c.isOverloaded(now)}
		}
		if returned && entry.class == key {
			c.refused -= min(c.refused, entry.work)
		}
		delete(a.refused.entries, id)
		return d
	}
	if !returned {
		c.refused += p.Work
	}
	a.refused.add(id, refusedEntry{class: key, work: p.Work, due: now.Add(d.RetryAfter)})
	return d
}

// judge decides on a submission by the summary.
func (a *Admitter) judge(c *class, s Submission, p allocator.Prospect, returned bool, now jaygw.Time) Decision {
	d := Decision{Objective: p.Objective, Preferred: returned}
	own := a.estimates.ownPath(s.Queue.Name, s.Spec)
	if cores := a.cores[c.service]; cores > 0 {
		own = max(own, seconds(p.Work/cores))
	}
	d.predicted = own
	if now.Sub(a.since) < warmUp || c.rate <= 0 || now < c.sheltered || !c.crowding && !c.isOverloaded(now) {
		return d
	}
	alone := c.backlog.workflows == 0 && len(c.pending) == 0
	ahead := c.ahead(p.Work)
	if alone || ahead <= 0 || own > p.Useful {
		return d
	}
	if c.crowding {
		ahead = max(ahead, c.virtual)
	}
	if !returned {
		ahead += c.reserved
	}
	// Wrong estimates of its own duration must not use up all of the time that a workflow may wait.
	corrected := own + c.correction(now)
	slack := max(p.Objective-corrected, (p.Objective-p.CriticalPath)/minSlackPart)
	wait := seconds((ahead + p.Work) / c.rate)
	d.predicted = wait + own
	d.Expected = wait + corrected
	if wait > slack {
		// The workflow would turn late while it waits, and all later ones that are not late would go first,
		// also those that were refused and return.
		d.Expected = Never
		if left := c.rate - c.offered.rate(now); left > 0 {
			d.Expected = seconds((ahead+c.backlog.late+c.refused+p.Work)/left) + corrected
		}
	}
	if d.Expected <= p.Useful {
		return d
	}
	d.Refused = true
	d.RetryAfter = retryAfter(s.Spec.ID, wait-slack+seconds(c.refused/c.rate))
	return d
}

// retryAfter returns the time until a retry in whole seconds, with a jitter that follows from the workflow's id.
func retryAfter(id string, wait time.Duration) time.Duration {
	wait = min(max(wait, minRetry), maxRetry)
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // a hash returns no error
	jitter := max(time.Second, wait*jitterPercent/100)
	wait += time.Duration(hash.Sum32()) % (jitter + 1)
	return (wait + time.Second - 1).Truncate(time.Second)
}

// isExempt reports whether a workflow is always admitted, and left out of the backlog: lasting and repeating ones hold
// capacity rather than wait for it, and those of advised queues wait for tickets.
func isExempt(spec *jaygw.WorkflowSpec, queue *jaygw.Queue) bool {
	if spec.Repetitions != 0 || queue.Advised {
		return true
	}
	for i := range spec.Steps {
		if spec.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// classOf returns the class of a workflow, or nil if the table is full.
func (a *Admitter) classOf(spec *jaygw.WorkflowSpec, queue *jaygw.Queue, now jaygw.Time) *class {
	key := keyOf(queue.Name, spec)
	c := a.classes[key]
	if c == nil {
		if len(a.classes) >= maxClasses {
			return nil
		}
		c = &class{offered: newMeter(now), done: newMeter(now), pending: map[string]pendingWorkflow{}, predicted: map[string]prediction{}}
		a.classes[key] = c
	}
	c.service, c.priority = queue.Service, queue.Priority
	return c
}

// seconds returns a duration of a number of seconds, at most maxWait.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}
