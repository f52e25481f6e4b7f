package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement/baseline"
)

// Target compares a measured value with a bound. Bounds must not be adapted to the
// measured values.
type Target struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Bound string  `json:"bound"`
	Pass  bool    `json:"pass"`
	Note  string  `json:"note,omitempty"`
}

// Bounds of the targets.
const (
	maxWaitShare        = 0.5 // of the p99 wait of interactive work under least loaded
	minPackingGain      = 1.1 // of the packing of first fit
	maxPlaceMicros      = 100.0
	maxCrossRegionBytes = 30e6 / 8 * 0.01 // bytes per second: 1% of 30 Mbit/s
	maxIdleCPUPercent   = 1.1             // percent of a core
	maxResidentMB       = 32.0
	maxPlaceGrowth      = 30.0 // from 50 to 15,000 workers; linear would be 300
	maxAppendGrowth     = 1.2  // with ten times the starts
	placeTargetWorkers  = 5000
	growthTargetWorkers = 15000
)

// evaluateTargets adds the targets whose figures were measured.
func (r *Report) evaluateTargets() {
	r.evaluateWaiting()
	r.evaluatePacking()
	r.evaluateFigures()
}

func (r *Report) addTarget(name string, value float64, bound string, pass bool, note string) {
	r.Targets = append(r.Targets, Target{name, value, bound, pass, note})
}

func (r *Report) evaluateWaiting() {
	if len(r.Waiting) == 0 {
		return
	}
	var overCapacity int64
	for i := range r.Waiting {
		overCapacity += r.Waiting[i].OverCapacityStarts
	}
	r.addTarget("starts past capacity, all runs", float64(overCapacity), "0", overCapacity == 0, "")
	for i := range users {
		u := &users[i]
		own, other := r.findWaitingRun(u.name, scenarioLoad90, coreSystemName), r.findWaitingRun(u.name, scenarioLoad90, baseline.LeastLoaded.String())
		if own == nil || other == nil {
			continue
		}
		a, b := own.ByClass[string(model.Interactive)].P99MS, other.ByClass[string(model.Interactive)].P99MS
		r.addTarget("p99 wait of interactive at 90%, ms, "+u.name, a, fmt.Sprintf("<= %.1f (half of least loaded's %.1f)", b*maxWaitShare, b), a <= b*maxWaitShare, "")
	}
}

func (r *Report) evaluatePacking() {
	for i := range users {
		name := users[i].name
		for _, trial := range []string{packMixed, packChurn} {
			own, ok := r.packingEfficiency(name, trial, coreSystemName)
			other, _ := r.packingEfficiency(name, trial, baseline.FirstFit.String())
			if ok {
				r.addTarget("packing, "+trial+", "+name, own, fmt.Sprintf(">= %.3f (1.1 x first fit's %.3f)", other*minPackingGain, other), own >= other*minPackingGain,
					fmt.Sprintf("no placement exceeds 1; first fit leaves %.1f%%", 100*(1/other-1)))
			}
		}
	}
}

// addUpperBoundTarget adds a target with an upper bound if the figure was measured.
func (r *Report) addUpperBoundTarget(name string, bound float64) {
	if f, ok := r.findFigure(name); ok {
		r.addTarget(name, f.Value, fmt.Sprintf("<= %.4g %s", bound, f.Unit), f.Value <= bound, f.Note)
	}
}

func (r *Report) findFigure(name string) (Figure, bool) {
	for _, list := range [][]Figure{r.Control, r.Slopes} {
		for _, f := range list {
			if f.Name == name {
				return f, true
			}
		}
	}
	return Figure{}, false
}

func (r *Report) evaluateFigures() {
	r.addUpperBoundTarget(fmt.Sprintf("place.p99@%d", placeTargetWorkers), maxPlaceMicros)
	r.addUpperBoundTarget(fmt.Sprintf("place.allocs@%d", placeTargetWorkers), 0)
	small, ok := r.findFigure(fmt.Sprintf("place.mean@%d", workerCount))
	if large, found := r.findFigure(fmt.Sprintf("place.mean@%d", growthTargetWorkers)); ok && found {
		g := large.Value / small.Value
		r.addTarget("growth of a placement, 50 to 15,000 workers", g, fmt.Sprintf("<= %.0f (linear 300)", maxPlaceGrowth), g <= maxPlaceGrowth, "")
	}
	for _, state := range []string{"idle", "low", "load"} {
		r.addUpperBoundTarget("control.cross_region_total."+state, maxCrossRegionBytes)
	}
	r.addUpperBoundTarget("control.rss_max.idle", maxResidentMB)
	r.addUpperBoundTarget("control.cpu_max.idle", maxIdleCPUPercent)
	low, ok := r.findFigure("control.appends.low")
	if high, found := r.findFigure("control.appends.load"); ok && found {
		g := high.Value / max(low.Value, 0.1)
		r.addTarget("growth of appends with ten times the starts", g, fmt.Sprintf("<= %.1f", maxAppendGrowth), g <= maxAppendGrowth, "")
	}
}

func (r *Report) printTargets(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, "\n== targets ==\nTARGET\tVALUE\tBOUND\tRESULT\tNOTE")
	for _, x := range r.Targets {
		verdict := "falls short"
		if x.Pass {
			verdict = "pass"
		}
		fmt.Fprintf(t, "%s\t%.4g\t%s\t%s\t%s\n", x.Name, x.Value, x.Bound, verdict, x.Note)
	}
}
