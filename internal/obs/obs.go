// Package obs sets up the logging and metrics of a process. It bounds their volume:
// the rate of log lines about changes of state, the number of buffered lines and the
// number of label values are limited.
package obs

import (
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/umberhill/umberhill/internal/settings"
)

const (
	// Prefix is the prefix of all metric names.
	Prefix = "umberhill"
	// reportInterval is the interval at which counters are reported to the registry.
	reportInterval = time.Second
)

// Logger returns a logger that writes to standard error. Level and format default
// to "info" and "json". The error names the setting that is invalid.
func Logger(cfg settings.Log) (*logrus.Logger, error) {
	logger := logrus.New()
	logger.SetOutput(os.Stderr)
	if cfg.Level != "" {
		level, err := logrus.ParseLevel(cfg.Level)
		if err != nil {
			return nil, errors.Wrap(err, "log.level")
		}
		logger.SetLevel(level)
	}
	switch strings.ToLower(cfg.Format) {
	case "", "json":
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	case "text":
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	default:
		return nil, errors.Newf("log.format: %q is neither json nor text", cfg.Format)
	}
	return logger, nil
}

// NewScope returns the root scope of a process, the handler that serves its
// metrics to Prometheus, and a closer that stops the reporting. Each call creates
// its own registry. The tags are set on every metric.
func NewScope(tags map[string]string) (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	failures := prometheus.NewCounter(prometheus.CounterOpts{
		Name: Prefix + "_metrics_register_failures",
		Help: "Metrics that could not be registered.",
	})
	registry.MustRegister(failures)
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
		OnRegisterError:  func(error) { failures.Inc() },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		Tags:                   tags,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return scope, handler, closer
}
