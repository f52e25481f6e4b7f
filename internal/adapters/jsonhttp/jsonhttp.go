// Package jsonhttp implements the HTTP client that the adapters of the platform's services
// share.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/standinapi"
)

const (
	defaultTimeout       = 30 * time.Second
	defaultDialTimeout   = 2 * time.Second
	defaultConnsPerHost  = 16
	defaultMaxReplyBytes = 32 << 20
	// defaultIdleConnsPerHost is enough for a long poll and one concurrent call. A daemon
	// keeps these connections to each of several hundred workers within its memory limit.
	defaultIdleConnsPerHost = 2
	// idleTimeout is longer than any sync interval, so that syncs reuse connections.
	idleTimeout = 90 * time.Second
	// bufferBytes is enough for a typical sync in one read or write. It is small because a
	// client keeps many connections.
	bufferBytes       = 2 << 10
	maxHeaderBytes    = 16 << 10
	maxErrorBodyBytes = 64 << 10
)

// Options configure a Client. Zero fields take defaults.
type Options struct {
	// Daemon is the ID of the daemon, which is sent in standinapi.DaemonHeader. Without it
	// the header is not sent.
	Daemon string
	// LocalAddr is the local IP address of connections; if it is empty, the system selects
	// one.
	LocalAddr string
	// Timeout limits calls whose context has no deadline.
	Timeout      time.Duration
	DialTimeout  time.Duration
	ConnsPerHost int
	// IdleConnsPerHost is the maximum number of idle connections that are kept per host.
	IdleConnsPerHost int
	// MaxIdleTotal is the maximum number of idle connections that are kept to all hosts
	// together; 0 means no limit.
	MaxIdleTotal int
	// MaxReplyBytes is the maximum size of the body of a 2xx response.
	MaxReplyBytes int64
}

// Client sends HTTP requests over one transport, which keeps connections for reuse.
type Client struct {
	http      *http.Client
	transport *http.Transport
	// dialer opens the connections of Dial. It has no limit per host: the transport would count
	// their ends against the limit, but not their beginnings.
	dialer        *http.Transport
	daemon        string
	timeout       time.Duration
	maxReplyBytes int64
}

// StatusError is a response with a status other than 2xx. Body is limited to 64 KiB.
type StatusError struct {
	Code int
	Body []byte
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	var f fault.Error
	if json.Unmarshal(e.Body, &f) == nil && f.Message != "" {
		return fmt.Sprintf("status %d: %s", e.Code, f.Message)
	}
	return fmt.Sprintf("status %d", e.Code)
}

// StatusOf returns the HTTP status of a *StatusError in err, or 0 when err contains none.
func StatusOf(err error) int {
	var e *StatusError
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// NotSent reports whether err means that connecting failed, so that no byte of the request
// was sent.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// New returns a client. It returns an error when LocalAddr is not an IP address.
func New(o Options) (*Client, error) {
	dialer := &net.Dialer{Timeout: orDefault(o.DialTimeout, defaultDialTimeout)}
	if o.LocalAddr != "" {
		ip := net.ParseIP(o.LocalAddr)
		if ip == nil {
			return nil, fault.New(fault.Malformed, "use an IP address as local address", "%q is not an IP address", o.LocalAddr)
		}
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	t := &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxConnsPerHost:        orDefault(o.ConnsPerHost, defaultConnsPerHost),
		MaxIdleConnsPerHost:    orDefault(o.IdleConnsPerHost, defaultIdleConnsPerHost),
		MaxIdleConns:           o.MaxIdleTotal,
		IdleConnTimeout:        idleTimeout,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	unlimited := t.Clone()
	unlimited.MaxConnsPerHost = 0
	return &Client{
		http: &http.Client{Transport: t}, transport: t, dialer: unlimited, daemon: o.Daemon,
		timeout:       orDefault(o.Timeout, defaultTimeout),
		maxReplyBytes: orDefault(o.MaxReplyBytes, defaultMaxReplyBytes),
	}, nil
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Request is an HTTP request.
type Request struct {
	Method string
	URL    string
	// ContentType is sent only if Body is not nil.
	ContentType string
	Body        []byte
	Header      http.Header
	// Host, if set, is sent as the Host header instead of the host of URL.
	Host string
	// HeaderTimeout, if not 0, limits the time until the header of the response arrives. The
	// transfer of the body is limited by the context only.
	HeaderTimeout time.Duration
}

// Reply is the status and body of an HTTP response.
type Reply struct {
	Status int
	Body   []byte
}

// Do sends in as JSON and decodes the body of a 2xx response into out; either may be nil. It
// returns a *StatusError for any other status.
func (c *Client) Do(ctx context.Context, method, url string, in, out any) error {
	r := Request{Method: method, URL: url}
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		r.Body, r.ContentType = data, "application/json"
	}
	reply, err := c.Send(ctx, r)
	if err != nil {
		return err
	}
	if reply.Status < 200 || reply.Status > 299 {
		return &StatusError{Code: reply.Status, Body: reply.Body}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(reply.Body, out)
}

// Send sends a request and returns the response, whatever its status is.
func (c *Client) Send(ctx context.Context, r Request) (Reply, error) {
	return c.exchange(ctx, &r, c.http.Do)
}

// exchange sends a request with do and reads the response.
func (c *Client) exchange(ctx context.Context, r *Request, do func(*http.Request) (*http.Response, error)) (Reply, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	stopTimer := func() bool { return true }
	if r.HeaderTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		stopTimer = time.AfterFunc(r.HeaderTimeout, cancel).Stop
	}
	req, err := c.newRequest(ctx, r)
	if err != nil {
		return Reply{}, err
	}
	resp, err := do(req)
	stopTimer()
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	return c.readBody(resp)
}

// newRequest returns the HTTP request for r.
func (c *Client) newRequest(ctx context.Context, r *Request) (*http.Request, error) {
	var body io.Reader
	if r.Body != nil {
		body = bytes.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, body)
	if err != nil {
		return nil, err
	}
	req.Host = r.Host
	for name, values := range r.Header {
		req.Header[name] = values
	}
	if r.Body != nil {
		req.Header.Set("Content-Type", r.ContentType)
	}
	req.Header.Set("User-Agent", "") // An empty value suppresses the header, which makes each sync smaller.
	if c.daemon != "" {
		req.Header.Set(standinapi.DaemonHeader, c.daemon)
	}
	return req, nil
}

// readBody reads the whole body, because the connection is reused only then. A 2xx response
// that exceeds maxReplyBytes is an error; the body of any other response is truncated to
// maxErrorBodyBytes.
func (c *Client) readBody(resp *http.Response) (Reply, error) {
	failed := resp.StatusCode < 200 || resp.StatusCode > 299
	limit := c.maxReplyBytes
	if failed {
		limit = maxErrorBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return Reply{}, err
	}
	if int64(len(body)) > limit {
		if !failed {
			return Reply{}, fmt.Errorf("response exceeds %d bytes", limit)
		}
		body = body[:limit]
	}
	return Reply{Status: resp.StatusCode, Body: body}, nil
}
