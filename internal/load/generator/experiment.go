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
	// Figure is one measured quantity over the rounds of an experiment.
	Figure struct {
		Experiment string    `json:"experiment"`
		Name       string    `json:"name"`
		Unit       string    `json:"unit"`
		Bound      float64   `json:"bound,omitempty"` // zero: none
		AtLeast    bool      `json:"at-least,omitempty"`
		Rounds     []float64 `json:"rounds"`
	}

	// Experiments measures pairs of paths in turn, so that what else runs on the
	// machine affects both.
	Experiments struct {
		Rounds int
		Leg    time.Duration // of one measurement
		Seed   uint64

		figures []Figure
	}

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
	// The work of a request is chosen for about a thousand requests a second at
	// half load, which leaves the machine idle enough to measure latencies.
	oneWork        = 5 * time.Millisecond
	allWork        = 40 * time.Millisecond
	processorRate  = 1500
	overloadWork   = 20 * time.Millisecond
	overloadPeak   = float64(rigSlots) * float64(time.Second) / float64(overloadWork)
	overloadLimit  = 500 * time.Millisecond // of one request
	slowUpstreams  = 11
	slowRate       = 600
	slowWork       = 2 * time.Millisecond
	slowFactor     = 20
	outageRate     = 500
	keyRate        = 200
	requestTimeout = 5 * time.Second
)

// Names returns the names of the experiments.
func Names() []string {
	var names []string
	for _, e := range experiments {
		names = append(names, e.name)
	}
	return names
}

// Run runs one experiment, or all of them, and returns the figures.
func (x *Experiments) Run(ctx context.Context, name string) ([]Figure, error) {
	known := false
	for _, e := range experiments {
		if name != "all" && name != e.name {
			continue
		}
		known = true
		if err := e.run(x, ctx); err != nil {
			return x.figures, eris.Wrapf(err, "experiment %s", e.name)
		}
	}
	if !known {
		return nil, eris.Errorf("there is no experiment %q; use all or one of %v", name, Names())
	}
	return x.figures, ctx.Err()
}

// note adds a value to a figure.
func (x *Experiments) note(figure Figure, value float64) {
	for i := range x.figures {
		if x.figures[i].Experiment == figure.Experiment && x.figures[i].Name == figure.Name {
			x.figures[i].Rounds = append(x.figures[i].Rounds, value)
			return
		}
	}
	figure.Rounds = []float64{value}
	x.figures = append(x.figures, figure)
}

func (x *Experiments) load(ctx context.Context, address string, rate float64, change func(*Plan)) Report {
	plan := Plan{
		URL: rigURL(address), Method: http.MethodPost, Body: bodyBytes, PerSecond: rate, Duration: x.Leg,
		Timeout: requestTimeout, Seed: x.Seed,
	}
	if change != nil {
		change(&plan)
	}
	return New(plan).Run(ctx)
}

// latency measures what entry and agent add to the direct call at half load: with
// the usual number of upstreams, and with a single one. With a single one, requests
// that arrive together wait for its slots, which the direct call does not.
func (x *Experiments) latency(ctx context.Context) error {
	if err := x.added(ctx, "11 upstreams", slowUpstreams, allWork); err != nil {
		return err
	}
	return x.added(ctx, "1 upstream", 1, oneWork)
}

func (x *Experiments) added(ctx context.Context, name string, upstreams int, work time.Duration) error {
	r, err := newRig(upstreams, work)
	if err != nil {
		return err
	}
	defer r.close()
	rate := float64(upstreams*rigSlots) / 2 * float64(time.Second) / float64(work)
	all := func(p *Plan) {
		for _, address := range r.others {
			p.Others = append(p.Others, rigURL(address))
		}
	}
	x.load(ctx, r.entry, rate, nil) // connections and estimates settle
	for range x.Rounds {
		direct := x.load(ctx, r.direct, rate, all)
		through := x.load(ctx, r.entry, rate, nil)
		f := Figure{Experiment: "latency", Unit: "ms"}
		for _, v := range []struct {
			name  string
			value Millis
			bound float64
		}{
			{"direct p50", direct.P50, 0},
			{"direct p99", direct.P99, 0},
			{"added p50", through.P50 - direct.P50, 0.2},
			{"added p99", through.P99 - direct.P99, 1},
			{"tool late p99", through.Late, 0},
		} {
			f.Name, f.Bound = name+", "+v.name, v.bound
			x.note(f, float64(v.value))
		}
		x.note(Figure{Experiment: "latency", Name: name + ", not answered", Unit: "requests"}, float64(through.Refused+through.Unknown))
	}
	return nil
}

