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

// Unreachable is the kind of a client's error when no server gave an answer.
const Unreachable fault.Kind = "unreachable"

// Timeouts and limits of the client.
const (
	DialTimeout      = 2 * time.Second
	AttemptTimeout   = 10 * time.Second // of one call to one server, on top of the requested wait
	maxResponseBytes = 64 << 20         // 64 MiB
)

// Client calls the HTTP API. It tries its servers in order. It goes on to the
// next one when a connection fails, and after a lost answer only if repeating
// the call has no second effect.
type Client struct {
	servers []string
	http    *http.Client
}

// NewClient returns a client of the given base URLs, such as
// "http://10.1.2.3:7180".
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
	// Go's transport repeats some calls on its own when a kept connection
	// breaks. Without kept connections only this client decides on repeats.
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	// A redirect would send a call twice.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{servers: baseURLs, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}, nil
}

// Submit sends a request and waits up to its wait_ms. The key makes a repeat safe.
func (c *Client) Submit(ctx context.Context, req SubmitRequest) (RequestStatus, error) {
	return do[RequestStatus](ctx, c, call{method: http.MethodPost, path: "/v1/requests", body: req,
		repeatable: req.Key != "", wait: time.Duration(req.WaitMS) * time.Millisecond})
}

// Fate returns the state of a request.
func (c *Client) Fate(ctx context.Context, key string) (RequestStatus, error) {
	return do[RequestStatus](ctx, c, get("/v1/requests/"+url.PathEscape(key)))
}

// Cancel asks for a request to be cancelled. Cancelling twice has no second effect.
func (c *Client) Cancel(ctx context.Context, key string) (RequestStatus, error) {
	return do[RequestStatus](ctx, c, call{method: http.MethodPost, path: "/v1/requests/" + url.PathEscape(key) + "/cancel", repeatable: true})
}

// Explain returns why a request waits, runs or was refused.
func (c *Client) Explain(ctx context.Context, key string) (Explanation, error) {
	return do[Explanation](ctx, c, get("/v1/requests/"+url.PathEscape(key)+"/explain"))
}

// Status returns the status of the cell.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return do[Status](ctx, c, get("/v1/status"))
}

// Config returns the accepted text.
func (c *Client) Config(ctx context.Context) (ConfigDocument, error) {
	return do[ConfigDocument](ctx, c, get("/v1/config"))
}

// History returns the publications that the log still holds.
func (c *Client) History(ctx context.Context) (History, error) {
	return do[History](ctx, c, get("/v1/config/history"))
}

// Publish publishes a text. The publish_id makes a repeat safe.
func (c *Client) Publish(ctx context.Context, req PublishRequest) (PublishResult, error) {
	return do[PublishResult](ctx, c, call{method: http.MethodPost, path: "/v1/config", body: req, repeatable: req.PublishID != ""})
}

// Drain moves work off a worker. Draining twice has no second effect.
func (c *Client) Drain(ctx context.Context, worker string) (DrainResult, error) {
	return do[DrainResult](ctx, c, call{method: http.MethodPost, path: "/v1/workers/" + url.PathEscape(worker) + "/drain", repeatable: true})
}

// call is one API call.
type call struct {
	method, path string
	body         any
	// repeatable calls have no second effect when they are sent twice.
	repeatable bool
	wait       time.Duration
}

func get(path string) call { return call{method: http.MethodGet, path: path, repeatable: true} }

// lostAnswer is an attempt that may have taken effect without an answer.
type lostResponseError struct{ cause error }

func (e *lostResponseError) Error() string { return "answer lost: " + e.cause.Error() }
func (e *lostResponseError) Unwrap() error { return e.cause }

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

// tryNext reports whether another server may be tried after err.
func mayTryNext(err error, repeatable bool) bool {
	var lost *lostResponseError
	if errors.As(err, &lost) {
		return repeatable
	}
	switch fault.KindOf(err) {
	case Unreachable, fault.NotReady, fault.Draining:
		return true // the server did nothing
	}
	return false
}

// outcome returns the error of a call. After a lost answer a later refusal
// tells nothing about the earlier attempt, which may have taken effect.
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

func unlessLost(lastErr error, lost *lostResponseError) error {
	if l, ok := lastErr.(*lostResponseError); ok && l == lost {
		return nil
	}
	return lastErr
}

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
		return result, &lostResponseError{fmt.Errorf("%s sent no valid answer: %w", server, err)}
	}
	return result, nil
}

// refusal returns the error that the daemon sent. An answer in another form
// comes from something in between, which may have passed the call on.
func responseError(status int, data []byte) error {
	var e fault.Error
	if err := json.Unmarshal(data, &e); err != nil || e.Kind == "" {
		return &lostResponseError{fmt.Errorf("status %d without a description", status)}
	}
	e.Message = cmp.Or(e.Message, http.StatusText(status))
	return &e
}
