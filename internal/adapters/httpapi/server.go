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

// headerSlopBytes is what net/http reads beyond MaxHeaderBytes before it
// answers 431.
const headerSlackBytes = 4096

// Server serves the API on one listener.
type Server struct {
	opts       Options
	service    Service
	log        *logrus.Entry
	http       *http.Server
	serving    conc.WaitGroup
	serveError chan error
	// waiting holds one element for each call that waits for a fate.
	waitSlots    chan struct{}
	waitsRefused metrics.Counter
	connsRefused metrics.Counter
	panics       metrics.Counter
}

// New returns a server that calls service. It does not listen yet.
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
		// net/http reports aborted handshakes and connections here, which
		// callers cause at will.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	return s
}

// Start serves connections of l until Shutdown. It returns at once.
func (s *Server) Start(l net.Listener) {
	limited := newLimitedListener(l, s.opts.MaxConns, s.connsRefused)
	telemetry.RegisterGauge(s.opts.Registry, "http.connections", limited.open.Load)
	s.serving.Go(func() {
		if err := s.http.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			s.log.WithError(err).Error("the HTTP listener failed")
			s.serveError <- err
		}
	})
}

// ServeError returns a channel that receives the error of a listener that ended
// without Shutdown.
func (s *Server) ServeError() <-chan error { return s.serveError }

// Shutdown stops accepting connections, waits for the calls in flight and
// returns. When ctx ends first it closes the remaining connections and returns
// the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	s.serving.Wait()
	return err
}
