package soak

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"catkinvalve/internal/history"
)

// Limits of the printed histories.
const (
	maxPrinted    = 3  // violations of one promise that are printed with a history
	maxPrintedOps = 40 // printed operations of one key
)

// logf prints a line with the time since the start of the load.
func (r *run) logf(format string, args ...any) {
	r.outMu.Lock()
	defer r.outMu.Unlock()
	at := time.Duration(0)
	if !r.start.IsZero() {
		at = time.Since(r.start)
	}
	fmt.Fprintf(r.out, "%6.2f s: %s\n", at.Seconds(), fmt.Sprintf(format, args...))
}

func (r *run) printSchedule() {
	fmt.Fprintf(r.out, "seed %d, %d s, %.4g keys/s; schedule:\n", r.opts.Seed, r.opts.Seconds, r.opts.Rate)
	for _, f := range r.schedule {
		fmt.Fprintln(r.out, " ", f)
	}
}

// Print writes counts, violations with the histories of their keys, and the verdict.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "\nseed %d: %d keys, %d calls, %d starts, %d publications accepted and %d refused\n",
		r.Seed, r.Requests, r.Calls, r.Starts, r.AcceptedPublications, r.RefusedPublications)
	printCounts(w, "faults", r.Faults)
	printCounts(w, "fates", r.Fates)
	printCounts(w, "refused keys", r.RefusedKeys)
	printCounts(w, "failed calls", r.FailedCalls)
	printed := map[string]int{}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "VIOLATION: %s: %s: %s\n", v.Promise, v.Key, v.Detail)
		if printed[v.Promise]++; printed[v.Promise] <= maxPrinted {
			printOps(w, v.Ops)
		}
	}
	if len(r.Violations) > 0 {
		fmt.Fprintf(w, "verdict: FAILED, %d violations; logs are in %s\n", len(r.Violations), r.LogDir)
		return
	}
	fmt.Fprintln(w, "verdict: passed")
}

func printOps(w io.Writer, ops []history.Op) {
	ops = slices.Clone(ops)
	slices.SortStableFunc(ops, func(a, b history.Op) int { return cmp.Compare(a.Call, b.Call) })
	for i, o := range ops {
		if i == maxPrintedOps {
			fmt.Fprintf(w, "    and %d more\n", len(ops)-i)
			return
		}
		fmt.Fprintln(w, "   ", o)
	}
}

func printCounts[K ~string](w io.Writer, what string, counts map[K]int) {
	fmt.Fprintf(w, "%s:", what)
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, " %s=%d", k, counts[k])
	}
	fmt.Fprintln(w)
}
