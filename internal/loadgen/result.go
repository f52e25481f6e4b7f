package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// Range of the histograms in microseconds, and their precision.
const (
	minLatencyUS      = 1
	maxLatencyUS      = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Quantiles summarises a latency distribution, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// LatencyRow holds the latencies of one class and team.
type LatencyRow struct {
	Class model.Class `json:"class"`
	Team  string      `json:"team"`
	// Acceptance is the time from the planned arrival to the first answer without
	// error.
	Acceptance Quantiles `json:"acceptance"`
	// Waiting is the time from the acceptance to the start, by the daemons' clocks.
	Waiting Quantiles `json:"waiting"`
	// Completion is the time from the planned arrival to the final fate.
	Completion Quantiles `json:"completion"`
}

// Result is the outcome of a run.
type Result struct {
	Seed uint64  `json:"seed"`
	Rate float64 `json:"rate"`
	// Planned counts the arrivals, Completed the requests with a final fate.
	Planned   int `json:"planned"`
	Completed int `json:"completed"`
	// Seconds is the time from the start of the run to the last fate.
	Seconds float64            `json:"seconds"`
	Rows    []LatencyRow       `json:"rows"`
	Fates   map[model.Fate]int `json:"fates"`
	// Errors counts failed calls by kind of error; a request may have several.
	Errors map[fault.Kind]int `json:"errors"`
	// Refused counts requests that ended with a refusal, by kind of error.
	Refused map[fault.Kind]int `json:"refused"`
	// Unfinished requests had no final fate within the timeout.
	Unfinished int `json:"unfinished"`
	// WrongAnswers counts answers that differ from the one that the payload directs.
	WrongAnswers int `json:"wrong_answers"`
}

// group is a class and team whose latencies are measured together.
type group struct {
	class model.Class
	team  string
}

// distributions are the histograms of one group, in microseconds.
type distributions struct{ acceptance, waiting, completion *hdrhistogram.Histogram }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyUS, maxLatencyUS, significantDigits)
}

// collector collects the outcomes of concurrent requests.
type collector struct {
	mu     sync.Mutex
	groups map[group]*distributions
	result Result
}

func newCollector(o Options) *collector {
	return &collector{groups: map[group]*distributions{}, result: Result{
		Seed: o.Seed, Rate: o.Rate, Fates: map[model.Fate]int{}, Errors: map[fault.Kind]int{}, Refused: map[fault.Kind]int{},
	}}
}

func (c *collector) group(g group) *distributions {
	d := c.groups[g]
	if d == nil {
		d = &distributions{newHistogram(), newHistogram(), newHistogram()}
		c.groups[g] = d
	}
	return d
}

// record adds a duration to a histogram. A duration outside its range counts as the
// closest value inside it.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyUS), maxLatencyUS)) // It fails only outside the range.
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000}
}
