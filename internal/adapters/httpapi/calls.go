package httpapi

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"catkinvalve/internal/api"
)

// readHandler returns the handler of a call without parameters.
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

// callWithKey makes a call whose only parameter is a key.
func callWithKey[T any](s *Server, w http.ResponseWriter, r *http.Request, key string, call func(context.Context, string) (T, error)) (T, error) {
	if err := checkKeyRequest(w, r, key); err != nil {
		return *new(T), err
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.opts.CallTimeout)
	defer cancel()
	result, err := call(ctx, key)
	return result, timeoutFault(err, key)
}

// checkKeyRequest validates the key or worker ID in the path and rejects a request with a
// body.
func checkKeyRequest(w http.ResponseWriter, r *http.Request, key string) error {
	if err := refuseBody(w, r); err != nil {
		return err
	}
	return checkKey(key)
}

// writeResult responds with status 200 and the result, or with err if it is not nil.
func writeResult[T any](s *Server, w http.ResponseWriter, result T, err error) {
	if err != nil {
		s.writeError(w, err)
		return
	}
	s.writeJSON(w, http.StatusOK, result)
}

// writeStatus responds with status 200 when the fate is final, with status pending when it
// is not, or with err if it is not nil.
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
