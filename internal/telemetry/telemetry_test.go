package telemetry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// Guards against log lines without the daemon's fields, and against lines below the log
// level.
func TestLogger(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLogger(&out, "warning", "d1", "klang-a")
	assert.NilError(t, err)
	log.Info("not written")
	log.Warn("written")
	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line), out.String())
	assert.Equal(t, line["daemon"], "d1")
	assert.Equal(t, line["data_centre"], "klang-a")
	assert.Equal(t, line["msg"], "written")

	_, err = NewLogger(&out, "loud", "d1", "klang-a")
	assert.Equal(t, fault.KindOf(err), fault.Malformed)
}

// Guards against wrong quantiles, lost values outside the tracked range, and empty
// histograms that cannot be encoded as JSON.
func TestHistogram(t *testing.T) {
	registry := metrics.NewRegistry()
	h := NewHistograms(registry, 8)
	waiting := h.WaitTime("parties", model.Batch)
	var out bytes.Buffer
	assert.NilError(t, WriteJSON(&out, registry))
	for i := range 1000 {
		waiting.Update(int64(i + 1))
	}
	near := func(got, want float64) bool { return got > want*0.98 && got < want*1.02 }
	assert.Assert(t, near(waiting.Percentile(0.5), 500), "%f", waiting.Percentile(0.5))
	assert.Assert(t, near(waiting.Percentiles([]float64{0.99})[0], 990))
	assert.Equal(t, waiting.Mean(), 500.5)
	before := waiting.Snapshot()
	waiting.Update(-1)
	waiting.Update(maxTrackedMicros * 2)
	assert.Equal(t, waiting.Count(), int64(1002))
	assert.Equal(t, waiting.Min(), int64(0))
	assert.Assert(t, near(float64(waiting.Max()), float64(maxTrackedMicros)))
	assert.Equal(t, before.Count(), int64(1000), "the snapshot changed after later updates")
	waiting.Clear()
	assert.Equal(t, waiting.Count(), int64(0))
}

// Guards against memory use that grows with the number of team names, which callers
// choose freely.
func TestLabelPairsAreBounded(t *testing.T) {
	registry := metrics.NewRegistry()
	h := NewHistograms(registry, 3)
	for i := range 50 {
		h.WaitTime(fmt.Sprintf("team%d", i), model.Batch).Update(1)
		h.WaitTime("team0", model.Class(fmt.Sprintf("class%d", i))).Update(1)
	}
	names, updates := 0, int64(0)
	registry.Each(func(_ string, m any) { names++; updates += m.(metrics.Histogram).Count() })
	assert.Equal(t, updates, int64(100))
	assert.Assert(t, names <= 3+2, "%d histograms", names)
	assert.Equal(t, registry.Get("waiting.other.batch").(metrics.Histogram).Count(), int64(48))
	assert.Assert(t, h.Latency("submit") == h.Latency("submit"))
	assert.Assert(t, registry.Get("latency.submit") != nil)
}
