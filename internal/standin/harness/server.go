package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"

	"catkinvalve/internal/fault"
)

const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than the clients' idle timeout, so that the client
	// closes idle connections first and never sends a request on a connection
	// that the server is closing.
	idleTimeout = 3 * time.Minute
	// shutdownTimeout limits the wait for handlers after their context was
	// cancelled.
	shutdownTimeout = time.Second
)

// Server is an HTTP server on one listener.
type Server struct {
	http   *http.Server
	addr   string
	cancel context.CancelFunc
	done   chan struct{}
}

// Listen starts to serve h on an IP:PORT address; port 0 picks a free port. It
// returns an error if the address cannot be bound.
func Listen(addr string, h http.Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	base := context.WithValue(ctx, serverContextKey{}, ctx)
	s := &Server{
		http: &http.Server{
			Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
			BaseContext: func(net.Listener) context.Context { return base },
		},
		addr: ln.Addr().String(), cancel: cancel, done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			logrus.WithError(err).WithField("addr", s.addr).Error("server stopped")
		}
	}()
	return s, nil
}

// serverContextKey is the key of the server's context in the context of a
// request. The server's context ends when the server is closed; the request's
// context also ends when the caller disconnects.
type serverContextKey struct{}

func serverContext(ctx context.Context) context.Context {
	if server, ok := ctx.Value(serverContextKey{}).(context.Context); ok {
		return server
	}
	return ctx
}

// Addr returns the IP:PORT address on which the server listens.
func (s *Server) Addr() string { return s.addr }

// Close cancels the contexts of all requests, waits up to shutdownTimeout for
// their handlers and closes all connections.
func (s *Server) Close() {
	s.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close() // The listener is already closed; this closes connections.
	}
	<-s.done
}

// Admin returns the routes of an admin port: POST /admin/fault calls applyFault,
// GET /admin/stats returns stats, and POST /admin/reset calls reset, which ends
// all faults and resets the counters but keeps the data of the stand-in.
func Admin[F any](applyFault func(F) error, stats func() any, reset func()) *httprouter.Router {
	r := httprouter.New()
	r.POST("/admin/fault", WithoutFaults(func(c *Call) (int, any) {
		var f F
		dec := json.NewDecoder(bytes.NewReader(c.Body))
		dec.DisallowUnknownFields()
		err := dec.Decode(&f)
		if err == nil {
			err = applyFault(f)
		}
		if err != nil {
			return ErrorReply(fault.New(fault.Malformed, "send the documented fault body", "%v", err))
		}
		return http.StatusOK, struct{}{}
	}))
	r.GET("/admin/stats", WithoutFaults(func(*Call) (int, any) { return http.StatusOK, stats() }))
	r.POST("/admin/reset", WithoutFaults(func(*Call) (int, any) {
		reset()
		return http.StatusOK, struct{}{}
	}))
	return r
}

// WithoutFaults returns a route that calls h without injected faults.
func WithoutFaults(h Handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			return
		}
		status, reply := h(&Call{Ctx: r.Context(), Request: r, Params: p, Body: body, Received: time.Now()})
		WriteJSON(w, status, reply)
	}
}
