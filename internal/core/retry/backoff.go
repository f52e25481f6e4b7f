package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff computes exponential retry delays with full jitter.
type Backoff struct {
	// Base is the maximum delay before the first retry. The maximum doubles with
	// each further retry, up to Max.
	Base, Max time.Duration
}

// MaxDelay returns the maximum delay before a retry. The first retry is number 1.
func (b Backoff) MaxDelay(retry int) time.Duration {
	delay := min(b.Base, b.Max)
	for ; retry > 1 && delay > 0 && delay < b.Max; retry-- {
		if delay > b.Max/2 {
			return b.Max
		}
		delay *= 2
	}
	return max(delay, 0)
}

// Delay returns a random delay before a retry, uniformly distributed between 0
// and MaxDelay.
func (b Backoff) Delay(retry int, random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(b.MaxDelay(retry)) + 1))
}
