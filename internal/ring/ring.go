// Package ring joins goroutines by bounded queues. A full ring either refuses
// the new element or blocks the producer; both are counted.
package ring

import (
	"context"

	"github.com/rcrowley/go-metrics"
)

// Ring is a bounded first-in first-out queue that is safe for concurrent use.
type Ring[T any] struct {
	ch      chan T
	refused metrics.Counter
	blocked metrics.Counter
}

// New returns a ring for size elements. Its counters are registered as
// ring.<name>.refused and ring.<name>.blocked, its length as ring.<name>.len.
func New[T any](name string, size int, registry metrics.Registry) *Ring[T] {
	r := &Ring[T]{
		ch:      make(chan T, size),
		refused: metrics.GetOrRegisterCounter("ring."+name+".refused", registry),
		blocked: metrics.GetOrRegisterCounter("ring."+name+".blocked", registry),
	}
	registry.GetOrRegister("ring."+name+".len", metrics.NewFunctionalGauge(func() int64 { return int64(len(r.ch)) }))
	return r
}

// TryPush adds v and returns true, or returns false when the ring is full.
func (r *Ring[T]) TryPush(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.refused.Inc(1)
		return false
	}
}

// Push adds v and waits for room. It returns the context's error when ctx ends first.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	select {
	case r.ch <- v:
		return nil
	default:
	}
	r.blocked.Inc(1)
	select {
	case r.ch <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C returns the channel to receive from.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the number of queued elements.
func (r *Ring[T]) Len() int { return len(r.ch) }

// DrainInto appends up to limit queued elements to buf without waiting.
func (r *Ring[T]) DrainInto(buf []T, limit int) []T {
	for range limit {
		select {
		case v := <-r.ch:
			buf = append(buf, v)
		default:
			return buf
		}
	}
	return buf
}
