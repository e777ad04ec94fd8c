package applier_test

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/test/seeder"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type (
	// oracle predicts what must hold after each command from the results alone.
	oracle struct {
		live      map[jaygw.TaskID]jaygw.Epoch // attempts that may run
		highest   map[jaygw.TaskID]jaygw.Epoch // ever granted, kept when tasks go
		done      map[string]int               // completions of the job of that name
		completed map[jaygw.Attempt]bool
		finished  map[string]jaygw.Time // jobs
		keys      map[string]jaygw.Time // expiry of claims
		released  map[string]bool       // keys whose request was not executed
		clients   map[string]*sent
		digests   map[uint64]string // of accepted documents
		inForce   uint64
	}

	sent struct {
		results map[uint64]jaygw.Result
		highest uint64
		last    jaygw.Time
	}

	// trial applies one log to three machines: two that apply all of it and one
	// that is restored from a snapshot on the way.
	trial struct {
		t        *rapid.T
		machines []*applier.Machine
		oracle   oracle
		index    jaygw.Index
		now      jaygw.Time
		granted  []place // all attempts so far
	}

	place struct {
		attempt jaygw.Attempt
		vm      string
	}
)

var smallLimits = applier.Limits{
	Environments: 1, Domains: 3, Teams: 2, Trials: 2, Records: 3, DocumentBytes: 4000, VMs: 3, Jobs: 3, Tasks: 9,
	PayloadBytes: 20, Keys: 2, KeyBytes: 900, Clients: 2, ResultBytes: 2500,
}

func TestMain(m *testing.M) {
	seeder.Fix(300)
	m.Run()
}

// Any sequence of commands must keep the promises of the control state, give
// the same bytes on every replica, and survive a restore at any point.
func TestRandomCommandsKeepThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := &trial{t: t, now: 1, oracle: oracle{
			live: map[jaygw.TaskID]jaygw.Epoch{}, highest: map[jaygw.TaskID]jaygw.Epoch{}, done: map[string]int{},
			completed: map[jaygw.Attempt]bool{}, finished: map[string]jaygw.Time{}, keys: map[string]jaygw.Time{},
			released: map[string]bool{}, clients: map[string]*sent{}, digests: map[uint64]string{},
		}}
		for range 3 {
			tr.machines = append(tr.machines, applier.New("main", applier.WithLimits(smallLimits)))
		}
		if rapid.IntRange(0, 9).Draw(t, "prepared") > 0 {
			tr.prepare()
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			tr.step()
		}
		tr.compare()
	})
}

func (tr *trial) step() {
	if rapid.IntRange(0, 30).Draw(tr.t, "restore") == 0 {
		tr.compare()
		data, err := tr.machines[2].Snapshot()()
		require.NoError(tr.t, err)
		tr.machines[2] = applier.New("main", applier.WithLimits(smallLimits))
		require.NoError(tr.t, tr.machines[2].Restore(data))
	}
	if rapid.IntRange(0, 25).Draw(tr.t, "long pause") == 0 {
		tr.now += jaygw.Time(rapid.IntRange(1, 30).Draw(tr.t, "hours")) * jaygw.Time(time.Hour)
	}
	tr.apply(tr.command())
}

func (tr *trial) apply(command jaygw.Command) {
	tr.index++
	tr.now += jaygw.Time(time.Second)
	command.Time = tr.now
	result := tr.machines[0].Apply(tr.index, command)
	for _, machine := range tr.machines[1:] {
		require.Equal(tr.t, result, machine.Apply(tr.index, command))
	}
	if command.Grant != nil && len(result.Results) > 0 && result.Results[0].Epoch > 0 {
		g := command.Grant.Grants[0]
		tr.granted = append(tr.granted, place{jaygw.Attempt{Task: g.Task, Epoch: result.Results[0].Epoch}, g.VM})
	}
	tr.oracle.observe(tr.t, command, result)
	tr.check()
}

func (tr *trial) compare() {
	var snapshots [][]byte
	for _, machine := range tr.machines {
		data, err := machine.Snapshot()()
		require.NoError(tr.t, err)
		snapshots = append(snapshots, data)
	}
	require.Equal(tr.t, snapshots[0], snapshots[1])
	require.Equal(tr.t, snapshots[0], snapshots[2])
}

