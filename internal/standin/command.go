// Package standin implements the command line of the stand-ins for the
// platform's log, instance list, workers and old system, which tests use.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/standin/harness"
	"catkinvalve/internal/standin/listd"
	"catkinvalve/internal/standin/logd"
	"catkinvalve/internal/standin/oldd"
	"catkinvalve/internal/standin/workerd"
)

// ReadyMessage is the JSON line that a stand-in prints on standard output once
// it listens. It holds the actual addresses.
type ReadyMessage struct {
	Kind   string `json:"kind"`
	Listen string `json:"listen,omitempty"`
	Admin  string `json:"admin"`
	// Workers maps worker IDs to addresses.
	Workers map[model.WorkerID]string `json:"workers,omitempty"`
}

type addresses struct{ listen, admin string }

// NewCommand returns the root command.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "standin", Short: "Test stand-ins for the platform's services", SilenceUsage: true,
	}
	root.AddCommand(logCommand(), instancesCommand(), workerCommand(), oldCommand())
	return root
}

func newSubcommand(use, short string, run func(cmd *cobra.Command, a addresses) error) *cobra.Command {
	var a addresses
	c := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd, a) },
	}
	c.Flags().StringVar(&a.listen, "listen", "127.0.0.1:0", "IP:PORT of the service; port 0 picks a free one")
	c.Flags().StringVar(&a.admin, "admin", "127.0.0.1:0", "IP:PORT of the admin API; port 0 picks a free one")
	return c
}

func logCommand() *cobra.Command {
	var cfg logd.Config
	c := newSubcommand("log", "Append-only log", func(cmd *cobra.Command, a addresses) error {
		l := logd.New(cfg)
		return serve(cmd, "log", a, l.Handler(), l.Admin())
	})
	c.Flags().Float64Var(&cfg.Rate, "rate", 300, "appends per second over all streams")
	c.Flags().IntVar(&cfg.Retention, "retention", 100000, "number of records kept in each stream; 0 keeps all")
	return c
}

func instancesCommand() *cobra.Command {
	var lag time.Duration
	c := newSubcommand("instances", "Instance list that shows changes after a delay", func(cmd *cobra.Command, a addresses) error {
		l := listd.New(lag)
		return serve(cmd, "instances", a, l.Handler(), l.Admin())
	})
	c.Flags().DurationVar(&lag, "lag", 0, "delay until a change is visible")
	return c
}

func oldCommand() *cobra.Command {
	return newSubcommand("old", "Old scheduler", func(cmd *cobra.Command, a addresses) error {
		o := oldd.New()
		defer o.Close()
		return serve(cmd, "old", a, o.Handler(), o.Admin())
	})
}

func workerCommand() *cobra.Command {
	var cfg workerd.FleetConfig
	c := newSubcommand("worker", "One or more workers", func(cmd *cobra.Command, a addresses) error {
		return runWorkers(cmd, a, cfg)
	})
	f := c.Flags()
	f.StringVar(&cfg.ID, "id", "worker", "worker ID; with --count above 1 the prefix of the IDs")
	f.StringVar((*string)(&cfg.DataCentre), "data-centre", "dc", "data centre")
	f.StringVar(&cfg.Region, "region", "region", "region")
	f.StringVar(&cfg.Rack, "rack", "rack", "rack; with --count above 1 the prefix of the rack names")
	f.IntVar(&cfg.RackSize, "rack-size", 8, "number of workers in a rack")
	f.IntVar(&cfg.Count, "count", 1, "number of workers")
	f.Int64Var(&cfg.Capacity.MilliCPU, "milli-cpu", 32000, "CPU capacity in thousandths of a core")
	f.Int64Var(&cfg.Capacity.MemMB, "mem-mb", 131072, "memory capacity in MiB")
	f.Int64Var(&cfg.Capacity.Accel, "accel", 0, "number of accelerators")
	f.Int64Var(&cfg.Capacity.Slots, "slots", 8, "number of task slots")
	f.Int64Var(&cfg.Capacity.Conns, "conns", 64, "number of connections")
	f.DurationVar(&cfg.UsageLag, "usage-lag", 2*time.Second, "age of usage measurements")
	f.DurationVar(&cfg.UsagePeriod, "usage-period", 5*time.Second, "minimum time between two measurements of a task")
	f.DurationVar(&cfg.FinishedRetention, "keep-finished", 10*time.Minute, "how long a finished task stays listed after its event was acknowledged")
	f.StringVar(&cfg.ListAdminURL, "list-admin", "", "URL of the instance list's admin API; empty skips the registration")
	return c
}

// runWorkers serves workers and their admin API until a signal arrives.
func runWorkers(cmd *cobra.Command, a addresses, cfg workerd.FleetConfig) error {
	cfg.Listen = a.listen
	fleet, err := workerd.NewFleet(cmd.Context(), cfg)
	if err != nil {
		return err
	}
	defer fleet.Close()
	admin, err := harness.Listen(a.admin, fleet.Admin())
	if err != nil {
		return err
	}
	defer admin.Close()
	return serveUntilSignal(cmd, ReadyMessage{Kind: "worker", Admin: admin.Addr(), Workers: fleet.Addrs()})
}

func serve(cmd *cobra.Command, kind string, a addresses, api, adminAPI http.Handler) error {
	service, err := harness.Listen(a.listen, api)
	if err != nil {
		return err
	}
	defer service.Close()
	admin, err := harness.Listen(a.admin, adminAPI)
	if err != nil {
		return err
	}
	defer admin.Close()
	return serveUntilSignal(cmd, ReadyMessage{Kind: kind, Listen: service.Addr(), Admin: admin.Addr()})
}

// serveUntilSignal prints the ready message and waits for SIGTERM, SIGINT or the
// end of the command's context.
func serveUntilSignal(cmd *cobra.Command, ready ReadyMessage) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return printReadyAndWait(ctx, cmd.OutOrStdout(), ready)
}

func printReadyAndWait(ctx context.Context, out io.Writer, ready ReadyMessage) error {
	if err := json.NewEncoder(out).Encode(ready); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
