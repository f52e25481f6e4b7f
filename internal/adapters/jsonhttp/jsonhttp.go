// Package jsonhttp is the HTTP client that the adapters to the platform's
// services share.
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
	// maxIdlePerHost covers one long poll and one call beside it. A daemon keeps
	// these connections to each of several hundred workers within its memory bound.
	defaultIdleConnsPerHost = 2
	// idleTimeout is longer than any sync period, so that syncs reuse connections.
	idleTimeout = 90 * time.Second
	// bufferBytes is enough for a usual sync in one read or write; many connections are kept.
	bufferBytes       = 2 << 10
	maxHeaderBytes    = 16 << 10
	maxErrorBodyBytes = 64 << 10
)

// Options configure a Client. Zero values select the defaults.
type Options struct {
	// Daemon is the ID sent in standinapi.DaemonHeader.
	Daemon string
	// LocalAddr is the source IP address of connections.
	LocalAddr string
	// Timeout bounds calls whose context has no deadline.
	Timeout      time.Duration
	DialTimeout  time.Duration
	ConnsPerHost int
	// IdleConnsPerHost is how many unused connections to a host are kept.
	IdleConnsPerHost int
	// MaxIdleTotal is how many are kept to all hosts together; 0 means no limit.
	MaxIdleTotal  int
	MaxReplyBytes int64
}

// Client sends JSON requests over one shared transport.
type Client struct {
	http          *http.Client
	transport     *http.Transport
	daemon        string
	timeout       time.Duration
	maxReplyBytes int64
}

// StatusError is an answer that is not 2xx.
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

// StatusOf returns the HTTP status of err, or 0 when there was no answer.
func StatusOf(err error) int {
	var e *StatusError
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// NotSent reports whether err is a failed dial, so that no byte of the request
// reached the server.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// New returns a client. Close releases its connections.
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
	return &Client{
		http: &http.Client{Transport: t}, transport: t, daemon: o.Daemon,
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

// Request is one HTTP request of Send.
type Request struct {
	Method string
	URL    string
	// ContentType is that of Body, if there is one.
	ContentType string
	Body        []byte
	Header      http.Header
	// Host replaces the host name of the URL in the request, if it is set.
	Host string
}

// Reply is an HTTP response with its whole body.
type Reply struct {
	Status int
	Body   []byte
}

// Do sends in as JSON, unless it is nil, and decodes a 2xx answer into out,
// unless it is nil. Another status is returned as a *StatusError.
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

// Send sends a request and returns the response of any status.
func (c *Client) Send(ctx context.Context, r Request) (Reply, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	var body io.Reader
	if r.Body != nil {
		body = bytes.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, body)
	if err != nil {
		return Reply{}, err
	}
	req.Host = r.Host
	for name, values := range r.Header {
		req.Header[name] = values
	}
	if r.Body != nil {
		req.Header.Set("Content-Type", r.ContentType)
	}
	req.Header.Set("User-Agent", "") // Not sent, which makes each sync smaller.
	if c.daemon != "" {
		req.Header.Set(standinapi.DaemonHeader, c.daemon)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	return c.readBody(resp)
}

// read reads the whole body, because only then is the connection kept alive.
// The body of an error is cut rather than refused.
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
			return Reply{}, fmt.Errorf("answer exceeds %d bytes", limit)
		}
		body = body[:limit]
	}
	return Reply{Status: resp.StatusCode, Body: body}, nil
}
