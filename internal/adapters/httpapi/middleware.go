package httpapi

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/telemetry"
)

const (
	requestIDHeader = "X-Request-ID"
	// maxRequestIDBytes limits the text that a caller can add to each log line.
	maxRequestIDBytes = 100
)

type requestIDKey struct{}

// RequestID returns the X-Request-ID of the call that ctx belongs to, or an empty string
// when there is none.
func RequestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// requestID returns the caller's request ID if it is valid, and a new one otherwise.
func requestID(header http.Header) string {
	given := header.Get(requestIDHeader)
	if validRequestID(given) {
		return given
	}
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// validRequestID reports whether id has 1 to maxRequestIDBytes printable ASCII characters
// without spaces.
func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}

// statusWriter records the status of the response; 0 means that no header was written yet.
type statusWriter struct {
	http.ResponseWriter
	status int
	// request is the call that is answered.
	request *http.Request
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// wrapHandler adds deadlines, the request ID, logging, the latency metric and recovery
// from panics to a handler.
func (s *Server) wrapHandler(route string, next httprouter.Handle) httprouter.Handle {
	latency := s.opts.Histograms.Latency(route)
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		start := time.Now()
		id := requestID(r.Header)
		w.Header().Set(requestIDHeader, id)
		r = r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id))
		s.limitBody(w, r)
		sw := &statusWriter{ResponseWriter: w, request: r}
		defer func() {
			s.handlePanic(sw, id, recover())
			telemetry.ObserveSince(latency, start)
			s.logCall(sw.status, logrus.Fields{"request_id": id, "route": route, "micros": time.Since(start).Microseconds()})
		}()
		next(sw, r, params)
	}
}

// limitBody limits the time for reading the body. The limit also applies to a body that no
// handler reads, because the server discards it before it reuses the connection.
func (s *Server) limitBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.opts.BodyTimeout))
	}
}

// handlePanic logs a recovered panic with its stack and responds with an error of kind
// internal, which does not contain the stack. When the response was already started, it
// aborts the connection.
func (s *Server) handlePanic(w *statusWriter, id string, cause any) {
	if cause == nil {
		return
	}
	s.panics.Inc(1)
	s.log.WithFields(logrus.Fields{"request_id": id, "panic": cause, "stack": string(debug.Stack())}).Error("panic in a handler")
	if w.status != 0 {
		panic(http.ErrAbortHandler)
	}
	s.writeError(w, fault.New(fault.Internal, "report this as a defect with the request id and the daemon's log",
		"the call %s failed inside the daemon", id))
}

// logCall logs a call: as a warning when the status is 500 or above, otherwise at the debug
// level.
func (s *Server) logCall(status int, fields logrus.Fields) {
	level := logrus.DebugLevel
	if status >= http.StatusInternalServerError {
		level = logrus.WarnLevel
	}
	if s.log.Logger.IsLevelEnabled(level) {
		s.log.WithFields(fields).WithField("status", status).Log(level, "call")
	}
}
