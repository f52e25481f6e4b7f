// Package workerclient implements the client of the platform's workers.
package workerclient

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standinapi"
)

const (
	remedyAcquire = "acquire the lease again, with a higher term if another daemon holds it"
	remedyRetry   = "repeat the same call; tasks and attempts that are known have no further effect"
)

// Dialer implements ports.WorkerDialer. All workers share one HTTP client.
type Dialer struct {
	http *jsonhttp.Client
}

var _ ports.WorkerDialer = (*Dialer)(nil)

// New returns a dialer that uses c.
func New(c *jsonhttp.Client) *Dialer { return &Dialer{http: c} }

// Worker implements ports.WorkerDialer.
func (d *Dialer) Worker(addr string) ports.Worker {
	return &Client{http: d.http, baseURL: "http://" + addr + "/v1/"}
}

// Client implements ports.Worker.
type Client struct {
	http    *jsonhttp.Client
	baseURL string
	// info caches the worker's description, which changes only with the boot ID.
	info atomic.Pointer[standinapi.WorkerInfo]
}

var _ ports.Worker = (*Client)(nil)

// Acquire implements ports.Worker. When another daemon holds the lease, it returns an error
// of kind lease_lost that wraps a *ports.LeaseHeldError.
func (c *Client) Acquire(ctx context.Context, lease ports.Lease, ttl, taskGrace time.Duration) (ports.Grant, error) {
	in := standinapi.LeaseRequest{
		Holder: lease.Holder, Term: lease.Term, TTLMS: ttl.Milliseconds(), TaskGraceMS: taskGrace.Milliseconds(),
	}
	var out standinapi.LeaseGrant
	if err := c.http.Do(ctx, http.MethodPost, c.baseURL+"lease", in, &out); err != nil {
		return ports.Grant{}, wrapAcquireError(err)
	}
	tasks, err := runningTasks(out.Tasks)
	if err != nil {
		return ports.Grant{}, wrapError(err, "read the inventory")
	}
	info, err := c.workerInfo(ctx, out.BootID)
	if err != nil {
		return ports.Grant{}, err
	}
	return ports.Grant{BootID: out.BootID, Capacity: info.Capacity, Rack: info.Rack, Tasks: tasks}, nil
}

// workerInfo returns the worker's description for a boot ID. It returns an error when the
// worker has another boot ID, because it was restarted after it granted the lease.
func (c *Client) workerInfo(ctx context.Context, bootID string) (*standinapi.WorkerInfo, error) {
	if info := c.info.Load(); info != nil && info.BootID == bootID {
		return info, nil
	}
	var info standinapi.WorkerInfo
	if err := c.http.Do(ctx, http.MethodGet, c.baseURL+"worker", nil, &info); err != nil {
		return nil, wrapError(err, "read the worker's capacity")
	}
	if info.BootID != bootID {
		return nil, wrapError(errors.New("the worker restarted after it granted the lease"), "read the worker's capacity")
	}
	c.info.Store(&info)
	return &info, nil
}

// runningTasks converts an inventory. It returns an error when a task ID is malformed.
func runningTasks(in []standinapi.TaskStatus) ([]model.RunningTask, error) {
	out := make([]model.RunningTask, len(in))
	for i, t := range in {
		id, err := standinapi.ParseTaskID(t.ID)
		if err != nil {
			return nil, err
		}
		out[i] = model.RunningTask{
			ID: id, Attempt: t.Attempt, Service: t.Service, Size: t.Size, State: t.State, OK: t.OK, Answer: t.Answer,
		}
	}
	return out, nil
}

// Release implements ports.Worker.
func (c *Client) Release(ctx context.Context, lease ports.Lease) error {
	in := standinapi.LeaseRequest{Holder: lease.Holder, Term: lease.Term}
	return wrapError(c.http.Do(ctx, http.MethodPost, c.baseURL+"lease/release", in, nil), "release the lease")
}

