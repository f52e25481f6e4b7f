package command

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"catkinvalve/internal/cell"
	"catkinvalve/internal/telemetry"
	"catkinvalve/platform"
)

// gcPercent is below the default of 100, which saves memory at the cost of processor time.
const gcPercent = 75

// loadPlatform reads the settings that the platform provides. It returns false after
// it has printed an error to standard error.
func loadPlatform() (*cell.Settings, bool) {
	set, err := platform.ReadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, "catkinvalved:", err)
		return nil, false
	}
	return set, true
}

// startPlatform reads the platform's settings and, unless it only checks them, runs the
// daemon.
func startPlatform(ctx context.Context, check bool) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	set, err := load(ctx, loadPlatform)
	if err != nil || check {
		return err
	}
	return runPlatform(ctx, *set, hangups)
}

// runPlatform runs the daemon on the users' platform until ctx ends. The channel
// hangups receives SIGHUP.
func runPlatform(ctx context.Context, set cell.Settings, hangups <-chan os.Signal) error {
	limitProcs()
	debug.SetGCPercent(gcPercent)
	limitMemory(set.MemoryMB)
	registry := metrics.NewRegistry()
	lines := telemetry.NewLineWriter(os.Stdout, registry)
	defer lines.Close()
	log, err := telemetry.NewLogger(lines, "info", set.Node, string(set.DataCentre))
	if err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"event": "start", "ip": set.IP, "region": set.Region, "store": set.StoreAddress, "advice": set.AdviceAddress}).Info("daemon starting")
	client, err := platform.NewClient(set.MaxFiles)
	if err != nil {
		return err
	}
	defer client.Close()
	store := platform.NewStore(client, set.StoreAddress)
	workers := platform.NewWorkerClient(client, set.MaxFiles)
	defer workers.CloseIdle()
	deps := cell.Deps{
		Store: store, Config: platform.NewConfigSource(store), List: platform.NewWorkerList(store),
		Workers: workers, CloseIdleConns: workers.CloseIdle, Log: log, Registry: registry,
	}
	if set.AdviceAddress != "" {
		deps.AdviceService = platform.NewAdviceClient(client, set.AdviceAddress)
	}
	d := cell.New(set, deps)
	servers, err := listen(ctx, set, d, registry)
	if err != nil {
		return err
	}
	go watchSettings(ctx, log, hangups)
	err = d.Run(ctx, *servers)
	log.WithFields(logrus.Fields{"event": "stop", "error": fmt.Sprint(err)}).Info("daemon stopped")
	return err
}

// listen opens the listeners of the daemon and sets up their handlers. The error
// joins those of all addresses that could not be opened.
func listen(ctx context.Context, set cell.Settings, d *cell.Daemon, registry metrics.Registry) (*cell.Servers, error) {
	s := &cell.Servers{CallerHandler: platform.NewCallerHandler(d.API()), ReadinessHandler: platform.NewReadinessHandler(d.API())}
	var errs []error
	type opener func(ctx context.Context, address string) (net.Listener, error)
	open := func(openAddress opener, purpose, address string) net.Listener {
		l, err := openAddress(ctx, address)
		if err != nil {
			errs = append(errs, fmt.Errorf("cannot listen for %s: %w; free the address", purpose, err))
		}
		return l
	}
	s.Callers = open(openClientListener, "callers", set.CallerAddress)
	s.Readiness = open(openClientListener, "the balancer", set.ReadinessAddress)
	s.Links = open(openListener, "daemons", set.LinkAddress())
	s.Metrics = open(openClientListener, "metrics", set.MetricsAddress())
	s.MetricsHandler = platform.NewOperatorHandler(d.API(), metricsHandler(registry))
	return s, errors.Join(errs...)
}

// metricsHandler returns a handler that responds with all metrics.
func metricsHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// An error means that the client has disconnected, so there is nobody to
		// report it to.
		_ = telemetry.WriteText(w, registry)
	})
}

// settingsPollInterval is the interval at which the settings file is read, since it
// may change without a signal.
const settingsPollInterval = time.Second

// watchSettings logs changes of the settings file until ctx ends. They take effect
// only with the next start. A signal from hangups makes it log the file even without a
// change.
func watchSettings(ctx context.Context, log *logrus.Entry, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(os.Getenv(platform.SettingsPathEnv))
	for {
		cause := "file"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			cause = "signal"
		case <-ticker.C:
		}
		data, err := os.ReadFile(os.Getenv(platform.SettingsPathEnv))
		if err != nil {
			log.WithFields(logrus.Fields{"event": "reload_failed", "error": err.Error()}).Warn("cannot read the settings file")
			continue
		}
		if cause == "file" && string(data) == string(last) {
			continue
		}
		last = data
		logReload(log, data, cause)
	}
}

// logReload logs that the settings were read again, and whether they are valid.
func logReload(log *logrus.Entry, data []byte, cause string) {
	fields := logrus.Fields{"event": "reload", "cause": cause}
	if _, err := platform.ParseSettings(data); err != nil {
		fields["error"] = err.Error()
		log.WithFields(fields).Error("the changed settings are not valid; the daemon keeps its current settings")
		return
	}
	log.WithFields(fields).Info("settings read again; changes take effect at the next start")
}
