package tenant

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is the time over which unused rate adds up.
	burstTime = time.Second
	// minBurst is the number of jobs that add up at least. A tenant that sends a job now and then
	// sends a few at a time, by chance.
	minBurst = 5
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
		burst = max(minBurst, int(perSecond*burstTime.Seconds()))
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

// Allows reports what Take would return, without taking anything from the rate.
func (r *Rate) Allows(now time.Time) bool {
	if r.limiter.Burst() < 1 {
		return false
	}
	missing := 1 - r.limiter.TokensAt(now)
	// The limiter lets a job pass that it would delay by less than a nanosecond.
	return missing <= 0 || missing/float64(r.limiter.Limit())*float64(time.Second) < 1
}

// RetryAfter returns when the client of a job that is refused at now may come back. The refused
// clients of a tenant come back one after the other, at the tenant's rate.
func (r *Rate) RetryAfter(now time.Time) time.Duration {
	next := r.next(now)
	if next.IsZero() {
		return maxRetryAfter
	}
	r.nextReturn = next
	return next.Sub(now)
}

// NextRetryAfter reports what RetryAfter would return, without counting a client.
func (r *Rate) NextRetryAfter(now time.Time) time.Duration {
	if next := r.next(now); !next.IsZero() {
		return next.Sub(now)
	}
	return maxRetryAfter
}

// next returns when the next refused client may come back; zero if the tenant has no rate.
func (r *Rate) next(now time.Time) time.Time {
	perSecond := float64(r.limiter.Limit())
	if perSecond <= 0 {
		return time.Time{}
	}
	next := r.nextReturn.Add(time.Duration(float64(time.Second) / perSecond))
	if first := now.Add(minRetryAfter); next.Before(first) {
		next = first
	}
	if last := now.Add(maxRetryAfter); next.After(last) {
		next = last
	}
	return next
}
