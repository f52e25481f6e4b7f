// Package logclient implements the client of the platform's log.
package logclient

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standinapi"
)

// Client implements ports.Log.
type Client struct {
	http    *jsonhttp.Client
	baseURL string
}

var _ ports.Log = (*Client)(nil)

// New returns a client of the log at addr, which has the form IP:PORT.
func New(c *jsonhttp.Client, addr string) *Client {
	return &Client{http: c, baseURL: "http://" + addr + "/v1/streams/"}
}

// Append implements ports.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	var out standinapi.AppendReply
	in := standinapi.AppendRequest{Data: data}
	if err := c.http.Do(ctx, http.MethodPost, c.baseURL+url.PathEscape(stream), in, &out); err != nil {
		return 0, wrapError(err, "append to stream "+stream)
	}
	return out.Offset, nil
}

// Read implements ports.Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (ports.LogPage, error) {
	var out standinapi.ReadReply
	target := fmt.Sprintf("%s%s?from=%d&max=%d&wait_ms=%d", c.baseURL, url.PathEscape(stream), from, limit, wait.Milliseconds())
	if err := c.http.Do(ctx, http.MethodGet, target, nil, &out); err != nil {
		return ports.LogPage{}, wrapError(err, "read stream "+stream)
	}
	page := ports.LogPage{First: out.First, Next: out.Next, Records: make([]ports.LogRecord, len(out.Records))}
	for i, r := range out.Records {
		page.Records[i] = ports.LogRecord{Offset: r.Offset, Time: time.UnixMilli(r.TimeMS), Data: r.Data}
	}
	return page, nil
}

// wrapError returns an error of kind log_unavailable. The log responds with status 429 when
// it rejects an append because of the append rate; such an append was not executed.
func wrapError(err error, action string) error {
	remedy := "try again when the platform log is back; read the stream to learn whether an append took effect"
	if jsonhttp.StatusOf(err) == http.StatusTooManyRequests {
		remedy = "append less often; this append had no effect"
	}
	return fault.Wrap(err, fault.LogUnavailable, remedy, "%s failed", action)
}
