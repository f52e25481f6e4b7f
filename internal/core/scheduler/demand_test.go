package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
)

// The recent peak must be unknown during the warmup, so that the headroom stays free,
// and must be kept for the current and the previous window only.
func TestRecentDemand(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var d interactiveDemand
	d.reset(start)
	d.add(model.Interactive, 5)
	d.add(model.Batch, 100)
	assert.Equal(t, d.recentPeak(start.Add(demandWarmup/2)), int64(-1))
	d.add(model.Interactive, -4)
	assert.Equal(t, d.recentPeak(start.Add(demandWarmup)), int64(5))
	assert.Equal(t, d.recentPeak(start.Add(demandWindow)), int64(5))
	assert.Equal(t, d.recentPeak(start.Add(2*demandWindow)), int64(1))
}
