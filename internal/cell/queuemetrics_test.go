package cell

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/telemetry"
)

// Guards against metrics that do not show in which queue jobs wait, and against counts
// that are lost when this daemon becomes the leader again.
func TestEachQueueHasItsOwnHistograms(t *testing.T) {
	registry := metrics.NewRegistry()
	q := newQueueMetrics(registry)
	for _, e := range []jobs.Event{
		{Name: jobs.EventJobAccepted, Queue: "a", Age: 10 * time.Millisecond},
		{Name: jobs.EventRunStarted, Queue: "a", Age: 50 * time.Millisecond},
		{Name: jobs.EventJobEnded, Queue: "a", Detail: "completed", Age: time.Second},
		{Name: jobs.EventJobEnded, Queue: "b", Detail: "failed", Age: time.Second},
		{Name: jobs.EventJobRefused, Queue: "b", Reason: "can_never_run"},
	} {
		q.observe(&e)
	}
	// The same daemon becomes the leader again.
	newQueueMetrics(registry).observe(&jobs.Event{Name: jobs.EventJobAccepted, Queue: "a"})
	var out bytes.Buffer
	assert.NilError(t, telemetry.WriteText(&out, registry))
	for _, line := range []string{
		"catkinvalve_stage_accepted_a_us_count 2", "catkinvalve_stage_started_a_us_count 1", "catkinvalve_stage_completed_a_us_count 1",
		"catkinvalve_stage_failed_b_us_count 1", "catkinvalve_refused_can_never_run_total 1",
	} {
		assert.Assert(t, strings.Contains(out.String(), line+"\n"), "%s is missing in\n%s", line, out.String())
	}
}
