package bench

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement/baseline"
)

// scenario is a load with optional disturbances.
type scenario struct {
	name string
	// load is the share of the capacity of the scarcest resource that the
	// arriving work needs.
	load float64
	// misdeclared requests declare other sizes and run times than they need.
	misdeclared bool
	// cancelWave adds requests that are all cancelled together.
	cancelWave bool
	// failing is the share of workers that fail every task.
	failing float64
}

const scenarioLoad90 = "load 90%"

var scenarios = []scenario{
	{name: "load 60%", load: 0.6},
	{name: scenarioLoad90, load: 0.9},
	{name: "load 120%", load: 1.2},
	{name: "60%, misdeclared", load: 0.6, misdeclared: true},
	{name: "60%, 10,000 cancelled", load: 0.6, cancelWave: true},
	{name: "60%, 5% of workers fail", load: 0.6, failing: 0.05},
}

// Quantiles describes waiting times in milliseconds. Requests that had not started
// at the end of the run count with the time that they had waited until then.
type Quantiles struct {
	Count     int64   `json:"count"`
	P50MS     float64 `json:"p50_ms"`
	P99MS     float64 `json:"p99_ms"`
	LongestMS float64 `json:"longest_ms"`
}

// WaitingRun is the result of one scenario with one system.
type WaitingRun struct {
	User     string `json:"user"`
	Scenario string `json:"scenario"`
	System   string `json:"system"`
	// ByClass and ByTeam hold waiting times until the first start.
	ByClass map[string]Quantiles `json:"by_class"`
	ByTeam  map[string]Quantiles `json:"by_team"`
	Starts  int64                `json:"starts"`
	// OverCapacityStarts counts starts after which the reserved sizes on a worker
	// exceeded its capacity. OveruseStarts counts starts after which the actual
	// usage exceeded it, which no scheduler can prevent if declared sizes are
	// wrong.
	OverCapacityStarts int64 `json:"past_capacity"`
	OveruseStarts      int64 `json:"over_used"`
	Finished           int64 `json:"finished"`
	Failures           int64 `json:"failures"`
	Checkpoints        int64 `json:"checkpoints"`
	Refused            int64 `json:"refused"`
	Unstarted          int64 `json:"unstarted"`
	// WallSeconds is the wall-clock time of the run.
	WallSeconds float64 `json:"wall_seconds"`
}

// result holds the measurements of one simulation.
type result struct {
	classes, teams                             map[string]*hdrhistogram.Histogram
	refused                                    map[string]bool
	starts, overCapacityStarts, overuseStarts  int64
	finished, failures, checkpoints, unstarted int64
}

func newResult() *result {
	return &result{classes: map[string]*hdrhistogram.Histogram{}, teams: map[string]*hdrhistogram.Histogram{}, refused: map[string]bool{}}
}

func (r *result) recordWait(j *job, d time.Duration) {
	recordDuration(r.classes, string(j.req.Class), d)
	recordDuration(r.teams, j.req.Team, d)
}

func recordDuration(m map[string]*hdrhistogram.Histogram, key string, d time.Duration) {
	h := m[key]
	if h == nil {
		h = hdrhistogram.New(1, int64(24*time.Hour/time.Microsecond), 3)
		m[key] = h
	}
	_ = h.RecordValue(d.Microseconds())
}

func quantiles(m map[string]*hdrhistogram.Histogram) map[string]Quantiles {
	out := map[string]Quantiles{}
	for key, h := range m {
		out[key] = Quantiles{Count: h.TotalCount(), P50MS: millis(h.ValueAtQuantile(50)), P99MS: millis(h.ValueAtQuantile(99)), LongestMS: millis(h.Max())}
	}
	return out
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

func measureWaiting(o Options) ([]WaitingRun, error) {
	var mu sync.Mutex
	var out []WaitingRun
	// Uses half of the CPUs, because other programs run on the same instance.
	p := pool.New().WithErrors().WithMaxGoroutines(max(1, runtime.NumCPU()/2))
	for i := range users {
		for _, sc := range scenarios {
			if o.Quick && (sc.load == 1.2 || sc.cancelWave) {
				continue
			}
			for kind := range systemCount {
				p.Go(func() error {
					run, err := runWaiting(o, &users[i], sc, kind)
					mu.Lock()
					defer mu.Unlock()
					out = append(out, run)
					return err
				})
			}
		}
	}
	err := p.Wait()
	slices.SortFunc(out, func(a, b WaitingRun) int { return a.tableOrder() - b.tableOrder() })
	return out, err
}

// tableOrder returns the position of the run in the table.
func (w *WaitingRun) tableOrder() int {
	u := slices.IndexFunc(users, func(u user) bool { return u.name == w.User })
	s := slices.IndexFunc(scenarios, func(s scenario) bool { return s.name == w.Scenario })
	k := slices.Index(systemNames, w.System)
	return (u*len(scenarios)+s)*len(systemNames) + k
}

var systemNames = []string{coreSystemName, baseline.Random.String(), baseline.FirstFit.String(), baseline.LeastLoaded.String()}

// systemCount is the number of systems: the scheduler and the baselines.
const systemCount = 4

func runWaiting(o Options, u *user, sc scenario, kind int) (WaitingRun, error) {
	cfg, err := u.loadText(o.ExamplesDir)
	if err != nil {
		return WaitingRun{}, err
	}
	length := u.length
	if o.Quick {
		length /= 10
	}
	jobs, workers := u.workload(cfg, sc, length, o.Seed), u.workers()
	sys := newSystem(kind, func() *coreSystem { return newCoreSystem(epoch, cfg, workers) }, workers, o.Seed)
	failing := int(sc.failing*float64(len(workers)) + 0.5)
	startTime := time.Now()
	r := newSimulation(sys, jobs, workers, failing, length, o.Seed).run()
	return WaitingRun{
		User: u.name, Scenario: sc.name, System: sys.name(), ByClass: quantiles(r.classes), ByTeam: quantiles(r.teams),
		Starts: r.starts, OverCapacityStarts: r.overCapacityStarts, OveruseStarts: r.overuseStarts, Finished: r.finished, Failures: r.failures,
		Checkpoints: r.checkpoints, Refused: int64(len(r.refused)), Unstarted: r.unstarted, WallSeconds: time.Since(startTime).Seconds(),
	}, nil
}

// newSystem returns the scheduler for kind 0 and a baseline for the other kinds.
func newSystem(kind int, create func() *coreSystem, workers []model.Worker, seed uint64) system {
	if kind == 0 {
		return create()
	}
	return newBaselineSystem(baseline.Policy(kind-1), workers, seed)
}

// findWaitingRun returns the run of a user, scenario and system, or nil.
func (r *Report) findWaitingRun(user, sc, system string) *WaitingRun {
	for i := range r.Waiting {
		if w := &r.Waiting[i]; w.User == user && w.Scenario == sc && w.System == system {
			return w
		}
	}
	return nil
}

func (w *WaitingRun) String() string { return fmt.Sprintf("%s, %s, %s", w.User, w.Scenario, w.System) }
