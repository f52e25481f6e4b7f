package testbed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"catkinvalve/internal/api"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standinapi"
)

// Client returns an API client for the given daemons, or for all if none is given.
func (c *Cluster) Client(ids ...string) (*api.Client, error) {
	if len(ids) == 0 {
		ids = c.DaemonIDs
	}
	var servers []string
	for _, id := range ids {
		servers = append(servers, "http://"+c.Daemons[id].CallerAddr)
	}
	return api.NewClient(servers)
}

// Servers returns the base URLs for callers of all daemons.
func (c *Cluster) Servers() []string {
	var out []string
	for _, id := range c.DaemonIDs {
		out = append(out, "http://"+c.Daemons[id].CallerAddr)
	}
	return out
}

// Admin sends a request to an HTTP server of the cluster, such as a stand-in's admin
// port. It encodes in as JSON and decodes the response into out; nil omits either.
func (c *Cluster) Admin(ctx context.Context, method, addr, path string, in, out any) error {
	return c.adminClient.Do(ctx, method, "http://"+addr+path, in, out)
}

// Fault injects a fault through a stand-in's admin port or a daemon's fault port.
func (c *Cluster) Fault(ctx context.Context, addr string, fault any) error {
	return c.Admin(ctx, "POST", addr, "/admin/fault", fault, nil)
}

// SetInstance creates or replaces an entry of the instance list.
func (c *Cluster) SetInstance(ctx context.Context, i ports.Instance) error {
	return c.Admin(ctx, "PUT", c.List.Admin, "/admin/instances/"+i.ID, i, nil)
}

// RemoveInstance deletes an entry of the instance list.
func (c *Cluster) RemoveInstance(ctx context.Context, id string) error {
	return c.Admin(ctx, "DELETE", c.List.Admin, "/admin/instances/"+id, nil, nil)
}

// WorkerStats returns the counters of all workers of a data centre.
func (c *Cluster) WorkerStats(ctx context.Context, dc string) (standinapi.FleetStats, error) {
	var s standinapi.FleetStats
	err := c.Admin(ctx, "GET", c.Workers[dc].Admin, "/admin/stats", nil, &s)
	return s, err
}

// OldStats returns the counters of the old system.
func (c *Cluster) OldStats(ctx context.Context) (standinapi.OldStats, error) {
	var s standinapi.OldStats
	err := c.Admin(ctx, "GET", c.Old.Admin, "/admin/stats", nil, &s)
	return s, err
}

// LogStats returns the counters of the log.
func (c *Cluster) LogStats(ctx context.Context) (standinapi.LogStats, error) {
	var s standinapi.LogStats
	err := c.Admin(ctx, "GET", c.Log.Admin, "/admin/stats", nil, &s)
	return s, err
}

// Publish publishes a text on the current revision and repeats failed attempts for up to
// startTimeout.
func (c *Cluster) Publish(ctx context.Context, text string) (api.PublishResult, error) {
	cl, err := c.Client()
	if err != nil {
		return api.PublishResult{}, err
	}
	id := fmt.Sprintf("testbed-%d", time.Now().UnixNano())
	var res api.PublishResult
	var last error
	err = WaitFor(ctx, startTimeout, "publication", func() bool {
		doc, err := cl.Config(ctx)
		if err == nil {
			res, err = cl.Publish(ctx, api.PublishRequest{PublishID: id, Base: doc.Revision, Text: text, Author: "testbed"})
		}
		last = err
		return err == nil
	})
	if err != nil {
		return res, errors.Join(err, last)
	}
	return res, nil
}
