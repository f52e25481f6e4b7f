// Package pause delays goroutines that have to end with their context.
package pause

import (
	"context"
	"time"
)

// For waits for d or the end of ctx and reports whether ctx goes on. It does
// not wait when d is not positive.
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
