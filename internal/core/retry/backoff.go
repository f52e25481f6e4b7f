package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff is an exponential delay with full jitter.
type Backoff struct {
	// Base is the longest delay before the first retry; it doubles up to Max.
	Base, Max time.Duration
}

// Limit returns the longest delay before a retry; the first retry is number 1.
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

// Delay draws the delay before a retry, evenly between 0 and Limit.
func (b Backoff) Delay(retry int, random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(b.MaxDelay(retry)) + 1))
}
