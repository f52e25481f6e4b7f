package intakenet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"catkinvalve/internal/intake"
	"catkinvalve/internal/telemetry"
)

// logInterval is the least time between two log lines about the limits of one listener.
const logInterval = time.Second

// Report shows what a limiter does in metrics and in the log.
type Report struct {
	limiter *intake.Limiter
	log     *logrus.Entry
	// counters of what the limiter has done
	refusedRequests, refusedConns, evicted, closedIdle metrics.Counter
	// outdated is set when the limiter has done something that may not be counted.
	outdated atomic.Bool
	// mu guards the fields below.
	mu sync.Mutex
	// counted is what the counters contain, and logged what the log does.
	counted, logged intake.Stats
	loggedAt        time.Time
}

// NewReport registers the metrics intake.LISTENER.*, and logs to log.
func NewReport(registry metrics.Registry, log *logrus.Entry, listener string, limiter *intake.Limiter) *Report {
	counter := func(name string) metrics.Counter {
		return telemetry.Counter(registry, "intake."+listener+"."+name)
	}
	telemetry.RegisterGauge(registry, "intake."+listener+".bytes", func() int64 { return limiter.Stats().Bytes })
	telemetry.RegisterGauge(registry, "intake."+listener+".conns", func() int64 { return int64(limiter.Stats().Conns) })
	return &Report{limiter: limiter, log: log.WithFields(logrus.Fields{"event": "clients_limited", "listener": listener}),
		refusedRequests: counter("refused_requests"), refusedConns: counter("refused_conns"), evicted: counter("evicted"), closedIdle: counter("closed_idle")}
}

// RefusedConns returns the counter of refused connections.
func (r *Report) RefusedConns() metrics.Counter { return r.refusedConns }

// Update counts what the limiter has done since the last update. It does not wait for another
// goroutine that does so, which then counts again.
func (r *Report) Update() {
	r.outdated.Store(true)
	for r.outdated.Load() && r.mu.TryLock() {
		r.outdated.Store(false)
		r.count()
		r.mu.Unlock()
	}
}

// count updates the counters and the log. mu must be held.
func (r *Report) count() {
	s := r.limiter.Stats()
	r.refusedRequests.Inc(s.RefusedRequests - r.counted.RefusedRequests)
	r.refusedConns.Inc(s.RefusedConns - r.counted.RefusedConns)
	r.evicted.Inc(s.EvictedRequests - r.counted.EvictedRequests)
	r.closedIdle.Inc(s.ClosedIdle - r.counted.ClosedIdle)
	r.counted = s
	now := time.Now()
	if now.Sub(r.loggedAt) < logInterval {
		return
	}
	r.log.WithFields(logrus.Fields{"refused_requests": s.RefusedRequests - r.logged.RefusedRequests, "refused_conns": s.RefusedConns - r.logged.RefusedConns,
		"evicted": s.EvictedRequests - r.logged.EvictedRequests, "closed_idle": s.ClosedIdle - r.logged.ClosedIdle,
		"bytes": s.Bytes, "conns": s.Conns}).Warn("clients were refused or disconnected for lack of room")
	r.logged, r.loggedAt = s, now
}
