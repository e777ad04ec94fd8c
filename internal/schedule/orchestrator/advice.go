package orchestrator

import (
	"context"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/allocator"
	"github.com/sirupsen/logrus"
)

type (
	// adviceTable holds the valid advice and the steps to request advice for. The lock of the VM
	// table guards it.
	adviceTable struct {
		steps   map[jaygw.StepTask]*stepAdvice
		pending []jaygw.StepTask          // steps to request advice for, the most urgent first
		workers []jaygw.WorkerIncarnation // workers in use
		ready   chan struct{}             // closed and replaced when pending steps are added
	}

	// stepAdvice is the advice for one step.
	stepAdvice struct {
		validUntil time.Time
		tickets    map[jaygw.WorkerIncarnation]string // an empty ticket forbids the step on the worker
		retryAt    time.Time                          // earliest time of the next request after a failed one
	}

	// adviceRequest is a request for advice on some incarnations of workers. The adviser knows workers by their
	// names only.
	adviceRequest struct {
		step    jaygw.StepTask
		workers []jaygw.WorkerIncarnation
	}
)

const (
	// adviceTimeout bounds a request for advice. The adviser takes time for each worker and handles
	// one call at a time.
	adviceTimeout = 5 * time.Second

	// ticketMargin is subtracted from a ticket's validity, so that the start reaches its worker in
	// time.
	ticketMargin = 300 * time.Millisecond

	// adviceRetryDelay is the delay before a failed request for advice is repeated.
	adviceRetryDelay = 300 * time.Millisecond

	// maxAdvisedSteps is the number of steps in the table above which those with expired advice are
	// removed.
	maxAdvisedSteps = 4096
)

func newAdviceTable() *adviceTable {
	return &adviceTable{steps: map[jaygw.StepTask]*stepAdvice{}, ready: make(chan struct{})}
}

// toAdviser returns the request as it is sent to the adviser.
func (r adviceRequest) toAdviser() jaygw.AdviceRequest {
	request := jaygw.AdviceRequest{Step: r.step}
	for _, worker := range r.workers {
		request.Workers = append(request.Workers, worker.Name)
	}
	return request
}

// ticket returns the valid ticket for a step on an incarnation of a worker, or an empty string.
func (t *adviceTable) ticket(step jaygw.StepTask, worker jaygw.WorkerIncarnation, now time.Time) string {
	if entry := t.steps[step]; entry != nil && now.Before(entry.validUntil) {
		return entry.tickets[worker]
	}
	return ""
}

// updatePending collects the waiting steps that require advice.
func (t *adviceTable) updatePending(view allocator.View, now time.Time) {
	waiting := allocator.AdvisedSteps(view, jaygw.TimeOf(now))
	t.pending, t.workers = nil, nil
	if len(waiting) == 0 {
		return
	}
	for _, vm := range view.VMs {
		t.workers = append(t.workers, vm.Worker.Incarnation)
	}
	for _, step := range waiting {
		if t.requiresAdvice(step, now) {
			t.pending = append(t.pending, step)
		}
	}
	if len(t.steps) > maxAdvisedSteps {
		for step, entry := range t.steps {
			if now.After(entry.validUntil) {
				delete(t.steps, step)
			}
		}
	}
	if len(t.pending) > 0 {
		close(t.ready)
		t.ready = make(chan struct{})
	}
}

// requiresAdvice reports whether advice has to be requested for a step: its advice has expired, or
// does not cover all workers.
func (t *adviceTable) requiresAdvice(step jaygw.StepTask, now time.Time) bool {
	entry := t.steps[step]
	if entry == nil {
		return true
	}
	if now.Before(entry.retryAt) {
		return false
	}
	return !now.Before(entry.validUntil) || len(t.unadvisedWorkers(step, now)) > 0
}

// unadvisedWorkers returns up to jaygw.MaxAdvisedWorkers workers that the valid advice for a step
// does not cover.
func (t *adviceTable) unadvisedWorkers(step jaygw.StepTask, now time.Time) []jaygw.WorkerIncarnation {
	entry := t.steps[step]
	var unadvised []jaygw.WorkerIncarnation
	for _, worker := range t.workers {
		if entry != nil && now.Before(entry.validUntil) {
			if _, ok := entry.tickets[worker]; ok {
				continue
			}
		}
		if unadvised = append(unadvised, worker); len(unadvised) == jaygw.MaxAdvisedWorkers {
			break
		}
	}
	return unadvised
}

// nextRequest returns the next request for advice and reports whether there is one.
func (t *adviceTable) nextRequest(now time.Time) (adviceRequest, bool) {
	for len(t.pending) > 0 {
		step := t.pending[0]
		t.pending = t.pending[1:]
		if workers := t.unadvisedWorkers(step, now); len(workers) > 0 && t.requiresAdvice(step, now) {
			return adviceRequest{step: step, workers: workers}, true
		}
	}
	return adviceRequest{}, false
}

// recordResponse stores the response to a request that was sent at sentAt. The validity of the
// advice counts from that time.
func (t *adviceTable) recordResponse(request adviceRequest, advice jaygw.Advice, err error, sentAt, now time.Time) {
	entry := t.steps[request.step]
	if entry == nil || !now.Before(entry.validUntil) {
		entry = &stepAdvice{tickets: map[jaygw.WorkerIncarnation]string{}}
		t.steps[request.step] = entry
	}
	if err != nil {
		entry.retryAt = now.Add(adviceRetryDelay)
		return
	}
	validUntil := sentAt.Add(advice.ValidFor - ticketMargin)
	if len(entry.tickets) == 0 || validUntil.Before(entry.validUntil) {
		entry.validUntil = validUntil
	}
	for _, worker := range request.workers {
		entry.tickets[worker] = advice.Tickets[worker.Name]
	}
}

// RequestAdvice requests advice for the waiting steps until the context ends. Steps that require no advice
// start meanwhile.
func (o *Orchestrator) RequestAdvice(ctx context.Context, adviser jaygw.Adviser) error {
	for {
		o.mu.Lock()
		wake := o.advice.ready
		request, ok := o.advice.nextRequest(time.Now())
		ok = ok && o.leads
		o.mu.Unlock()
		if !ok {
			select {
			case <-ctx.Done():
				return nil
			case <-wake:
			}
			continue
		}
		sentAt := time.Now()
		bounded, cancel := context.WithTimeout(ctx, adviceTimeout)
		advice, err := adviser.Advise(bounded, request.toAdviser())
		cancel()
		o.mu.Lock()
		o.advice.recordResponse(request, advice, err, sentAt, time.Now())
		o.mu.Unlock()
		o.log.WithFields(logrus.Fields{
			"step": request.step.String(), "workers": len(request.workers), "approved": len(advice.Tickets), "unreadable": advice.Unreadable,
			"took": time.Since(sentAt).String(), "error": err,
		}).Info("scheduler: advice")
		o.notifyChange("")
	}
}
