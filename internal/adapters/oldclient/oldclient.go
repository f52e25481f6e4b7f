// Package oldclient implements the client of the old system, the scheduler that catkinvalve
// replaces.
package oldclient

import (
	"context"
	"net/http"
	"net/url"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standinapi"
)

// Client implements ports.OldSystem.
type Client struct {
	http    *jsonhttp.Client
	baseURL string
}

var _ ports.OldSystem = (*Client)(nil)

// New returns a client of the old system at addr, which has the form IP:PORT.
func New(c *jsonhttp.Client, addr string) *Client {
	return &Client{http: c, baseURL: "http://" + addr + "/v1/"}
}

// Run implements ports.OldSystem. It returns when the request has ended.
func (c *Client) Run(ctx context.Context, key, service string, payload []byte) (ports.OldRequestState, error) {
	var out standinapi.RunReply
	in := standinapi.RunRequest{Key: key, Service: service, Payload: payload}
	if err := c.http.Do(ctx, http.MethodPost, c.baseURL+"run", in, &out); err != nil {
		return ports.OldRequestState{}, wrapError(err, "look the key up or submit it again; it runs once", "run key "+key)
	}
	return requestState(out), nil
}

// Lookup implements ports.OldSystem. It returns a zero state when the old system does not
// know the key.
func (c *Client) Lookup(ctx context.Context, key string) (ports.OldRequestState, error) {
	var out standinapi.RunReply
	err := c.http.Do(ctx, http.MethodGet, c.baseURL+"keys/"+url.PathEscape(key), nil, &out)
	if jsonhttp.StatusOf(err) == http.StatusNotFound {
		return ports.OldRequestState{}, nil
	}
	if err != nil {
		return ports.OldRequestState{}, wrapError(err, "try again when the old system is back", "look up key "+key)
	}
	return requestState(out), nil
}

// Reserve implements ports.OldSystem. It returns the configuration revision that the old
// system applies.
func (c *Client) Reserve(ctx context.Context, revision uint64, slots int64) (uint64, error) {
	var out standinapi.ReserveReply
	in := standinapi.ReserveRequest{Revision: revision, Slots: slots}
	if err := c.http.Do(ctx, http.MethodPut, c.baseURL+"reserve", in, &out); err != nil {
		return 0, wrapError(err, "keep the last acknowledged reserve and send this one again", "reserve slots")
	}
	return out.Revision, nil
}

func requestState(r standinapi.RunReply) ports.OldRequestState {
	return ports.OldRequestState{Known: true, Fate: r.State, OK: r.OK, Answer: r.Answer}
}

func wrapError(err error, remedy, action string) error {
	return fault.Wrap(err, fault.OldSystemUnavailable, remedy, "%s failed", action)
}
