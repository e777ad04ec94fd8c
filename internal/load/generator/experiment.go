package generator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Measurement is one quantity, measured once in each round of an experiment.
	Measurement struct {
		Experiment string    `json:"experiment"`
		Name       string    `json:"name"`
		Unit       string    `json:"unit"`
		Bound      float64   `json:"bound,omitempty"`    // required limit of the median; zero means no requirement
		AtLeast    bool      `json:"at-least,omitempty"` // the bound is a minimum, not a maximum
		Rounds     []float64 `json:"rounds"`             // one value for each round
	}

	// Experiments runs the experiments. Request paths that are compared are measured alternately,
	// so that other load on the machine affects all of them.
	Experiments struct {
		Rounds              int           // number of repetitions of each measurement
		MeasurementDuration time.Duration // duration of the load in each measurement
		Seed                uint64        // seed of the random intervals between requests

		measurements []Measurement
	}

	// experiment is a named method of Experiments.
	experiment struct {
		name string
		run  func(*Experiments, context.Context) error
	}
)

var experiments = []experiment{
	{"latency", (*Experiments).latency},
	{"processor", (*Experiments).processor},
	{"overload", (*Experiments).overload},
	{"slow-upstream", (*Experiments).slowUpstream},
	{"outage", (*Experiments).outage},
	{"keys", (*Experiments).keys},
}

const (
	bodyBytes = 200

	// The delays of the latency experiment give about a thousand requests per second at half load,
	// which leaves the machine idle enough to measure latencies.
	singleUpstreamDelay = 5 * time.Millisecond
	manyUpstreamsDelay  = 40 * time.Millisecond
	processorRate       = 1500 // requests per second
	overloadDelay       = 20 * time.Millisecond
	overloadCapacity    = float64(testbedSlots) * float64(time.Second) / float64(overloadDelay)
	overloadTimeout     = 500 * time.Millisecond // timeout of one request
	upstreamCount       = 11                     // number of upstreams, where there are several
	slowRate            = 600                    // requests per second
	upstreamDelay       = 2 * time.Millisecond
	slowFactor          = 20  // delay of the slow upstream, as a multiple of upstreamDelay
	outageRate          = 500 // requests per second
	keyRate             = 200 // requests per second
	requestTimeout      = 5 * time.Second
)

// Names returns the names of all experiments, in the order in which they run.
func Names() []string {
	var names []string
	for _, e := range experiments {
		names = append(names, e.name)
	}
	return names
}

// Run runs the named experiment, or all of them if name is "all", and returns the measurements.
func (x *Experiments) Run(ctx context.Context, name string) ([]Measurement, error) {
	found := false
	for _, e := range experiments {
		if name != "all" && name != e.name {
			continue
		}
		found = true
		if err := e.run(x, ctx); err != nil {
			return x.measurements, eris.Wrapf(err, "experiment %s", e.name)
		}
	}
	if !found {
		return nil, eris.Errorf("unknown experiment %q; use all or one of %v", name, Names())
	}
	return x.measurements, ctx.Err()
}

// record adds a value to the measurement with the same experiment and name, or appends a new one.
func (x *Experiments) record(m Measurement, value float64) {
	for i := range x.measurements {
		if x.measurements[i].Experiment == m.Experiment && x.measurements[i].Name == m.Name {
			x.measurements[i].Rounds = append(x.measurements[i].Rounds, value)
			return
		}
	}
	m.Rounds = []float64{value}
	x.measurements = append(x.measurements, m)
}

// runLoad sends load to an address of the testbed. modify, if not nil, adjusts the plan first.
func (x *Experiments) runLoad(ctx context.Context, address string, rate float64, modify func(*Plan)) Report {
	plan := Plan{
		URL: testbedURL(address), Method: http.MethodPost, Body: bodyBytes, PerSecond: rate, Duration: x.MeasurementDuration,
		Timeout: requestTimeout, Seed: x.Seed,
	}
	if modify != nil {
		modify(&plan)
	}
	return New(plan).Run(ctx)
}

