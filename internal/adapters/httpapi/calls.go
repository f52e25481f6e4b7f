package httpapi

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"catkinvalve/internal/api"
)

// read returns a handler of a call without arguments.
func readHandler[T any](s *Server, call func(context.Context) (T, error)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		if err := refuseBody(w, r); err != nil {
			s.writeError(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), s.opts.CallTimeout)
		defer cancel()
		result, err := call(ctx)
		writeResult(s, w, result, timeoutFault(err, ""))
	}
}

// keyCall makes a call whose only argument is a key.
func callWithKey[T any](s *Server, w http.ResponseWriter, r *http.Request, key string, call func(context.Context, string) (T, error)) (T, error) {
	if err := checkKeyRequest(w, r, key); err != nil {
		return *new(T), err
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.opts.CallTimeout)
	defer cancel()
	result, err := call(ctx, key)
	return result, timeoutFault(err, key)
}

// checkKeyCall validates the key or worker id of a path and refuses a body.
func checkKeyRequest(w http.ResponseWriter, r *http.Request, key string) error {
	if err := refuseBody(w, r); err != nil {
		return err
	}
	return checkKey(key)
}

// writeResult answers 200 with the result, or the error.
func writeResult[T any](s *Server, w http.ResponseWriter, result T, err error) {
	if err != nil {
		s.writeError(w, err)
		return
	}
	s.writeJSON(w, http.StatusOK, result)
}

// writeStatus answers 200 when the fate is final, else with pending.
func (s *Server) writeStatus(w http.ResponseWriter, pending int, status api.RequestStatus, err error) {
	switch {
	case err != nil:
		s.writeError(w, err)
	case status.Fate.Terminal():
		s.writeJSON(w, http.StatusOK, status)
	default:
		s.writeJSON(w, pending, status)
	}
}
