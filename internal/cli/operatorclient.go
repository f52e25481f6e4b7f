package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"catkinvalve/internal/api"
	"catkinvalve/internal/fault"
)

const (
	// operatorTimeout limits one request to the metrics listener of a daemon.
	operatorTimeout = 5 * time.Second
	// maxReportBytes limits the body of a response.
	maxReportBytes = 64 << 20
)

// addressFlagHelp describes the flag --address.
const addressFlagHelp = "metrics listener of any daemon on the users' platform, as HOST:PORT (port 9464)"

// operatorRequest is a request to the metrics listener of a daemon.
type operatorRequest struct {
	method  string
	address string
	// path may have a query.
	path   string
	header http.Header
	body   io.Reader
}

// operatorCall makes a request and decodes the JSON document in the response into result.
func operatorCall(ctx context.Context, req operatorRequest, result any) error {
	if _, _, err := net.SplitHostPort(req.address); err != nil {
		return usageError("--address %q is not HOST:PORT", req.address)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, req.method, "http://"+req.address+req.path, req.body)
	if err != nil {
		return usageError("--address %q: %v", req.address, err)
	}
	for name, values := range req.header {
		r.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return daemonError{fault.Wrap(err, api.Unreachable, "check --address, or use that of another daemon", "no answer from %s", req.address)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return daemonError{fault.Wrap(err, api.Unreachable, "repeat the command", "the answer from %s is incomplete", req.address)}
	}
	if resp.StatusCode != http.StatusOK {
		return daemonError{responseError(resp, data)}
	}
	if err := json.Unmarshal(data, result); err != nil {
		return daemonError{fault.Wrap(err, fault.NotFound, "check that --address is the metrics listener (port 9464) of a daemon of this version", "the answer from %s is not a report", req.address)}
	}
	return nil
}

// responseError returns the error that a response with a status other than 200 stands for.
func responseError(resp *http.Response, body []byte) error {
	var failure struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal(body, &failure) != nil {
		failure.Reason = string(body)
	}
	reason := cmp.Or(strings.TrimSpace(failure.Reason), http.StatusText(resp.StatusCode))
	retryAfter := resp.Header.Get("Retry-After")
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return fault.New(fault.NotReady, "repeat the command in "+cmp.Or(retryAfter, "1")+" s", "the daemon cannot answer now: %s", reason)
	case resp.StatusCode == http.StatusUnauthorized:
		return fault.New(fault.Malformed, "check --key-file", "no tenant has this key")
	case resp.StatusCode == http.StatusNotFound:
		return fault.New(fault.NotFound, "check host and path against the routes of the configuration", "no route: %s", reason)
	}
	return fault.New(fault.Malformed, "correct the request", "status %d: %s", resp.StatusCode, reason)
}
