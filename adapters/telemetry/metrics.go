package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

const (
	// metricsPrefix is the prefix of every metric name.
	metricsPrefix = "chivespindle"
	// reportInterval is how far the metrics page may lag behind the process.
	reportInterval = time.Second
	// maxConcurrentScrapes bounds the memory that readers of the page can use.
	maxConcurrentScrapes = 2
)

// timerBuckets are the upper bounds of timer buckets in seconds. They are
// denser around the targets of 43 ms between tokens and 0.33 s to the first
// token.
func timerBuckets() []float64 {
	return []float64{
		0.0005, 0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.043, 0.06, 0.1,
		0.2, 0.33, 0.5, 0.75, 1, 2, 5, 10, 30, 60, 300,
	}
}

// NewMetrics returns the root scope of a process, the handler of its metrics
// page in the Prometheus text format, and the closer that ends the reporting.
// Metric names get the prefix "chivespindle_"; the page also contains the
// metrics of the Go runtime and of the process.
//
// A metric that cannot be registered, since its name is in use with other tags,
// is not shown; chivespindle_metrics_refused_total counts them.
func NewMetrics() (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	refused := prometheus.NewCounter(prometheus.CounterOpts{
		Name: metricsPrefix + "_metrics_refused_total",
		Help: "Metrics that could not be registered.",
	})
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		refused,
	)
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer:              registry,
		Gatherer:                registry,
		DefaultTimerType:        promreporter.HistogramTimerType,
		DefaultHistogramBuckets: timerBuckets(),
		// The reporter panics by default. A metric error must not fail a
		// request.
		OnRegisterError: func(error) { refused.Inc() },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricsPrefix,
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	page := promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes})
	return scope, page, closer
}
