// Package lastseen records when something happened last, by the monotonic clock.
package lastseen

import (
	"sync/atomic"
	"time"
)

// origin is the origin of the times, which changes of the wall clock do not affect.
var origin = time.Now()

// Mark is the time of the last occurrence of something. It is safe for concurrent use. The
// zero value stands for the start of the process.
type Mark struct{ nanoseconds atomic.Int64 }

// Now records that it happens now.
func (m *Mark) Now() { m.nanoseconds.Store(int64(time.Since(origin))) }

// Age returns the time since the last call of Now.
func (m *Mark) Age() time.Duration { return time.Since(origin) - time.Duration(m.nanoseconds.Load()) }
