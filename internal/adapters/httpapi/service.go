// Package httpapi serves the caller and administration API over HTTP. It validates all
// input and enforces size and time limits before it calls the daemon, and it encodes
// typed errors as JSON.
package httpapi

import (
	"context"
	"time"

	"catkinvalve/internal/api"
)

// Service is the interface that the daemon implements. Its errors should be of type
// *fault.Error; the caller gets any other error as kind internal.
type Service interface {
	Submit(ctx context.Context, r api.SubmitRequest) (api.RequestStatus, error)
	// Fate returns the state of a request. It waits up to wait for the final fate.
	Fate(ctx context.Context, key string, wait time.Duration) (api.RequestStatus, error)
	Cancel(ctx context.Context, key string) (api.RequestStatus, error)
	Explain(ctx context.Context, key string) (api.Explanation, error)
	Status(ctx context.Context) (api.Status, error)
	Config(ctx context.Context) (api.ConfigDocument, error)
	Publish(ctx context.Context, p api.PublishRequest) (api.PublishResult, error)
	History(ctx context.Context) (api.History, error)
	Drain(ctx context.Context, worker string) (api.DrainResult, error)
	// Ready returns nil when the daemon can serve calls.
	Ready() error
	// Healthy returns an error when the daemon should be restarted.
	Healthy() error
}
