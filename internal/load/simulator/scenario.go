// Package simulator measures scheduling policies in simulated time. Simulated workers, with a
// model of interference and delayed usage reports, run a scripted load, which is the same for every
// policy.
package simulator

import (
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// User describes an estate: its document, its VMs and the size of its batch tasks.
	User struct {
		Name     string          `json:"name"`
		Document jaygw.Document  `json:"document"`
		VMs      map[string]int  `json:"vms"`   // number of VMs, by failure domain
		Size     jaygw.Resources `json:"size"`  // of each VM
		Task     jaygw.Resources `json:"task"`  // real size of a batch task
		Teams    [2]string       `json:"teams"` // team of the batch jobs, team of the services
	}

	// Scenario is a scripted load on the estate of a user.
	Scenario struct {
		Name   string           `json:"name"`
		Length jaygw.Duration   `json:"length"`
		Jobs   []JobScript      `json:"jobs"`
		Out    *DomainOutScript `json:"out,omitempty"`
		BadVMs int              `json:"bad-vms,omitempty"` // number of VMs on which every start fails
	}

	// JobScript describes a batch job and its real behavior, which may differ from its declaration.
	JobScript struct {
		Name         string         `json:"name"`
		At           jaygw.Duration `json:"at"` // time of submission since the start of the scenario
		Tasks        int            `json:"tasks"`
		RunTime      jaygw.Duration `json:"run-time"`                // real run time of a task at full speed
		DeclaredSize float64        `json:"declared-size,omitempty"` // ratio of the declared to the real size; 0 means 1
		DeclaredTime float64        `json:"declared-time,omitempty"` // ratio of the declared to the real run time; 0 means 1
		Noise        float64        `json:"noise"`                   // relative rise of a service's latency if the job used all CPU of its VM
		Urgent       bool           `json:"urgent,omitempty"`
		OfServices   bool           `json:"of-services,omitempty"`  // belongs to the team of the services
		FailsAlways  bool           `json:"fails-always,omitempty"` // every start fails
	}

	// DomainOutScript takes the first failure domain out and returns it later.
	DomainOutScript struct {
		At       jaygw.Duration `json:"at"`   // since the start of the scenario
		Duration jaygw.Duration `json:"away"` // how long the domain is out
		// MeasureOnly leaves the domain in place, but counts the work done during that time.
		MeasureOnly bool `json:"-"`
	}

	// Measurements are the results of one scenario under one policy.
	Measurements struct {
		P99          time.Duration // 99th percentile of the latency of requests to latency-critical services
		Work         time.Duration // core time of batch work that was not lost
		Evictions    int           // by the policy, or because a VM ran out of memory
		WorkWhileOut time.Duration // core time of batch work while the first failure domain is out
		UrgentWait   time.Duration // longest wait of an urgent task
		Failures     int           // attempts that failed
		Done         int           // tasks that completed
	}
)

// spec returns the declaration of the job.
func (j JobScript) spec(user *User) jaygw.JobSpec {
	scaled := func(v, factor float64) float64 {
		if factor == 0 {
			return v
		}
		return v * factor
	}
	team := user.Teams[0]
	if j.OfServices {
		team = user.Teams[1]
	}
	return jaygw.JobSpec{
		Name: j.Name, Environment: user.Document.Environment, Team: team, Tasks: j.Tasks, Urgent: j.Urgent,
		Resources: jaygw.Resources{
			CPU:    jaygw.MilliCores(scaled(float64(user.Task.CPU), j.DeclaredSize)),
			Memory: jaygw.Bytes(scaled(float64(user.Task.Memory), j.DeclaredSize)),
		},
		RunTime: jaygw.Duration(scaled(float64(j.RunTime), j.DeclaredTime)), MaxFailures: 1000,
	}
}
