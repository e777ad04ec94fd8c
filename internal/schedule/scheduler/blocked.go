package scheduler

import (
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

// reportBlockedJobs reports the batch jobs that cannot run even if all VMs were empty, and those
// that no longer are blocked. It runs only after a change of the VMs or of a document.
func (d *decision) reportBlockedJobs() {
	if d.blockedCheckVersion == d.index.Version() {
		return
	}
	d.blockedCheckVersion = d.index.Version()
	blocked := map[string]string{}
	for class := range 3 {
		for _, team := range d.queue.Teams(class) {
			team.Groups(func(g *placer.Group) {
				if task := g.Head(); task != nil && task.Kind == jaygw.BatchTask {
					if reason := d.neverFits(task); reason != "" {
						blocked[g.Owner] = reason
					}
				}
			})
		}
	}
	for _, owner := range sortedKeys(blocked) {
		if d.reportedBlocked[owner] != blocked[owner] {
			d.reportBlockedJob(owner, blocked[owner])
		}
	}
	for _, owner := range sortedKeys(d.reportedBlocked) {
		if blocked[owner] == "" {
			d.reportBlockedJob(owner, "")
		}
	}
	d.reportedBlocked = blocked
}

// reportBlockedJob adds the reason why an active job is blocked to this decision; an empty reason
// clears it.
func (d *decision) reportBlockedJob(owner, reason string) {
	if job := d.state.Jobs[owner]; job != nil && job.State == jaygw.JobActive {
		d.blockedJobs = append(d.blockedJobs, jaygw.BlockedJob{Environment: job.Spec.Environment, Name: job.Spec.Name, Reason: reason})
	}
}

// neverFits returns why a waiting task cannot run on the present VMs, or an empty string.
func (d *decision) neverFits(task *jaygw.Task) string {
	team := d.state.Teams[placer.TeamKey(task)]
	switch {
	case team == nil:
		return "team " + task.Team + " is no longer declared"
	case !task.Declared.Fits(team.Quota):
		return "a task is larger than the quota of team " + task.Team
	case !d.index.CouldFit(placer.Request{Size: task.Declared, Domains: task.Domains, MayStart: team.MayStart}):
		return "a task is larger than every VM where team " + task.Team + " may start it"
	}
	return ""
}
