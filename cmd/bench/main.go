// Command bench measures waiting times, packing, the cost of control traffic and the cost of
// single operations, and compares them with baselines and targets.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"catkinvalve/internal/bench"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	var o bench.Options
	flag.StringVar(&o.Part, "only", "", "measure one part: waiting, packing, control or slopes")
	flag.BoolVar(&o.Quick, "quick", false, "short runs for a smoke test")
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals, sizes and failures")
	file := flag.String("json", "", "write all results to this file")
	flag.Parse()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	o.Bin = filepath.Dir(self)
	r, err := bench.Run(ctx, o, os.Stdout)
	if r != nil && *file != "" {
		err = errors.Join(err, r.WriteFile(*file))
	}
	return err
}