// latency measures the latency that entry and agent add to a direct call at half load, with eleven
// upstreams and with one. With one, requests that arrive together wait for its slots, which direct
// calls do not.
func (x *Experiments) latency(ctx context.Context) error {
	if err := x.addedLatency(ctx, "11 upstreams", upstreamCount, manyUpstreamsDelay); err != nil {
		return err
	}
	return x.addedLatency(ctx, "1 upstream", 1, singleUpstreamDelay)
}

// addedLatency compares requests through the entry with direct calls to the upstreams.
func (x *Experiments) addedLatency(ctx context.Context, name string, upstreams int, delay time.Duration) error {
	tb, err := newTestbed(upstreams, delay)
	if err != nil {
		return err
	}
	defer tb.close()
	rate := float64(upstreams*testbedSlots) / 2 * float64(time.Second) / float64(delay)
	toAllUpstreams := func(p *Plan) {
		for _, address := range tb.otherUpstreams {
			p.OtherURLs = append(p.OtherURLs, testbedURL(address))
		}
	}
	x.runLoad(ctx, tb.entry, rate, nil) // warm up connections and estimates
	for range x.Rounds {
		direct := x.runLoad(ctx, tb.direct, rate, toAllUpstreams)
		viaEntry := x.runLoad(ctx, tb.entry, rate, nil)
		m := Measurement{Experiment: "latency", Unit: "ms"}
		for _, v := range []struct {
			name  string
			value Millis
			bound float64
		}{
			{"direct p50", direct.P50, 0},
			{"direct p99", direct.P99, 0},
			{"added p50", viaEntry.P50 - direct.P50, 0.2},
			{"added p99", viaEntry.P99 - direct.P99, 1},
			{"tool late p99", viaEntry.SendDelayP99, 0},
		} {
			m.Name, m.Bound = name+", "+v.name, v.bound
			x.record(m, float64(v.value))
		}
		x.record(Measurement{Experiment: "latency", Name: name + ", not answered", Unit: "requests"}, float64(viaEntry.Refused+viaEntry.Unknown))
	}
	return nil
}

// processor compares the processor time per request with that of two chained standard reverse
// proxies. The time of the direct path, which is that of the load generator and the upstream, is
// subtracted from both.
func (x *Experiments) processor(ctx context.Context) error {
	tb, err := newTestbed(1, 0)
	if err != nil {
		return err
	}
	defer tb.close()
	cpuPerRequest := func(address string) float64 {
		before := processorTime()
		report := x.runLoad(ctx, address, processorRate, nil)
		return float64(processorTime()-before) / float64(max(1, report.Answered)) / float64(time.Microsecond)
	}
	for _, address := range []string{tb.direct, tb.chainedProxies, tb.entry} {
		cpuPerRequest(address)
	}
	for range x.Rounds {
		direct, viaProxies, viaEntry := cpuPerRequest(tb.direct), cpuPerRequest(tb.chainedProxies), cpuPerRequest(tb.entry)
		m := Measurement{Experiment: "processor", Unit: "us/request"}
		m.Name = "direct"
		x.record(m, direct)
		m.Name = "two reverse proxies, less direct"
		x.record(m, viaProxies-direct)
		m.Name = "entry and agent, less direct"
		x.record(m, viaEntry-direct)
		x.record(Measurement{Experiment: "processor", Name: "ratio", Unit: "times", Bound: 1.2}, (viaEntry-direct)/(viaProxies-direct))
	}
	return nil
}

