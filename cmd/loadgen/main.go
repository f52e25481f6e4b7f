// Command loadgen sends requests to a running cell and measures their latency.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"catkinvalve/internal/loadgen"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := loadgen.Command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(1)
	}
}
