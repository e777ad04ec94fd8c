package commander

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/jaygw/jaygw/internal/load/generator"
	"github.com/rotisserie/eris"
)

// loadOptions are the flags of the load command.
type loadOptions struct {
	URL        string
	Method     string
	BodyBytes  int           // per request
	PerSecond  int           // requests
	Duration   time.Duration // of the load, or of one measurement of an experiment
	Timeout    time.Duration // of one request
	Keyed      bool          // each request has an idempotency key
	Seed       int           // of the arrival times
	Plot       string        // SVG file
	Experiment string        // empty: send load to URL
	Rounds     int           // of an experiment
}

func defaultLoad() loadOptions {
	return loadOptions{
		Method: http.MethodPost, BodyBytes: 200, PerSecond: 100, Duration: 10 * time.Second, Timeout: 5 * time.Second,
		Seed: 1, Rounds: 5,
	}
}

func (c *Commander) addLoad() {
	c.load = defaultLoad()
	command := c.add(&c.parser.Subcommand, "load", "send load at a fixed rate, or measure on loopback", c.runLoad)
	command.String(&c.load.URL, "u", "url", "target, such as http://127.0.0.1:7400/booking/confirm")
	command.String(&c.load.Method, "m", "method", "request method")
	command.Int(&c.load.BodyBytes, "b", "body-bytes", "size of the request's body")
	command.Int(&c.load.PerSecond, "r", "rate", "requests per second")
	command.Duration(&c.load.Duration, "d", "duration", "length of the load, or of one measurement")
	command.Duration(&c.load.Timeout, "t", "timeout", "of one request")
	command.Bool(&c.load.Keyed, "k", "keyed", "give each request an idempotency-key")
	command.Int(&c.load.Seed, "e", "seed", "of the arrivals")
	command.String(&c.load.Plot, "p", "plot", "file for a plot of the latencies as SVG")
	command.String(&c.load.Experiment, "x", "experiment", "all, latency, processor, overload, slow-upstream, outage or keys")
	command.Int(&c.load.Rounds, "n", "rounds", "rounds of an experiment")
}

func (c *Commander) runLoad(ctx context.Context) error {
	o := c.load
	if o.PerSecond <= 0 || o.Duration <= 0 || o.Timeout <= 0 || o.Rounds <= 0 || o.BodyBytes < 0 {
		return &usageError{eris.New("--rate, --duration, --timeout and --rounds must be positive")}
	}
	if o.Experiment != "" {
		return c.runExperiment(ctx, o)
	}
	if o.URL == "" {
		return &usageError{eris.New("--url or --experiment is missing")}
	}
	report := generator.New(generator.Plan{
		URL: o.URL, Method: o.Method, Body: o.BodyBytes, PerSecond: float64(o.PerSecond), Duration: o.Duration,
		Timeout: o.Timeout, Keyed: o.Keyed, Seed: uint64(o.Seed),
	}).Run(ctx)
	if o.Plot != "" {
		if err := writePlot(o.Plot, report); err != nil {
			return err
		}
	}
	return c.print(report, func(t *tableWriter) { report.Write(t.writer) })
}

func (c *Commander) runExperiment(ctx context.Context, o loadOptions) error {
	experiments := generator.Experiments{Rounds: o.Rounds, MeasurementDuration: o.Duration, Seed: uint64(o.Seed)}
	measurements, err := experiments.Run(ctx, o.Experiment)
	return errors.Join(err, c.print(measurements, func(t *tableWriter) { generator.WriteMeasurements(t.writer, measurements) }))
}

// writePlot writes the latencies of a report to an SVG file.
func writePlot(name string, report generator.Report) error {
	file, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "create the plot")
	}
	if err := report.Plot(file); err != nil {
		file.Close()
		return eris.Wrap(err, "write the plot")
	}
	return eris.Wrap(file.Close(), "write the plot")
}
