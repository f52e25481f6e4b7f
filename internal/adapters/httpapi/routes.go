package httpapi

import (
	"bytes"
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"catkinvalve/internal/api"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/telemetry"
)

// routes returns the handler of all routes. Paths must match exactly; the server does not
// send redirects.
func (s *Server) routes() http.Handler {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleMethodNotAllowed = false
	router.HandleOPTIONS = false
	add := func(method, path, route string, h httprouter.Handle) {
		router.Handle(method, path, s.wrapHandler(route, h))
	}
	add(http.MethodPost, "/v1/requests", "submit", s.submit)
	add(http.MethodGet, "/v1/requests/:key", "fate", s.fate)
	add(http.MethodPost, "/v1/requests/:key/cancel", "cancel", s.cancel)
	add(http.MethodGet, "/v1/requests/:key/explain", "explain", s.explain)
	add(http.MethodGet, "/v1/status", "status", readHandler(s, s.service.Status))
	add(http.MethodGet, "/v1/config", "config", readHandler(s, s.service.Config))
	add(http.MethodPost, "/v1/config", "publish", s.publish)
	add(http.MethodGet, "/v1/config/history", "history", readHandler(s, s.service.History))
	add(http.MethodPost, "/v1/workers/:id/drain", "drain", s.drain)
	add(http.MethodGet, "/healthz", "healthz", s.probe(s.service.Healthy))
	add(http.MethodGet, "/readyz", "readyz", s.probe(s.service.Ready))
	add(http.MethodGet, "/metrics", "metrics", s.metrics)
	unknown := s.wrapHandler("unknown", s.unknownRoute)
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { unknown(w, r, nil) })
	return router
}

func (s *Server) unknownRoute(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	s.writeError(w, fault.New(fault.NotFound, "see the API documentation for paths and methods",
		"no route for %s %s", r.Method, truncate(r.URL.Path)))
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	status, err := s.doSubmit(w, r)
	s.writeStatus(w, http.StatusAccepted, status, err)
}

func (s *Server) doSubmit(w http.ResponseWriter, r *http.Request) (api.RequestStatus, error) {
	var request api.SubmitRequest
	err := s.decodeBody(w, r, func(body []byte) (err error) {
		request, err = decodeSubmit(body)
		return err
	})
	if err != nil {
		return api.RequestStatus{}, err
	}
	ctx, wait, release, err := s.acquireWaitSlot(r.Context(), waitDuration(request.WaitMS))
	if err != nil {
		return api.RequestStatus{}, err
	}
	defer release()
	request.WaitMS = wait.Milliseconds()
	status, err := s.service.Submit(ctx, request)
	return status, timeoutFault(err, request.Key)
}

// decodeSubmit decodes and validates the body of a submit call.
func decodeSubmit(body []byte) (api.SubmitRequest, error) {
	var request api.SubmitRequest
	if err := decodeStrict(body, &request); err != nil {
		return api.SubmitRequest{}, err
	}
	return request, checkSubmit(&request)
}

func (s *Server) fate(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	status, err := s.doFate(w, r, params.ByName("key"))
	s.writeStatus(w, http.StatusOK, status, err)
}

func (s *Server) doFate(w http.ResponseWriter, r *http.Request, key string) (api.RequestStatus, error) {
	wait, err := queryWait(r.URL.RawQuery)
	if err == nil {
		err = checkKeyRequest(w, r, key)
	}
	if err != nil {
		return api.RequestStatus{}, err
	}
	ctx, wait, release, err := s.acquireWaitSlot(r.Context(), wait)
	if err != nil {
		return api.RequestStatus{}, err
	}
	defer release()
	status, err := s.service.Fate(ctx, key, wait)
	return status, timeoutFault(err, key)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	status, err := callWithKey(s, w, r, params.ByName("key"), s.service.Cancel)
	s.writeStatus(w, http.StatusAccepted, status, err)
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	explanation, err := callWithKey(s, w, r, params.ByName("key"), s.service.Explain)
	writeResult(s, w, explanation, err)
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	result, err := s.doPublish(w, r)
	writeResult(s, w, result, err)
}

func (s *Server) doPublish(w http.ResponseWriter, r *http.Request) (api.PublishResult, error) {
	var publication api.PublishRequest
	if err := s.decodeBody(w, r, func(body []byte) error { return decodeStrict(body, &publication) }); err != nil {
		return api.PublishResult{}, err
	}
	if err := checkPublish(&publication); err != nil {
		return api.PublishResult{}, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.opts.CallTimeout)
	defer cancel()
	result, err := s.service.Publish(ctx, publication)
	if err == nil && !result.Accepted {
		err = fault.New(fault.PublishConflict, "edit the text of that revision and publish it with a new publish_id",
			"publication %s lost to revision %d", publication.PublishID, result.Revision)
	}
	return result, timeoutFault(err, "")
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	result, err := s.doDrain(w, r, params.ByName("id"))
	writeResult(s, w, result, err)
}

func (s *Server) doDrain(w http.ResponseWriter, r *http.Request, worker string) (api.DrainResult, error) {
	if err := checkKeyRequest(w, r, worker); err != nil {
		return api.DrainResult{}, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.opts.CallTimeout)
	defer cancel()
	result, err := s.service.Drain(ctx, worker)
	return result, timeoutFault(err, "")
}

// probe returns the handler of a check. It responds with status 200 when check returns nil,
// and with status 503 and the error otherwise.
func (s *Server) probe(check func() error) httprouter.Handle {
	return func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if err := check(); err != nil {
			s.writeJSON(w, http.StatusServiceUnavailable, fault.From(err))
			return
		}
		s.respond(w, func() answer { return answer{http.StatusOK, []byte("{\"status\":\"ok\"}\n")} })
	}
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.respond(w, func() answer {
		var buf bytes.Buffer
		if err := telemetry.WriteJSON(&buf, s.opts.Registry); err != nil {
			e := fault.From(err)
			s.log.WithError(err).Error("cannot encode the metrics")
			return answer{e.HTTPStatus(), errorBody(e)}
		}
		return answer{http.StatusOK, buf.Bytes()}
	})
}