// observe takes over what a result says has happened.
func (o *oracle) observe(t *rapid.T, c jaygw.Command, result jaygw.Result) {
	if c.Client != "" && o.resent(t, c, result) {
		return
	}
	if result.Refusal != nil {
		return
	}
	switch {
	case c.Submit != nil:
		number := c.Submit.Document.Number
		if first, known := o.digests[number]; known {
			require.Equal(t, first, c.Submit.Digest, "number %d was accepted with two digests", number)
		}
		o.digests[number] = c.Submit.Digest
	case c.ExpireVM != nil:
		// The attempts that ended are compared with the state in check.
	case c.Grant != nil:
		for i, item := range result.Results {
			id := c.Grant.Grants[i].Task
			if item.Code != "" {
				continue
			}
			require.NotContains(t, o.live, id, "a second attempt was granted")
			require.Greater(t, item.Epoch, o.highest[id], "an epoch was granted again")
			o.live[id] = item.Epoch
			o.highest[id] = item.Epoch
		}
	case c.Report != nil:
		for i, item := range result.Results {
			r := c.Report.Reports[i]
			if item.Code != "" {
				continue
			}
			require.Equal(t, o.highest[r.Attempt.Task], r.Attempt.Epoch, "a report of another epoch counted")
			if r.Kind == jaygw.Completed {
				require.False(t, o.completed[r.Attempt], "a completion counted twice")
				o.completed[r.Attempt] = true
				o.done[owner(r.Attempt.Task)]++
			}
			if r.Kind != jaygw.Started && r.Kind != jaygw.Checkpointed {
				delete(o.live, r.Attempt.Task)
			}
		}
	case c.Claim != nil:
		for i, item := range result.Results {
			claim := c.Claim.Claims[i]
			if item.Code == "" && (o.keys[claim.Key] <= c.Time || o.released[claim.Key]) {
				o.keys[claim.Key] = max(o.keys[claim.Key], claim.Expires)
				o.released[claim.Key] = false
			}
		}
	case c.Settle != nil:
		for i, item := range result.Results {
			s := c.Settle.Settlements[i]
			o.released[s.Key] = o.released[s.Key] || item.Code == "" && s.Outcome == jaygw.KeyNotExecuted
		}
	}
}

func owner(id jaygw.TaskID) string {
	var name string
	var number int
	_, _ = fmt.Sscanf(string(id), "print/%1s/%d", &name, &number)
	return "print/" + name
}

// resent checks the result of a resend and reports whether the command was one.
func (o *oracle) resent(t *rapid.T, c jaygw.Command, result jaygw.Result) bool {
	s, known := o.clients[c.Client]
	if known && s.last.Add(time.Hour) <= c.Time {
		known = false
	}
	if known {
		if first, ok := s.results[c.Sequence]; ok && s.highest-c.Sequence < 64 {
			require.Equal(t, first, result, "a resend got another result")
			return true
		}
		if c.Sequence < s.highest && s.highest-c.Sequence >= 64 {
			require.Equal(t, jaygw.RefusedSequence, result.Refusal.Code)
			return true
		}
	}
	if result.Refusal != nil && (strings.HasPrefix(result.Refusal.Detail, "the table of clients") ||
		strings.HasPrefix(result.Refusal.Detail, "the stored results")) {
		return true // refused before it could run: nothing is stored
	}
	if !known {
		s = &sent{results: map[uint64]jaygw.Result{}}
		o.clients[c.Client] = s
	}
	s.results[c.Sequence] = result
	s.highest = max(s.highest, c.Sequence)
	s.last = c.Time
	return false
}

