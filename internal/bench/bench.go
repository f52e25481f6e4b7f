// Package bench measures the scheduler and prints its figures beside those of
// simple placement policies. Waiting and packing drive the decision code in
// process on a workload clock with fake workers that end tasks at their time.
// Control cost is measured on real processes.
package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"runtime"
	"slices"
	"time"
)

// Parts of the benchmark, as named by -only.
const (
	PartWaiting = "waiting"
	PartPacking = "packing"
	PartControl = "control"
	PartSlopes  = "slopes"
)

// Parts lists all parts in the order in which they run.
var Parts = []string{PartSlopes, PartPacking, PartWaiting, PartControl}

// Options select what is measured.
type Options struct {
	// Bin is the directory of the built programs.
	Bin string
	// Examples is the directory of the users' configuration texts.
	ExamplesDir string
	// Only selects one part; empty runs all.
	Part string
	// Quick shortens all runs for a smoke test. Its figures are not meant for pages.
	Quick bool
	// Seed fixes arrivals, sizes and failures.
	Seed uint64
}

// ErrPastCapacity is returned when a start went past its worker's capacity.
var ErrOverCapacity = errors.New("a start went past its worker's capacity")

// Run measures the selected parts and prints their tables to out.
func Run(ctx context.Context, o Options, out io.Writer) (*Report, error) {
	if o.Part != "" && !slices.Contains(Parts, o.Part) {
		return nil, fmt.Errorf("part %q is not known; use one of %v", o.Part, Parts)
	}
	if o.ExamplesDir == "" {
		o.ExamplesDir = filepath.Join(o.Bin, "..", "examples")
	}
	r := &Report{Started: time.Now().UTC(), Quick: o.Quick, Seed: o.Seed, Go: runtime.Version(), CPUs: runtime.NumCPU()}
	for _, part := range Parts {
		if o.Part != "" && o.Part != part {
			continue
		}
		err := r.runPart(ctx, part, o)
		r.print(part, out)
		if err != nil {
			return r, fmt.Errorf("%s: %w", part, err)
		}
	}
	r.evaluateTargets()
	r.printTargets(out)
	return r, r.checkCapacity()
}

func (r *Report) runPart(ctx context.Context, part string, o Options) (err error) {
	switch part {
	case PartWaiting:
		r.Waiting, err = measureWaiting(o)
	case PartPacking:
		r.Packing, err = measurePacking(o)
	case PartControl:
		r.Control, err = measureControl(ctx, o)
	case PartSlopes:
		r.Slopes, err = measureSlopes(o)
	}
	return err
}

// checkCapacity fails the run when the scheduler started anything past a
// worker's capacity.
func (r *Report) checkCapacity() error {
	for i := range r.Waiting {
		if w := &r.Waiting[i]; w.OverCapacityStarts > 0 {
			return fmt.Errorf("%w: %d of %d starts (%s, %s, %s)", ErrOverCapacity, w.OverCapacityStarts, w.Starts, w.User, w.Scenario, w.System)
		}
	}
	return nil
}
