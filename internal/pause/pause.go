// Package pause provides a sleep that ends early when its context is cancelled.
package pause

import (
	"context"
	"time"
)

// For waits until d has passed or ctx is done. It returns true when d has passed, and
// false when ctx was done first. It does not wait when d is zero or negative, and then
// reports whether ctx is still active.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
