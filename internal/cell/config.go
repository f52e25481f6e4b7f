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
	// configWait is how long one call waits for a change. It also bounds how long
	// a silent connection to the store goes unnoticed.
	configWait = time.Second
	// configTimeout is the slack for the answer itself.
	configWaitSlack = 700 * time.Millisecond
	// configRetry is the pause after a failed call.
	configRetry = 150 * time.Millisecond
)

// configHolder keeps the configuration in force. It never goes back.
type configHolder struct {
	log     *logrus.Entry
	current atomic.Pointer[ports.CellConfig]
	mu      sync.Mutex
	// changed is called with each newer configuration.
	onChange []func(*ports.CellConfig)
}

// offer puts a configuration into force if it is newer.
func (h *configHolder) applyIfNewer(c *ports.CellConfig, source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if c == nil || old != nil && c.Version <= old.Version {
		return
	}
	h.current.Store(c)
	h.log.WithFields(logrus.Fields{"event": "config_applied", "version": c.Version, "routes": len(c.Routes), "source": source}).Info("configuration in force")
	for _, f := range h.onChange {
		f(c)
	}
}

// version returns the version in force, or 0.
func (h *configHolder) version() int64 {
	if c := h.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// queue selects the queue of a request: the longest prefix of its host wins.
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

// storeHealth is what a daemon knows about its own path to the store.
type storeHealth struct {
	mu           sync.Mutex
	lastAnswerAt time.Time
	// rtt is the least time of a call.
	minRTT      time.Duration
	unreachable bool
	log         *logrus.Entry
}

// rttDecay lets the least response time rise again, slowly, so that it follows a
// change of the path but not the load of the store.
const rttGrowth = 1.002

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

func (s *storeHealth) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unreachable {
		s.log.WithFields(logrus.Fields{"event": "store_lost", "error": err.Error()}).Warn("the metadata store does not answer")
	}
	s.unreachable = true
}

// age returns the time since the store last answered; negative when it never did.
func (s *storeHealth) age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastAnswerAt.IsZero() {
		return -1
	}
	return now.Sub(s.lastAnswerAt)
}

func (s *storeHealth) rtt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.minRTT
}

// followConfig reads the operators' configuration until ctx ends.
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
			// A record that cannot be read is passed over: a later one replaces it.
			d.log.WithFields(logrus.Fields{"event": "config_unreadable", "error": err.Error()}).Error("a configuration cannot be read")
			cursor = next
		}
		pause.For(ctx, configRetry)
	}
}

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
