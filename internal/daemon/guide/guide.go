// Package guide shows a local estate at work: it drives requests, batch tasks and
// a failure domain that leaves and returns, and checks the promises from the
// outside.
package guide

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
	// Plan says what the tour does.
	Plan struct {
		Document   jaygw.Document
		Job        jaygw.JobSpec
		Service    string
		PerSecond  int           // requests
		Work       time.Duration // of one request at the upstream
		Before     time.Duration // until the domain leaves
		Away       time.Duration
		After      time.Duration // between the return and the end of the requests
		Limit      time.Duration // for the whole tour
		SettleTime time.Duration // pause between two looks at the status
	}

	// Guide runs the tour on an estate.
	Guide struct {
		plan   Plan
		estate *launcher.Local
		client *client.Client
		out    io.Writer
	}

	// Report is what the tour has measured.
	Report struct {
		Requests  RequestReport
		Job       responder.JobStatus
		JobTime   time.Duration
		Evictions int
		Away      int // batch tasks completed while the domain was away
		Promises  []Promise
	}

	// Promise is one checked promise.
	Promise struct {
		Name    string
		Checked int
		Broken  []string
	}
)

// New returns the guide of a running estate.
func New(plan Plan, estate *launcher.Local, out io.Writer) *Guide {
	return &Guide{plan: plan, estate: estate, client: client.New(estate.Operators), out: out}
}

// Run goes on the tour.
func (g *Guide) Run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, g.plan.Limit)
	defer cancel()
	var report Report
	if err := g.prepare(ctx); err != nil {
		return report, err
	}
	started := time.Now()
	if _, err := g.client.SubmitJob(ctx, g.plan.Job); err != nil {
		return report, err
	}
	requests := newRequester(g.estate.Callers, g.plan)
	requestsCtx, stopRequests := context.WithCancel(ctx)
	defer stopRequests()
	var callers, job errgroup.Group
	callers.Go(func() error { requests.run(requestsCtx); return nil })
	job.Go(func() (err error) {
		report.Job, err = g.finishJob(ctx)
		report.JobTime = time.Since(started)
		return err
	})
	outage, err := g.moveDomain(ctx)
	stopRequests()
	if err := errors.Join(err, job.Wait(), callers.Wait()); err != nil {
		return report, err
	}
	report.Requests = requests.report()
	if err := g.examine(ctx, &report, outage, requests); err != nil {
		return report, err
	}
	report.write(g.out, g.plan)
	return report, nil
}

// prepare waits for all VMs, so that the services spread over all failure domains,
// puts the document in force and waits until its services run.
func (g *Guide) prepare(ctx context.Context) error {
	if err := g.wait(ctx, func(status responder.StatusResponse) bool {
		return len(status.VMs) == len(g.estate.Workers)
	}); err != nil {
		return err
	}
	fmt.Fprintf(g.out, "submitting document %d of environment %s\n", g.plan.Document.Number, g.plan.Document.Environment)
	submitted, err := g.retry(ctx, func() (responder.ChangeResponse, error) {
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
	return g.wait(ctx, func(status responder.StatusResponse) bool {
		return status.Tasks[string(jaygw.Running)] >= replicas
	})
}

func (g *Guide) retry(ctx context.Context, change func() (responder.ChangeResponse, error)) (responder.ChangeResponse, error) {
	for {
		response, err := change()
		if err == nil && response.Refusal != nil {
			return response, response.Refusal
		}
		if err == nil {
			return response, nil
		}
		if !sleep(ctx, g.plan.SettleTime) {
			return response, err
		}
	}
}

func (g *Guide) wait(ctx context.Context, reached func(responder.StatusResponse) bool) error {
	for {
		status, err := g.client.Status(ctx)
		if err == nil && reached(status) {
			return nil
		}
		if !sleep(ctx, g.plan.SettleTime) {
			return eris.New("the estate did not reach the expected state in time")
		}
	}
}

// outage is the time that a failure domain was out.
type outage struct {
	domain   string
	from, to time.Time
}

func (g *Guide) moveDomain(ctx context.Context) (outage, error) {
	gone := outage{domain: g.plan.Document.Domains[len(g.plan.Document.Domains)-1].Name}
	sleep(ctx, g.plan.Before)
	if _, err := g.client.SetDomain(ctx, gone.domain, true); err != nil {
		return gone, err
	}
	gone.from = time.Now()
	fmt.Fprintf(g.out, "failure domain %s is out\n", gone.domain)
	sleep(ctx, g.plan.Away)
	if _, err := g.client.SetDomain(ctx, gone.domain, false); err != nil {
		return gone, err
	}
	gone.to = time.Now()
	fmt.Fprintf(g.out, "failure domain %s is back\n", gone.domain)
	sleep(ctx, g.plan.After)
	return gone, ctx.Err()
}

func (g *Guide) finishJob(ctx context.Context) (responder.JobStatus, error) {
	for {
		job, err := g.client.Job(ctx, g.plan.Job.Environment, g.plan.Job.Name)
		if err == nil && job.State != jaygw.JobActive {
			return job, nil
		}
		if !sleep(ctx, g.plan.SettleTime) {
			return job, eris.Errorf("job %s did not end in time: %d of %d tasks are done", g.plan.Job.Name, job.Done, job.Tasks)
		}
	}
}

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
