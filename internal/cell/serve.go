package cell

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"catkinvalve/internal/adapters/intakedrpc"
	"catkinvalve/internal/adapters/intakehttp"
	"catkinvalve/internal/adapters/intakenet"
	"catkinvalve/internal/intake"
)

// Servers are the listeners of a daemon and their handlers.
type Servers struct {
	Callers, Readiness, Links, Metrics net.Listener
	CallerHandler, ReadinessHandler    http.Handler
	MetricsHandler                     http.Handler
}

// limit makes the listeners limit their clients.
func (s *Servers) limit(d *Daemon) {
	memoryMB, maxFiles := d.settings.MemoryMB, d.settings.MaxFiles
	limited := func(name string, l net.Listener, limits intake.Limits, listen func(net.Listener, *intake.Limiter, func()) net.Listener) net.Listener {
		limiter := intake.NewLimiter(limits)
		return listen(l, limiter, intakenet.NewReport(d.registry, d.log, name, limiter).Update)
	}
	s.Callers = limited("callers", s.Callers, intake.CallerLimits(memoryMB, maxFiles), intakehttp.NewListener)
	s.Links = limited("links", s.Links, intake.LinkLimits(memoryMB, maxFiles), intakedrpc.NewLinkListener)
	s.Readiness = limited("readiness", s.Readiness, intake.OperatorLimits(maxFiles), intakehttp.NewListener)
	s.Metrics = limited("metrics", s.Metrics, intake.OperatorLimits(maxFiles), intakehttp.NewListener)
}

const (
	// drainDelay is how long a daemon that shuts down continues to accept connections,
	// until the load balancer has noticed that it is not ready.
	drainDelay = 3200 * time.Millisecond
	// registerRetryInterval is the pause between attempts to register.
	registerRetryInterval = 300 * time.Millisecond
	// shutdownMargin is the time kept in reserve between the planned end of the process
	// and SIGKILL.
	shutdownMargin = 500 * time.Millisecond
	// finalAnswerMargin is the time reserved for answering the calls whose outcome is
	// still unknown when the process has to end.
	finalAnswerMargin = 400 * time.Millisecond
)

// Run serves until ctx ends, and then until the calls in flight are answered. It
// returns the error of a listener that failed, or an error when calls in flight did
// not end within Bounds.ShutdownGrace.
func (d *Daemon) Run(ctx context.Context, s Servers) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	callsCtx, cancelCalls := context.WithCancel(context.Background())
	defer cancelCalls()
	callerServer := intakehttp.NewServer(s.CallerHandler)
	callerServer.BaseContext = func(net.Listener) context.Context { return callsCtx }
	readinessServer := intakehttp.NewOperatorServer(s.ReadinessHandler)
	metricsServer := intakehttp.NewOperatorServer(s.MetricsHandler)
	s.limit(d)
	var wg conc.WaitGroup
	errs := make(chan error, 4)
	serve := func(name string, f func() error) {
		wg.Go(func() {
			if err := f(); err != nil && err != http.ErrServerClosed {
				errs <- fmt.Errorf("%s: %w", name, err)
			}
		})
	}
	serve("links", func() error { return d.transport.Serve(background, s.Links) })
	serve("callers", func() error { return callerServer.Serve(s.Callers) })
	serve("metrics", func() error { return metricsServer.Serve(s.Metrics) })
	serve("readiness", func() error { return readinessServer.Serve(s.Readiness) })
	wg.Go(func() { d.watchConfig(background) })
	wg.Go(func() { d.register(background) })
	wg.Go(func() { d.runElections(background) })
	var err error
	select {
	case <-ctx.Done():
		err = d.shutdown(callerServer, cancelCalls)
	case err = <-errs:
	}
	_ = callerServer.Close()
	_ = readinessServer.Close()
	_ = metricsServer.Close()
	stop()
	for _, l := range d.members.peerLinks() {
		l.Close()
	}
	wg.Wait()
	d.linkGoroutines.Wait()
	return err
}

// shutdown hands the leadership over and waits for the calls in flight. Calls that do
// not end in time are cancelled, so that they are answered before the process ends and
// their callers can retry.
func (d *Daemon) shutdown(callerServer *http.Server, cancelCalls func()) error {
	d.shuttingDown.Store(true)
	d.log.WithField("event", "stopping").Info("shutting down")
	if l := d.activeLeader.Load(); l != nil {
		l.push(shutdownMsg{})
	}
	d.sendReport()
	deadline := time.Now().Add(d.settings.Bounds.ShutdownGrace - shutdownMargin)
	time.Sleep(min(drainDelay, time.Until(deadline)))
	if shutdownBy(callerServer, deadline.Add(-finalAnswerMargin)) == nil {
		return nil
	}
	cancelCalls()
	if err := shutdownBy(callerServer, deadline); err != nil {
		return fmt.Errorf("calls in flight did not end: %w", err)
	}
	return nil
}

// shutdownBy shuts a server down and waits until its calls have ended. It returns an
// error when they have not ended at the deadline.
func shutdownBy(s *http.Server, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return s.Shutdown(ctx)
}
