// Package bench measures the scheduler and compares it with simple placement
// policies. The waiting and packing parts run the decision code in this process;
// the waiting part uses a simulated clock and fake workers. The control part
// measures real processes, the slopes part single operations.
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

// Parts of the benchmark; the values of the flag -only.
const (
	PartWaiting = "waiting"
	PartPacking = "packing"
	PartControl = "control"
	PartSlopes  = "slopes"
)

// Parts lists all parts in the order in which Run executes them.
var Parts = []string{PartSlopes, PartPacking, PartWaiting, PartControl}

// Options select what is measured.
type Options struct {
	// Bin is the directory with the built programs.
	Bin string
	// ExamplesDir is the directory with the users' configuration texts; empty
	// selects the examples directory beside Bin.
	ExamplesDir string
	// Part selects one part; empty runs all.
	Part string
	// Quick shortens all runs for a smoke test. Its figures are too imprecise to
	// publish.
	Quick bool
	// Seed determines arrivals, sizes and failures.
	Seed uint64
}

// ErrOverCapacity reports that a start exceeded its worker's capacity.
var ErrOverCapacity = errors.New("a start exceeded its worker's capacity")

// Run measures the selected parts and prints their tables to out. If a part fails
// or a start exceeded a worker's capacity, it returns an error and the report with
// the figures so far. For an unknown part the report is nil.
func Run(ctx context.Context, o Options, out io.Writer) (*Report, error) {
	if o.Part != "" && !slices.Contains(Parts, o.Part) {
		return nil, fmt.Errorf("unknown part %q; use one of %v", o.Part, Parts)
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

// checkCapacity returns an error if any system started a task above a worker's
// capacity.
func (r *Report) checkCapacity() error {
	for i := range r.Waiting {
		if w := &r.Waiting[i]; w.OverCapacityStarts > 0 {
			return fmt.Errorf("%w: %d of %d starts (%s, %s, %s)", ErrOverCapacity, w.OverCapacityStarts, w.Starts, w.User, w.Scenario, w.System)
		}
	}
	return nil
}
