package telemetry

import (
	"fmt"
	"io"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// textQuantiles are the quantiles that WriteText writes for each histogram.
var textQuantiles = []float64{0.5, 0.9, 0.99, 1}

// WriteText writes all metrics of the registry in the Prometheus text format. Durations
// are in microseconds.
func WriteText(w io.Writer, registry metrics.Registry) error {
	var err error
	line := func(name string, labels string, value any) {
		if err == nil {
			_, err = fmt.Fprintf(w, "%s%s %v\n", name, labels, value)
		}
	}
	registry.Each(func(name string, m any) {
		name = "catkinvalve_" + SanitizeName(name)
		switch m := m.(type) {
		case metrics.Counter:
			line(name+"_total", "", m.Count())
		case metrics.Gauge:
			line(name, "", m.Value())
		case metrics.Histogram:
			for i, v := range m.Percentiles(textQuantiles) {
				line(name+"_us", fmt.Sprintf("{quantile=%q}", fmt.Sprint(textQuantiles[i])), v)
			}
			line(name+"_us_count", "", m.Count())
			line(name+"_us_sum", "", m.Sum())
		}
	})
	return err
}

// SanitizeName replaces each character of a name that is not allowed in the name of a metric by an
// underscore.
func SanitizeName(name string) string { return strings.Map(sanitizeRune, name) }

// sanitizeRune replaces a character that is not allowed in the name of a metric by an
// underscore.
func sanitizeRune(r rune) rune {
	if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
		return r
	}
	return '_'
}
