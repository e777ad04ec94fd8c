package generator

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/daemon/launcher"
	"github.com/jaygw/jaygw/internal/operator/client"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

const (
	keyWorkers  = 3
	keySettle   = 100 * time.Millisecond
	keyPatience = 30 * time.Second
)

// keys measures what the claim of an idempotency key adds on a local estate, whose
// control state is one replica with synced files.
func (x *Experiments) keys(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "jaygw-load-")
	if err != nil {
		return eris.Wrap(err, "create the data folder")
	}
	defer os.RemoveAll(folder)
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	size := jaygw.Resources{CPU: 32 * jaygw.Core, Memory: 125 * jaygw.GB}
	domains := []jaygw.DomainSpec{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "c", Region: "r"}}
	estate, err := launcher.NewLocal(launcher.LocalSettings{
		DataFolder: folder, Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Environment: "load",
		Domains: domains, Workers: keyWorkers, PerRack: 1, Size: size,
	}, quiet)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = estate.Run(running)
	}()
	defer func() {
		stop()
		<-ended
	}()
	if err := x.deploy(ctx, estate, domains); err != nil {
		return err
	}
	cost := func(keyed bool) (Report, float64) {
		before := processorTime()
		x.Seed++ // keys are not used twice
		report := x.load(ctx, estate.Callers, keyRate, func(p *Plan) { p.Keyed = keyed })
		return report, float64(processorTime()-before) / float64(max(1, report.Sent)) / float64(time.Microsecond)
	}
	for range x.Rounds {
		without, costWithout := cost(false)
		with, costWith := cost(true)
		f := Figure{Experiment: "keys", Unit: "ms"}
		f.Name = "p50 without a key"
		x.note(f, float64(without.P50))
		f.Name = "p50 with a key"
		x.note(f, float64(with.P50))
		f.Name = "added p50"
		x.note(f, float64(with.P50-without.P50))
		f.Name = "added p99"
		x.note(f, float64(with.P99-without.P99))
		x.note(Figure{Experiment: "keys", Name: "processor time added", Unit: "us/request"}, costWith-costWithout)
		x.note(Figure{Experiment: "keys", Name: "not answered with a key", Unit: "requests"}, float64(with.Refused+with.Unknown))
	}
	return nil
}

// deploy puts the service in force and waits until it answers.
func (x *Experiments) deploy(ctx context.Context, estate *launcher.Local, domains []jaygw.DomainSpec) error {
	ctx, cancel := context.WithTimeout(ctx, keyPatience)
	defer cancel()
	quota := jaygw.Resources{CPU: 90 * jaygw.Core, Memory: 300 * jaygw.GB}
	document := jaygw.Document{
		Environment: "load", Number: 1, Domains: domains,
		Teams: []jaygw.TeamSpec{{Name: "load", Quota: quota}},
		Services: []jaygw.ServiceSpec{{
			Name: rigService, Team: "load", Class: jaygw.LatencyCritical, Replicas: keyWorkers,
			Resources: jaygw.Resources{CPU: jaygw.Core, Memory: jaygw.GB}, Timeout: jaygw.Duration(requestTimeout),
		}},
	}
	operator := client.New(estate.Operators)
	for ctx.Err() == nil {
		submitted, err := operator.Submit(ctx, document, "load")
		if err == nil && submitted.Refusal == nil {
			if _, err = operator.Promote(ctx, document.Environment, submitted.Digest, "load"); err == nil {
				break
			}
		}
		time.Sleep(keySettle)
	}
	for ctx.Err() == nil {
		status, err := operator.Status(ctx)
		if err == nil && status.Tasks[string(jaygw.Running)] >= keyWorkers {
			time.Sleep(10 * keySettle) // the entry's view follows
			return nil
		}
		time.Sleep(keySettle)
	}
	return eris.New("the service did not start in time")
}
