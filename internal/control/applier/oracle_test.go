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
	// oracle derives from the results of the commands alone what the state must hold.
	oracle struct {
		live      map[jaygw.TaskID]jaygw.Epoch // attempts that may still run
		highest   map[jaygw.TaskID]jaygw.Epoch // highest epoch granted, retained after the task is removed
		done      map[string]int               // completed tasks, by environment/job
		completed map[jaygw.Attempt]bool
		finished  map[string]jaygw.Time // end times of jobs
		keys      map[string]jaygw.Time // expiries of claimed keys
		released  map[string]bool       // keys that were settled as not executed
		clients   map[string]*clientResults
		digests   map[uint64]string // digests of accepted documents, by number
		inForce   uint64            // number of the document in force
	}

	// clientResults holds the results of the commands of one client.
	clientResults struct {
		results map[uint64]jaygw.Result
		highest uint64
		last    jaygw.Time
	}

	// harness applies one log to three machines: two that apply all of it and one that is
	// replaced from its own snapshot at random points.
	harness struct {
		t        *rapid.T
		machines []*applier.Machine
		oracle   oracle
		index    jaygw.Index
		now      jaygw.Time
		granted  []grantedAttempt // all attempts granted so far
	}

	// grantedAttempt is an attempt and the VM that it was granted on.
	grantedAttempt struct {
		attempt jaygw.Attempt
		vm      string
	}
)

var smallLimits = applier.Limits{
	Environments: 1, Domains: 3, Teams: 2, Trials: 2, Records: 3, DocumentBytes: 4000, VMs: 3, Jobs: 3, Tasks: 9,
	PayloadBytes: 20, Keys: 2, KeyBytes: 900, Clients: 2, ResultBytes: 2500,
}

func TestMain(m *testing.M) {
	seeder.FixSeed(300)
	m.Run()
}

// Any sequence of commands must preserve the invariants of the state and produce the same
// bytes on every replica, also on one that is restored from a snapshot at any point.
func TestRandomCommandsPreserveInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{t: t, now: 1, oracle: oracle{
			live: map[jaygw.TaskID]jaygw.Epoch{}, highest: map[jaygw.TaskID]jaygw.Epoch{}, done: map[string]int{},
			completed: map[jaygw.Attempt]bool{}, finished: map[string]jaygw.Time{}, keys: map[string]jaygw.Time{},
			released: map[string]bool{}, clients: map[string]*clientResults{}, digests: map[uint64]string{},
		}}
		for range 3 {
			h.machines = append(h.machines, applier.New("main", applier.WithLimits(smallLimits)))
		}
		if rapid.IntRange(0, 9).Draw(t, "prepared") > 0 {
			h.prepare()
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			h.step()
		}
		h.compare()
	})
}

// step applies one drawn command. Before it, the third machine may be restored from a
// snapshot and the clock may advance by hours.
func (h *harness) step() {
	if rapid.IntRange(0, 30).Draw(h.t, "restore") == 0 {
		h.compare()
		data, err := h.machines[2].Snapshot()()
		require.NoError(h.t, err)
		h.machines[2] = applier.New("main", applier.WithLimits(smallLimits))
		require.NoError(h.t, h.machines[2].Restore(data))
	}
	if rapid.IntRange(0, 25).Draw(h.t, "long pause") == 0 {
		h.now += jaygw.Time(rapid.IntRange(1, 30).Draw(h.t, "hours")) * jaygw.Time(time.Hour)
	}
	h.apply(h.command())
}

// apply applies a command to all machines and checks that the results are equal.
func (h *harness) apply(command jaygw.Command) {
	h.index++
	h.now += jaygw.Time(time.Second)
	command.Time = h.now
	result := h.machines[0].Apply(h.index, command)
	for _, machine := range h.machines[1:] {
		require.Equal(h.t, result, machine.Apply(h.index, command))
	}
	if command.Grant != nil && len(result.Results) > 0 && result.Results[0].Epoch > 0 {
		g := command.Grant.Grants[0]
		h.granted = append(h.granted, grantedAttempt{jaygw.Attempt{Task: g.Task, Epoch: result.Results[0].Epoch}, g.VM})
	}
	h.oracle.observe(h.t, command, result)
	h.check()
}

// compare checks that the snapshots of all machines are equal.
func (h *harness) compare() {
	var snapshots [][]byte
	for _, machine := range h.machines {
		data, err := machine.Snapshot()()
		require.NoError(h.t, err)
		snapshots = append(snapshots, data)
	}
	require.Equal(h.t, snapshots[0], snapshots[1])
	require.Equal(h.t, snapshots[0], snapshots[2])
}

