package api

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"catkinvalve/internal/fault"
)

// Unreachable is the kind of the client's error when no server responded. Daemons never
// return it.
const Unreachable fault.Kind = "unreachable"

// Timeouts and limits of the client.
const (
	DialTimeout      = 2 * time.Second
	AttemptTimeout   = 10 * time.Second // of one call to one server, not counting the requested wait
	maxResponseBytes = 64 << 20         // 64 MiB
)

// Client calls the HTTP API. It tries its servers in order. It tries the next one when a
// server did not execute the call, because the connection failed or the daemon was not
// ready. When the response was lost, it tries the next one only if the call is idempotent.
type Client struct {
	servers []string
	http    *http.Client
}

// NewClient returns a client that calls the servers with the given base URLs, such as
// "http://10.1.2.3:7180". It returns an error of kind usage when there is none or one is
// invalid.
func NewClient(servers []string) (*Client, error) {
	if len(servers) == 0 {
		return nil, fault.New(fault.Usage, "give at least one server URL", "there is no server")
	}
	var baseURLs []string
	for _, s := range servers {
		baseURLs = append(baseURLs, strings.TrimRight(s, "/"))
		u, err := url.Parse(s)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, fault.New(fault.Usage, "use the form http://10.1.2.3:7180", "%q is not a server URL", s)
		}
	}
	dialer := &net.Dialer{Timeout: DialTimeout}
	// Go's transport retries some calls when a reused connection breaks. Without
	// connection reuse, only this client decides on retries.
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	// Following a redirect would send the call twice.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{servers: baseURLs, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}, nil
}

// Submit submits a request and waits up to req.WaitMS for its final fate. It is idempotent
// if req has a key.
func (c *Client) Submit(ctx context.Context, req SubmitRequest) (RequestStatus, error) {
	return do[RequestStatus](ctx, c, call{method: http.MethodPost, path: "/v1/requests", body: req,
		repeatable: req.Key != "", wait: time.Duration(req.WaitMS) * time.Millisecond})
}

// Fate returns the state of a request.
func (c *Client) Fate(ctx context.Context, key string) (RequestStatus, error) {
	return do[RequestStatus](ctx, c, get("/v1/requests/"+url.PathEscape(key)))
}

// Cancel requests the cancellation of a request. It is idempotent.
func (c *Client) Cancel(ctx context.Context, key string) (RequestStatus, error) {
	return do[RequestStatus](ctx, c, call{method: http.MethodPost, path: "/v1/requests/" + url.PathEscape(key) + "/cancel", repeatable: true})
}

// Explain returns why a request is waiting, is running or was refused.
func (c *Client) Explain(ctx context.Context, key string) (Explanation, error) {
	return do[Explanation](ctx, c, get("/v1/requests/"+url.PathEscape(key)+"/explain"))
}

// Status returns the status of the cell.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return do[Status](ctx, c, get("/v1/status"))
}

// Config returns the newest accepted configuration and its revision.
func (c *Client) Config(ctx context.Context) (ConfigDocument, error) {
	return do[ConfigDocument](ctx, c, get("/v1/config"))
}

// History returns the publications that the log has not deleted yet.
func (c *Client) History(ctx context.Context) (History, error) {
	return do[History](ctx, c, get("/v1/config/history"))
}

// Publish publishes a configuration. It is idempotent if req has a publish ID.
func (c *Client) Publish(ctx context.Context, req PublishRequest) (PublishResult, error) {
	return do[PublishResult](ctx, c, call{method: http.MethodPost, path: "/v1/config", body: req, repeatable: req.PublishID != ""})
}

// Drain starts draining a worker. It is idempotent.
func (c *Client) Drain(ctx context.Context, worker string) (DrainResult, error) {
	return do[DrainResult](ctx, c, call{method: http.MethodPost, path: "/v1/workers/" + url.PathEscape(worker) + "/drain", repeatable: true})
}

// call is one API call.
type call struct {
	method, path string
	body         any
	// repeatable is true for idempotent calls, which may be sent twice.
	repeatable bool
	wait       time.Duration
}

