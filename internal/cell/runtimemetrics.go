package cell

import (
	"math"

	"github.com/rcrowley/go-metrics"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/telemetry"
)

// maxRunTimeQueues limits the queues with gauges of their run times.
const maxRunTimeQueues = 64

// runTimeMetrics holds the gauges of the predicted run times of each queue.
type runTimeMetrics struct {
	registry metrics.Registry
	// names lists the gauges that are registered.
	names []string
}

// update sets the gauges and removes those of queues without run times.
func (m *runTimeMetrics) update(queues []jobs.RunTimeStatus) {
	previous := m.names
	m.names = nil
	for _, q := range queues[:min(len(queues), maxRunTimeQueues)] {
		m.set("run_time.median_ms."+q.Queue, q.Median.Milliseconds())
		m.set("run_time.p90_ms."+q.Queue, q.High.Milliseconds())
		m.set("run_time.effective_runs."+q.Queue, int64(math.Round(q.Runs)))
	}
	current := make(map[string]bool, len(m.names))
	for _, name := range m.names {
		current[name] = true
	}
	for _, name := range previous {
		if !current[name] {
			m.registry.Unregister(name)
		}
	}
}

func (m *runTimeMetrics) set(name string, value int64) {
	telemetry.Gauge(m.registry, name).Update(value)
	m.names = append(m.names, name)
}
