package httpapi

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"strings"

	"catkinvalve/internal/fault"
)

// readBody reads a JSON body within the limits of size and time. net/http clears the read
// deadline at the end of the body, so the deadline does not end a longer wait.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if err := checkContentType(r.Header); err != nil {
		return nil, err
	}
	if r.ContentLength > s.opts.BodyBytes {
		w.Header().Set("Connection", "close")
		return nil, s.bodyTooLarge()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.opts.BodyBytes))
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, s.bodyError(err)
	}
	return body, nil
}

func (s *Server) bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return s.bodyTooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
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
	w.Header().Set("Connection", "close")
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
