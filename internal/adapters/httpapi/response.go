package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"runtime"
	"strconv"
	"time"

	"catkinvalve/internal/adapters/intakehttp"
	"catkinvalve/internal/fault"
)

// answer is a response before it is written.
type answer struct {
	status int
	body   []byte
}

// encodeSlots limits the answers that are encoded at the same time, since no memory is reserved for
// them until their size is known.
var encodeSlots = make(chan struct{}, runtime.NumCPU())

// writeJSON responds with value as JSON.
func (s *Server) writeJSON(w http.ResponseWriter, status int, value any) {
	s.respond(w, func() answer {
		body, err := json.Marshal(value)
		if err != nil {
			s.log.WithError(err).Error("cannot encode the response")
			return answer{http.StatusInternalServerError, errorBody(fault.From(err))}
		}
		return answer{status, append(body, '\n')}
	})
}

// respond writes an answer that encode returns. The listener limits the time of writing.
func (s *Server) respond(w http.ResponseWriter, encode func() answer) {
	a := prepare(w, encode)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		s.log.WithError(err).Debug("cannot write the response to the caller")
	}
}

// prepare encodes an answer and reserves memory for it until the end of the call. If there is no
// room, it returns an error in its place.
func prepare(w http.ResponseWriter, encode func() answer) answer {
	encodeSlots <- struct{}{}
	defer func() { <-encodeSlots }()
	a := encode()
	sw, ok := w.(*statusWriter)
	if !ok {
		return a
	}
	err := intakehttp.ReserveAnswer(sw.request, len(a.body))
	if err == nil {
		return a
	}
	setRetryAfter(w, answerRetryAfter)
	e := answerFault(err, sw.request.Method)
	return answer{e.HTTPStatus(), errorBody(e)}
}

// answerRetryAfter is when a caller whose answer found no room may try again. Answers that are not
// read give way within this time.
const answerRetryAfter = time.Second

// answerFault returns the error of a call whose answer finds no room. A call that reads has no effect;
// another one may have had its own.
func answerFault(err error, method string) *fault.Error {
	if method == http.MethodGet {
		return fault.Wrap(err, fault.Overloaded, "retry later or through another daemon", "the daemon has no memory for the answer")
	}
	return fault.Wrap(err, fault.FateUnknownYet, "ask for the state of the key or configuration later, through any daemon",
		"the call was executed, but the daemon has no memory for the answer")
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