// processor compares the processor time per request with that of two chained
// standard reverse proxies. The direct path's time, which is that of the tool and
// the upstream, is taken off both.
func (x *Experiments) processor(ctx context.Context) error {
	r, err := newRig(1, 0)
	if err != nil {
		return err
	}
	defer r.close()
	cost := func(address string) float64 {
		before := processorTime()
		report := x.load(ctx, address, processorRate, nil)
		return float64(processorTime()-before) / float64(max(1, report.Answered)) / float64(time.Microsecond)
	}
	for _, address := range []string{r.direct, r.chained, r.entry} {
		cost(address)
	}
	for range x.Rounds {
		direct, chained, through := cost(r.direct), cost(r.chained), cost(r.entry)
		f := Figure{Experiment: "processor", Unit: "us/request"}
		f.Name = "direct"
		x.note(f, direct)
		f.Name = "two reverse proxies, less direct"
		x.note(f, chained-direct)
		f.Name = "entry and agent, less direct"
		x.note(f, through-direct)
		x.note(Figure{Experiment: "processor", Name: "ratio", Unit: "times", Bound: 1.2}, (through-direct)/(chained-direct))
	}
	return nil
}

// overload measures goodput and the latency of admitted requests beyond capacity.
func (x *Experiments) overload(ctx context.Context) error {
	r, err := newRig(1, overloadWork)
	if err != nil {
		return err
	}
	defer r.close()
	timeout := func(p *Plan) { p.Timeout = overloadLimit }
	x.load(ctx, r.entry, overloadPeak/2, timeout)
	for range x.Rounds {
		usual := x.load(ctx, r.entry, 0.8*overloadPeak, timeout)
		full := x.load(ctx, r.entry, 1.1*overloadPeak, timeout)
		f := Figure{Experiment: "overload", Unit: "ms"}
		f.Name = "p99 at 0.8 times"
		x.note(f, float64(usual.P99))
		x.note(Figure{Experiment: "overload", Name: "peak goodput", Unit: "/s"}, full.Goodput)
		for _, factor := range []float64{2, 5} {
			over := x.load(ctx, r.entry, factor*overloadPeak, timeout)
			x.note(Figure{
				Experiment: "overload", Name: fmt.Sprintf("goodput at %g times, of the peak", factor), Unit: "times",
				Bound: 0.9, AtLeast: true,
			}, over.Goodput/full.Goodput)
			f.Name = fmt.Sprintf("p99 of admitted at %g times", factor)
			x.note(f, float64(over.P99))
			x.note(Figure{
				Experiment: "overload", Name: fmt.Sprintf("p99 at %g times against 0.8 times", factor), Unit: "times", Bound: 2,
			}, float64(over.P99/usual.P99))
			x.note(Figure{Experiment: "overload", Name: fmt.Sprintf("unknown at %g times", factor), Unit: "requests"}, float64(over.Unknown))
		}
	}
	return nil
}

// slowUpstream compares the tail with and without one slow upstream.
func (x *Experiments) slowUpstream(ctx context.Context) error {
	for range x.Rounds {
		r, err := newRig(slowUpstreams, slowWork)
		if err != nil {
			return err
		}
		x.load(ctx, r.entry, slowRate, nil)
		without := x.load(ctx, r.entry, slowRate, nil)
		r.workers[3].work.Store(int64(slowWork * slowFactor))
		with := x.load(ctx, r.entry, slowRate, nil)
		r.close()
		f := Figure{Experiment: "slow-upstream", Unit: "ms"}
		f.Name = "p99 without"
		x.note(f, float64(without.P99))
		f.Name = "p99 with"
		x.note(f, float64(with.P99))
		x.note(Figure{Experiment: "slow-upstream", Name: "p99 with against without", Unit: "times", Bound: 1.5}, float64(with.P99/without.P99))
	}
	return nil
}

// outage counts the retries when no upstream can be reached.
func (x *Experiments) outage(ctx context.Context) error {
	for range x.Rounds {
		r, err := newRig(slowUpstreams, slowWork)
		if err != nil {
			return err
		}
		x.load(ctx, r.entry, outageRate, nil)
		for _, w := range r.workers {
			w.server.Close()
		}
		retries, requests := r.count("entry.retries"), r.count("entry.requests")
		x.load(ctx, r.entry, outageRate, func(p *Plan) { p.Method = http.MethodGet })
		retries, requests = r.count("entry.retries")-retries, r.count("entry.requests")-requests
		r.close()
		x.note(Figure{Experiment: "outage", Name: "retries added", Unit: "percent", Bound: 10}, 100*float64(retries)/float64(max(1, requests)))
	}
	return nil
}

// WriteFigures writes figures as a table in Markdown.
func WriteFigures(out io.Writer, figures []Figure) {
	fmt.Fprintf(out, "| experiment | figure | median | lowest | highest | rounds | bound | met |\n|---|---|---|---|---|---|---|---|\n")
	for _, f := range figures {
		values := slices.Sorted(slices.Values(f.Rounds))
		median := values[len(values)/2]
		bound, met := "", ""
		if f.Bound != 0 {
			bound = fmt.Sprintf("at most %g", f.Bound)
			ok := median <= f.Bound
			if f.AtLeast {
				bound = fmt.Sprintf("at least %g", f.Bound)
				ok = median >= f.Bound
			}
			met = map[bool]string{true: "yes", false: "no"}[ok]
		}
		fmt.Fprintf(out, "| %s | %s, %s | %.3f | %.3f | %.3f | %d | %s | %s |\n",
			f.Experiment, f.Name, f.Unit, median, values[0], values[len(values)-1], len(values), bound, met)
	}
}
