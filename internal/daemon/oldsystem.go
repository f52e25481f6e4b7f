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
	maxOldSystemCalls = 64
	// oldRetry is the wait before an unanswered call is repeated.
	oldSystemRetryDelay = 300 * time.Millisecond
	// oldRunTimeout bounds one call; a longer run is asked about again by key.
	oldSystemRunTimeout   = 30 * time.Second
	oldSystemQueryTimeout = 2 * time.Second
)

// oldForwarder calls the old system. It remembers keys and runs each once, so
// a call whose answer was lost is repeated safely.
type oldSystemForwarder struct {
	d         *Daemon
	sys       ports.OldSystem
	callSlots chan struct{}
	// wanted is the latest revision whose reserve the old system has to take.
	reserveRevision atomic.Uint64
}

func newOldSystemForwarder(d *Daemon, sys ports.OldSystem) *oldSystemForwarder {
	return &oldSystemForwarder{d: d, sys: sys, callSlots: make(chan struct{}, maxOldSystemCalls)}
}

// do runs fn on a goroutine of its own; at most oldCalls run at a time.
func (o *oldSystemForwarder) goLimited(fn func(ctx context.Context)) {
	o.d.group.Go(func() {
		select {
		case o.callSlots <- struct{}{}:
			defer func() { <-o.callSlots }()
			fn(o.d.ctx)
		case <-o.d.ctx.Done():
		}
	})
}

func (o *oldSystemForwarder) startRun(r scheduler.OldSystemRun) {
	o.goLimited(func(ctx context.Context) {
		if o.sys == nil {
			// The scheduler asks again at once, until the deadline.
			pause.For(ctx, oldSystemRetryDelay)
		}
		if o.sys == nil || (!r.Deadline.IsZero() && !o.d.now().Before(r.Deadline)) {
			o.d.sendControl(oldSystemReportMsg{scheduler.OldSystemReport{Key: r.Key, NotSent: true}})
			return
		}
		maybeSent := false
		for ctx.Err() == nil && o.d.state.Load().serving {
			st, err := o.callRun(ctx, r)
			if err == nil {
				o.d.sendControl(oldSystemReportMsg{scheduler.OldSystemReport{Key: r.Key, Fate: st.Fate, OK: st.OK, Answer: st.Answer}})
				if st.Fate == model.Done {
					return
				}
			}
			maybeSent = maybeSent || err == nil || !certainlyNotAccepted(err)
			if !maybeSent {
				pause.For(ctx, oldSystemRetryDelay)
				o.d.sendControl(oldSystemReportMsg{scheduler.OldSystemReport{Key: r.Key, NotSent: true}})
				return
			}
			pause.For(ctx, oldSystemRetryDelay)
		}
	})
}

// refusedByOld reports whether a failed call certainly started nothing: it was
// not sent, or the old system answered that it cannot take it.
func certainlyNotAccepted(err error) bool {
	switch jsonhttp.StatusOf(err) {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return true
	}
	return jsonhttp.NotSent(err)
}

func (o *oldSystemForwarder) callRun(ctx context.Context, r scheduler.OldSystemRun) (ports.OldRequestState, error) {
	ctx, cancel := context.WithTimeout(ctx, oldSystemRunTimeout)
	defer cancel()
	return o.sys.Run(ctx, r.Key, r.Service, r.Payload)
}

// reserve tells the old system how many slots it may use on each worker and
// reports its acknowledgement. A later revision replaces an unanswered one.
func (o *oldSystemForwarder) startReserve(revision uint64, slots int64) {
	o.reserveRevision.Store(revision)
	if o.sys == nil {
		return
	}
	o.d.group.Go(func() {
		for o.d.ctx.Err() == nil && o.reserveRevision.Load() == revision {
			ctx, cancel := context.WithTimeout(o.d.ctx, oldSystemQueryTimeout)
			acked, err := o.sys.Reserve(ctx, revision, slots)
			cancel()
			if err == nil && acked >= revision {
				if acked == revision {
					o.d.sendControl(reserveAckMsg{slots})
				}
				return
			}
			pause.For(o.d.ctx, oldSystemRetryDelay)
		}
	})
}

// remembered returns a record of a key that only the old system knows.
func (o *oldSystemForwarder) lookupRecord(ctx context.Context, key string) (model.Record, bool) {
	if o.sys == nil {
		return model.Record{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, oldSystemQueryTimeout)
	defer cancel()
	st, err := o.sys.Lookup(ctx, key)
	if err != nil || !st.Known {
		return model.Record{}, false
	}
	return model.Record{Request: model.Request{Key: key}, Side: model.OldSide, Fate: st.Fate, OK: st.OK, Answer: st.Answer}, true
}

func (o *oldSystemForwarder) startLookup(key string) {
	o.goLimited(func(ctx context.Context) {
		if o.sys == nil {
			o.d.sendControl(oldSystemLookupMsg{key: key})
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, oldSystemQueryTimeout)
		defer cancel()
		st, err := o.sys.Lookup(callCtx, key)
		if err != nil {
			o.d.log.WithError(err).WithField("key", key).Debug("old system did not answer a lookup")
			pause.For(ctx, oldSystemRetryDelay)
		}
		o.d.sendControl(oldSystemLookupMsg{key: key, known: err == nil && st.Known, unavailable: err != nil})
	})
}
