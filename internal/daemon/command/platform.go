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

const (
	// gcPercent trades processor time for memory.
	gcPercent = 75
	// memoryShare is the part of the machine's memory at which the runtime
	// collects garbage more eagerly.
	memoryShare = 0.6
)

// loadPlatform reads the platform's settings and prints every fault.
func loadPlatform() (*cell.Settings, bool) {
	set, err := platform.ReadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, "catkinvalved:", err)
		return nil, false
	}
	return set, true
}

// runPlatform runs the daemon on the users' platform until a signal.
func runPlatform(ctx context.Context, set cell.Settings) error {
	limitProcs()
	debug.SetGCPercent(gcPercent)
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryMB<<20)))
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	registry := metrics.NewRegistry()
	lines := telemetry.NewLineWriter(os.Stdout, registry)
	defer lines.Close()
	log, err := telemetry.NewLogger(lines, "info", set.Node, string(set.DataCentre))
	if err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"event": "start", "ip": set.IP, "region": set.Region, "store": set.StoreAddress, "advice": set.AdviceAddress}).Info("the daemon starts")
	client, err := platform.NewClient(set.MaxFiles)
	if err != nil {
		return err
	}
	defer client.Close()
	store := platform.NewStore(client, set.StoreAddress)
	deps := cell.Deps{
		Store: store, Config: platform.NewConfigSource(store), List: platform.NewWorkerList(store),
		Workers: platform.NewWorkerClient(client), CloseIdleConns: client.Close, Log: log, Registry: registry,
	}
	if set.AdviceAddress != "" {
		deps.AdviceService = platform.NewAdviceClient(client, set.AdviceAddress)
	}
	d := cell.New(set, deps)
	servers, err := listen(set, d, registry)
	if err != nil {
		return err
	}
	go watchSettings(ctx, log)
	err = d.Run(ctx, *servers)
	log.WithFields(logrus.Fields{"event": "stop", "error": fmt.Sprint(err)}).Info("the daemon has stopped")
	return err
}

// listen opens the daemon's addresses.
func listen(set cell.Settings, d *cell.Daemon, registry metrics.Registry) (*cell.Servers, error) {
	s := &cell.Servers{CallerHandler: platform.NewCallerHandler(d.API()), ReadinessHandler: platform.NewReadinessHandler(d.API())}
	var errs []error
	open := func(what, address string) net.Listener {
		l, err := net.Listen("tcp", address)
		if err != nil {
			errs = append(errs, fmt.Errorf("cannot listen for %s: %w; free the address", what, err))
		}
		return l
	}
	s.Callers = open("callers", set.CallerAddress)
	s.Readiness = open("the balancer", set.ReadinessAddress)
	s.Links = open("daemons", set.LinkAddress())
	s.Metrics = open("metrics", set.MetricsAddress())
	s.MetricsHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// A reader that is gone cannot be told.
		_ = telemetry.WriteText(w, registry)
	})
	return s, errors.Join(errs...)
}

// settingsPoll is how often the settings file is looked at. It may change
// without a signal.
const settingsPoll = time.Second

// watchSettings logs changes of the settings file, which take effect with the
// next start.
func watchSettings(ctx context.Context, log *logrus.Entry) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(settingsPoll)
	defer tick.Stop()
	last, _ := os.ReadFile(os.Getenv(platform.SettingsPathEnv))
	for {
		cause := "file"
		select {
		case <-ctx.Done():
			return
		case <-hup:
			cause = "signal"
		case <-tick.C:
		}
		data, err := os.ReadFile(os.Getenv(platform.SettingsPathEnv))
		if err != nil {
			log.WithFields(logrus.Fields{"event": "reload_failed", "error": err.Error()}).Warn("cannot read the settings")
			continue
		}
		if cause == "file" && string(data) == string(last) {
			continue
		}
		last = data
		reload(log, data, cause)
	}
}

func reload(log *logrus.Entry, data []byte, cause string) {
	fields := logrus.Fields{"event": "reload", "cause": cause}
	if _, err := platform.ParseSettings(data); err != nil {
		fields["error"] = err.Error()
		log.WithFields(fields).Error("the changed settings have faults; the daemon goes on with those that it has")
		return
	}
	log.WithFields(fields).Info("the settings were read again")
}
