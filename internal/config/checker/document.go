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

const (
	maxReplicas = 10_000
	maxTasks    = 100_000
	maxPercent  = 100
	maxPayload  = 4096
)

// Document reads and validates a document.
func Document(file string, data []byte) (jaygw.Document, jaygw.Findings) {
	var d jaygw.Document
	findings := decoder.Decode(file, data, &d)
	if len(findings) > 0 {
		decoder.Lenient(data, &d)
	}
	c := &collector{file: file}
	c.document(d)
	for _, f := range c.findings {
		if !covered(findings, f) {
			findings = append(findings, f)
		}
	}
	return d, findings
}

// Digest returns the digest of a document: of its content, not of its layout.
func Digest(d jaygw.Document) string {
	data, err := json.Marshal(d)
	if err != nil {
		panic(err) // a Document holds nothing that JSON cannot
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Job reads and validates a job.
func Job(file string, data []byte) (jaygw.JobSpec, jaygw.Findings) {
	var j jaygw.JobSpec
	findings := decoder.Decode(file, data, &j)
	if len(findings) > 0 {
		decoder.Lenient(data, &j)
	}
	c := &collector{file: file}
	c.name("environment", j.Environment)
	c.job("", j)
	for _, f := range c.findings {
		if !covered(findings, f) {
			findings = append(findings, f)
		}
	}
	return j, findings
}

// covered reports whether a finding is on a path that already has one.
func covered(known jaygw.Findings, f jaygw.Finding) bool {
	return slices.ContainsFunc(known, func(k jaygw.Finding) bool {
		return k.Path == "" || k.Path == f.Path || strings.HasPrefix(f.Path, k.Path+".") || strings.HasPrefix(f.Path, k.Path+"[")
	})
}

func (c *collector) document(d jaygw.Document) {
	c.name("environment", d.Environment)
	if d.Number == 0 {
		c.find("number", "must be 1 or more")
	}
	domains := c.domains(d.Domains)
	teams := c.teams(d.Teams, domains)
	owners := map[string]string{}
	for i, s := range d.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.owner(path, s.Name, owners)
		c.reference(path+".team", "team", s.Team, teams)
		c.references(path+".domains", "failure domain", s.Domains, domains)
		c.service(path, s)
		c.reachable(path, s.Team, s.Domains, d.Teams)
	}
	c.quotas(d)
	for i, j := range d.Jobs {
		path := fmt.Sprintf("jobs[%d]", i)
		c.owner(path, j.Name, owners)
		c.reference(path+".team", "team", j.Team, teams)
		c.references(path+".domains", "failure domain", j.Domains, domains)
		c.job(path+".", j)
		c.reachable(path, j.Team, j.Domains, d.Teams)
		if team, ok := teamOf(d, j.Team); ok && !j.Resources.Fits(team.Quota) {
			c.find(path+".resources", "one task is larger than the quota of team %q and can never run", j.Team)
		}
		if j.Environment != "" && j.Environment != d.Environment {
			c.find(path+".environment", "%q is not the document's environment", j.Environment)
		}
	}
	c.documentLimits(d.Limits)
}

func teamOf(d jaygw.Document, name string) (jaygw.TeamSpec, bool) {
	i := slices.IndexFunc(d.Teams, func(t jaygw.TeamSpec) bool { return t.Name == name })
	if i < 0 {
		return jaygw.TeamSpec{}, false
	}
	return d.Teams[i], true
}

// quotas compares what a team's services declare in total with its quota. Jobs
// may wait for each other; services may not.
func (c *collector) quotas(d jaygw.Document) {
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
			c.find(path+".cpu-millicores", "%d is less than the %d that the replicas of team %q declare", team.Quota.CPU, sum.CPU, team.Name)
		}
		if sum.Memory > team.Quota.Memory {
			c.find(path+".memory-bytes", "%d is less than the %d that the replicas of team %q declare", team.Quota.Memory, sum.Memory, team.Name)
		}
		if sum.Accelerators > team.Quota.Accelerators {
			c.find(path+".accelerators", "%d is less than the %d that the replicas of team %q declare",
				team.Quota.Accelerators, sum.Accelerators, team.Name)
		}
	}
}

// reachable finds owners whose failure domains are all closed to their team.
func (c *collector) reachable(path, team string, domains []string, teams []jaygw.TeamSpec) {
	i := slices.IndexFunc(teams, func(t jaygw.TeamSpec) bool { return t.Name == team })
	if i < 0 || len(domains) == 0 || len(teams[i].MayStart) == 0 {
		return
	}
	if !slices.ContainsFunc(domains, func(d string) bool { return slices.Contains(teams[i].MayStart, d) }) {
		c.find(path+".domains", "team %q may start in none of them", team)
	}
}

