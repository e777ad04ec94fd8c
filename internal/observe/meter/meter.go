// Package meter serves a process's metrics over HTTP, as JSON or as text.
package meter

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"runtime"
	"slices"
	"syscall"

	metrics "github.com/rcrowley/go-metrics"
)

// Path is the HTTP path at which each daemon serves its metrics.
const Path = "/metrics"

// Handler serves the metrics of a registry at Path as JSON and passes other requests to next.
func Handler(registry metrics.Registry, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != Path {
			next.ServeHTTP(w, r)
			return
		}
		recordProcess(registry)
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(registry, w)
	})
}

// Text serves the metrics of a registry at Path as text, one value per line.
func Text(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != Path {
			http.NotFound(w, r)
			return
		}
		recordProcess(registry)
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		writeText(w, registry)
	})
}

func writeText(w io.Writer, registry metrics.Registry) {
	all := registry.GetAll()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		for _, field := range slices.Sorted(maps.Keys(all[name])) {
			fmt.Fprintf(w, "%s.%s %v\n", name, field, all[name][field])
		}
	}
}

// recordProcess updates the gauges for memory, goroutines and processor time of this process.
func recordProcess(registry metrics.Registry) {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	gauge := func(name string, value int64) { metrics.GetOrRegisterGauge(name, registry).Update(value) }
	gauge("process.heap-bytes", int64(stats.HeapAlloc))
	gauge("process.system-bytes", int64(stats.Sys))
	gauge("process.goroutines", int64(runtime.NumGoroutine()))
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		gauge("process.cpu-nanos", usage.Utime.Nano()+usage.Stime.Nano())
	}
}
