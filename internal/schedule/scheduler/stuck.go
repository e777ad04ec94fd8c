package scheduler

import (
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

// noteStuck reports jobs that no VM could run even if it were empty.
func (d *decision) noteStuck() {
	if d.stuckAt == d.index.Version() {
		return
	}
	d.stuckAt = d.index.Version()
	stuck := map[string]string{}
	for class := range 3 {
		for _, team := range d.queue.Teams(class) {
			team.Groups(func(g *placer.Group) {
				if task := g.Head(); task != nil && task.Kind == jaygw.BatchTask {
					if reason := d.neverFits(task); reason != "" {
						stuck[g.Owner] = reason
					}
				}
			})
		}
	}
	for _, owner := range sortedNames(stuck) {
		if d.stuck[owner] != stuck[owner] {
			d.note(owner, stuck[owner])
		}
	}
	for _, owner := range sortedNames(d.stuck) {
		if stuck[owner] == "" {
			d.note(owner, "")
		}
	}
	d.stuck = stuck
}

func (d *decision) note(owner, reason string) {
	if job := d.state.Jobs[owner]; job != nil && job.State == jaygw.JobActive {
		d.notes = append(d.notes, jaygw.JobNote{Environment: job.Spec.Environment, Name: job.Spec.Name, Reason: reason})
	}
}

// neverFits returns why a waiting task can never run in the present estate, or
// nothing.
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
