// Package guide demonstrates a local estate: it sends requests, submits a batch job, takes
// a failure domain out and returns it, and checks the promises at the callers and workers.
package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/daemon/launcher"
	"github.com/jaygw/jaygw/internal/operator/client"
	"github.com/jaygw/jaygw/internal/operator/responder"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

type (
	// Plan configures the tour.
	Plan struct {
		Document        jaygw.Document // promoted first; its last failure domain is taken out
		Job             jaygw.JobSpec
		Service         string        // that the requests are sent to
		RequestRate     int           // number of requests sent each second
		ServiceTime     time.Duration // execution time of a request at the upstream
		OutageDelay     time.Duration // between the first request and the start of the outage
		OutageLength    time.Duration // length of the failure domain's outage
		TimeAfterOutage time.Duration // between the return of the domain and the last request
		Timeout         time.Duration // maximum time of the tour
		PollInterval    time.Duration // interval between two requests for the status
	}

	// Demonstrator runs the tour on a local estate and prints its report.
	Demonstrator struct {
		plan   Plan
		estate *launcher.Local
		client *client.Client
		out    io.Writer
	}

	// Report holds the measurements of a tour.
	Report struct {
		Requests          RequestReport
		Job               responder.JobStatus
		JobTime           time.Duration // between the submission of the job and its end
		Evictions         int           // runs that were stopped before they completed
		CompletedInOutage int           // batch tasks completed during the outage of the failure domain
		Promises          []Promise
	}

	// Promise is a promise of the product, with the result of its check.
	Promise struct {
		Name       string
		Checked    int      // number of cases
		Violations []string // one line for each violation
	}
)

// New returns a guide for a running estate that prints to out.
func New(plan Plan, estate *launcher.Local, out io.Writer) *Demonstrator {
	return &Demonstrator{plan: plan, estate: estate, client: client.New(estate.Operators), out: out}
}

// Run runs the tour and prints its report. A broken promise is part of the report and not an
// error.
func (g *Demonstrator) Run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, g.plan.Timeout)
	defer cancel()
	var report Report
	if err := g.prepare(ctx); err != nil {
		return report, err
	}
	start := time.Now()
	if _, err := g.client.SubmitJob(ctx, g.plan.Job); err != nil {
		return report, err
	}
	requests := newRequester(g.estate.Callers, g.plan)
	requestCtx, stopRequests := context.WithCancel(ctx)
	defer stopRequests()
	var requestGroup, jobGroup errgroup.Group
	requestGroup.Go(func() error { requests.run(requestCtx); return nil })
	jobGroup.Go(func() (err error) {
		report.Job, err = g.waitForJob(ctx)
		report.JobTime = time.Since(start)
		return err
	})
	outage, err := g.cycleDomain(ctx)
	stopRequests()
	if err := errors.Join(err, jobGroup.Wait(), requestGroup.Wait()); err != nil {
		return report, err
	}
	report.Requests = requests.report()
	if err := g.checkPromises(ctx, &report, outage, requests); err != nil {
		return report, err
	}
	report.write(g.out, g.plan)
	return report, nil
}

// prepare waits for all VMs, so that the services spread over all failure domains. Then it
// promotes the document and waits until its services run.
func (g *Demonstrator) prepare(ctx context.Context) error {
	if err := g.waitForStatus(ctx, func(status responder.StatusResponse) bool {
		return len(status.VMs) == len(g.estate.Workers)
	}); err != nil {
		return err
	}
	fmt.Fprintf(g.out, "submitting document %d of environment %s\n", g.plan.Document.Number, g.plan.Document.Environment)
	submitted, err := g.retryChange(ctx, func() (responder.ChangeResponse, error) {
		return g.client.Submit(ctx, g.plan.Document, "tour")
	})
	if err != nil {
		return err
	}
	if _, err := g.client.Promote(ctx, g.plan.Document.Environment, submitted.Digest, "tour"); err != nil {
		return err
	}
	replicas := 0
	for _, service := range g.plan.Document.Services {
		replicas += service.Replicas
	}
	fmt.Fprintf(g.out, "promoted digest %.12s; waiting for %d service replicas\n", submitted.Digest, replicas)
	return g.waitForStatus(ctx, func(status responder.StatusResponse) bool {
		return status.Tasks[string(jaygw.Running)] >= replicas
	})
}

// retryChange repeats a change until it is accepted or refused, or the context ends.
func (g *Demonstrator) retryChange(ctx context.Context, change func() (responder.ChangeResponse, error)) (responder.ChangeResponse, error) {
	for {
		response, err := change()
		if err == nil && response.Refusal != nil {
			return response, response.Refusal
		}
		if err == nil {
			return response, nil
		}
		if !sleep(ctx, g.plan.PollInterval) {
			return response, err
		}
	}
}

// waitForStatus waits until the status of the estate meets a condition.
func (g *Demonstrator) waitForStatus(ctx context.Context, condition func(responder.StatusResponse) bool) error {
	for {
		status, err := g.client.Status(ctx)
		if err == nil && condition(status) {
			return nil
		}
		if !sleep(ctx, g.plan.PollInterval) {
			return eris.New("the estate did not reach the expected state in time")
		}
	}
}

// domainOutage is the time during which a failure domain was out.
type domainOutage struct {
	domain   string
	from, to time.Time
}

// cycleDomain takes the last failure domain of the document out and returns it.
func (g *Demonstrator) cycleDomain(ctx context.Context) (domainOutage, error) {
	outage := domainOutage{domain: g.plan.Document.Domains[len(g.plan.Document.Domains)-1].Name}
	sleep(ctx, g.plan.OutageDelay)
	if _, err := g.client.SetDomain(ctx, outage.domain, true); err != nil {
		return outage, err
	}
	outage.from = time.Now()
	fmt.Fprintf(g.out, "failure domain %s is out\n", outage.domain)
	sleep(ctx, g.plan.OutageLength)
	if _, err := g.client.SetDomain(ctx, outage.domain, false); err != nil {
		return outage, err
	}
	outage.to = time.Now()
	fmt.Fprintf(g.out, "failure domain %s is back\n", outage.domain)
	sleep(ctx, g.plan.TimeAfterOutage)
	return outage, ctx.Err()
}

// waitForJob waits until the job has ended.
func (g *Demonstrator) waitForJob(ctx context.Context) (responder.JobStatus, error) {
	for {
		job, err := g.client.Job(ctx, g.plan.Job.Environment, g.plan.Job.Name)
		if err == nil && job.State != jaygw.JobActive {
			return job, nil
		}
		if !sleep(ctx, g.plan.PollInterval) {
			return job, eris.Errorf("job %s did not end in time: %d of %d tasks are done", g.plan.Job.Name, job.Done, job.Tasks)
		}
	}
}

// sleep reports whether d passed before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