func (c *collector) domains(specs []jaygw.DomainSpec) map[string]bool {
	known := map[string]bool{}
	if len(specs) == 0 {
		c.find("domains", "is missing")
	}
	for i, d := range specs {
		path := fmt.Sprintf("domains[%d]", i)
		c.name(path+".name", d.Name)
		c.name(path+".region", d.Region)
		if known[d.Name] {
			c.find(path+".name", "failure domain %q is declared twice", d.Name)
		}
		known[d.Name] = true
	}
	return known
}

func (c *collector) teams(specs []jaygw.TeamSpec, domains map[string]bool) map[string]bool {
	known := map[string]bool{}
	for i, t := range specs {
		path := fmt.Sprintf("teams[%d]", i)
		c.name(path+".name", t.Name)
		if known[t.Name] {
			c.find(path+".name", "team %q is declared twice", t.Name)
		}
		known[t.Name] = true
		c.quota(path+".quota", t.Quota)
		if t.Weight < 0 {
			c.find(path+".weight", "must not be negative")
		}
		c.references(path+".may-start", "failure domain", t.MayStart, domains)
	}
	return known
}

func (c *collector) owner(path, name string, owners map[string]string) {
	c.name(path+".name", name)
	if other, ok := owners[name]; ok {
		c.find(path+".name", "%q is already the name of %s", name, other)
	}
	owners[name] = path
}

func (c *collector) reference(path, kind, name string, known map[string]bool) {
	if !known[name] {
		c.find(path, "%s %q is not declared", kind, name)
	}
}

func (c *collector) references(path, kind string, names []string, known map[string]bool) {
	for i, name := range names {
		c.reference(fmt.Sprintf("%s[%d]", path, i), kind, name, known)
		if slices.Index(names, name) < i {
			c.find(fmt.Sprintf("%s[%d]", path, i), "%s %q is listed twice", kind, name)
		}
	}
}

func (c *collector) service(path string, s jaygw.ServiceSpec) {
	if s.Class != jaygw.Urgent && s.Class != jaygw.LatencyCritical && s.Class != jaygw.Bulk {
		c.find(path+".class", "%q is not urgent, latency-critical or bulk", s.Class)
	}
	if s.Replicas < 0 || s.Replicas > maxReplicas {
		c.find(path+".replicas", "%d is not from 0 to %d", s.Replicas, maxReplicas)
	}
	c.size(path+".resources", s.Resources)
	if s.Timeout <= 0 {
		c.find(path+".timeout", "must be more than zero")
	}
	if s.LatencyTarget < 0 {
		c.find(path+".latency-target", "must not be negative")
	}
	if s.Timeout > 0 && s.LatencyTarget > s.Timeout {
		c.find(path+".latency-target", "%s is above the timeout of %s", s.LatencyTarget.Std(), s.Timeout.Std())
	}
	if s.MaxBody < 0 {
		c.find(path+".max-body-bytes", "must not be negative")
	}
	if s.RetryPercent < 0 || s.RetryPercent > maxPercent {
		c.find(path+".retry-percent", "%d is not from 0 to %d", s.RetryPercent, maxPercent)
	}
	for i, method := range s.IdempotentMethods {
		if method != strings.ToUpper(method) || method == "" {
			c.find(fmt.Sprintf("%s.idempotent-methods[%d]", path, i), "%q is not an HTTP method in upper case", method)
		}
		if slices.Index(s.IdempotentMethods, method) < i {
			c.find(fmt.Sprintf("%s.idempotent-methods[%d]", path, i), "%q is listed twice", method)
		}
	}
}

func (c *collector) job(prefix string, j jaygw.JobSpec) {
	if prefix == "" {
		c.name("name", j.Name)
		c.name("team", j.Team)
	}
	if j.Tasks < 1 || j.Tasks > maxTasks {
		c.find(prefix+"tasks", "%d is not from 1 to %d", j.Tasks, maxTasks)
	}
	c.size(prefix+"resources", j.Resources)
	if j.RunTime <= 0 {
		c.find(prefix+"run-time", "must be more than zero")
	}
	if j.MaxFailures < 0 {
		c.find(prefix+"max-failures", "must not be negative")
	}
	if len(j.Payload) > maxPayload {
		c.find(prefix+"payload", "is longer than %d bytes", maxPayload)
	}
}

func (c *collector) documentLimits(l jaygw.Limits) {
	if l.MovesPerSecond < 0 {
		c.find("limits.moves-per-second", "must not be negative")
	}
	if l.QuarantinePercent < 0 || l.QuarantinePercent > maxPercent {
		c.find("limits.quarantine-percent", "%d is not from 0 to %d", l.QuarantinePercent, maxPercent)
	}
	if l.RampUp < 0 {
		c.find("limits.ramp-up", "must not be negative")
	}
}
