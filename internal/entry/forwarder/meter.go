package forwarder

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// counts are the metrics of the entry.
type counts struct {
	requests metrics.Counter
	answered metrics.Counter
	refused  metrics.Counter // not executed
	unknown  metrics.Counter
	cutOff   metrics.Counter // responses that ended early
	attempts metrics.Counter
	retries  metrics.Counter
	hedges   metrics.Counter
	dropped  metrics.Counter // messages of other attempts or incarnations
	replayed metrics.Counter // stored responses of requests with a key
}

func newCounts(registry metrics.Registry) counts {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	return counts{
		requests: counter("entry-requests"),
		answered: counter("entry-answered"),
		refused:  counter("entry-refused"),
		unknown:  counter("entry-unknown"),
		cutOff:   counter("entry-cut-off"),
		attempts: counter("entry-attempts"),
		retries:  counter("entry-retries"),
		hedges:   counter("entry-hedges"),
		dropped:  counter("entry-dropped-messages"),
		replayed: counter("entry-replayed"),
	}
}

// answerMetrics lists the counters and gauges, one a line.
func (f *Forwarder) answerMetrics(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	f.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		}
	})
	lines = append(lines, fmt.Sprintf("entry-in-flight %d", f.inFlight.Load()))
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintln(w, strings.Join(lines, "\n"))
}
