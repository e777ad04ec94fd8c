package commander

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/config/checker"
	"github.com/jaygw/jaygw/internal/observe/collector"
	"github.com/jaygw/jaygw/internal/operator/responder"
)

// maxListed is the maximum number of jobs, and of nodes, that the text output of a status lists.
const maxListed = 20

// version is the released version; the linker sets it.
var version = "development"

func (c *Commander) addEstate() {
	root := &c.parser.Subcommand
	c.add(root, "status", "show the estate", c.status)
	timeline := c.add(root, "timeline", "show what happened in all processes", c.timeline)
	timeline.String(&c.options.Subject, "u", "subject", "such as vm:NAME, task:ID, job:ENVIRONMENT/NAME or domain:NAME")
	timeline.String(&c.options.Kind, "k", "kind", "kind of event")
	timeline.String(&c.options.Since, "b", "since", "earliest time, such as 2026-01-31T08:00:00Z")
	timeline.String(&c.options.Until, "e", "until", "latest time")
	timeline.String(&c.options.SVG, "g", "svg", "file for a page with one lane for each process")
	c.add(root, "version", "show the version", func(context.Context) error {
		return c.print(map[string]string{"version": version}, func(t *tableWriter) { t.printLine("jaygw %s", version) })
	})

	domain := c.add(root, "domain", "take a failure domain out, or return it", nil)
	for _, direction := range []string{"out", "in"} {
		command := c.add(domain, direction, map[string]string{
			"out": "take a failure domain out", "in": "return a failure domain",
		}[direction], func(ctx context.Context) error { return c.setDomain(ctx, direction == "out") })
		command.AddPositionalValue(&c.options.Name, "name", 1, true, "failure domain")
	}

	job := c.add(root, "job", "submit, show or cancel batch jobs", nil)
	submit := c.add(job, "submit", "submit a batch job", c.submitJob)
	submit.AddPositionalValue(&c.options.File, "file", 1, true, "job")
	show := c.add(job, "show", "show a batch job", c.showJob)
	show.AddPositionalValue(&c.options.Name, "id", 1, true, "environment/name")
	cancel := c.add(job, "cancel", "cancel a batch job", c.cancelJob)
	cancel.AddPositionalValue(&c.options.Name, "id", 1, true, "environment/name")
}

func (c *Commander) setDomain(ctx context.Context, out bool) error {
	response, err := c.client().SetDomain(ctx, c.options.Name, out)
	direction := "in"
	if out {
		direction = "out"
	}
	return c.printChange(response, err, fmt.Sprintf("failure domain %s is %s", c.options.Name, direction))
}

func (c *Commander) submitJob(ctx context.Context) error {
	spec, err := readFile(c.options.File, checker.Job)
	if err != nil {
		return err
	}
	response, err := c.client().SubmitJob(ctx, spec)
	return c.printChange(response, err, fmt.Sprintf("job %s/%s is accepted", spec.Environment, spec.Name))
}

// jobID splits the argument that names a job.
func (c *Commander) jobID() (environment, name string, err error) {
	environment, name, ok := strings.Cut(c.options.Name, "/")
	if !ok {
		return "", "", &usageError{fmt.Errorf("%q is not of the form environment/name", c.options.Name)}
	}
	return environment, name, nil
}

func (c *Commander) showJob(ctx context.Context) error {
	environment, name, err := c.jobID()
	if err != nil {
		return err
	}
	job, err := c.client().Job(ctx, environment, name)
	if err != nil {
		return err
	}
	return c.print(job, func(t *tableWriter) { writeJob(t, job) })
}

func (c *Commander) cancelJob(ctx context.Context) error {
	environment, name, err := c.jobID()
	if err != nil {
		return err
	}
	response, err := c.client().CancelJob(ctx, environment, name)
	return c.printChange(response, err, fmt.Sprintf("job %s is being canceled", c.options.Name))
}

func (c *Commander) status(ctx context.Context) error {
	status, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	return c.print(status, func(t *tableWriter) { writeStatus(t, status) })
}

func (c *Commander) timeline(ctx context.Context) error {
	query := url.Values{}
	for name, value := range map[string]string{
		"subject": c.options.Subject, "kind": c.options.Kind, "since": c.options.Since, "until": c.options.Until,
	} {
		if value != "" {
			query.Set(name, value)
		}
	}
	timeline, err := c.client().Timeline(ctx, query)
	if err != nil {
		return err
	}
	if c.options.SVG != "" {
		return writeSVG(c.options.SVG, timeline)
	}
	return c.print(timeline, func(t *tableWriter) {
		for _, name := range timeline.Unreachable {
			t.printLine("unreachable: %s", name)
		}
		for _, e := range timeline.Events {
			t.printLine("%s\t%s\t%s\t%s\t%s", e.Clock.Wall.Std().Format("15:04:05.000000"), e.Process, e.Kind,
				strings.Join(e.Subjects, " "), e.Cause)
		}
	})
}

