// Package command is the command line of catkinvalved: it reads the settings,
// connects the adapters and runs the daemon until a signal.
package command

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/adapters/listclient"
	"catkinvalve/internal/adapters/logclient"
	"catkinvalve/internal/adapters/oldclient"
	"catkinvalve/internal/adapters/workerclient"
	"catkinvalve/internal/daemon"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/settings"
	"catkinvalve/internal/telemetry"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
	exitUsage    = 2
)

// Main runs catkinvalved and returns its exit code: 0, 1 after a failure at run
// time, or 2 when the flags or the settings are not valid.
func Main() int {
	var path string
	var check, onPlatform bool
	code := exitOK
	cmd := &cobra.Command{
		Use:           "catkinvalved",
		Short:         "Entry daemon of the catkinvalve cluster scheduler",
		Example:       "  catkinvalved --settings /etc/catkinvalve/settings.jsonc\n  catkinvalved --settings settings.jsonc --check",
		Args:          cobra.NoArgs,
		SilenceErrors: true, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if onPlatform {
				set, ok := loadPlatform()
				if !ok {
					code = exitSettings
					return nil
				}
				if check {
					return nil
				}
				return runPlatform(cmd.Context(), *set)
			}
			set, ok := loadSettings(path)
			if !ok {
				code = exitSettings
				return nil
			}
			if check {
				return nil
			}
			return run(cmd.Context(), *set)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file in JSON with comments (required)")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	cmd.Flags().BoolVar(&onPlatform, "platform", false, "run on the users' platform, with the settings that it provides")
	cmd.MarkFlagsOneRequired("settings", "platform")
	cmd.MarkFlagsMutuallyExclusive("settings", "platform")
	// started tells errors in the flags, which cobra reports before it calls RunE,
	// from failures at run time.
	started := false
	runE := cmd.RunE
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		started = true
		return runE(cmd, args)
	}
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "catkinvalved:", err)
		if !started {
			return exitUsage
		}
		return exitFailure
	}
	return code
}

// loadSettings reads the settings file and prints all of its problems to standard
// error. It returns false if there are any.
func loadSettings(path string) (*settings.Settings, bool) {
	data, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "catkinvalved: cannot read the settings file: %v; pass an existing file with --settings\n", err)
		return nil, false
	}
	set, problems := settings.Parse(path, data)
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	return set, len(problems) == 0
}

// maxProcs limits the runtime to few processors, because on 10 cores a quarter of
// the processor time of an idle daemon went into the runtime's search for work
// after each wake-up. It costs throughput that a small entry instance does not
// need.
const maxProcs = 2

// limitProcs applies maxProcs unless GOMAXPROCS is set in the environment.
func limitProcs() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(runtime.NumCPU(), maxProcs))
	}
}

// run runs the daemon with its own settings file until a signal.
func run(ctx context.Context, set settings.Settings) error {
	limitProcs()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, err := telemetry.NewLogger(os.Stderr, set.LogLevel, set.DaemonID, string(set.DataCentre))
	if err != nil {
		return err
	}
	client, err := jsonhttp.New(jsonhttp.Options{Daemon: set.DaemonID})
	if err != nil {
		return err
	}
	defer client.Close()
	var old ports.OldSystem
	if set.Platform.Old != "" {
		old = oldclient.New(client, set.Platform.Old)
	}
	var faults *daemon.LinkFaults
	if set.Addresses.FaultListen != "" {
		if faults, err = serveFaults(set.Addresses.FaultListen); err != nil {
			return err
		}
		log.Warn("fault injection is enabled; do not use addresses.fault_listen in production")
	}
	d, err := daemon.New(set, daemon.Deps{
		Log: logclient.New(client, set.Platform.Log), List: listclient.New(client, set.Platform.Instances),
		Workers: workerclient.New(client), Old: old, Faults: faults, Logger: log, Registry: metrics.NewRegistry(),
	})
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", set.Addresses.CallerListen)
	if err != nil {
		return fmt.Errorf("cannot listen for callers: %w; free the address or change addresses.caller_listen", err)
	}
	peers, err := net.Listen("tcp", set.Addresses.PeerListen)
	if err != nil {
		return fmt.Errorf("cannot listen for peers: %w; free the address or change addresses.peer_listen", err)
	}
	return d.Run(ctx, callers, peers)
}

// serveFaults serves the port for fault injection in the background.
func serveFaults(addr string) (*daemon.LinkFaults, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("cannot listen for fault injection: %w; remove addresses.fault_listen", err)
	}
	faults := &daemon.LinkFaults{}
	go func() { _ = faults.Serve(l) }()
	return faults, nil
}
