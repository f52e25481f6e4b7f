// Package listclient implements the client of the platform's instance list.
package listclient

import (
	"context"
	"net/http"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standinapi"
)

// Client implements ports.InstanceList.
type Client struct {
	http *jsonhttp.Client
	url  string
}

var _ ports.InstanceList = (*Client)(nil)

// New returns a client of the instance list at addr, which has the form IP:PORT.
func New(c *jsonhttp.Client, addr string) *Client {
	return &Client{http: c, url: "http://" + addr + "/v1/instances"}
}

// Instances implements ports.InstanceList.
func (c *Client) Instances(ctx context.Context) ([]ports.Instance, error) {
	var out standinapi.InstancesReply
	if err := c.http.Do(ctx, http.MethodGet, c.url, nil, &out); err != nil {
		return nil, fault.Wrap(err, fault.ListUnavailable, "continue with the last list and ask again", "read instance list failed")
	}
	return out.Instances, nil
}
