package forwarder

import (
	"net/http"

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

// answerMetrics writes the metrics as JSON, as the operators' address does.
func (f *Forwarder) answerMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.GetOrRegisterGauge("entry.in-flight", f.registry).Update(f.inFlight.Load())
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(f.registry, w)
}
