package forwarder

import (
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// counters holds the entry's counters, which /metrics shows.
type counters struct {
	requests metrics.Counter
	answered metrics.Counter // upstream responses that were complete
	refused  metrics.Counter // problem responses to requests that were not executed
	unknown  metrics.Counter // problem responses to requests that may have been executed
	cutOff   metrics.Counter // responses that ended early
	attempts metrics.Counter
	retries  metrics.Counter
	hedges   metrics.Counter
	dropped  metrics.Counter // messages of other attempts or incarnations, and duplicates
	replayed metrics.Counter // stored responses of requests with a key
}

func newCounters(registry metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	return counters{
		requests: counter("entry.requests"),
		answered: counter("entry.answered"),
		refused:  counter("entry.refused"),
		unknown:  counter("entry.unknown"),
		cutOff:   counter("entry.cut-off"),
		attempts: counter("entry.attempts"),
		retries:  counter("entry.retries"),
		hedges:   counter("entry.hedges"),
		dropped:  counter("entry.dropped-messages"),
		replayed: counter("entry.replayed"),
	}
}

// serveMetrics writes the metrics as JSON, in the format of the operators' address.
func (f *Forwarder) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.GetOrRegisterGauge("entry.in-flight", f.registry).Update(f.inFlight.Load())
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(f.registry, w)
}
