package applier

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jaygw/jaygw"
)

func (m *Machine) environment(name string) *Environment {
	if e, ok := m.state.Environments[name]; ok {
		return e
	}
	return &Environment{Name: name, Trials: map[uint64]*jaygw.Submitted{}}
}

// record returns what is known of the document with this number.
func (e *Environment) record(number uint64) (jaygw.DocumentRecord, bool) {
	if trial, ok := e.Trials[number]; ok {
		return jaygw.DocumentRecord{Number: number, Digest: trial.Digest, Author: trial.Author, Index: trial.Index}, true
	}
	i, found := slices.BinarySearchFunc(e.Records, number, func(r jaygw.DocumentRecord, n uint64) int {
		return cmp.Compare(r.Number, n)
	})
	if found {
		return e.Records[i], true
	}
	return jaygw.DocumentRecord{}, false
}

func (m *Machine) submitDocument(submit jaygw.SubmitDocument) jaygw.Result {
	document := submit.Document
	e := m.environment(document.Environment)
	if known, ok := e.record(document.Number); ok {
		if known.Digest == submit.Digest {
			return jaygw.Result{Digest: submit.Digest, Already: true}
		}
		return jaygw.Refuse(jaygw.RefusedConflict,
			"document %d of environment %s was first submitted by %s with digest %s; this one has digest %s",
			document.Number, document.Environment, known.Author, known.Digest, submit.Digest)
	}
	if e.InForce != nil && document.Number <= e.InForce.Document.Number {
		return jaygw.Refuse(jaygw.RefusedStale, "document %d is not newer than document %d, which is in force",
			document.Number, e.InForce.Document.Number)
	}
	if len(e.Trials) >= m.limits.Trials {
		return jaygw.Refuse(jaygw.RefusedFull, "environment %s has its limit of %d documents on trial; promote one of them",
			document.Environment, m.limits.Trials)
	}
	next := *e
	next.Trials = maps.Clone(e.Trials)
	next.Trials[document.Number] = &jaygw.Submitted{
		Document: document, Digest: submit.Digest, State: jaygw.Trial, Author: submit.Author,
		Index: m.state.Index, Time: m.state.Time,
	}
	m.state.Environments[e.Name] = &next
	m.documentChanged(next.Trials[document.Number])
	return jaygw.Result{Digest: submit.Digest}
}

func (m *Machine) promoteDocument(promote jaygw.PromoteDocument) jaygw.Result {
	e, ok := m.state.Environments[promote.Environment]
	if !ok {
		return jaygw.Refuse(jaygw.RefusedUnknown, "environment %s has no documents", promote.Environment)
	}
	if e.InForce != nil && e.InForce.Digest == promote.Digest {
		return jaygw.Result{Digest: promote.Digest, Already: true}
	}
	var trial *jaygw.Submitted
	for _, number := range slices.Sorted(maps.Keys(e.Trials)) {
		if e.Trials[number].Digest == promote.Digest {
			trial = e.Trials[number]
		}
	}
	if trial == nil {
		for _, r := range e.Records {
			if r.Digest == promote.Digest {
				return jaygw.Refuse(jaygw.RefusedStale, "document %d with this digest was replaced by document %d",
					r.Number, e.InForce.Document.Number)
			}
		}
		return jaygw.Refuse(jaygw.RefusedUnknown, "environment %s has no document on trial with digest %s",
			promote.Environment, promote.Digest)
	}
	m.putInForce(e, trial, promote.Author)
	return jaygw.Result{Digest: promote.Digest}
}

// putInForce replaces the document in force. Trials with a lower number can no
// longer be promoted; their records are kept.
func (m *Machine) putInForce(e *Environment, trial *jaygw.Submitted, author string) {
	accepted := *trial
	accepted.State = jaygw.Production
	accepted.Index = m.state.Index
	accepted.Time = m.state.Time
	accepted.Author = cmp.Or(author, trial.Author)

	next := *e
	next.InForce = &accepted
	next.Trials = map[uint64]*jaygw.Submitted{}
	next.Records = slices.Clone(e.Records)
	for _, number := range slices.Sorted(maps.Keys(e.Trials)) {
		t := e.Trials[number]
		if number > trial.Document.Number {
			next.Trials[number] = t
			continue
		}
		next.Records = append(next.Records, jaygw.DocumentRecord{
			Number: number, Digest: t.Digest, Author: t.Author, Index: t.Index,
		})
	}
	if extra := len(next.Records) - m.limits.Records; extra > 0 {
		next.Records = slices.Clone(next.Records[extra:])
	}
	m.state.Environments[e.Name] = &next
	m.documentChanged(&accepted)
	m.applyDomains(accepted.Document)
	m.applyTeams(accepted.Document)
	m.applyServices(accepted.Document)
	for _, spec := range accepted.Document.Jobs {
		spec.Environment = accepted.Document.Environment
		m.submitJob(spec)
	}
}

func (m *Machine) applyDomains(document jaygw.Document) {
	for _, spec := range document.Domains {
		if _, ok := m.state.Domains[spec.Name]; ok {
			continue
		}
		m.putDomain(&jaygw.FailureDomain{Name: spec.Name, Region: spec.Region, Since: m.state.Time})
	}
}

func (m *Machine) applyTeams(document jaygw.Document) {
	for _, spec := range document.Teams {
		key := ownerKey(document.Environment, spec.Name)
		team := jaygw.Team{Name: spec.Name, Quota: spec.Quota, Weight: max(1, spec.Weight), MayStart: spec.MayStart}
		if old, ok := m.state.Teams[key]; ok {
			team.Used = old.Used
		}
		m.state.Teams[key] = &team
	}
}

func (m *Machine) documentChanged(after *jaygw.Submitted) {
	for _, observer := range m.observers {
		observer.DocumentChanged(after)
	}
}
