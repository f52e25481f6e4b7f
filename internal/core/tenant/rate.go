package tenant

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is the time over which unused rate adds up.
	burstTime = time.Second
	// minRetryAfter is the shortest time after which a refused client may come back: capacity
	// that is short does not become free at once.
	minRetryAfter = time.Second
	// maxRetryAfter limits the time after which a refused client may come back, however long
	// the tenant's backlog of refused jobs is.
	maxRetryAfter = 30 * time.Second
)

// Rate tells which jobs of a tenant exceed its rate, and when refused ones may come back. It
// answers the load of one tenant that sends many times its share.
type Rate struct {
	limiter *rate.Limiter
	// nextReturn is when the last refused client comes back.
	nextReturn time.Time
}

// NewRate returns the state of a tenant that has sent nothing yet, with a rate in jobs a second.
func NewRate(now time.Time, perSecond float64) *Rate {
	r := &Rate{limiter: rate.NewLimiter(0, 0)}
	r.Set(now, perSecond)
	return r
}

// Set changes the rate, in jobs a second. A rate that was 0 before starts full, since a new leader
// does not know what its predecessor has granted.
func (r *Rate) Set(now time.Time, perSecond float64) {
	limit, burst := rate.Limit(max(perSecond, 0)), 0
	if perSecond > 0 {
		burst = max(1, int(perSecond*burstTime.Seconds()))
	}
	if r.limiter.Burst() == 0 {
		r.limiter = rate.NewLimiter(limit, burst)
		return
	}
	r.limiter.SetLimitAt(now, limit)
	r.limiter.SetBurstAt(now, burst)
}

// Take reports whether a job that arrives at now is within the rate.
func (r *Rate) Take(now time.Time) bool { return r.limiter.AllowN(now, 1) }

// RetryAfter returns when the client of a job that is refused at now may come back. The refused
// clients of a tenant come back one after the other, at the tenant's rate.
func (r *Rate) RetryAfter(now time.Time) time.Duration {
	first := now.Add(minRetryAfter)
	perSecond := float64(r.limiter.Limit())
	if perSecond <= 0 {
		return maxRetryAfter
	}
	r.nextReturn = r.nextReturn.Add(time.Duration(float64(time.Second) / perSecond))
	if r.nextReturn.Before(first) {
		r.nextReturn = first
	}
	if last := now.Add(maxRetryAfter); r.nextReturn.After(last) {
		r.nextReturn = last
	}
	return r.nextReturn.Sub(now)
}
