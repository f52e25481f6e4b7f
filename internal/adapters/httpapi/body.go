package httpapi

import (
	"errors"
	"mime"
	"net/http"
	"strings"
	"time"

	"catkinvalve/internal/adapters/intakehttp"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/intake"
)

// decodeBody reads a JSON body within the limits of size, time and memory, and passes it to decode.
// The memory of the body remains reserved until the end of the call, for what was decoded.
func (s *Server) decodeBody(w http.ResponseWriter, r *http.Request, decode func([]byte) error) error {
	if err := checkContentType(r.Header); err != nil {
		intakehttp.DiscardBody(w, r)
		return err
	}
	body, err := intakehttp.ReadBody(w, r, s.opts.BodyBytes, time.Now().Add(s.opts.BodyTimeout))
	if err != nil {
		return s.bodyError(w, err)
	}
	body.Decode(func(data []byte) int64 {
		err = decode(data)
		return int64(len(data))
	})
	return err
}

// bodyError returns the error of a call whose body was not read to its end.
func (s *Server) bodyError(w http.ResponseWriter, err error) error {
	var tooLarge *http.MaxBytesError
	var refused *intake.RefusedError
	var late *intakehttp.TimeoutError
	switch {
	case errors.As(err, &tooLarge):
		return s.bodyTooLarge()
	case errors.As(err, &refused):
		setRetryAfter(w, refused.RetryAfter)
		return fault.Wrap(err, fault.Overloaded, "retry later or through another daemon; nothing was submitted",
			"the daemon has no memory for the body")
	case errors.As(err, &late):
		return fault.Wrap(err, fault.SlowBody, "send the body faster or in smaller requests; nothing was submitted",
			"the body did not arrive within %s", s.opts.BodyTimeout)
	default:
		return fault.Wrap(err, fault.Malformed, "send the whole body", "the body ended early or is not framed correctly")
	}
}

func (s *Server) bodyTooLarge() error {
	return fault.New(fault.TooLarge, "send a smaller body; the limit is in the daemon's settings",
		"the body exceeds %d bytes", s.opts.BodyBytes)
}

// checkContentType returns an error unless the body is uncompressed application/json in
// UTF-8.
func checkContentType(header http.Header) error {
	value := header.Get("Content-Type")
	mediaType, params, err := mime.ParseMediaType(value)
	charset, hasCharset := params["charset"]
	encoding := header.Get("Content-Encoding")
	if err == nil && mediaType == "application/json" && (!hasCharset || strings.EqualFold(charset, "utf-8")) &&
		(encoding == "" || strings.EqualFold(encoding, "identity")) {
		return nil
	}
	return fault.New(fault.WrongContentType, "send Content-Type: application/json in UTF-8 without Content-Encoding",
		"content type %q with encoding %q is not supported", truncate(value), truncate(encoding))
}

// refuseBody returns an error when a call that takes no body has one.
func refuseBody(w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength == 0 {
		return nil
	}
	intakehttp.AbandonBody(w, r)
	return fault.New(fault.Malformed, "send the call without a body", "%s %s takes no body", r.Method, truncate(r.URL.Path))
}

// truncate shortens text from a caller to 80 bytes for error messages.
func truncate(text string) string {
	const limit = 80
	if len(text) > limit {
		return text[:limit] + "..."
	}
	return text
}
