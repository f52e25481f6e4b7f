package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"catkinvalve/internal/core/model"
)

// Report holds all figures of one benchmark run.
type Report struct {
	Started time.Time    `json:"started"`
	Quick   bool         `json:"quick"`
	Seed    uint64       `json:"seed"`
	Go      string       `json:"go"`
	CPUs    int          `json:"cpus"`
	Waiting []WaitingRun `json:"waiting,omitempty"`
	Packing []PackingRun `json:"packing,omitempty"`
	Control []Figure     `json:"control,omitempty"`
	Slopes  []Figure     `json:"slopes,omitempty"`
	Targets []Target     `json:"targets"`
}

// Figure is one measured value. Its name is stable, because pages refer to it.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Note  string  `json:"note,omitempty"`
}

// WriteFile writes the report to a file as JSON.
func (r *Report) WriteFile(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

func (r *Report) print(part string, out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintf(t, "\n== %s ==\n", part)
	switch part {
	case PartWaiting:
		r.printWaiting(t)
	case PartPacking:
		r.printPacking(t)
	case PartControl:
		printFigures(t, r.Control)
	case PartSlopes:
		printFigures(t, r.Slopes)
	}
}

func printFigures(t io.Writer, figures []Figure) {
	fmt.Fprintln(t, "NAME\tVALUE\tUNIT\tNOTE")
	for _, f := range figures {
		fmt.Fprintf(t, "%s\t%.4g\t%s\t%s\n", f.Name, f.Value, f.Unit, f.Note)
	}
}

func (r *Report) printWaiting(t io.Writer) {
	fmt.Fprintln(t, "USER\tSCENARIO\tSYSTEM\tGROUP\tCOUNT\tP50 ms\tP99 ms\tLONGEST ms\tSTARTS\tPAST CAPACITY\tOVER USED\tFAILURES\tREFUSED\tUNSTARTED\tCHECKPOINTS")
	for i := range r.Waiting {
		w := &r.Waiting[i]
		tail := fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%d", w.Starts, w.OverCapacityStarts, w.OveruseStarts, w.Failures, w.Refused, w.Unstarted, w.Checkpoints)
		for _, c := range model.Classes {
			if q, ok := w.ByClass[string(c)]; ok {
				printQuantiles(t, w, string(c), q, tail)
			}
		}
		for _, team := range sortedKeys(w.ByTeam) {
			printQuantiles(t, w, "team "+team, w.ByTeam[team], tail)
		}
	}
}

func printQuantiles(t io.Writer, w *WaitingRun, group string, q Quantiles, tail string) {
	fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%s\n", w.User, w.Scenario, w.System, group, q.Count, q.P50MS, q.P99MS, q.LongestMS, tail)
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
