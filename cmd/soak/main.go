// Command soak runs a cell under load and random faults and checks the promises.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"catkinvalve/internal/soak"
)

func main() {
	o := soak.Options{Out: os.Stdout}
	flag.IntVar(&o.Seconds, "seconds", 60, "length of the load")
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of load and faults")
	flag.Float64Var(&o.Rate, "rate", soak.DefaultRate, "new keys a second")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if !run(ctx, o) {
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, o soak.Options) bool {
	self, err := os.Executable()
	if err == nil {
		o.Bin = filepath.Dir(self)
		var rep soak.Report
		if rep, err = soak.Run(ctx, o); err == nil || len(rep.Violations) > 0 {
			rep.Print(os.Stdout)
		}
		if err == nil && len(rep.Violations) == 0 {
			return true
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	return false
}
