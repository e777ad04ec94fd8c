package checker

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/config/decoder"
)

// Upper bounds of the values in a document; maxPayload is in bytes.
const (
	maxReplicas = 10_000
	maxTasks    = 100_000
	maxPercent  = 100
	maxPayload  = 4096
)

// Document decodes and validates a document. The findings name the file; the document is usable
// only if there are none.
func Document(file string, data []byte) (jaygw.Document, jaygw.Findings) {
	var d jaygw.Document
	findings := decoder.Decode(file, data, &d)
	if len(findings) > 0 {
		decoder.Lenient(data, &d)
	}
	v := &validator{file: file}
	v.document(d)
	for _, f := range v.findings {
		if !hasFinding(findings, f) {
			findings = append(findings, f)
		}
	}
	return d, findings
}

// Digest returns the SHA-256 digest of a document in hexadecimal. It covers the values, not the
// layout of the file.
func Digest(d jaygw.Document) string {
	data, err := json.Marshal(d)
	if err != nil {
		panic(err) // every field of a Document can be encoded as JSON
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Job decodes and validates a job that is submitted on its own. The findings name the file; the
// job is usable only if there are none.
func Job(file string, data []byte) (jaygw.JobSpec, jaygw.Findings) {
	var j jaygw.JobSpec
	findings := decoder.Decode(file, data, &j)
	if len(findings) > 0 {
		decoder.Lenient(data, &j)
	}
	v := &validator{file: file}
	v.name("environment", j.Environment)
	v.job("", j)
	for _, f := range v.findings {
		if !hasFinding(findings, f) {
			findings = append(findings, f)
		}
	}
	return j, findings
}

// hasFinding reports whether the path of a finding, or a path that contains it, already has a
// finding.
func hasFinding(findings jaygw.Findings, f jaygw.Finding) bool {
	return slices.ContainsFunc(findings, func(o jaygw.Finding) bool {
		return o.Path == "" || o.Path == f.Path || strings.HasPrefix(f.Path, o.Path+".") || strings.HasPrefix(f.Path, o.Path+"[")
	})
}

func (v *validator) document(d jaygw.Document) {
	v.name("environment", d.Environment)
	if d.Number == 0 {
		v.addFinding("number", "must be 1 or more")
	}
	domains := v.domains(d.Domains)
	teams := v.teams(d.Teams, domains)
	pathsByName := map[string]string{}
	for i, s := range d.Services {
		path := fmt.Sprintf("services[%d]", i)
		v.uniqueName(path, s.Name, pathsByName)
		v.reference(path+".team", "team", s.Team, teams)
		v.references(path+".domains", "failure domain", s.Domains, domains)
		v.service(path, s)
		v.startDomains(path, s.Team, s.Domains, d.Teams)
	}
	v.teamQuotas(d)
	for i, j := range d.Jobs {
		path := fmt.Sprintf("jobs[%d]", i)
		v.uniqueName(path, j.Name, pathsByName)
		v.reference(path+".team", "team", j.Team, teams)
		v.references(path+".domains", "failure domain", j.Domains, domains)
		v.job(path+".", j)
		v.startDomains(path, j.Team, j.Domains, d.Teams)
		if team, ok := teamOf(d, j.Team); ok && !j.Resources.Fits(team.Quota) {
			v.addFinding(path+".resources", "one task is larger than the quota of team %q and can never run", j.Team)
		}
		if j.Environment != "" && j.Environment != d.Environment {
			v.addFinding(path+".environment", "%q is not the document's environment", j.Environment)
		}
	}
	v.documentLimits(d.Limits)
}

func teamOf(d jaygw.Document, name string) (jaygw.TeamSpec, bool) {
	i := slices.IndexFunc(d.Teams, func(t jaygw.TeamSpec) bool { return t.Name == name })
	if i < 0 {
		return jaygw.TeamSpec{}, false
	}
	return d.Teams[i], true
}

// teamQuotas checks that a team's quota covers the sizes that all replicas of its services declare
// together. Jobs are left out: they may wait for each other, services may not.
func (v *validator) teamQuotas(d jaygw.Document) {
	for i, team := range d.Teams {
		var sum jaygw.Resources
		for _, s := range d.Services {
			if s.Team == team.Name && s.Replicas <= maxReplicas && s.Resources.Fits(maxSize) {
				for range s.Replicas {
					sum = sum.Add(s.Resources)
				}
			}
		}
		path := fmt.Sprintf("teams[%d].quota", i)
		if sum.CPU > team.Quota.CPU {
			v.addFinding(path+".cpu-millicores", "%d is less than the %d that the replicas of team %q declare", team.Quota.CPU, sum.CPU, team.Name)
		}
		if sum.Memory > team.Quota.Memory {
			v.addFinding(path+".memory-bytes", "%d is less than the %d that the replicas of team %q declare", team.Quota.Memory, sum.Memory, team.Name)
		}
		if sum.Accelerators > team.Quota.Accelerators {
			v.addFinding(path+".accelerators", "%d is less than the %d that the replicas of team %q declare",
				team.Quota.Accelerators, sum.Accelerators, team.Name)
		}
	}
}

// startDomains checks that a service or job names at least one failure domain in which its team
// may start tasks.
func (v *validator) startDomains(path, team string, domains []string, teams []jaygw.TeamSpec) {
	i := slices.IndexFunc(teams, func(t jaygw.TeamSpec) bool { return t.Name == team })
	if i < 0 || len(domains) == 0 || len(teams[i].MayStart) == 0 {
		return
	}
	if !slices.ContainsFunc(domains, func(d string) bool { return slices.Contains(teams[i].MayStart, d) }) {
		v.addFinding(path+".domains", "team %q may start in none of them", team)
	}
}

// domains checks the failure domains of a document and returns the set of their names.
func (v *validator) domains(specs []jaygw.DomainSpec) map[string]bool {
	declared := map[string]bool{}
	if len(specs) == 0 {
		v.addFinding("domains", "is missing")
	}
	for i, d := range specs {
		path := fmt.Sprintf("domains[%d]", i)
		v.name(path+".name", d.Name)
		v.name(path+".region", d.Region)
		if declared[d.Name] {
			v.addFinding(path+".name", "failure domain %q is declared twice", d.Name)
		}
		declared[d.Name] = true
	}
	return declared
}

// teams checks the teams of a document and returns the set of their names.
func (v *validator) teams(specs []jaygw.TeamSpec, domains map[string]bool) map[string]bool {
	declared := map[string]bool{}
	for i, t := range specs {
		path := fmt.Sprintf("teams[%d]", i)
		v.name(path+".name", t.Name)
		if declared[t.Name] {
			v.addFinding(path+".name", "team %q is declared twice", t.Name)
		}
		declared[t.Name] = true
		v.amounts(path+".quota", t.Quota)
		if t.Weight < 0 {
			v.addFinding(path+".weight", "must not be negative")
		}
		v.references(path+".may-start", "failure domain", t.MayStart, domains)
	}
	return declared
}

// uniqueName checks the name of a service or job, which share one set of names. pathsByName holds
// the path of the service or job that already has each name.
func (v *validator) uniqueName(path, name string, pathsByName map[string]string) {
	v.name(path+".name", name)
	if other, ok := pathsByName[name]; ok {
		v.addFinding(path+".name", "%q is already the name of %s", name, other)
	}
	pathsByName[name] = path
}

// reference checks that the document declares the name at a path.
func (v *validator) reference(path, kind, name string, declared map[string]bool) {
	if !declared[name] {
		v.addFinding(path, "%s %q is not declared", kind, name)
	}
}

// references checks that the document declares each name of a list, and that none is listed twice.
func (v *validator) references(path, kind string, names []string, declared map[string]bool) {
	for i, name := range names {
		v.reference(fmt.Sprintf("%s[%d]", path, i), kind, name, declared)
		if slices.Index(names, name) < i {
			v.addFinding(fmt.Sprintf("%s[%d]", path, i), "%s %q is listed twice", kind, name)
		}
	}
}

func (v *validator) service(path string, s jaygw.ServiceSpec) {
	if s.Class != jaygw.Urgent && s.Class != jaygw.LatencyCritical && s.Class != jaygw.Bulk {
		v.addFinding(path+".class", "%q is not urgent, latency-critical or bulk", s.Class)
	}
	if s.Replicas < 0 || s.Replicas > maxReplicas {
		v.addFinding(path+".replicas", "%d is not from 0 to %d", s.Replicas, maxReplicas)
	}
	v.size(path+".resources", s.Resources)
	if s.Timeout <= 0 {
		v.addFinding(path+".timeout", "must be more than zero")
	}
	if s.LatencyTarget < 0 {
		v.addFinding(path+".latency-target", "must not be negative")
	}
	if s.Timeout > 0 && s.LatencyTarget > s.Timeout {
		v.addFinding(path+".latency-target", "%s is above the timeout of %s", s.LatencyTarget.Std(), s.Timeout.Std())
	}
	if s.MaxBody < 0 {
		v.addFinding(path+".max-body-bytes", "must not be negative")
	}
	if s.RetryPercent < 0 || s.RetryPercent > maxPercent {
		v.addFinding(path+".retry-percent", "%d is not from 0 to %d", s.RetryPercent, maxPercent)
	}
	for i, method := range s.IdempotentMethods {
		if method != strings.ToUpper(method) || method == "" {
			v.addFinding(fmt.Sprintf("%s.idempotent-methods[%d]", path, i), "%q is not an HTTP method in upper case", method)
		}
		if slices.Index(s.IdempotentMethods, method) < i {
			v.addFinding(fmt.Sprintf("%s.idempotent-methods[%d]", path, i), "%q is listed twice", method)
		}
	}
}

// job checks a job. An empty prefix means a job that is submitted on its own, whose name and team
// no document check has covered.
func (v *validator) job(prefix string, j jaygw.JobSpec) {
	if prefix == "" {
		v.name("name", j.Name)
		v.name("team", j.Team)
	}
	if j.Tasks < 1 || j.Tasks > maxTasks {
		v.addFinding(prefix+"tasks", "%d is not from 1 to %d", j.Tasks, maxTasks)
	}
	v.size(prefix+"resources", j.Resources)
	if j.RunTime <= 0 {
		v.addFinding(prefix+"run-time", "must be more than zero")
	}
	if j.MaxFailures < 0 {
		v.addFinding(prefix+"max-failures", "must not be negative")
	}
	if len(j.Payload) > maxPayload {
		v.addFinding(prefix+"payload", "is longer than %d bytes", maxPayload)
	}
}

func (v *validator) documentLimits(l jaygw.Limits) {
	if l.MovesPerSecond < 0 {
		v.addFinding("limits.moves-per-second", "must not be negative")
	}
	if l.QuarantinePercent < 0 || l.QuarantinePercent > maxPercent {
		v.addFinding("limits.quarantine-percent", "%d is not from 0 to %d", l.QuarantinePercent, maxPercent)
	}
	if l.RampUp < 0 {
		v.addFinding("limits.ramp-up", "must not be negative")
	}
}
