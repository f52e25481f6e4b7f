package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"catkinvalve/internal/fault"
)

// writeJSON writes value as the answer and bounds the time of the write.
func (s *Server) writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		s.log.WithError(err).Error("cannot encode an answer")
		status = http.StatusInternalServerError
		body = errorBody(fault.From(err))
	}
	s.writeBody(w, status, append(body, '\n'))
}

func (s *Server) writeBody(w http.ResponseWriter, status int, body []byte) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.opts.WriteTimeout))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.log.WithError(err).Debug("caller did not take the answer")
	}
}

// writeError answers with the kind, message and remedy of err.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	e := fault.From(err)
	if e.Kind == fault.Internal {
		s.log.WithError(err).Error("internal error in a call")
	}
	s.writeJSON(w, e.HTTPStatus(), e)
}

func errorBody(e *fault.Error) []byte {
	body, err := json.Marshal(e)
	if err != nil {
		return []byte(`{"kind":"internal","message":"cannot encode the error","remedy":"see the daemon's log"}`)
	}
	return body
}

// timeoutFault gives the end of a call's time a kind. A call about a key may
// have taken effect by then, so the caller is told to ask for its fate.
func timeoutFault(err error, key string) error {
	var typed *fault.Error
	if errors.As(err, &typed) || !isContextError(err) {
		return err
	}
	if key != "" {
		return fault.Wrap(err, fault.FateUnknownYet, "ask for the fate of the key later, through any daemon",
			"the call for key %s did not end in time and may have taken effect", key)
	}
	return fault.Wrap(err, fault.NotReady, "repeat the call; a publication keeps its publish_id", "the call did not end in time")
}

func isContextError(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}
