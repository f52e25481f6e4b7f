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
	// idleTimeout exceeds the clients' idle timeout, so that the client closes
	// idle connections and never sends on one that the server is closing.
	idleTimeout = 3 * time.Minute
	// shutdownTimeout bounds the wait for handlers whose context has ended.
	shutdownTimeout = time.Second
)

// Server is an HTTP server on one listener.
type Server struct {
	http   *http.Server
	addr   string
	cancel context.CancelFunc
	done   chan struct{}
}

// Listen serves h on an IP:PORT address; port 0 picks a free one.
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

// serverContextKey finds the server's context in a request's context, which
// also ends when the caller leaves.
type serverContextKey struct{}

func serverContext(ctx context.Context) context.Context {
	if server, ok := ctx.Value(serverContextKey{}).(context.Context); ok {
		return server
	}
	return ctx
}

// Addr returns the real address.
func (s *Server) Addr() string { return s.addr }

// Close ends long polls, waits briefly for handlers and closes all connections.
func (s *Server) Close() {
	s.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close() // The listener is already closed; connections are cut.
	}
	<-s.done
}

// Admin returns the routes of an admin port. Reset removes faults and zeroes
// counters; the data of the stand-in is kept.
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

// Plain adapts a handler to a route without faults.
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
