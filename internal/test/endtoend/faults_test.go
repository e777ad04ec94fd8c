package endtoend

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/config/checker"
	"github.com/jaygw/jaygw/internal/operator/responder"
	"github.com/jaygw/jaygw/internal/platform/emulator"
	"github.com/stretchr/testify/require"
)

const (
	faultsTimeout  = 4 * time.Minute
	startTolerance = 3 * time.Second  // how long tasks may still start in a domain taken out
	pauseTime      = 13 * time.Second // length of an agent's pause; longer than jaygw.BatchLease
	seed           = 20261204
	newMemberID    = 4 // of the member that replaces the replica whose disk is lost

	// maxReportTime bounds the time until a report is committed: a change of the leader takes
	// at most 2 s, and the next renewal then carries the report.
	maxReportTime = 3 * time.Second
)

// domainOutage is the time during which a failure domain was out, by the test's clock: from
// the response to the command that takes it out until the command that returns it is sent.
type domainOutage struct {
	domain   string
	from, to time.Time
}

// TestPromisesHoldUnderFaults guards against violations of the promises about tasks and
// requests while processes are killed, paused and restarted, a failure domain is taken out
// and returned, and a replica loses its disk. They are checked on what the callers,
// upstreams and workers recorded.
func TestPromisesHoldUnderFaults(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), faultsTimeout)
	defer cancel()
	e := newEstate(t)
	document := testDocument()
	e.promote(ctx, document)

	requests := newCallers(e, seed)
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() { requests.run(callersCtx, fmt.Sprintf("caller-%d", i)) })
	}

	jobs := []string{e.submitJob(ctx, "impose-1", 60)}
	e.restartAgent(0)
	e.restartLeader(ctx)
	jobs = append(jobs, e.submitJob(ctx, "impose-2", 60))
	paused := e.pauseAgent(ctx, 4)
	outage := e.cycleDomain(ctx, "south")
	jobs = append(jobs, e.submitJob(ctx, "impose-3", 30))
	e.replaceDisk(ctx)
	jobs = append(jobs, e.submitJob(ctx, "impose-4", 20))
	for _, job := range jobs {
		e.waitForJob(ctx, job)
	}
	stopCallers()
	group.Wait()

	status, err := e.operator(ctx).Status(ctx)
	require.NoError(t, err)
	require.Equal(t, checker.Digest(document), status.Environments[0].InForce.Digest)
	e.timeline, err = e.operator(ctx).Timeline(ctx, nil)
	require.NoError(t, err)
	for _, d := range e.daemons() {
		require.NoError(t, e.terminate(d), d.settings.Name)
	}
	e.checkTasks(170, outage, paused)
	e.checkRequests(requests)
}

// testDocument returns a document with one service and all failure domains.
func testDocument() jaygw.Document {
	quota := jaygw.Resources{CPU: 500 * jaygw.Core, Memory: 900 * jaygw.GB}
	document := jaygw.Document{
		Environment: "proofing", Number: 1, Author: "test",
		Teams: []jaygw.TeamSpec{{Name: "prepress", Quota: quota}},
		Services: []jaygw.ServiceSpec{{
			Name: "preview", Team: "prepress", Class: jaygw.LatencyCritical, Replicas: 8,
			Resources: jaygw.Resources{CPU: 2 * jaygw.Core, Memory: 4 * jaygw.GB}, Timeout: jaygw.Duration(2 * time.Second),
		}},
	}
	for _, name := range domainNames {
		document.Domains = append(document.Domains, jaygw.DomainSpec{Name: name, Region: "province"})
	}
	return document
}

func (e *estate) promote(ctx context.Context, document jaygw.Document) {
	e.t.Helper()
	operator := e.operator(ctx)
	submitted, err := operator.Submit(ctx, document, "test")
	require.NoError(e.t, err)
	require.Nil(e.t, submitted.Refusal)
	promoted, err := operator.Promote(ctx, document.Environment, submitted.Digest, "test")
	require.NoError(e.t, err)
	require.Nil(e.t, promoted.Refusal)
	e.waitForStatus(ctx, "all replicas of the service run", func(s responder.StatusResponse) bool {
		return s.Tasks[string(jaygw.Running)] >= document.Services[0].Replicas
	})
}

