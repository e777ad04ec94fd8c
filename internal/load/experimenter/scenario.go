// Package experimenter measures scheduling policies in virtual time: fake workers
// with a model of interference and lagged reports run a scripted load, and every
// policy gets the same load.
package experimenter

import (
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// User is an estate with its document and the size of its batch tasks.
	User struct {
		Name     string          `json:"name"`
		Document jaygw.Document  `json:"document"`
		VMs      map[string]int  `json:"vms"` // by failure domain
		Size     jaygw.Resources `json:"size"`
		Task     jaygw.Resources `json:"task"`
		Teams    [2]string       `json:"teams"` // of the batch work, of the services
	}

	// Scenario is a scripted load.
	Scenario struct {
		Name   string         `json:"name"`
		Length jaygw.Duration `json:"length"`
		Jobs   []JobScript    `json:"jobs"`
		Out    *OutScript     `json:"out,omitempty"`
		BadVMs int            `json:"bad-vms,omitempty"` // that fail everything they start
	}

	// JobScript is a job and how it really behaves.
	JobScript struct {
		Name         string         `json:"name"`
		At           jaygw.Duration `json:"at"`
		Tasks        int            `json:"tasks"`
		RunTime      jaygw.Duration `json:"run-time"`                // the real one at full speed
		DeclaredSize float64        `json:"declared-size,omitempty"` // over the real size, default 1
		DeclaredTime float64        `json:"declared-time,omitempty"` // over the real run time, default 1
		Noise        float64        `json:"noise"`                   // rise of a service's latency if it took the whole VM
		Urgent       bool           `json:"urgent,omitempty"`
		OfServices   bool           `json:"of-services,omitempty"` // belongs to the team that runs the services
		FailsAlways  bool           `json:"fails-always,omitempty"`
	}

	// OutScript takes the first failure domain out and returns it.
	OutScript struct {
		At   jaygw.Duration `json:"at"`
		Away jaygw.Duration `json:"away"`
		// Marks only measures the time and leaves the domains as they are.
		Marks bool `json:"-"`
	}

	// Figures are what one run has measured.
	Figures struct {
		P99       time.Duration // of the requests to latency-critical services
		Work      time.Duration // core time of batch work that is done or saved
		Evictions int           // by the policy, and by VMs out of memory
		Away      time.Duration // core time of batch work while the domain is out
		Urgent    time.Duration // longest wait of an urgent task
		Failures  int
		Done      int
	}
)

func (j JobScript) spec(user *User) jaygw.JobSpec {
	scale := func(v, factor float64) float64 {
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
			CPU:    jaygw.MilliCores(scale(float64(user.Task.CPU), j.DeclaredSize)),
			Memory: jaygw.Bytes(scale(float64(user.Task.Memory), j.DeclaredSize)),
		},
		RunTime: jaygw.Duration(scale(float64(j.RunTime), j.DeclaredTime)), MaxFailures: 1000,
	}
}
