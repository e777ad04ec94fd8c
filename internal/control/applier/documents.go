package applier

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jaygw/jaygw"
)

// environment returns the environment with a name, or a new one that is not yet stored.
func (m *Machine) environment(name string) *Environment {
	if e, ok := m.state.Environments[name]; ok {
		return e
	}
	return &Environment{Name: name, Trials: map[uint64]*jaygw.Submitted{}}
}

// record returns the record of the document with this number.
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
	if refusal := m.checkDocument(submit); refusal != nil {
		return jaygw.Result{Refusal: refusal}
	}
	e := m.environment(document.Environment)
	if known, ok := e.record(document.Number); ok {
		if known.Digest == submit.Digest {
			return jaygw.Result{Digest: submit.Digest, AlreadyApplied: true}
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
		return jaygw.Refuse(jaygw.RefusedTableFull, "environment %s has its limit of %d documents on trial; promote one of them",
			document.Environment, m.limits.Trials)
	}
	if _, known := m.state.Environments[document.Environment]; !known && len(m.state.Environments) >= m.limits.Environments {
		return jaygw.Refuse(jaygw.RefusedTableFull, "the table of environments holds its limit of %d", m.limits.Environments)
	}
	size := documentBytes(document)
	if m.index.documentBytes+size > m.limits.DocumentBytes {
		return jaygw.Refuse(jaygw.RefusedTableFull, "the stored documents hold %d of %d bytes; this one has %d",
			m.index.documentBytes, m.limits.DocumentBytes, size)
	}
	m.index.documentBytes += size
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
		return jaygw.Result{Digest: promote.Digest, AlreadyApplied: true}
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
	records, refusal := m.recordsAfterPromotion(e, trial.Document.Number)
	if refusal == nil {
		refusal = m.checkPromotion(e, trial.Document)
	}
	if refusal != nil {
		return jaygw.Result{Refusal: refusal}
	}
	m.putInForce(e, trial, records, promote.Author)
	return jaygw.Result{Digest: promote.Digest}
}

// putInForce replaces the document in force. Trials with a lower number can no longer be
// promoted; only their records are retained.
func (m *Machine) putInForce(e *Environment, trial *jaygw.Submitted, records []jaygw.DocumentRecord, author string) {
	accepted := *trial
	accepted.State = jaygw.Production
	accepted.Index = m.state.Index
	accepted.Time = m.state.Time
	accepted.Author = cmp.Or(author, trial.Author)

	next := *e
	next.InForce = &accepted
	next.Trials = map[uint64]*jaygw.Submitted{}
	next.Records = records
	for number, t := range e.Trials {
		if number > trial.Document.Number {
			next.Trials[number] = t
		} else if t != trial {
			m.index.documentBytes -= documentBytes(t.Document)
		}
	}
	var previous *jaygw.Document
	if e.InForce != nil {
		previous = &e.InForce.Document
		m.index.documentBytes -= documentBytes(*previous)
	}
	m.state.Environments[e.Name] = &next
	m.documentChanged(&accepted)
	m.applyDomains(accepted.Document)
	m.applyTeams(accepted.Document)
	m.applyServices(previous, accepted.Document)
	for _, spec := range newlyDeclaredJobs(previous, accepted.Document) {
		if _, known := m.state.Jobs[ownerKey(spec.Environment, spec.Name)]; !known {
			m.addJob(spec)
		}
	}
}

// recordsAfterPromotion returns the records of an environment after the promotion of a
// document number, or a refusal if they exceed the limit. A record is removed when its
// retention has expired and the table is full.
func (m *Machine) recordsAfterPromotion(e *Environment, number uint64) ([]jaygw.DocumentRecord, *jaygw.Refusal) {
	records := slices.Clone(e.Records)
	for _, n := range slices.Sorted(maps.Keys(e.Trials)) {
		if t := e.Trials[n]; n <= number {
			records = append(records, jaygw.DocumentRecord{
				Number: n, Digest: t.Digest, Author: t.Author, Index: t.Index, Time: m.state.Time,
			})
		}
	}
	extra := max(0, len(records)-m.limits.Records)
	if extra > 0 && records[extra-1].Time.Add(recordRetention) > m.state.Time {
		return nil, &jaygw.Refusal{Code: jaygw.RefusedTableFull, Detail: fmt.Sprintf(
			"environment %s has its limit of %d earlier documents; they leave after %s", e.Name, m.limits.Records, recordRetention)}
	}
	return slices.Clone(records[extra:]), nil
}

// newlyDeclaredJobs returns the jobs that a document declares and the previous one did not.
// A job that both declare was started with the previous one; if it were returned, it would
// run a second time once its retention has expired.
func newlyDeclaredJobs(previous *jaygw.Document, document jaygw.Document) []jaygw.JobSpec {
	previousSpecs := map[string]jaygw.JobSpec{}
	if previous != nil {
		for _, spec := range previous.Jobs {
			spec.Environment = previous.Environment
			previousSpecs[spec.Name] = spec
		}
	}
	var jobs []jaygw.JobSpec
	for _, spec := range document.Jobs {
		spec.Environment = document.Environment
		if old, ok := previousSpecs[spec.Name]; !ok || !sameJob(old, spec) {
			jobs = append(jobs, spec)
		}
	}
	return jobs
}

func (m *Machine) applyDomains(document jaygw.Document) {
	for _, spec := range document.Domains {
		if old, ok := m.state.Domains[spec.Name]; ok {
			if old.Region != spec.Region {
				next := *old
				next.Region = spec.Region
				m.putDomain(&next)
			}
			continue
		}
		m.putDomain(&jaygw.FailureDomain{Name: spec.Name, Region: spec.Region, Since: m.state.Time})
	}
}

// applyTeams sets the quotas of the declared teams. A team that is no longer declared starts
// no tasks and is removed once it holds no resources.
func (m *Machine) applyTeams(document jaygw.Document) {
	declared := map[string]bool{}
	for _, spec := range document.Teams {
		key := ownerKey(document.Environment, spec.Name)
		declared[key] = true
		team := jaygw.Team{Name: spec.Name, Quota: spec.Quota, Weight: max(1, spec.Weight), MayStart: spec.MayStart}
		if old, ok := m.state.Teams[key]; ok {
			team.Used = old.Used
		}
		m.state.Teams[key] = &team
	}
	for _, key := range sortedKeys(m.state.Teams) {
		if declared[key] || !strings.HasPrefix(key, document.Environment+"/") {
			continue
		}
		team := *m.state.Teams[key]
		team.Quota = jaygw.Resources{}
		team.Removed = true
		m.state.Teams[key] = &team
		m.dropUnusedTeam(key)
	}
}

func (m *Machine) documentChanged(submitted *jaygw.Submitted) {
	for _, observer := range m.observers {
		observer.DocumentChanged(submitted)
	}
}
