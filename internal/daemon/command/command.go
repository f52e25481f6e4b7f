// Package command is the command line of catkinvalved: it reads the settings,
// connects the adapters and runs the daemon until a signal.
package command

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"catkinvalve/internal/adapters/intakenet"
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

var (
	// errStopped means that a signal ended the daemon before it served.
	errStopped = errors.New("stopped by a signal while starting")
	// errSettings means that the settings are not valid; the faults are printed
	// already.
	errSettings = errors.New("the settings are not valid")
)

// options are the flags of the command line.
type options struct {
	settingsPath      string
	check, onPlatform bool
	// started tells errors in the flags from later ones.
	started bool
}

// Main runs catkinvalved and returns its exit code: 0, also when a signal ends it while
// it starts, 1 after a failure at run time, or 2 when the flags or the settings are not
// valid.
func Main() int {
	// From here on these signals do not kill the process, but end it in order.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var o options
	err := newCommand(&o).ExecuteContext(ctx)
	if errors.Is(err, errStopped) {
		err = errStopped // Without the remedies of a failed start.
	}
	if err != nil && !errors.Is(err, errSettings) {
		fmt.Fprintln(os.Stderr, "catkinvalved:", err)
	}
	switch {
	case err == nil, err == errStopped && !o.check:
		return exitOK
	case !o.started:
		return exitUsage
	case errors.Is(err, errSettings):
		return exitSettings
	}
	return exitFailure
}

// newCommand returns the command, which stores its flags in o.
func newCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:           "catkinvalved",
		Short:         "Entry daemon of the catkinvalve cluster scheduler",
		Example:       "  catkinvalved --settings /etc/catkinvalve/settings.jsonc\n  catkinvalved --settings settings.jsonc --check",
		Args:          cobra.NoArgs,
		SilenceErrors: true, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.started = true
			if o.onPlatform {
				return startPlatform(cmd.Context(), o.check)
			}
			return start(cmd.Context(), o.settingsPath, o.check)
		},
	}
	cmd.Flags().StringVar(&o.settingsPath, "settings", "", "settings file in JSON with comments (required)")
	cmd.Flags().BoolVar(&o.check, "check", false, "check the settings and exit")
	cmd.Flags().BoolVar(&o.onPlatform, "platform", false, "run on the users' platform, with the settings that it provides")
	cmd.MarkFlagsOneRequired("settings", "platform")
	cmd.MarkFlagsMutuallyExclusive("settings", "platform")
	return cmd
}

// start reads the settings file and, unless it only checks it, runs the daemon.
func start(ctx context.Context, settingsPath string, check bool) error {
	set, err := load(ctx, func() (*settings.Settings, bool) { return loadSettings(settingsPath) })
	if err != nil || check {
		return err
	}
	return run(ctx, *set)
}

// load returns the settings that read returns, or errSettings if it returns false. If
// ctx ends first it returns errStopped at once, since a file system can block read.
func load[S any](ctx context.Context, read func() (*S, bool)) (*S, error) {
	loaded := make(chan *S, 1)
	go func() {
		defer close(loaded)
		if set, ok := read(); ok {
			loaded <- set
		}
	}()
	select {
	case set, ok := <-loaded:
		if !ok {
			return nil, errSettings
		}
		return set, nil
	case <-ctx.Done():
		return nil, errStopped
	}
}

// openListener listens on a TCP address. It returns errStopped if ctx has ended, so that
// a daemon that does not serve gets no connections.
func openListener(ctx context.Context, address string) (net.Listener, error) {
	if ctx.Err() != nil {
		return nil, errStopped
	}
	return net.Listen("tcp", address)
}

// openClientListener is openListener for clients other than daemons.
func openClientListener(ctx context.Context, address string) (net.Listener, error) {
	if ctx.Err() != nil {
		return nil, errStopped
	}
	return intakenet.Listen(ctx, address)
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

// memoryLimitShare is the part of the instance's memory that becomes the runtime's memory
// limit, near which garbage is collected more often.
const memoryLimitShare = 0.6

// limitMemory sets the runtime's memory limit for an instance with memoryMB MiB of memory. It does
// nothing if that is 0.
func limitMemory(memoryMB int64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memoryMB<<20)))
	}
}

// fileLimit returns the number of file descriptors that the operating system grants the process,
// and 0 if that is not known.
func fileLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// run runs the daemon with its own settings file until ctx ends.
func run(ctx context.Context, set settings.Settings) error {
	limitProcs()
	limitMemory(set.Limits.MemoryMB)
	if set.Limits.MaxFiles == 0 {
		set.Limits.MaxFiles = fileLimit()
	}
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
		if faults, err = serveFaults(ctx, set.Addresses.FaultListen); err != nil {
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
	callers, err := openClientListener(ctx, set.Addresses.CallerListen)
	if err != nil {
		return fmt.Errorf("cannot listen for callers: %w; free the address or change addresses.caller_listen", err)
	}
	peers, err := openListener(ctx, set.Addresses.PeerListen)
	if err != nil {
		return fmt.Errorf("cannot listen for peers: %w; free the address or change addresses.peer_listen", err)
	}
	return d.Run(ctx, callers, peers)
}

// serveFaults serves the port for fault injection in the background.
func serveFaults(ctx context.Context, addr string) (*daemon.LinkFaults, error) {
	l, err := openClientListener(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("cannot listen for fault injection: %w; remove addresses.fault_listen", err)
	}
	faults := &daemon.LinkFaults{}
	go func() { _ = faults.Serve(l) }()
	return faults, nil
}