// overload measures goodput and the latency of admitted requests at a load beyond the capacity.
func (x *Experiments) overload(ctx context.Context) error {
	tb, err := newTestbed(1, overloadDelay)
	if err != nil {
		return err
	}
	defer tb.close()
	withTimeout := func(p *Plan) { p.Timeout = overloadTimeout }
	x.runLoad(ctx, tb.entry, overloadCapacity/2, withTimeout)
	for range x.Rounds {
		belowCapacity := x.runLoad(ctx, tb.entry, 0.8*overloadCapacity, withTimeout)
		saturated := x.runLoad(ctx, tb.entry, 1.1*overloadCapacity, withTimeout)
		m := Measurement{Experiment: "overload", Unit: "ms"}
		m.Name = "p99 at 0.8 times"
		x.record(m, float64(belowCapacity.P99))
		x.record(Measurement{Experiment: "overload", Name: "peak goodput", Unit: "/s"}, saturated.Goodput)
		for _, factor := range []float64{2, 5} {
			overloaded := x.runLoad(ctx, tb.entry, factor*overloadCapacity, withTimeout)
			x.record(Measurement{
				Experiment: "overload", Name: fmt.Sprintf("goodput at %g times, of the peak", factor), Unit: "times",
				Bound: 0.9, AtLeast: true,
			}, overloaded.Goodput/saturated.Goodput)
			m.Name = fmt.Sprintf("p99 of admitted at %g times", factor)
			x.record(m, float64(overloaded.P99))
			x.record(Measurement{
				Experiment: "overload", Name: fmt.Sprintf("p99 at %g times against 0.8 times", factor), Unit: "times", Bound: 2,
			}, float64(overloaded.P99/belowCapacity.P99))
			x.record(Measurement{Experiment: "overload", Name: fmt.Sprintf("unknown at %g times", factor), Unit: "requests"}, float64(overloaded.Unknown))
		}
	}
	return nil
}

// slowUpstream compares the tail latency with and without one slow upstream.
func (x *Experiments) slowUpstream(ctx context.Context) error {
	for range x.Rounds {
		tb, err := newTestbed(upstreamCount, upstreamDelay)
		if err != nil {
			return err
		}
		x.runLoad(ctx, tb.entry, slowRate, nil)
		withoutSlow := x.runLoad(ctx, tb.entry, slowRate, nil)
		tb.upstreams[3].delay.Store(int64(upstreamDelay * slowFactor))
		withSlow := x.runLoad(ctx, tb.entry, slowRate, nil)
		tb.close()
		m := Measurement{Experiment: "slow-upstream", Unit: "ms"}
		m.Name = "p99 without"
		x.record(m, float64(withoutSlow.P99))
		m.Name = "p99 with"
		x.record(m, float64(withSlow.P99))
		x.record(Measurement{Experiment: "slow-upstream", Name: "p99 with against without", Unit: "times", Bound: 1.5}, float64(withSlow.P99/withoutSlow.P99))
	}
	return nil
}

// outage measures the share of retries while no upstream can be reached.
func (x *Experiments) outage(ctx context.Context) error {
	for range x.Rounds {
		tb, err := newTestbed(upstreamCount, upstreamDelay)
		if err != nil {
			return err
		}
		x.runLoad(ctx, tb.entry, outageRate, nil)
		for _, u := range tb.upstreams {
			u.server.Close()
		}
		retries, requests := tb.counter("entry.retries"), tb.counter("entry.requests")
		x.runLoad(ctx, tb.entry, outageRate, func(p *Plan) { p.Method = http.MethodGet })
		retries, requests = tb.counter("entry.retries")-retries, tb.counter("entry.requests")-requests
		tb.close()
		x.record(Measurement{Experiment: "outage", Name: "retries added", Unit: "percent", Bound: 10}, 100*float64(retries)/float64(max(1, requests)))
	}
	return nil
}

// WriteMeasurements writes measurements as a Markdown table and marks whether each median meets its
// bound.
func WriteMeasurements(out io.Writer, measurements []Measurement) {
	fmt.Fprintf(out, "| experiment | figure | median | lowest | highest | rounds | bound | met |\n|---|---|---|---|---|---|---|---|\n")
	for _, m := range measurements {
		values := slices.Sorted(slices.Values(m.Rounds))
		median := values[len(values)/2]
		bound, met := "", ""
		if m.Bound != 0 {
			bound = fmt.Sprintf("at most %g", m.Bound)
			ok := median <= m.Bound
			if m.AtLeast {
				bound = fmt.Sprintf("at least %g", m.Bound)
				ok = median >= m.Bound
			}
			met = map[bool]string{true: "yes", false: "no"}[ok]
		}
		fmt.Fprintf(out, "| %s | %s, %s | %.3f | %.3f | %.3f | %d | %s | %s |\n",
			m.Experiment, m.Name, m.Unit, median, values[0], values[len(values)-1], len(values), bound, met)
	}
}