// observe checks the result of a command against earlier ones and records its effects.
func (o *oracle) observe(t *rapid.T, c jaygw.Command, result jaygw.Result) {
	if c.Client != "" && o.checkResend(t, c, result) {
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
		// The ended attempts are compared with the state in check.
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
			require.Equal(t, o.highest[r.Attempt.Task], r.Attempt.Epoch, "a report of another epoch was accepted")
			if r.Kind == jaygw.Completed {
				require.False(t, o.completed[r.Attempt], "a completion was accepted twice")
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

// owner returns the environment/owner of a task id.
func owner(id jaygw.TaskID) string {
	var name string
	var number int
	_, _ = fmt.Sscanf(string(id), "print/%1s/%d", &name, &number)
	return "print/" + name
}

// checkResend checks the result of a resent command. It reports whether the command was not
// applied: it was a resend, or it was refused before it could be applied.
func (o *oracle) checkResend(t *rapid.T, c jaygw.Command, result jaygw.Result) bool {
	s, known := o.clients[c.Client]
	if known && s.last.Add(time.Hour) <= c.Time {
		known = false
	}
	if known {
		if first, ok := s.results[c.Sequence]; ok && s.highest-c.Sequence < 64 {
			require.Equal(t, first, result, "a resend got a different result")
			return true
		}
		if c.Sequence < s.highest && s.highest-c.Sequence >= 64 {
			require.Equal(t, jaygw.RefusedSequence, result.Refusal.Code)
			return true
		}
	}
	if result.Refusal != nil && (strings.HasPrefix(result.Refusal.Detail, "the table of clients") ||
		strings.HasPrefix(result.Refusal.Detail, "the stored results")) {
		return true // refused before it was applied; no result is stored
	}
	if !known {
		s = &clientResults{results: map[uint64]jaygw.Result{}}
		o.clients[c.Client] = s
	}
	s.results[c.Sequence] = result
	s.highest = max(s.highest, c.Sequence)
	s.last = c.Time
	return false
}

// check compares the state with the oracle.
func (h *harness) check() {
	t, o, state := h.t, &h.oracle, h.machines[0].State()
	vms, teams := map[string]jaygw.Resources{}, map[string]jaygw.Resources{}
	for id, task := range state.Tasks {
		require.GreaterOrEqual(t, task.Epoch, o.highest[id], "the epoch of a task decreased")
		if !task.State.Holds() {
			continue
		}
		require.Equal(t, task.Epoch, o.live[id], "the state holds an attempt that was not granted")
		vms[task.VM] = vms[task.VM].Add(task.Reserved)
		teams[task.Environment+"/"+task.Team] = teams[task.Environment+"/"+task.Team].Add(task.Reserved)
	}
	for id := range o.live { // ended by an expiry or a cancellation in the last command
		if task, ok := state.Tasks[id]; !ok || !task.State.Holds() {
			delete(o.live, id)
		}
	}
	for name, vm := range state.VMs {
		require.Equal(t, vms[name], vm.Committed, "the committed resources of a VM differ from the sum of its attempts")
		require.True(t, vm.Committed.Fits(vm.Size), "VM %s is overcommitted: %v of %v", name, vm.Committed, vm.Size)
		delete(vms, name)
	}
	require.Empty(t, vms, "attempts hold resources of unknown VMs")
	for key, team := range state.Teams {
		require.Equal(t, teams[key], team.Used, "the usage of team %s differs from the sum of its attempts", key)
		delete(teams, key)
	}
	require.Empty(t, teams, "attempts are charged to unknown teams")
	h.checkJobs(state)
	h.checkDocuments(state)
	h.checkBounds(state)
	for key, expires := range o.keys {
		if expires > h.now {
			require.Contains(t, state.Keys, key, "a key was removed before its expiry")
		} else {
			require.NotContains(t, state.Keys, key, "a key was retained after its expiry")
			delete(o.keys, key)
			delete(o.released, key)
		}
	}
}

// checkJobs checks the counts of each job and the retention of ended jobs.
func (h *harness) checkJobs(state *applier.State) {
	o := &h.oracle
	for key, finished := range o.finished {
		if h.now < finished.Add(24*time.Hour) {
			require.Contains(h.t, state.Jobs, key, "an ended job was removed before its retention expired")
		}
	}
	for key := range o.done {
		if _, ok := state.Jobs[key]; !ok {
			delete(o.done, key)
		}
	}
	for key, job := range state.Jobs {
		if job.Submitted == h.now {
			delete(o.finished, key)
			delete(o.done, key)
		}
		require.Equal(h.t, o.done[key], job.Done, "job %s counts a different number of completions than were accepted", key)
		if job.State != jaygw.JobActive {
			require.Equal(h.t, job.Spec.Tasks, job.Done+job.Failed+job.Canceled)
			o.finished[key] = job.Finished
		}
	}
}

// checkDocuments checks that the document in force is never replaced by an older one.
func (h *harness) checkDocuments(state *applier.State) {
	e, ok := state.Environments["print"]
	if !ok || e.InForce == nil {
		require.Zero(h.t, h.oracle.inForce, "the document in force was removed")
		return
	}
	number := e.InForce.Document.Number
	require.GreaterOrEqual(h.t, number, h.oracle.inForce, "the document in force was reverted")
	require.Equal(h.t, h.oracle.digests[number], e.InForce.Digest)
	h.oracle.inForce = number
}

// checkBounds checks that no table exceeds its limit.
func (h *harness) checkBounds(state *applier.State) {
	t, limits := h.t, smallLimits
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
