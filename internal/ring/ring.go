// Package ring provides bounded queues between goroutines. A full queue either refuses a
// new element or blocks the producer; both cases are counted.
package ring

import (
	"context"

	"github.com/rcrowley/go-metrics"
)

// Ring is a bounded FIFO queue that is safe for concurrent use.
type Ring[T any] struct {
	ch      chan T
	refused metrics.Counter
	blocked metrics.Counter
}

// New returns a ring with capacity size. It registers counters of refused and blocked
// pushes as ring.<name>.refused and ring.<name>.blocked, and a gauge of the length as
// ring.<name>.len. Rings of the same name share the counters, and the gauge shows the
// first one.
func New[T any](name string, size int, registry metrics.Registry) *Ring[T] {
	r := &Ring[T]{
		ch:      make(chan T, size),
		refused: metrics.GetOrRegisterCounter("ring."+name+".refused", registry),
		blocked: metrics.GetOrRegisterCounter("ring."+name+".blocked", registry),
	}
	registry.GetOrRegister("ring."+name+".len", metrics.NewFunctionalGauge(func() int64 { return int64(len(r.ch)) }))
	return r
}

// TryPush adds v without waiting. It returns false and counts v as refused when the ring
// is full.
func (r *Ring[T]) TryPush(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.refused.Inc(1)
		return false
	}
}

// Push adds v and waits while the ring is full. When ctx ends first it returns the
// context's error without adding v.
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

// C returns the channel from which consumers receive the elements. It is never closed.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the number of queued elements.
func (r *Ring[T]) Len() int { return len(r.ch) }

// DrainInto removes up to limit queued elements without waiting and returns buf with
// them appended.
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
