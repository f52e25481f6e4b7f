package httpapi

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"catkinvalve/internal/adapters/intakehttp"
	"catkinvalve/internal/adapters/intakenet"
	"catkinvalve/internal/intake"
	"catkinvalve/internal/telemetry"
)

// headerSlackBytes is how many bytes net/http reads beyond MaxHeaderBytes before it
// responds with status 431.
const headerSlackBytes = 4096

// Server serves the API on one listener.
type Server struct {
	opts       Options
	service    Service
	log        *logrus.Entry
	http       *http.Server
	serving    conc.WaitGroup
	serveError chan error
	// waitSlots is a semaphore with one element per call that waits for a final fate.
	waitSlots    chan struct{}
	waitsRefused metrics.Counter
	panics       metrics.Counter
	// limiter limits the clients of the listener, and report shows what it does.
	limiter *intake.Limiter
	report  *intakenet.Report
}

// New returns a server that calls service. Start makes it serve connections.
func New(service Service, opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{
		opts:         opts,
		service:      service,
		log:          opts.Log,
		serveError:   make(chan error, 1),
		waitSlots:    make(chan struct{}, opts.MaxWaitingCalls),
		waitsRefused: telemetry.Counter(opts.Registry, "http.waiting.refused"),
		panics:       telemetry.Counter(opts.Registry, "http.panics"),
		limiter:      intake.NewLimiter(opts.clientLimits()),
	}
	s.report = intakenet.NewReport(opts.Registry, opts.Log, "callers", s.limiter)
	telemetry.RegisterGauge(opts.Registry, "http.connections", func() int64 { return int64(s.limiter.Stats().Conns) })
	// The counter is registered under its earlier name as well.
	_ = opts.Registry.Register("http.connections.refused", s.report.RefusedConns())
	telemetry.RegisterGauge(opts.Registry, "http.waiting", func() int64 { return int64(len(s.waitSlots)) })
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: opts.HeaderTimeout,
		IdleTimeout:       opts.IdleTimeout,
		MaxHeaderBytes:    max(opts.HeaderBytes-headerSlackBytes, 1),
		// net/http logs aborted handshakes and connections here. Callers could fill the
		// daemon's log with them, so they are discarded.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	intakehttp.Limit(s.http)
	return s
}

// Start serves the connections that l accepts until Shutdown. It does not block.
func (s *Server) Start(l net.Listener) {
	limited := intakehttp.NewListenerWithRefusal(l, s.limiter, refusalResponse(s.opts.clientLimits().Conns), s.report.Update)
	s.serving.Go(func() {
		if err := s.http.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			s.log.WithError(err).Error("HTTP listener failed")
			s.serveError <- err
		}
	})
}

// ServeError returns a channel that receives an error when serving ends without a call of
// Shutdown.
func (s *Server) ServeError() <-chan error { return s.serveError }

// Shutdown stops accepting connections and waits until the calls in progress have ended.
// If ctx ends first, it closes the remaining connections and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	s.serving.Wait()
	return err
}
