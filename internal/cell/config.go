package cell

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
)

const (
	// configWait is how long a long poll waits for a change of the configuration. It
	// also limits how long a broken connection to the store stays undetected.
	configWait = time.Second
	// configWaitSlack is added to configWait for the transfer of the answer.
	configWaitSlack = 700 * time.Millisecond
	// configRetry is the pause before a retry: of a failed read of the configuration,
	// and of a call for a queue that the leader does not know yet.
	configRetry = 150 * time.Millisecond
)

// configHolder holds the active configuration. It never returns to an older version.
type configHolder struct {
	log     *logrus.Entry
	current atomic.Pointer[ports.CellConfig]
	mu      sync.Mutex
	// onChange lists the functions that are called, with mu held, with each newer
	// configuration.
	onChange []func(*ports.CellConfig)
}

// applyIfNewer makes a configuration the active one if it is newer. c may be nil. The
// source is where c comes from and appears only in the log.
func (h *configHolder) applyIfNewer(c *ports.CellConfig, source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if c == nil || old != nil && c.Version <= old.Version {
		return
	}
	h.current.Store(c)
	h.log.WithFields(logrus.Fields{"event": "config_applied", "version": c.Version, "routes": len(c.Routes), "source": source}).Info("applied a new configuration")
	for _, f := range h.onChange {
		f(c)
	}
}

// version returns the version of the active configuration, or 0 when there is none.
func (h *configHolder) version() int64 {
	if c := h.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// matchRoute returns the route of the host with the longest prefix that matches the
// path, or nil when no route matches. The bool is false when there is no configuration.
func (h *configHolder) matchRoute(host, path string) (*ports.Route, bool) {
	c := h.current.Load()
	if c == nil {
		return nil, false
	}
	var best *ports.Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, true
}

// queuesOf returns the queues of a configuration, or nil when c is nil.
func queuesOf(c *ports.CellConfig) []jobs.Queue {
	var out []jobs.Queue
	if c == nil {
		return nil
	}
	for i := range c.Routes {
		out = append(out, c.Routes[i].Queue)
	}
	return out
}

// storeHealth tracks whether and how fast the store answers this daemon.
type storeHealth struct {
	mu           sync.Mutex
	lastAnswerAt time.Time
	// minRTT is the shortest time of a call, which rises by rttGrowth with each call.
	minRTT time.Duration
	// unreachable reports whether the store did not answer the last call or refused it for
	// now.
	unreachable bool
	log         *logrus.Entry
}

// rttGrowth is the factor by which minRTT rises with each call, so that it slowly
// follows a change of the network path but not the load of the store.
const rttGrowth = 1.002

// recordAnswer records a call that the store answered after took. With a took of 0 the
// call is not a sample of the response time.
func (s *storeHealth) recordAnswer(now time.Time, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable || s.lastAnswerAt.IsZero() {
		s.log.WithField("event", "store_regained").Info("the metadata store answers")
	}
	s.lastAnswerAt, s.unreachable = now, false
	if took <= 0 {
		return
	}
	if s.minRTT == 0 {
		s.minRTT = took
	}
	s.minRTT = min(took, time.Duration(rttGrowth*float64(s.minRTT)))
}

// recordFailure records a call that the store did not answer or refused for now. Only
// the first of several failures in a row is logged.
func (s *storeHealth) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unreachable {
		s.log.WithFields(logrus.Fields{"event": "store_lost", "error": err.Error()}).Warn("the metadata store does not answer")
	}
	s.unreachable = true
}

// age returns the time since the store last answered, or -1 when it never did.
func (s *storeHealth) age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastAnswerAt.IsZero() {
		return -1
	}
	return now.Sub(s.lastAnswerAt)
}

// rtt returns the usual response time of the store, or 0 when it is not known.
func (s *storeHealth) rtt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.minRTT
}

// watchConfig reads the configuration that operators publish, and applies its changes
// until ctx ends.
func (d *Daemon) watchConfig(ctx context.Context) {
	cursor := ports.ListCursor(-1)
	for ctx.Err() == nil {
		next, err := d.readConfig(ctx, cursor)
		if err == nil {
			cursor = next
			continue
		}
		if ctx.Err() != nil {
			return
		}
		var store *ports.StoreError
		if errors.As(err, &store) && store.Kind == ports.StoreExpired {
			cursor = -1
			continue
		}
		if errors.As(err, &store) {
			d.store.recordFailure(err)
			if d.config.current.Load() == nil {
				d.readConfigCopy(ctx)
			}
		} else {
			// A record that cannot be decoded is skipped, since a later one replaces it.
			d.log.WithFields(logrus.Fields{"event": "config_unreadable", "error": err.Error()}).Error("cannot decode the published configuration")
			cursor = next
		}
		pause.For(ctx, configRetry)
	}
}

// readConfig reads the newest configuration, when from is negative, or waits for a
// change after from. It returns the cursor for the next call.
func (d *Daemon) readConfig(ctx context.Context, from ports.ListCursor) (ports.ListCursor, error) {
	ctx, cancel := context.WithTimeout(ctx, configWait+configWaitSlack)
	defer cancel()
	sent := time.Now()
	var c *ports.CellConfig
	var err error
	took := time.Duration(0)
	if from < 0 {
		c, from, err = d.deps.Config.Latest(ctx)
		took = time.Since(sent)
	} else {
		c, from, err = d.deps.Config.Changes(ctx, from, configWait)
	}
	if err != nil {
		return from, err
	}
	d.store.recordAnswer(time.Now(), took)
	d.config.applyIfNewer(c, "store")
	return from, nil
}
