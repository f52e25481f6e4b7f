// Command soak runs a cell under load with random faults and checks its guarantees.
package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"catkinvalve/internal/cellsoak"
	"catkinvalve/internal/soak"
)

func main() {
	o := soak.Options{Out: os.Stdout}
	flag.IntVar(&o.Seconds, "seconds", 60, "duration of the load in seconds")
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of load and faults")
	flag.Float64Var(&o.Rate, "rate", 0, "new keys or jobs per second; 0 means the default")
	onPlatform := flag.Bool("platform", false, "run daemons on stand-ins of the users' platform")
	daemons := flag.Int("daemons", cellsoak.DefaultDaemons, "number of daemons, with -platform")
	workers := flag.Int("workers", cellsoak.DefaultWorkers, "number of workers, with -platform")
	deadly := flag.Bool("deadly", false, "submit tasks that crash their workers, with -platform")
	mixed := flag.Bool("mixed", false, "add the other faults to those of -deadly")
	tenants := flag.Bool("tenants", false, "give the jobs tenants with limits and keys that change, with -platform")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ok := false
	if *onPlatform {
		ok = runPlatform(ctx, cellsoak.Options{Seconds: o.Seconds, Seed: o.Seed, Rate: cmp.Or(o.Rate, cellsoak.DefaultRate),
			Daemons: *daemons, Workers: *workers, Deadly: *deadly, Mixed: *mixed, Tenants: *tenants, Out: os.Stdout})
	} else {
		ok = run(ctx, o)
	}
	if !ok {
		stop()
		os.Exit(1)
	}
}

// runPlatform runs daemons on stand-ins of the users' platform and reports whether all
// guarantees held.
func runPlatform(ctx context.Context, o cellsoak.Options) bool {
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	o.Bin = filepath.Dir(self)
	report, err := cellsoak.Run(ctx, o)
	report.Print(os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	return err == nil && len(report.Violations) == 0
}

// run runs a cell with its stand-ins as processes and reports whether all guarantees held.
// A run without violations that failed has no report to print.
func run(ctx context.Context, o soak.Options) bool {
	self, err := os.Executable()
	if err == nil {
		o.Bin = filepath.Dir(self)
		var report soak.Report
		if report, err = soak.Run(ctx, o); err == nil || len(report.Violations) > 0 {
			report.Print(os.Stdout)
		}
		if err == nil && len(report.Violations) == 0 {
			return true
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	return false
}
