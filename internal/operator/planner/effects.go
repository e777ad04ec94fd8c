package planner

import (
	"fmt"
	"slices"

	"github.com/jaygw/jaygw"
)

// Effects lists what a document would do to running work, one line for each effect, so that a
// reviewer sees more than the changed fields. inForce is nil if no document is in force. used
// holds the resources that each team uses now, by team name.
func Effects(inForce *jaygw.Document, next jaygw.Document, used map[string]jaygw.Resources) []string {
	if inForce == nil {
		inForce = &jaygw.Document{Environment: next.Environment}
	}
	var effects []string
	add := func(format string, args ...any) { effects = append(effects, fmt.Sprintf(format, args...)) }
	if inForce.Number > 0 && next.Number <= inForce.Number {
		add("document %d cannot be submitted: document %d is in force", next.Number, inForce.Number)
	}
	serviceEffects(inForce, next, add)
	jobEffects(inForce, next, add)
	teamEffects(inForce, next, used, add)
	for _, d := range inForce.Domains {
		if !slices.ContainsFunc(next.Domains, func(n jaygw.DomainSpec) bool { return n.Name == d.Name }) {
			add("failure domain %s stays known, with its VMs, until they leave", d.Name)
		}
	}
	return effects
}

// serviceEffects adds the numbers of replicas that start and stop, the services whose running
// replicas keep their old reservation, and the change in the total number of replicas.
func serviceEffects(inForce *jaygw.Document, next jaygw.Document, add func(string, ...any)) {
	totalBefore, totalAfter := 0, 0
	for _, s := range next.Services {
		i := slices.IndexFunc(inForce.Services, func(o jaygw.ServiceSpec) bool { return o.Name == s.Name })
		old := jaygw.ServiceSpec{}
		if i >= 0 {
			old = inForce.Services[i]
		}
		switch {
		case s.Replicas > old.Replicas:
			add("service %s starts %d replicas", s.Name, s.Replicas-old.Replicas)
		case s.Replicas < old.Replicas:
			add("service %s stops %d replicas", s.Name, old.Replicas-s.Replicas)
		}
		if i >= 0 && old.Resources != s.Resources {
			add("service %s: running replicas keep their reservation until they are resized or moved", s.Name)
		}
		totalAfter += s.Replicas
	}
	for _, old := range inForce.Services {
		totalBefore += old.Replicas
		if !slices.ContainsFunc(next.Services, func(s jaygw.ServiceSpec) bool { return s.Name == old.Name }) {
			add("service %s stops all %d replicas; its callers are refused", old.Name, old.Replicas)
		}
	}
	if totalBefore != totalAfter {
		add("replicas in total: %d, now %d", totalAfter, totalBefore)
	}
}

// jobEffects adds the jobs that start, that are refused, and that are no longer declared.
func jobEffects(inForce *jaygw.Document, next jaygw.Document, add func(string, ...any)) {
	for _, j := range next.Jobs {
		i := slices.IndexFunc(inForce.Jobs, func(o jaygw.JobSpec) bool { return o.Name == j.Name })
		switch {
		case i < 0:
			add("job %s starts %d tasks", j.Name, j.Tasks)
		case len(compareFields("", fields(inForce.Jobs[i]), fields(j))) > 0:
			add("job %s is another job than the known one: it is refused while that one is retained", j.Name)
		}
	}
	for _, old := range inForce.Jobs {
		if !slices.ContainsFunc(next.Jobs, func(j jaygw.JobSpec) bool { return j.Name == old.Name }) {
			add("job %s is no longer declared; if it still runs, it goes on until it ends or is canceled", old.Name)
		}
	}
}

// teamEffects adds the teams that can start nothing because of their quota or their removal.
func teamEffects(inForce *jaygw.Document, next jaygw.Document, used map[string]jaygw.Resources, add func(string, ...any)) {
	for _, t := range next.Teams {
		if use := used[t.Name]; !use.Fits(t.Quota) {
			add("team %s uses more than its new quota; it starts nothing until it uses less", t.Name)
		}
	}
	for _, old := range inForce.Teams {
		if !slices.ContainsFunc(next.Teams, func(t jaygw.TeamSpec) bool { return t.Name == old.Name }) {
			add("team %s starts nothing more; its waiting jobs never run", old.Name)
		}
	}
}