func (e *estate) submitJob(ctx context.Context, name string, tasks int) string {
	e.t.Helper()
	response, err := e.operator(ctx).SubmitJob(ctx, jaygw.JobSpec{
		Name: name, Environment: "proofing", Team: "prepress", Tasks: tasks,
		Resources: jaygw.Resources{CPU: 3 * jaygw.Core, Memory: 8 * jaygw.GB}, RunTime: jaygw.Duration(2 * time.Second),
	})
	require.NoError(e.t, err)
	require.Nil(e.t, response.Refusal)
	return name
}

func (e *estate) waitForJob(ctx context.Context, name string) {
	e.t.Helper()
	for ctx.Err() == nil {
		if job, err := e.operator(ctx).Job(ctx, "proofing", name); err == nil && job.State != jaygw.JobActive {
			require.Equal(e.t, jaygw.JobDone, job.State, job.Reason)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Fail(e.t, "job "+name+" has not ended")
}

func (e *estate) restartAgent(number int) {
	e.kill(e.agents[number])
	time.Sleep(time.Second)
	e.start(e.agents[number])
}

func (e *estate) restartLeader(ctx context.Context) {
	leader := e.entries[e.leader(ctx)]
	e.kill(leader)
	time.Sleep(time.Second)
	e.start(leader)
}

// pause is the time during which the agent of a worker was stopped and could not report.
type pause struct {
	worker   *worker
	from, to time.Time
}

// pauseAgent waits until there is a leader that the agent can report to, then stops the agent
// for longer than its batch lease and lets it continue.
func (e *estate) pauseAgent(ctx context.Context, number int) pause {
	e.operator(ctx)
	p := pause{worker: e.workers[number], from: time.Now()}
	e.signal(e.agents[number], syscall.SIGSTOP)
	time.Sleep(pauseTime)
	e.signal(e.agents[number], syscall.SIGCONT)
	p.to = time.Now()
	return p
}

// mayLoseReport reports whether a run ended while its agent could not report it. No process
// outside that VM then knows that the task is done, so the task runs again once the lease has
// expired, and the job counts one completion. The same holds for runs that end shortly before
// the pause: traces showed that their reports were not committed either, because the leader
// was changing.
func (p pause) mayLoseReport(w *worker, run emulator.AttemptRecord) bool {
	return w == p.worker && run.End.After(p.from.Add(-maxReportTime)) && run.End.Before(p.to)
}

// cycleDomain takes a failure domain out and returns it.
func (e *estate) cycleDomain(ctx context.Context, name string) domainOutage {
	e.t.Helper()
	response, err := e.operator(ctx).SetDomain(ctx, name, true)
	require.NoError(e.t, err)
	require.Nil(e.t, response.Refusal)
	outage := domainOutage{domain: name, from: time.Now()}
	time.Sleep(2 * startTolerance)
	outage.to = time.Now()
	_, err = e.operator(ctx).SetDomain(ctx, name, false)
	require.NoError(e.t, err)
	return outage
}

// replaceDisk removes the data of a replica that does not lead, and starts its daemon again
// as a new member.
func (e *estate) replaceDisk(ctx context.Context) {
	e.t.Helper()
	number := (e.leader(ctx) + 1) % estateEntries
	d := e.entries[number]
	e.kill(d)
	require.NoError(e.t, os.RemoveAll(d.settings.Control.DataFolder))
	require.NoError(e.t, os.MkdirAll(d.settings.Control.DataFolder, 0o750))
	lost := e.members[number].ID
	member := &e.members[number]
	member.ID, member.Name, member.Address = newMemberID, "entry-new", e.freeAddress()
	d.settings.Name, d.settings.Listen.Processes = member.Name, member.Address
	d.settings.Control.ID = newMemberID
	d.settings.Control.Members = nil
	d.settings.Control.Join = true
	added := *member
	added.Voter, added.Replaces = false, lost
	response, err := e.operator(ctx).ChangeMembers(ctx, jaygw.ChangeMembers{Add: &added})
	require.NoError(e.t, err)
	require.Nil(e.t, response.Refusal)
	e.start(d)
	e.waitForReplacement(ctx, lost)
}

// waitForReplacement waits until the new member votes and the lost one does not.
func (e *estate) waitForReplacement(ctx context.Context, lost uint64) {
	e.t.Helper()
	for ctx.Err() == nil {
		status, err := e.operator(ctx).Members(ctx)
		votes := func(id uint64) bool {
			return slices.ContainsFunc(status.Members, func(m jaygw.Member) bool { return m.ID == id && m.Voter })
		}
		if err == nil && votes(newMemberID) && !votes(lost) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Fail(e.t, "the new member does not vote in place of the lost one")
}

// checkTasks checks the promises about tasks on the runs that the workers recorded.
func (e *estate) checkTasks(tasks int, outage domainOutage, paused pause) {
	type workerRun struct {
		emulator.AttemptRecord
		worker *worker
	}
	var runs []workerRun
	for _, w := range e.workers {
		for _, run := range w.tasks.History() {
			runs = append(runs, workerRun{run, w})
		}
	}

	slices.SortFunc(runs, func(a, b workerRun) int { return a.Start.Compare(b.Start) })
	last := map[jaygw.TaskID]workerRun{}
	completed := map[jaygw.TaskID]int{}
	batch := 0
	for _, run := range runs {
		id := run.Attempt.Task
		if previous, ok := last[id]; ok {
			require.False(e.t, previous.End.IsZero() || previous.End.After(run.Start), "task %s ran in two places at once\n%s", id, e.history(id))
			require.Zero(e.t, completed[id], "task %s started again after it had completed\n%s", id, e.history(id))
		}
		if _, known := last[id]; !known && run.Kind == jaygw.BatchTask {
			batch++
		}
		last[id] = run
		if run.Complete && !paused.mayLoseReport(run.worker, run.AttemptRecord) {
			completed[id]++
		}
		if run.worker.domain == outage.domain {
			late := run.Start.After(outage.from.Add(startTolerance)) && run.Start.Before(outage.to)
			require.False(e.t, late, "task %s started %s after its domain was taken out", id, run.Start.Sub(outage.from))
		}
	}
	require.Equal(e.t, tasks, batch, "batch tasks that ran")
	for id, times := range completed {
		require.Equal(e.t, 1, times, "completions of task %s", id)
	}
}

// history returns the events of a task on the time line and its runs on the workers.
func (e *estate) history(id jaygw.TaskID) string {
	var lines []string
	for _, event := range e.timeline.Events {
		if slices.Contains(event.Subjects, "task:"+string(id)) {
			lines = append(lines, fmt.Sprint(event.Clock.Wall.Std().Format(time.StampMicro), " ", event.Process, " ", event.Kind, " ", event.Cause, " ", event.Subjects))
		}
	}
	for i, w := range e.workers {
		for _, run := range w.tasks.History() {
			if run.Attempt.Task == id {
				lines = append(lines, fmt.Sprintf("worker %d: epoch %d from %s to %s complete %t", i+1, run.Attempt.Epoch,
					run.Start.UTC().Format(time.StampMicro), run.End.UTC().Format(time.StampMicro), run.Complete))
			}
		}
	}
	return strings.Join(lines, "\n")
}

// checkRequests compares the outcomes that callers saw with what the upstreams executed.
func (e *estate) checkRequests(c *callers) {
	executed := map[string]int{}
	for _, w := range e.workers {
		w.mu.Lock()
		for id, times := range w.executed {
			executed[id] += times
		}
		w.mu.Unlock()
	}
	answered := 0
	for _, r := range c.outcomes {
		require.LessOrEqual(e.t, executed[r.id], 1, "request %s ran more than once", r.id)
		if r.answered {
			answered++
			require.True(e.t, r.ownResponse, "request %s got the response to another one", r.id)
			require.Equal(e.t, 1, executed[r.id], "request %s was answered", r.id)
		}
		if r.refused {
			require.Zero(e.t, executed[r.id], "request %s was refused as not executed", r.id)
		}
	}
	require.Positive(e.t, answered)
	e.t.Logf("%d requests, %d answered", len(c.outcomes), answered)
}
