package cell

import (
	"github.com/rcrowley/go-metrics"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/telemetry"
)

// queueMetrics are the leader's counters and histograms of each queue.
type queueMetrics struct {
	registry metrics.Registry
	stages   *telemetry.Histograms
}

func newQueueMetrics(r metrics.Registry) *queueMetrics {
	return &queueMetrics{registry: r, stages: telemetry.NewHistograms(r, telemetry.DefaultMaxPairs)}
}

// stageNames maps events to the stages of a job that they tell of.
var stageNames = map[jobs.EventName]string{jobs.EventJobAccepted: "accepted", jobs.EventRunStarted: "started"}

// observe counts one decision of the core.
func (q *queueMetrics) observe(e *jobs.Event) {
	stage := stageNames[e.Name]
	switch e.Name {
	case jobs.EventJobEnded:
		// The detail is the outcome.
		stage = e.Detail
	case jobs.EventJobRefused:
		telemetry.Counter(q.registry, "refused."+string(e.Reason)).Inc(1)
	}
	if stage != "" && e.Queue != "" {
		q.stages.Stage(e.Queue, stage).Update(e.Age.Microseconds())
	}
}
