package telemetry

import (
	"encoding/json"
	"io"

	"github.com/rcrowley/go-metrics"
)

// Counter returns the counter with the given name and registers it if needed.
func Counter(registry metrics.Registry, name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, registry)
}

// Gauge registers a gauge whose value is read from value on each report.
// An earlier gauge of the same name is kept.
func RegisterGauge(registry metrics.Registry, name string, value func() int64) {
	registry.GetOrRegister(name, metrics.NewFunctionalGauge(value))
}

// WriteJSON writes all metrics of the registry as one JSON object. Unlike
// metrics.WriteJSONOnce it reports a value that JSON cannot express.
func WriteJSON(w io.Writer, registry metrics.Registry) error {
	return json.NewEncoder(w).Encode(registry.GetAll())
}
