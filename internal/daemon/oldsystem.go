package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
)

const (
	// oldCalls bounds the calls to the old system at a time.
	oldCalls = 64
	// oldRetry is the wait before an unanswered call is repeated.
	oldRetry = 300 * time.Millisecond
	// oldRunTimeout bounds one call; a longer run is asked about again by key.
	oldRunTimeout = 30 * time.Second
	oldAskTimeout = 2 * time.Second
)

// oldForwarder calls the old system. It remembers keys and runs each once, so
// a call whose answer was lost is repeated safely.
type oldForwarder struct {
	d     *Daemon
	sys   ports.OldSystem
	slots chan struct{}
	// wanted is the latest revision whose reserve the old system has to take.
	wanted atomic.Uint64
}

func newOldForwarder(d *Daemon, sys ports.OldSystem) *oldForwarder {
	return &oldForwarder{d: d, sys: sys, slots: make(chan struct{}, oldCalls)}
}

// do runs fn on a goroutine of its own; at most oldCalls run at a time.
func (o *oldForwarder) do(fn func(ctx context.Context)) {
	o.d.group.Go(func() {
		select {
		case o.slots <- struct{}{}:
			defer func() { <-o.slots }()
			fn(o.d.ctx)
		case <-o.d.ctx.Done():
		}
	})
}

func (o *oldForwarder) run(r scheduler.OldSystemRun) {
	o.do(func(ctx context.Context) {
		if o.sys == nil {
			// The scheduler asks again at once, until the deadline.
			pause.For(ctx, oldRetry)
		}
		if o.sys == nil || (!r.Deadline.IsZero() && !o.d.now().Before(r.Deadline)) {
			o.d.control(oldReportMsg{scheduler.OldSystemReport{Key: r.Key, NotSent: true}})
			return
		}
		sent := false
		for ctx.Err() == nil && o.d.state.Load().serving {
			st, err := o.once(ctx, r)
			if err == nil {
				o.d.control(oldReportMsg{scheduler.OldSystemReport{Key: r.Key, Fate: st.Fate, OK: st.OK, Answer: st.Answer}})
				if st.Fate == model.Done {
					return
				}
			}
			sent = sent || err == nil || !refusedByOld(err)
			if !sent {
				pause.For(ctx, oldRetry)
				o.d.control(oldReportMsg{scheduler.OldSystemReport{Key: r.Key, NotSent: true}})
				return
			}
			pause.For(ctx, oldRetry)
		}
	})
}

// refusedByOld reports whether a failed call certainly started nothing: it was
// not sent, or the old system answered that it cannot take it.
func refusedByOld(err error) bool {
	switch jsonhttp.StatusOf(err) {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return true
	}
	return jsonhttp.NotSent(err)
}

func (o *oldForwarder) once(ctx context.Context, r scheduler.OldSystemRun) (ports.OldRequestState, error) {
	ctx, cancel := context.WithTimeout(ctx, oldRunTimeout)
	defer cancel()
	return o.sys.Run(ctx, r.Key, r.Service, r.Payload)
}

// reserve tells the old system how many slots it may use on each worker and
// reports its acknowledgement. A later revision replaces an unanswered one.
func (o *oldForwarder) reserve(revision uint64, slots int64) {
	o.wanted.Store(revision)
	if o.sys == nil {
		return
	}
	o.d.group.Go(func() {
		for o.d.ctx.Err() == nil && o.wanted.Load() == revision {
			ctx, cancel := context.WithTimeout(o.d.ctx, oldAskTimeout)
			acked, err := o.sys.Reserve(ctx, revision, slots)
			cancel()
			if err == nil && acked >= revision {
				if acked == revision {
					o.d.control(reserveMsg{slots})
				}
				return
			}
			pause.For(o.d.ctx, oldRetry)
		}
	})
}

// remembered returns a record of a key that only the old system knows.
func (o *oldForwarder) remembered(ctx context.Context, key string) (model.Record, bool) {
	if o.sys == nil {
		return model.Record{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, oldAskTimeout)
	defer cancel()
	st, err := o.sys.Lookup(ctx, key)
	if err != nil || !st.Known {
		return model.Record{}, false
	}
	return model.Record{Request: model.Request{Key: key}, Side: model.OldSide, Fate: st.Fate, OK: st.OK, Answer: st.Answer}, true
}

func (o *oldForwarder) lookup(key string) {
	o.do(func(ctx context.Context) {
		if o.sys == nil {
			o.d.control(oldLookupMsg{key: key})
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, oldAskTimeout)
		defer cancel()
		st, err := o.sys.Lookup(callCtx, key)
		if err != nil {
			o.d.log.WithError(err).WithField("key", key).Debug("old system did not answer a lookup")
			pause.For(ctx, oldRetry)
		}
		o.d.control(oldLookupMsg{key: key, known: err == nil && st.Known, unavailable: err != nil})
	})
}