func get(path string) call { return call{method: http.MethodGet, path: path, repeatable: true} }

// lostResponseError is the error of an attempt without a valid response, which may have been
// executed.
type lostResponseError struct{ cause error }

func (e *lostResponseError) Error() string { return "response lost: " + e.cause.Error() }
func (e *lostResponseError) Unwrap() error { return e.cause }

// do makes a call and decodes its response. It retries the call with other servers as
// described at Client.
func do[T any](ctx context.Context, c *Client, cl call) (T, error) {
	var result T
	var body []byte
	if cl.body != nil {
		var err error
		if body, err = json.Marshal(cl.body); err != nil {
			return result, fault.Wrap(err, fault.Usage, "correct the request", "request cannot be encoded")
		}
	}
	var lost *lostResponseError
	var lastErr error
	for _, server := range c.servers {
		result, lastErr = sendOnce[T](ctx, c.http, server, cl, body)
		if lastErr == nil {
			return result, nil
		}
		errors.As(lastErr, &lost)
		if ctx.Err() != nil || !mayTryNext(lastErr, cl.repeatable) {
			break
		}
	}
	return result, finalError(lastErr, lost, cl)
}

// mayTryNext reports whether the call may be sent to another server after err.
func mayTryNext(err error, repeatable bool) bool {
	var lost *lostResponseError
	if errors.As(err, &lost) {
		return repeatable
	}
	switch fault.KindOf(err) {
	case Unreachable, fault.NotReady, fault.Draining:
		return true // the server did not execute the call
	}
	return false
}

// finalError returns the error of a call after its last attempt. If a response was lost, a
// refusal by another server says nothing about the earlier attempt, which may have been
// executed. This does not matter for a GET, which has no effect.
func finalError(lastErr error, lost *lostResponseError, cl call) error {
	if lost == nil {
		return lastErr
	}
	if cl.method == http.MethodGet {
		if _, ok := lastErr.(*lostResponseError); !ok {
			return lastErr
		}
		return fault.Wrap(lastErr, Unreachable, "try again or name another server", "no server answered")
	}
	return fault.Wrap(errors.Join(lost, unlessLost(lastErr, lost)), fault.FateUnknownYet,
		"ask for the result, or repeat the call with the same key or publish_id",
		"%s %s may have taken effect", cl.method, cl.path)
}

// unlessLost returns lastErr, or nil if it is lost itself.
func unlessLost(lastErr error, lost *lostResponseError) error {
	if l, ok := lastErr.(*lostResponseError); ok && l == lost {
		return nil
	}
	return lastErr
}

// sendOnce sends a call to one server. Its errors are *lostResponseError or *fault.Error.
func sendOnce[T any](ctx context.Context, client *http.Client, server string, cl call, body []byte) (T, error) {
	var result T
	ctx, cancel := context.WithTimeout(ctx, AttemptTimeout+cl.wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, cl.method, server+cl.path, bytes.NewReader(body))
	if err != nil {
		return result, fault.Wrap(err, fault.Usage, "correct the server URL", "request cannot be built")
	}
	if cl.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		if dial := (*net.OpError)(nil); errors.As(err, &dial) && dial.Op == "dial" {
			return result, fault.Wrap(err, Unreachable, "start the daemon or name another server", "%s did not accept a connection", server)
		}
		return result, &lostResponseError{err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return result, &lostResponseError{err}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return result, responseError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, &result); err != nil {
		return result, &lostResponseError{fmt.Errorf("%s sent an invalid response: %w", server, err)}
	}
	return result, nil
}

// responseError returns the error that the daemon sent. A response in another form comes
// from an intermediary such as a proxy, which may have forwarded the call.
func responseError(status int, data []byte) error {
	var e fault.Error
	if err := json.Unmarshal(data, &e); err != nil || e.Kind == "" {
		return &lostResponseError{fmt.Errorf("status %d without an error description", status)}
	}
	e.Message = cmp.Or(e.Message, http.StatusText(status))
	return &e
}