func writeSVG(name string, timeline collector.Timeline) error {
	file, err := os.Create(name)
	if err != nil {
		return &usageError{err}
	}
	return errors.Join(timeline.WriteSVG(file), file.Close())
}

func writeJob(t *tableWriter, job responder.JobStatus) {
	t.printLine("job %s/%s is %s: %d of %d tasks done, %d failed, %d canceled %s",
		job.Environment, job.Name, job.State, job.Done, job.Tasks, job.Failed, job.Canceled, job.Reason)
	if job.Waiting > 0 {
		t.printLine("  %d tasks wait: %s", job.Waiting, job.WaitingReason)
	}
	for _, task := range job.Open {
		t.printLine("%s\t%s\t%s\tepoch %d\tprogress %s\t%s", task.ID, task.State, task.VM, task.Epoch,
			task.Checkpoint.Progress.Std(), task.Reason)
		if task.NotRunningReason != "" {
			t.printLine("  does not run: %s", task.NotRunningReason)
		}
		if task.Moved != "" {
			t.printLine("  moved after %d evictions, last from %s", task.Evictions, task.Moved)
		}
	}
}

func writeStatus(t *tableWriter, s responder.StatusResponse) {
	t.printLine("control group %s: replica %d, leader %d, term %d, index %d", s.Replica.Group, s.Replica.ID, s.Replica.Leader, s.Replica.Term, s.Index)
	for _, m := range s.Replica.Members {
		t.printLine("  member %d\t%s\t%s\t%s\tvoter %t", m.ID, m.Name, m.Address, m.Domain, m.Voter)
	}
	writeSpread(t, s.Replica.Spread)
	for _, e := range s.Environments {
		if e.InForce == nil {
			t.printLine("environment %s: no document in force", e.Name)
		} else {
			t.printLine("environment %s: document %d in force, digest %.12s", e.Name, e.InForce.Number, e.InForce.Digest)
		}
		for _, d := range e.Trials {
			t.printLine("  on trial: document %d, digest %s, by %s", d.Number, d.Digest, d.Author)
		}
	}
	writeNodes(t, s.Nodes)
	writeDomains(t, s)
	for _, team := range s.Teams {
		t.printLine("team %s/%s\t%s of %s", team.Environment, team.Name, formatResources(team.Used), formatResources(team.Quota))
	}
	for i, job := range s.Jobs {
		if i == maxListed {
			t.printLine("and %d more jobs; --output json shows all", len(s.Jobs)-i)
			break
		}
		writeJob(t, job)
	}
	for _, state := range []jaygw.TaskState{jaygw.Waiting, jaygw.Granted, jaygw.Running, jaygw.Stopping} {
		t.printLine("tasks %s\t%d", state, s.Tasks[string(state)])
	}
}

// writeSpread writes which losses of a failure domain end the control group, if there are any.
func writeSpread(t *tableWriter, spread jaygw.VoterSpread) {
	if len(spread.Critical) == 0 {
		return
	}
	outlook := "no set of its members withstands the loss of any one domain"
	if spread.Possible {
		outlook = "votes move once members in other domains have caught up"
	}
	t.printLine("  the loss of domain %s ends the control group; %s", strings.Join(spread.Critical, " or "), outlook)
}

// writeNodes writes the nodes that have not acknowledged the last change of the view.
func writeNodes(t *tableWriter, nodes []jaygw.NodeStatus) {
	behind := 0
	for _, n := range nodes {
		if !n.Behind {
			continue
		}
		if behind++; behind <= maxListed {
			t.printLine("  behind: %s\tindex %d\tsilent for %s", n.Name, n.Index, n.SilentFor.Std().Round(time.Millisecond))
		}
	}
	t.printLine("view: %d nodes, %d behind", len(nodes), behind)
}

// writeDomains writes one line for each failure domain, with the sums over its VMs, so that the
// status of a large estate fits on a screen.
func writeDomains(t *tableWriter, s responder.StatusResponse) {
	for _, d := range s.Domains {
		var committed, size jaygw.Resources
		vms, leaving := 0, 0
		for _, vm := range s.VMs {
			if vm.Domain != d.Name {
				continue
			}
			vms++
			committed, size = committed.Add(vm.Committed), size.Add(vm.Size)
			if vm.Leaving {
				leaving++
			}
		}
		t.printLine("failure domain %s\t%s\t%d VMs, %d leaving\t%s of %s", d.Name,
			map[bool]string{true: "out", false: "in"}[d.Out], vms, leaving, formatResources(committed), formatResources(size))
	}
}

// formatResources formats resources in cores, GB and accelerators.
func formatResources(r jaygw.Resources) string {
	return fmt.Sprintf("%.1f cores, %.1f GB, %d accelerators", float64(r.CPU)/float64(jaygw.Core), float64(r.Memory)/float64(jaygw.GB), r.Accelerators)
}
