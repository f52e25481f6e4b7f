package httpapi

import (
	"context"
	"time"

	"catkinvalve/internal/fault"
)

// acquireWaitSlot limits wait to MaxWait and, if it is not 0, acquires one of the
// MaxWaitingCalls slots for waiting calls. It returns an error of kind overloaded when no
// slot is free. The returned context ends after the capped wait plus CallTimeout. The
// caller must call release, which cancels the context and frees the slot.
func (s *Server) acquireWaitSlot(ctx context.Context, wait time.Duration) (_ context.Context, capped time.Duration, release func(), err error) {
	capped = min(wait, s.opts.MaxWait)
	ctx, cancel := context.WithTimeout(ctx, capped+s.opts.CallTimeout)
	if capped == 0 {
		return ctx, 0, cancel, nil
	}
	select {
	case s.waitSlots <- struct{}{}:
	default:
		cancel()
		s.waitsRefused.Inc(1)
		return nil, 0, nil, fault.New(fault.Overloaded, "call without a wait or retry later; this call had no effect",
			"%d calls are waiting, the limit of this daemon", s.opts.MaxWaitingCalls)
	}
	return ctx, capped, func() { <-s.waitSlots; cancel() }, nil
}