// Sync implements ports.Worker.
func (c *Client) Sync(ctx context.Context, lease ports.Lease, ttl time.Duration, ack int64, wait time.Duration) (ports.SyncResult, error) {
	in := standinapi.SyncRequest{
		Holder: lease.Holder, Term: lease.Term, TTLMS: ttl.Milliseconds(), Ack: ack, WaitMS: wait.Milliseconds(),
	}
	var out standinapi.SyncReply
	if err := c.http.Do(ctx, http.MethodPost, c.baseURL+"sync", in, &out); err != nil {
		return ports.SyncResult{}, wrapError(err, "renew the lease")
	}
	res := ports.SyncResult{BootID: out.BootID}
	for _, e := range out.Events {
		id, err := standinapi.ParseTaskID(e.ID)
		if err != nil {
			return ports.SyncResult{}, wrapError(err, "read the events")
		}
		res.Events = append(res.Events, ports.TaskEvent{
			Seq: e.Seq, ID: id, Attempt: e.Attempt, State: e.State, OK: e.OK, Answer: e.Answer,
		})
	}
	for _, u := range out.Usage {
		id, err := standinapi.ParseTaskID(u.ID)
		if err != nil {
			return ports.SyncResult{}, wrapError(err, "read the usage")
		}
		res.Usage = append(res.Usage, model.Usage{ID: id, Size: u.Size})
	}
	return res, nil
}

// Start implements ports.Worker.
func (c *Client) Start(ctx context.Context, lease ports.Lease, tasks []ports.StartTask) ([]ports.StartRefusal, error) {
	in := standinapi.StartRequest{Holder: lease.Holder, Term: lease.Term, Tasks: make([]standinapi.StartTask, len(tasks))}
	for i, t := range tasks {
		in.Tasks[i] = standinapi.StartTask{
			ID: t.ID.String(), Attempt: t.Attempt, Key: t.ID.Key, Service: t.Service, Size: t.Size,
			RunMS: ceilMS(t.RunTime), StartWithinMS: ceilMS(t.StartWithin), Payload: t.Payload,
		}
	}
	var out standinapi.StartReply
	if err := c.http.Do(ctx, http.MethodPost, c.baseURL+"tasks", in, &out); err != nil {
		return nil, wrapError(err, "start tasks")
	}
	var refused []ports.StartRefusal
	for _, r := range out.Refused {
		id, err := standinapi.ParseTaskID(r.ID)
		if err != nil {
			return nil, wrapError(err, "read the refusals")
		}
		refused = append(refused, ports.StartRefusal{ID: id, Reason: r.Reason})
	}
	return refused, nil
}

// ceilMS converts a duration to milliseconds. It rounds up, because 0 has another meaning
// than a short time.
func ceilMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

// Stop implements ports.Worker.
func (c *Client) Stop(ctx context.Context, lease ports.Lease, tasks []ports.StopTask) error {
	in := standinapi.StopRequest{Holder: lease.Holder, Term: lease.Term, Tasks: make([]standinapi.StopTask, len(tasks))}
	for i, t := range tasks {
		in.Tasks[i] = standinapi.StopTask{ID: t.ID.String(), Attempt: t.Attempt, Mode: t.Mode}
	}
	return wrapError(c.http.Do(ctx, http.MethodPost, c.baseURL+"tasks/stop", in, nil), "stop tasks")
}

// wrapAcquireError is wrapError for Acquire. The body of a response with status 409 contains
// the current holder of the lease.
func wrapAcquireError(err error) error {
	var status *jsonhttp.StatusError
	if errors.As(err, &status) && status.Code == http.StatusConflict {
		var held standinapi.LeaseHeldReply
		if e := json.Unmarshal(status.Body, &held); e != nil {
			return wrapError(e, "read the refusal of the lease")
		}
		cause := &ports.LeaseHeldError{
			Lease:     ports.Lease{Holder: held.Holder, Term: held.Term},
			Remaining: time.Duration(held.RemainingMS) * time.Millisecond,
		}
		return fault.Wrap(cause, fault.LeaseLost, remedyAcquire, "acquire the lease failed")
	}
	return wrapError(err, "acquire the lease")
}

// wrapError returns an error of kind lease_lost for a response with status 409, an error of
// kind worker_unavailable for any other err, and nil when err is nil.
func wrapError(err error, action string) error {
	switch {
	case err == nil:
		return nil
	case jsonhttp.StatusOf(err) == http.StatusConflict:
		return fault.Wrap(err, fault.LeaseLost, remedyAcquire, "%s failed", action)
	default:
		return fault.Wrap(err, fault.WorkerUnavailable, remedyRetry, "%s failed", action)
	}
}
