package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Print writes the latencies as a table, followed by the counts.
func (r Result) Print(w io.Writer) error {
	fmt.Fprintf(w, "seed %d, %.4g requests/s planned: %d sent, %d with a final fate, %d without, in %.1f s\n\n",
		r.Seed, r.Rate, r.Planned, r.Completed, r.Unfinished, r.Seconds)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CLASS\tTEAM\tTIME (ms)\tCOUNT\tP50\tP90\tP99\tP99.9\tMAX")
	for _, row := range r.Rows {
		for _, m := range []struct {
			name string
			q    Quantiles
		}{{"acceptance", row.Acceptance}, {"waiting", row.Waiting}, {"completion", row.Completion}} {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n",
				row.Class, row.Team, m.name, m.q.Count, m.q.P50, m.q.P90, m.q.P99, m.q.P999, m.q.Max)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	printCounts(w, "fates", r.Fates)
	printCounts(w, "refused requests", r.Refused)
	printCounts(w, "failed calls", r.Errors)
	if r.WrongAnswers > 0 {
		fmt.Fprintf(w, "wrong answers: %d\n", r.WrongAnswers)
	}
	return nil
}

func printCounts[K ~string](w io.Writer, what string, counts map[K]int) {
	fmt.Fprintf(w, "%s:", what)
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, " %s=%d", k, counts[k])
	}
	fmt.Fprintln(w)
}
