package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"catkinvalve/internal/fault"
)

// writeJSON responds with value as JSON. The listener limits the time of writing.
func (s *Server) writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		s.log.WithError(err).Error("cannot encode the response")
		status = http.StatusInternalServerError
		body = errorBody(fault.From(err))
	}
	s.writeBody(w, status, append(body, '\n'))
}

func (s *Server) writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.log.WithError(err).Debug("cannot write the response to the caller")
	}
}

// setRetryAfter sets the header that states when the caller may try again, in whole seconds.
func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
}

// writeError responds with the kind, message and remedy of err.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	e := fault.From(err)
	if e.Kind == fault.Internal {
		s.log.WithError(err).Error("call failed with an internal error")
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

// timeoutFault returns a *fault.Error for a context error and any other err unchanged. When
// the call concerns a key, it may have been executed, so the remedy is to get the key's
// fate.
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
