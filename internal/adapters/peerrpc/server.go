package peerrpc

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"catkinvalve/internal/peerpb"
	"catkinvalve/internal/telemetry"
)

const (
	// closeGrace is the time between a response and closing its connection during
	// Shutdown. The caller completes the call in this time; if the connection were reset
	// earlier, the caller would treat the response as lost.
	closeGrace = 50 * time.Millisecond
	// idleCheckInterval is how often Shutdown checks for idle connections.
	idleCheckInterval = 10 * time.Millisecond
	// acceptBackoff is the delay after a failed accept, for example because the process
	// has no free file descriptors.
	acceptBackoff = 50 * time.Millisecond
)

// Server serves calls from other daemons on one listener.
type Server struct {
	opts         Options
	drpc         *drpcserver.Server
	limiter      *regionLimiter
	refused      metrics.Counter
	blockedCalls metrics.Counter
	panics       metrics.Counter
	draining     atomic.Bool
	serving      conc.WaitGroup
	listener     net.Listener

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

// NewServer returns a server that calls handler. The handler's errors should be of type
// *fault.Error; the caller gets any other error as kind internal.
func NewServer(handler peerpb.DRPCPeerServer, opts Options) (*Server, error) {
	opts = opts.withDefaults()
	s := &Server{
		opts:         opts,
		limiter:      newRegionLimiter(opts.Self.Region, opts.PayloadBytesPerSecond, opts.MaxMessageBytes),
		refused:      telemetry.Counter(opts.Registry, "peer.server.connections.refused"),
		blockedCalls: telemetry.Counter(opts.Registry, "peer.server.blocked"),
		panics:       telemetry.Counter(opts.Registry, "peer.server.panics"),
		conns:        map[*serverConn]struct{}{},
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &handlerAdapter{server: s, handler: handler}); err != nil {
		return nil, err
	}
	manager := managerOptions(opts)
	manager.InactivityTimeout = opts.IdleTimeout
	s.drpc = drpcserver.NewWithOptions(&interceptor{server: s, next: mux}, drpcserver.Options{Manager: manager})
	telemetry.RegisterGauge(opts.Registry, "peer.server.connections", func() int64 { return int64(s.connCount()) })
	return s, nil
}

// Start serves the connections that l accepts until Shutdown. It does not block. It must be
// called exactly once and before Shutdown.
func (s *Server) Start(l net.Listener) {
	s.listener = l
	s.serving.Go(s.accept)
}

// accept admits connections until the listener is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			s.admit(conn)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			s.opts.Log.WithError(err).Warn("cannot accept a peer connection")
			time.Sleep(acceptBackoff)
		}
	}
}

// admit starts serving a connection, or closes it when MaxConns connections are open.
func (s *Server) admit(conn net.Conn) {
	c := newServerConn(conn, s.opts.WriteTimeout)
	s.mu.Lock()
	full := len(s.conns) >= s.opts.MaxConns
	if !full {
		s.conns[c] = struct{}{}
	}
	s.mu.Unlock()
	if full {
		s.refused.Inc(1)
		_ = conn.Close()
		return
	}
	s.serving.Go(func() { s.serve(c) })
}

func (s *Server) serve(c *serverConn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	if err := s.drpc.ServeOne(context.Background(), c); err != nil {
		s.opts.Log.WithError(err).WithField("peer", c.RemoteAddr().String()).Debug("peer connection ended")
	}
}

func (s *Server) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Shutdown stops accepting connections, rejects new calls with an error of kind draining,
// waits until the calls in progress have ended, and closes all connections. If ctx ends
// first, it closes the remaining connections and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	_ = s.listener.Close()
	err := s.closeIdleConns(ctx)
	s.forEachConn(func(c *serverConn) { _ = c.Close() })
	s.serving.Wait()
	return err
}

// closeIdleConns closes connections when they become idle, until none is open or ctx ends.
func (s *Server) closeIdleConns(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		s.forEachConn(func(c *serverConn) { c.closeIfIdle(closeGrace) })
		if s.connCount() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (s *Server) forEachConn(visit func(*serverConn)) {
	s.mu.Lock()
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		visit(c)
	}
}
