package peerrpc

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// maxRegions limits the number of limiters, because region names in metadata come
	// from peers. The target scale has 7 regions. Regions above the limit share a limiter.
	maxRegions  = 64
	otherRegion = "other"
)

// regionLimiter limits the bytes per second of payload calls separately for each remote
// region, because links between regions are shared and charged by volume.
type regionLimiter struct {
	localRegion string
	byteRate    int
	burst       int

	mu       sync.Mutex
	byRegion map[string]*rate.Limiter
}

// newRegionLimiter returns a limiter that permits bursts of up to burst bytes. With a rate
// of 0 there is no limit.
func newRegionLimiter(localRegion string, bytesPerSecond, burst int) *regionLimiter {
	return &regionLimiter{localRegion: localRegion, byteRate: bytesPerSecond, burst: burst, byRegion: map[string]*rate.Limiter{}}
}

// wait blocks until the rate permits n bytes to region. It returns an error immediately if
// that would be after the deadline of ctx. More than burst bytes count as burst bytes.
func (l *regionLimiter) wait(ctx context.Context, region string, n int) error {
	if l.byteRate <= 0 || region == l.localRegion {
		return nil
	}
	return l.limiter(region).WaitN(ctx, min(n, l.burst))
}

// limiter returns the limiter of a region, and the shared one for a region above
// maxRegions.
func (l *regionLimiter) limiter(region string) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lim, ok := l.byRegion[region]; ok {
		return lim
	}
	if len(l.byRegion) >= maxRegions {
		region = otherRegion
	}
	lim, ok := l.byRegion[region]
	if !ok {
		lim = rate.NewLimiter(rate.Limit(l.byteRate), l.burst)
		l.byRegion[region] = lim
	}
	return lim
}
