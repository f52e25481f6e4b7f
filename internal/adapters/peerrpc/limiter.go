package peerrpc

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// maxRegions bounds the limiters. There are 7 regions at the target scale;
	// region names in metadata come from peers. Further regions share a limiter.
	maxRegions  = 64
	otherRegion = "other"
)

// regionLimiter limits the bytes per second of payload calls for each remote
// region, because links between regions are shared and paid by volume.
type regionLimiter struct {
	localRegion string
	byteRate    int
	burst       int

	mu       sync.Mutex
	byRegion map[string]*rate.Limiter
}

// newRegionLimiter returns a limiter that admits a message of up to burst
// bytes at once. A rate of 0 means no limit.
func newRegionLimiter(localRegion string, bytesPerSecond, burst int) *regionLimiter {
	return &regionLimiter{localRegion: localRegion, byteRate: bytesPerSecond, burst: burst, byRegion: map[string]*rate.Limiter{}}
}

// wait blocks until n bytes may be sent to region. It returns an error at once
// when the deadline of ctx would pass first.
func (l *regionLimiter) wait(ctx context.Context, region string, n int) error {
	if l.byteRate <= 0 || region == l.localRegion {
		return nil
	}
	return l.limiter(region).WaitN(ctx, min(n, l.burst))
}

func (l *regionLimiter) limiter(region string) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if found, ok := l.byRegion[region]; ok {
		return found
	}
	if len(l.byRegion) >= maxRegions {
		region = otherRegion
	}
	found, ok := l.byRegion[region]
	if !ok {
		found = rate.NewLimiter(rate.Limit(l.byteRate), l.burst)
		l.byRegion[region] = found
	}
	return found
}
