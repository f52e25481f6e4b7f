package telemetry

import (
	"encoding/json"
	"io"

	"github.com/rcrowley/go-metrics"
)

// Counter returns the counter with the given name. It registers the counter if there is
// none.
func Counter(registry metrics.Registry, name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, registry)
}

// Gauge returns the gauge with the given name. It registers the gauge if there is none.
func Gauge(registry metrics.Registry, name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, registry)
}

// RegisterGauge registers a gauge that calls value each time the metrics are read. When
// the name is already registered, the call has no effect.
func RegisterGauge(registry metrics.Registry, name string, value func() int64) {
	registry.GetOrRegister(name, metrics.NewFunctionalGauge(value))
}

// WriteJSON writes all metrics of the registry as one JSON object. Unlike
// metrics.WriteJSONOnce it returns an error when JSON cannot represent a value.
func WriteJSON(w io.Writer, registry metrics.Registry) error {
	return json.NewEncoder(w).Encode(registry.GetAll())
}
