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
	keyWorkers       = 3
	keyPollInterval  = 100 * time.Millisecond
	keyDeployTimeout = 30 * time.Second
)

// keys measures the latency and the processor time that the claim of an idempotency key adds, on a
// local estate whose control group is one replica that syncs its files.
func (x *Experiments) keys(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "jaygw-load-")
	if err != nil {
		return eris.Wrap(err, "create the data folder")
	}
	defer os.RemoveAll(folder)
	discardLog := logrus.New()
	discardLog.SetOutput(io.Discard)
	size := jaygw.Resources{CPU: 32 * jaygw.Core, Memory: 125 * jaygw.GB}
	domains := []jaygw.DomainSpec{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "c", Region: "r"}}
	estate, err := launcher.NewLocal(launcher.LocalSettings{
		DataFolder: folder, Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Environment: "load",
		Domains: domains, Workers: keyWorkers, VMsPerRack: 1, Size: size,
	}, discardLog)
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = estate.Run(runCtx)
	}()
	defer func() {
		stop()
		<-ended
	}()
	if err := x.deploy(ctx, estate, domains); err != nil {
		return err
	}
	measure := func(keyed bool) (Report, float64) {
		before := processorTime()
		x.Seed++ // a different seed gives new keys, which may be used only once
		report := x.runLoad(ctx, estate.Callers, keyRate, func(p *Plan) { p.Keyed = keyed })
		return report, float64(processorTime()-before) / float64(max(1, report.Sent)) / float64(time.Microsecond)
	}
	for range x.Rounds {
		withoutKey, cpuWithout := measure(false)
		withKey, cpuWith := measure(true)
		m := Measurement{Experiment: "keys", Unit: "ms"}
		m.Name = "p50 without a key"
		x.record(m, float64(withoutKey.P50))
		m.Name = "p50 with a key"
		x.record(m, float64(withKey.P50))
		m.Name = "added p50"
		x.record(m, float64(withKey.P50-withoutKey.P50))
		m.Name = "added p99"
		x.record(m, float64(withKey.P99-withoutKey.P99))
		x.record(Measurement{Experiment: "keys", Name: "processor time added", Unit: "us/request"}, cpuWith-cpuWithout)
		x.record(Measurement{Experiment: "keys", Name: "not answered with a key", Unit: "requests"}, float64(withKey.Refused+withKey.Unknown))
	}
	return nil
}

// deploy promotes a document with the test service and waits until all its replicas are running.
func (x *Experiments) deploy(ctx context.Context, estate *launcher.Local, domains []jaygw.DomainSpec) error {
	ctx, cancel := context.WithTimeout(ctx, keyDeployTimeout)
	defer cancel()
	quota := jaygw.Resources{CPU: 90 * jaygw.Core, Memory: 300 * jaygw.GB}
	document := jaygw.Document{
		Environment: "load", Number: 1, Domains: domains,
		Teams: []jaygw.TeamSpec{{Name: "load", Quota: quota}},
		Services: []jaygw.ServiceSpec{{
			Name: testbedService, Team: "load", Class: jaygw.LatencyCritical, Replicas: keyWorkers,
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
		time.Sleep(keyPollInterval)
	}
	for ctx.Err() == nil {
		status, err := operator.Status(ctx)
		if err == nil && status.Tasks[string(jaygw.Running)] >= keyWorkers {
			time.Sleep(10 * keyPollInterval) // wait until the view of the entry has caught up
			return nil
		}
		time.Sleep(keyPollInterval)
	}
	return eris.New("the test service did not start all replicas in time")
}
