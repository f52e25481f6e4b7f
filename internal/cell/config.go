package cell

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
)

const (
	// maxLeaderConfigAge is the age of what the leader knows of the store's configuration
	// above which a daemon reads the configuration itself.
	maxLeaderConfigAge = 1500 * time.Millisecond
	// storePingInterval is how often a daemon that does not read the configuration makes a
	// call to the store, which shows whether the store serves it.
	storePingInterval = time.Second
	// configCheckInterval is how often such a daemon checks that the leader still reads the
	// configuration.
	configCheckInterval = 100 * time.Millisecond
	// configTransferTimeout limits the transfer of a long configuration.
	configTransferTimeout = 6 * time.Second
	// configWait is how long a long poll waits for a change of the configuration. It
	// also limits how long a broken connection to the store stays undetected.
	configWait = time.Second
	// configRetry is the pause before a retry: of a failed read of the configuration,
	// and of a call for a queue that the leader does not know yet.
	configRetry = 150 * time.Millisecond
)

// configHolder holds the active configuration. It never returns to an older version.
type configHolder struct {
	log     *logrus.Entry
	current atomic.Pointer[ports.CellConfig]
	mu      sync.Mutex
	// checkedAt is when the store last answered a read of the configuration.
	checkedAt time.Time
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

// recordCheck records that the store answered a read of the configuration.
func (h *configHolder) recordCheck(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkedAt = now
}

// ageMs returns the time since the store last answered a read of the configuration, in
// milliseconds plus 1; 0 when it never did.
func (h *configHolder) ageMs(now time.Time) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.checkedAt.IsZero() {
		return 0
	}
	return now.Sub(h.checkedAt).Milliseconds() + 1
}

// version returns the version of the active configuration, or 0 when there is none.
func (h *configHolder) version() int64 {
	if c := h.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// matchRoute returns the route of the host with the longest prefix that matches the
// path, or nil when no route matches.
func matchRoute(c *ports.CellConfig, host, path string) *ports.Route {
	var best *ports.Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
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
		if d.members.leaderReadsConfig() {
			d.awaitLeaderConfigEnd(ctx)
			cursor = -1
			continue
		}
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

// awaitLeaderConfigEnd returns when the leader does not read the configuration any more. The
// leader sends it to all daemons. Each would otherwise read each version from the store,
// which takes seconds over a link between regions if the configuration is long.
func (d *Daemon) awaitLeaderConfigEnd(ctx context.Context) {
	lastPingAt := time.Time{}
	for d.members.leaderReadsConfig() {
		if time.Since(lastPingAt) >= storePingInterval {
			lastPingAt = time.Now()
			d.pingStore(ctx)
		}
		if !pause.For(ctx, configCheckInterval) {
			return
		}
	}
}

// pingStore makes a short call to the store and records whether the store answers.
func (d *Daemon) pingStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent := time.Now()
	_, err := d.deps.Store.Newest(ctx, ports.JobsTopic, lastKey)
	d.recordStoreCall(sent, err)
}

// applyLeaderConfig applies the configuration in a heartbeat, if there is one.
func (d *Daemon) applyLeaderConfig(h *cellpb.Heartbeat) {
	if len(h.ConfigGzip) == 0 {
		d.applyPassedOn(h.Config, "leader")
		return
	}
	c, err := cellpb.DecompressConfig(h.ConfigGzip)
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "config_unreadable", "source": "leader", "error": err.Error()}).Error("cannot decode the configuration that the leader sent")
		return
	}
	d.applyPassedOn(c, "leader")
}

// applyPassedOn applies a configuration that another daemon has read, which may be nil. One from a
// daemon of an earlier version may lack tenants; this daemon then reads the store itself.
func (d *Daemon) applyPassedOn(c *cellpb.Config, source string) {
	switch {
	case c == nil:
	case c.Complete():
		d.config.applyIfNewer(c.ToConfig(), source)
	case c.Version > d.config.version():
		d.members.recordIncompleteConfig()
		d.log.WithFields(logrus.Fields{"event": "config_incomplete", "version": c.Version, "source": source}).Warn("a configuration from a daemon of an earlier version is not applied")
	}
}

// newerConfigInterval is the minimum time between two requests of a leader for a newer
// configuration that another daemon has.
const newerConfigInterval = 500 * time.Millisecond

// fetchNewerConfig fetches the configuration of a daemon that has a newer one, for example
// because the store does not serve that topic to this daemon.
func (l *leader) fetchNewerConfig(now time.Time, node string) {
	address := l.nodes[node]
	if address == "" || now.Sub(l.configFetchedAt) < newerConfigInterval {
		return
	}
	l.configFetchedAt = now
	l.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, configTransferTimeout)
		defer cancel()
		v, err := l.d.transport.FetchView(ctx, address, &cellpb.ViewRequest{Node: l.d.settings.Node, ConfigVersion: l.d.config.version()})
		if err == nil {
			l.d.applyPassedOn(v.Config, "daemon")
		}
	})
}

// readConfig reads the newest configuration, when from is negative, or waits for a
// change after from. It returns the cursor for the next call.
func (d *Daemon) readConfig(ctx context.Context, from ports.ListCursor) (ports.ListCursor, error) {
	ctx, cancel := context.WithTimeout(ctx, configWait+configTransferTimeout)
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
	d.config.recordCheck(time.Now())
	d.config.applyIfNewer(c, "store")
	return from, nil
}
