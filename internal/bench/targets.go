package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/placement/baseline"
)

// Target compares a figure with a bound. Bounds never change with the figures.
type Target struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Bound string  `json:"bound"`
	Pass  bool    `json:"pass"`
	Note  string  `json:"note,omitempty"`
}

// Bounds of the targets.
const (
	waitShare     = 0.5 // of least loaded's p99 wait of interactive work
	packGain      = 1.1 // over first fit's packing
	placeMicros   = 100.0
	linkBytes     = 30e6 / 8 * 0.01 // 1% of 30 Mbit/s, a second
	idleCPU       = 1.1             // percent of a core
	residentLimit = 32.0
	placeGrowth   = 30.0 // from 50 to 15,000 workers; linear would be 300
	appendGrowth  = 1.2  // with ten times the starts
	placeWorkers  = 5000
	growthWorkers = 15000
)

// judge fills in the targets whose figures were measured.
func (r *Report) judge() {
	r.judgeWaiting()
	r.judgePacking()
	r.judgeFigures()
}

func (r *Report) target(name string, value float64, bound string, pass bool, note string) {
	r.Targets = append(r.Targets, Target{name, value, bound, pass, note})
}

func (r *Report) judgeWaiting() {
	if len(r.Waiting) == 0 {
		return
	}
	var past int64
	for i := range r.Waiting {
		past += r.Waiting[i].OverCapacityStarts
	}
	r.target("starts past capacity, all runs", float64(past), "0", past == 0, "")
	for i := range users {
		u := &users[i]
		own, other := r.find(u.name, scenario90, policyName), r.find(u.name, scenario90, baseline.LeastLoaded.String())
		if own == nil || other == nil {
			continue
		}
		a, b := own.ByClass[string(model.Interactive)].P99MS, other.ByClass[string(model.Interactive)].P99MS
		r.target("p99 wait of interactive at 90%, ms, "+u.name, a, fmt.Sprintf("<= %.1f (half of least loaded's %.1f)", b*waitShare, b), a <= b*waitShare, "")
	}
}

func (r *Report) judgePacking() {
	for i := range users {
		name := users[i].name
		for _, trial := range []string{packMixed, packChurn} {
			own, ok := r.packed(name, trial, policyName)
			other, _ := r.packed(name, trial, baseline.FirstFit.String())
			if ok {
				r.target("packing, "+trial+", "+name, own, fmt.Sprintf(">= %.3f (1.1 x first fit's %.3f)", other*packGain, other), own >= other*packGain,
					fmt.Sprintf("no placement exceeds 1; first fit leaves %.1f%%", 100*(1/other-1)))
			}
		}
	}
}

// atMost judges a figure against an upper bound.
func (r *Report) atMost(name string, bound float64) {
	if f, ok := r.figure(name); ok {
		r.target(name, f.Value, fmt.Sprintf("<= %.4g %s", bound, f.Unit), f.Value <= bound, f.Note)
	}
}

func (r *Report) figure(name string) (Figure, bool) {
	for _, list := range [][]Figure{r.Control, r.Slopes} {
		for _, f := range list {
			if f.Name == name {
				return f, true
			}
		}
	}
	return Figure{}, false
}

func (r *Report) judgeFigures() {
	r.atMost(fmt.Sprintf("place.p99@%d", placeWorkers), placeMicros)
	r.atMost(fmt.Sprintf("place.allocs@%d", placeWorkers), 0)
	small, ok := r.figure(fmt.Sprintf("place.mean@%d", workerCount))
	if large, found := r.figure(fmt.Sprintf("place.mean@%d", growthWorkers)); ok && found {
		g := large.Value / small.Value
		r.target("growth of a placement, 50 to 15,000 workers", g, fmt.Sprintf("<= %.0f (linear 300)", placeGrowth), g <= placeGrowth, "")
	}
	for _, state := range []string{"idle", "low", "load"} {
		r.atMost("control.cross_region_total."+state, linkBytes)
	}
	r.atMost("control.rss_max.idle", residentLimit)
	r.atMost("control.cpu_max.idle", idleCPU)
	low, ok := r.figure("control.appends.low")
	if high, found := r.figure("control.appends.load"); ok && found {
		g := high.Value / max(low.Value, 0.1)
		r.target("growth of appends with ten times the starts", g, fmt.Sprintf("<= %.1f", appendGrowth), g <= appendGrowth, "")
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
