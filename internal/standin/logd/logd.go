// Package logd implements a stand-in for the platform's append-only log.
package logd

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/standin/harness"
	"catkinvalve/internal/standinapi"
)

const (
	defaultReadLimit = 1000
	maxReadLimit     = 10000
	// maxWait limits long polls, so that an abandoned reader does not hold a
	// connection open.
	maxWait = time.Minute
)

// Config sets the limits of the log.
type Config struct {
	// Rate is the permitted number of appends per second over all streams.
	Rate float64
	// Retention is the minimum number of records kept in each stream; 0 keeps all.
	Retention int
}

type stream struct {
	firstOffset int64
	records     []standinapi.LogRecord
}

func (s *stream) nextOffset() int64 { return s.firstOffset + int64(len(s.records)) }

// truncateBefore removes the records before an offset.
func (s *stream) truncateBefore(offset int64) {
	offset = min(offset, s.nextOffset())
	if offset > s.firstOffset {
		s.records = append([]standinapi.LogRecord(nil), s.records[offset-s.firstOffset:]...)
		s.firstOffset = offset
	}
}

// Log keeps streams of records in memory.
type Log struct {
	cfg     Config
	faults  *harness.FaultInjector
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	changed chan struct{} // closed and replaced on each append
	stats   standinapi.LogStats
}

// New returns an empty log.
func New(cfg Config) *Log {
	return &Log{
		cfg: cfg, faults: harness.NewFaultInjector(fault.LogUnavailable, ""),
		limiter: rate.NewLimiter(rate.Limit(cfg.Rate), burstSize(cfg.Rate)),
		streams: map[string]*stream{}, changed: make(chan struct{}),
	}
}

// burstSize returns the burst that the rate limiter permits: the appends of a
// tenth of a second. With a larger burst a caller could exceed the rate for a
// while without being refused.
func burstSize(perSecond float64) int {
	if perSecond <= 0 {
		return 0
	}
	return max(1, int(perSecond/10))
}

// Handler returns the log API.
func (l *Log) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/streams/:name", l.faults.Wrap(harness.DecodeJSON(l.append)))
	r.GET("/v1/streams/:name", l.faults.Wrap(l.read))
	return r
}

// Admin returns the admin API.
func (l *Log) Admin() http.Handler {
	return harness.Admin(l.applyFault, func() any { return l.Stats() }, l.reset)
}

func (l *Log) append(c *harness.Call, in standinapi.AppendRequest) (int, any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limiter.Allow() {
		l.stats.RefusedAppends++
		return harness.ErrorReply(fault.New(fault.Overloaded, "append less often", "append rate exceeds the limit"))
	}
	name := c.Params.ByName("name")
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	offset := s.nextOffset()
	s.records = append(s.records, standinapi.LogRecord{Offset: offset, TimeMS: time.Now().UnixMilli(), Data: in.Data})
	// Truncates only after Retention was exceeded by an eighth, because each
	// truncation copies the remaining records.
	if keep := l.cfg.Retention; keep > 0 && len(s.records) >= keep+max(1, keep/8) {
		s.truncateBefore(s.nextOffset() - int64(keep))
	}
	l.stats.Appends++
	l.stats.AppendedBytes += int64(len(in.Data))
	close(l.changed)
	l.changed = make(chan struct{})
	return http.StatusOK, standinapi.AppendReply{Offset: offset}
}

func (l *Log) read(c *harness.Call) (int, any) {
	q := c.Request.URL.Query()
	from, err1 := intParam(q.Get("from"), 0)
	limit, err2 := intParam(q.Get("max"), defaultReadLimit)
	waitMS, err3 := intParam(q.Get("wait_ms"), 0)
	if err1 != nil || err2 != nil || err3 != nil || limit < 1 {
		return harness.ErrorReply(fault.New(fault.Malformed, "use integers for from, max and wait_ms", "query is malformed"))
	}
	deadline := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	defer deadline.Stop()
	for {
		page, changed := l.page(c.Params.ByName("name"), from, int(min(limit, maxReadLimit)))
		if len(page.Records) > 0 || waitMS <= 0 {
			return http.StatusOK, page
		}
		select {
		case <-changed:
		case <-deadline.C:
			return http.StatusOK, page
		case <-c.Ctx.Done():
			return harness.StatusAbort, nil
		}
	}
}

// page returns up to limit records from an offset on and a channel that is closed
// on the next append to any stream.
func (l *Log) page(name string, from int64, limit int) (standinapi.ReadReply, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Reads++
	s := l.streams[name]
	if s == nil {
		s = &stream{}
	}
	from = min(max(from, s.firstOffset), s.nextOffset())
	to := min(from+int64(limit), s.nextOffset())
	records := append([]standinapi.LogRecord{}, s.records[from-s.firstOffset:to-s.firstOffset]...)
	return standinapi.ReadReply{First: s.firstOffset, Next: to, Records: records}, l.changed
}

func intParam(s string, defaultValue int64) (int64, error) {
	if s == "" {
		return defaultValue, nil
	}
	return strconv.ParseInt(s, 10, 64)
}

func (l *Log) applyFault(f standinapi.LogFault) error {
	if err := l.faults.ApplyFault(f.CommonFault); err != nil {
		return err
	}
	if f.Rate != nil {
		l.setRate(*f.Rate)
	}
	if f.Truncation != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		if s := l.streams[f.Truncation.Stream]; s != nil {
			s.truncateBefore(f.Truncation.Before)
		}
	}
	return nil
}

func (l *Log) setRate(perSecond float64) {
	l.limiter.SetLimit(rate.Limit(perSecond))
	l.limiter.SetBurst(burstSize(perSecond))
}

// Stats returns the counters.
func (l *Log) Stats() standinapi.LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.stats
	out.Streams = map[string]standinapi.StreamStats{}
	for name, s := range l.streams {
		out.Streams[name] = standinapi.StreamStats{First: s.firstOffset, Next: s.nextOffset()}
	}
	return out
}

func (l *Log) reset() {
	l.faults.Reset()
	l.setRate(l.cfg.Rate)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats = standinapi.LogStats{}
}
