package cell

import (
	"github.com/rcrowley/go-metrics"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/telemetry"
)

// queueMetrics holds the leader's histograms of each queue and the counters of refused
// jobs. The registry keeps them from one leadership term to the next.
type queueMetrics struct {
	registry metrics.Registry
	stages   *telemetry.Histograms
}

func newQueueMetrics(r metrics.Registry) *queueMetrics {
	return &queueMetrics{registry: r, stages: telemetry.NewHistograms(r, telemetry.DefaultMaxPairs)}
}

// stageNames maps events to the stage that a job reaches with them.
var stageNames = map[jobs.EventName]string{jobs.EventJobAccepted: "accepted", jobs.EventRunStarted: "started"}

// observe updates the metrics for an event of the scheduling core.
func (q *queueMetrics) observe(e *jobs.Event) {
	stage := stageNames[e.Name]
	switch e.Name {
	case jobs.EventJobEnded:
		// The detail of this event is the outcome, such as completed or failed.
		stage = e.Detail
	case jobs.EventJobRefused:
		telemetry.Counter(q.registry, "refused."+string(e.Reason)).Inc(1)
	}
	if stage != "" && e.Queue != "" {
		q.stages.Stage(e.Queue, stage).Update(e.Age.Microseconds())
	}
}