// check compares the state with the oracle.
func (tr *trial) check() {
	t, o, state := tr.t, &tr.oracle, tr.machines[0].State()
	vms, teams := map[string]jaygw.Resources{}, map[string]jaygw.Resources{}
	for id, task := range state.Tasks {
		require.GreaterOrEqual(t, task.Epoch, o.highest[id], "the epoch of a task fell")
		if !task.State.Holds() {
			continue
		}
		require.Equal(t, task.Epoch, o.live[id], "the state holds an attempt that was not granted")
		vms[task.VM] = vms[task.VM].Add(task.Reserved)
		teams[task.Environment+"/"+task.Team] = teams[task.Environment+"/"+task.Team].Add(task.Reserved)
	}
	for id := range o.live { // expired or canceled by the last command
		if task, ok := state.Tasks[id]; !ok || !task.State.Holds() {
			delete(o.live, id)
		}
	}
	for name, vm := range state.VMs {
		require.Equal(t, vms[name], vm.Committed, "the committed total is not the sum")
		require.True(t, vm.Committed.Fits(vm.Size), "VM %s is overcommitted: %v of %v", name, vm.Committed, vm.Size)
		delete(vms, name)
	}
	require.Empty(t, vms, "attempts hold resources of VMs that are not known")
	for key, team := range state.Teams {
		require.Equal(t, teams[key], team.Used, "the use of team %s is not the sum", key)
		delete(teams, key)
	}
	require.Empty(t, teams, "attempts are charged to teams that are not known")
	tr.checkJobs(state)
	tr.checkDocuments(state)
	tr.checkBounds(state)
	for key, expires := range o.keys {
		if expires > tr.now {
			require.Contains(t, state.Keys, key, "a key was forgotten before its expiry")
		} else {
			require.NotContains(t, state.Keys, key, "a key was kept after its expiry")
			delete(o.keys, key)
			delete(o.released, key)
		}
	}
}

func (tr *trial) checkJobs(state *applier.State) {
	o := &tr.oracle
	for key, finished := range o.finished {
		if tr.now < finished.Add(24*time.Hour) {
			require.Contains(tr.t, state.Jobs, key, "a finished job was forgotten early")
		}
	}
	for key := range o.done {
		if _, ok := state.Jobs[key]; !ok {
			delete(o.done, key)
		}
	}
	for key, job := range state.Jobs {
		if job.Submitted == tr.now {
			delete(o.finished, key)
			delete(o.done, key)
		}
		require.Equal(tr.t, o.done[key], job.Done, "job %s counts other completions than were accepted", key)
		if job.State != jaygw.JobActive {
			require.Equal(tr.t, job.Spec.Tasks, job.Done+job.Failed+job.Canceled)
			o.finished[key] = job.Finished
		}
	}
}

func (tr *trial) checkDocuments(state *applier.State) {
	e, ok := state.Environments["print"]
	if !ok || e.InForce == nil {
		require.Zero(tr.t, tr.oracle.inForce, "the document in force is gone")
		return
	}
	number := e.InForce.Document.Number
	require.GreaterOrEqual(tr.t, number, tr.oracle.inForce, "the document in force was reverted")
	require.Equal(tr.t, tr.oracle.digests[number], e.InForce.Digest)
	tr.oracle.inForce = number
}

func (tr *trial) checkBounds(state *applier.State) {
	t, limits := tr.t, smallLimits
	keyBytes := 0
	for _, e := range state.Environments {
		require.LessOrEqual(t, len(e.Trials), limits.Trials)
		require.LessOrEqual(t, len(e.Records), limits.Records)
	}
	for _, record := range state.Keys {
		if record.Response != nil {
			keyBytes += len(record.Response.Body)
		}
	}
	for _, table := range []struct {
		name        string
		size, limit int
	}{
		{"environments", len(state.Environments), limits.Environments},
		{"domains", len(state.Domains), limits.Domains},
		{"teams", len(state.Teams), limits.Teams},
		{"VMs", len(state.VMs), limits.VMs},
		{"jobs", len(state.Jobs), limits.Jobs},
		{"tasks", len(state.Tasks), limits.Tasks},
		{"keys", len(state.Keys), limits.Keys},
		{"key bytes", keyBytes, limits.KeyBytes},
		{"clients", len(state.Clients), limits.Clients},
	} {
		require.LessOrEqual(t, table.size, table.limit, cmp.Or(table.name))
	}
}
