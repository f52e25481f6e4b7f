// Package httpapi serves the caller and administration API over HTTP. It
// checks and bounds all input before it calls the daemon, and turns typed
// errors into JSON answers.
package httpapi

import (
	"context"
	"time"

	"catkinvalve/internal/api"
)

// Service is what the daemon implements for this package. Errors should be
// *fault.Error; any other error is answered as kind internal.
type Service interface {
	Submit(ctx context.Context, r api.SubmitRequest) (api.RequestStatus, error)
	// Fate waits up to wait for a final fate.
	Fate(ctx context.Context, key string, wait time.Duration) (api.RequestStatus, error)
	Cancel(ctx context.Context, key string) (api.RequestStatus, error)
	Explain(ctx context.Context, key string) (api.Explanation, error)
	Status(ctx context.Context) (api.Status, error)
	Config(ctx context.Context) (api.ConfigDocument, error)
	Publish(ctx context.Context, p api.PublishRequest) (api.PublishResult, error)
	History(ctx context.Context) (api.History, error)
	Drain(ctx context.Context, worker string) (api.DrainResult, error)
	// Ready returns nil when the daemon should receive calls.
	Ready() error
	// Healthy returns nil when the daemon need not be restarted.
	Healthy() error
}
