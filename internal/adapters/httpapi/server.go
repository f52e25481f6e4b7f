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
	connsRefused metrics.Counter
	panics       metrics.Counter
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
		connsRefused: telemetry.Counter(opts.Registry, "http.connections.refused"),
		panics:       telemetry.Counter(opts.Registry, "http.panics"),
	}
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
	return s
}

// Start serves the connections that l accepts until Shutdown. It does not block.
func (s *Server) Start(l net.Listener) {
	limited := newLimitedListener(l, s.opts.MaxConns, s.connsRefused)
	telemetry.RegisterGauge(s.opts.Registry, "http.connections", limited.open.Load)
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
