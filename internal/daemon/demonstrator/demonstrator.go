// Package demonstrator demonstrates a local estate: it sends requests, submits a batch job, takes
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

// New returns a Demonstrator for a running estate that prints to out.
func New(plan Plan, estate *launcher.Local, out io.Writer) *Demonstrator {
	return &Demonstrator{plan: plan, estate: estate, client: client.New(estate.Operators), out: out}
}

// Run runs the tour and prints its report. A broken promise is part of the report and not an
// error.
func (d *Demonstrator) Run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, d.plan.Timeout)
	defer cancel()
	var report Report
	if err := d.prepare(ctx); err != nil {
		return report, err
	}
	start := time.Now()
	if _, err := d.client.SubmitJob(ctx, d.plan.Job); err != nil {
		return report, err
	}
	requests := newRequester(d.estate.Callers, d.plan)
	requestCtx, stopRequests := context.WithCancel(ctx)
	defer stopRequests()
	var requestGroup, jobGroup errgroup.Group
	requestGroup.Go(func() error { requests.run(requestCtx); return nil })
	jobGroup.Go(func() (err error) {
		report.Job, err = d.waitForJob(ctx)
		report.JobTime = time.Since(start)
		return err
	})
	outage, err := d.cycleDomain(ctx)
	stopRequests()
	if err := errors.Join(err, jobGroup.Wait(), requestGroup.Wait()); err != nil {
		return report, err
	}
	report.Requests = requests.report()
	if err := d.checkPromises(ctx, &report, outage, requests); err != nil {
		return report, err
	}
	report.write(d.out, d.plan)
	return report, nil
}

// prepare waits for all VMs, so that the services spread over all failure domains. Then it
// promotes the document and waits until its services run.
func (d *Demonstrator) prepare(ctx context.Context) error {
	if err := d.waitForStatus(ctx, func(status responder.StatusResponse) bool {
		return len(status.VMs) == len(d.estate.Workers)
	}); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "submitting document %d of environment %s\n", d.plan.Document.Number, d.plan.Document.Environment)
	submitted, err := d.retryChange(ctx, func() (responder.ChangeResponse, error) {
		return d.client.Submit(ctx, d.plan.Document, "tour")
	})
	if err != nil {
		return err
	}
	if _, err := d.client.Promote(ctx, d.plan.Document.Environment, submitted.Digest, "tour"); err != nil {
		return err
	}
	replicas := 0
	for _, service := range d.plan.Document.Services {
		replicas += service.Replicas
	}
	fmt.Fprintf(d.out, "promoted digest %.12s; waiting for %d service replicas\n", submitted.Digest, replicas)
	return d.waitForStatus(ctx, func(status responder.StatusResponse) bool {
		return status.Tasks[string(jaygw.Running)] >= replicas
	})
}

// retryChange repeats a change until it is accepted or refused, or the context ends.
func (d *Demonstrator) retryChange(ctx context.Context, change func() (responder.ChangeResponse, error)) (responder.ChangeResponse, error) {
	for {
		response, err := change()
		if err == nil && response.Refusal != nil {
			return response, response.Refusal
		}
		if err == nil {
			return response, nil
		}
		if !sleep(ctx, d.plan.PollInterval) {
			return response, err
		}
	}
}

// waitForStatus waits until the status of the estate meets a condition.
func (d *Demonstrator) waitForStatus(ctx context.Context, condition func(responder.StatusResponse) bool) error {
	for {
		status, err := d.client.Status(ctx)
		if err == nil && condition(status) {
			return nil
		}
		if !sleep(ctx, d.plan.PollInterval) {
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
func (d *Demonstrator) cycleDomain(ctx context.Context) (domainOutage, error) {
	outage := domainOutage{domain: d.plan.Document.Domains[len(d.plan.Document.Domains)-1].Name}
	sleep(ctx, d.plan.OutageDelay)
	if _, err := d.client.SetDomain(ctx, outage.domain, true); err != nil {
		return outage, err
	}
	outage.from = time.Now()
	fmt.Fprintf(d.out, "failure domain %s is out\n", outage.domain)
	sleep(ctx, d.plan.OutageLength)
	if _, err := d.client.SetDomain(ctx, outage.domain, false); err != nil {
		return outage, err
	}
	outage.to = time.Now()
	fmt.Fprintf(d.out, "failure domain %s is back\n", outage.domain)
	sleep(ctx, d.plan.TimeAfterOutage)
	return outage, ctx.Err()
}

// waitForJob waits until the job has ended.
func (d *Demonstrator) waitForJob(ctx context.Context) (responder.JobStatus, error) {
	for {
		job, err := d.client.Job(ctx, d.plan.Job.Environment, d.plan.Job.Name)
		if err == nil && job.State != jaygw.JobActive {
			return job, nil
		}
		if !sleep(ctx, d.plan.PollInterval) {
			return job, eris.Errorf("job %s did not end in time: %d of %d tasks are done", d.plan.Job.Name, job.Done, job.Tasks)
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
