package applier

import (
	"fmt"
	"maps"
	"slices"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/wire/encoder"
)

const (
	maxNameBytes = 63

	// maxResourceAmount bounds each dimension of a size, so that sums of sizes cannot
	// overflow: 150,000 tasks of this size are below 2^63.
	maxResourceAmount = 1 << 45
)

// validName reports whether a name can be part of a task id.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '.' {
			return false
		}
	}
	return true
}

// validSize reports whether a declared, reserved or announced size is valid.
func validSize(size jaygw.Resources) bool {
	return !size.Negative() && !size.IsZero() &&
		size.Fits(jaygw.Resources{CPU: maxResourceAmount, Memory: maxResourceAmount, Accelerators: maxResourceAmount})
}

// documentBytes returns the encoded size of a document.
func documentBytes(document jaygw.Document) int {
	data, err := encoder.Marshal(document)
	if err != nil {
		panic(err) // every document can be encoded as CBOR
	}
	return len(data)
}

// storedDocuments returns the document in force and those on trial.
func (e *Environment) storedDocuments() []*jaygw.Submitted {
	documents := slices.Collect(maps.Values(e.Trials))
	if e.InForce != nil {
		documents = append(documents, e.InForce)
	}
	return documents
}

// checkDocument refuses a document that could not be promoted in any state.
func (m *Machine) checkDocument(submit jaygw.SubmitDocument) *jaygw.Refusal {
	d := submit.Document
	refuse := func(format string, args ...any) *jaygw.Refusal {
		return &jaygw.Refusal{Code: jaygw.RefusedInvalid, Detail: fmt.Sprintf(format, args...)}
	}
	if !validName(d.Environment) || submit.Digest == "" || len(submit.Digest) > maxIdentifierBytes {
		return refuse("a document needs an environment and a digest")
	}
	teams := map[string]jaygw.Resources{}
	for _, t := range d.Teams {
		if !validName(t.Name) || t.Quota.Negative() || t.Quota.IsZero() {
			return refuse("team %q has an invalid name or quota", t.Name)
		}
		teams[t.Name] = t.Quota
	}
	names := map[string]bool{}
	tasks := 0
	for _, s := range d.Services {
		if !validName(s.Name) || !validName(s.Team) || names[s.Name] || !validSize(s.Resources) ||
			s.Replicas < 0 || s.Replicas > m.limits.Tasks-tasks {
			return refuse("service %q has an invalid or repeated name, an invalid size or too many replicas", s.Name)
		}
		if _, ok := teams[s.Team]; !ok {
			return refuse("the team of service %s is not declared", s.Name)
		}
		names[s.Name] = true
		tasks += s.Replicas
	}
	for _, j := range d.Jobs {
		j.Environment = d.Environment
		if refusal := checkJobSpec(j, m.limits); refusal != nil {
			return refusal
		}
		if names[j.Name] || j.Tasks > m.limits.Tasks-tasks {
			return refuse("job %q has a repeated name or too many tasks", j.Name)
		}
		if quota, ok := teams[j.Team]; !ok || !j.Resources.Fits(quota) {
			return &jaygw.Refusal{Code: jaygw.RefusedNeverFits, Detail: fmt.Sprintf(
				"a task of job %s is larger than the quota of team %s, or the team is not declared", j.Name, j.Team)}
		}
		names[j.Name] = true
		tasks += j.Tasks
	}
	for _, domain := range d.Domains {
		if !validName(domain.Name) {
			return refuse("failure domain %q has an invalid name", domain.Name)
		}
	}
	return nil
}

// checkPromotion refuses a document that cannot be put in force as a whole. A job that fits
// on no VM is no reason to refuse the document: the job waits.
func (m *Machine) checkPromotion(e *Environment, d jaygw.Document) *jaygw.Refusal {
	full := func(table string, limit int) *jaygw.Refusal {
		return &jaygw.Refusal{Code: jaygw.RefusedTableFull, Detail: fmt.Sprintf(
			"document %d would bring the table of %s above its limit of %d", d.Number, table, limit)}
	}
	domains, teams := len(m.state.Domains), len(m.state.Teams)
	for _, spec := range d.Domains {
		if _, ok := m.state.Domains[spec.Name]; !ok {
			domains++
		}
	}
	for _, spec := range d.Teams {
		if _, ok := m.state.Teams[ownerKey(d.Environment, spec.Name)]; !ok {
			teams++
		}
	}
	if domains > m.limits.Domains {
		return full("failure domains", m.limits.Domains)
	}
	if teams > m.limits.Teams {
		return full("teams", m.limits.Teams)
	}
	return m.checkPromotedTasks(e, d)
}

func (m *Machine) checkPromotedTasks(e *Environment, d jaygw.Document) *jaygw.Refusal {
	conflict := func(format string, args ...any) *jaygw.Refusal {
		return &jaygw.Refusal{Code: jaygw.RefusedConflict, Detail: fmt.Sprintf(format, args...)}
	}
	tasks, payload := len(m.state.Tasks), m.index.payloadBytes
	for _, spec := range d.Services {
		if _, ok := m.state.Jobs[ownerKey(d.Environment, spec.Name)]; ok {
			return conflict("document %d declares service %s, which is the name of a job", d.Number, spec.Name)
		}
		tasks += max(0, spec.Replicas-len(m.index.tasksByOwner[ownerKey(d.Environment, spec.Name)]))
	}
	var previous *jaygw.Document
	if e.InForce != nil {
		previous = &e.InForce.Document
	}
	jobs := 0
	for _, spec := range newlyDeclaredJobs(previous, d) {
		key := ownerKey(d.Environment, spec.Name)
		if old, ok := m.state.Jobs[key]; ok {
			if !sameJob(old.Spec, spec) {
				return conflict("document %d declares job %s, and another job of that name is known", d.Number, spec.Name)
			}
			continue
		}
		if len(m.index.tasksByOwner[key]) > 0 {
			return conflict("document %d declares job %s, which is the name of a service that is still stopping", d.Number, spec.Name)
		}
		jobs++
		tasks += spec.Tasks
		payload += spec.Tasks * len(spec.Payload)
	}
	refusal := &jaygw.Refusal{Code: jaygw.RefusedTableFull, Detail: fmt.Sprintf(
		"with document %d there would be %d of %d jobs, %d of %d tasks and %d of %d payload bytes", d.Number,
		len(m.state.Jobs)+jobs, m.limits.Jobs, tasks, m.limits.Tasks, payload, m.limits.PayloadBytes)}
	if len(m.state.Jobs)+jobs > m.limits.Jobs || tasks > m.limits.Tasks || payload > m.limits.PayloadBytes {
		return refusal
	}
	return nil
}
