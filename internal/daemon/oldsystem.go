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
	// maxOldSystemCalls bounds the concurrent calls to the old system.
	maxOldSystemCalls = 64
	// oldSystemRetryDelay is the delay before an unanswered call is repeated.
	oldSystemRetryDelay = 300 * time.Millisecond
	// oldSystemRunTimeout bounds one call to run a request. For a longer run the
	// call is repeated with the same key.
	oldSystemRunTimeout = 30 * time.Second
	// oldSystemQueryTimeout bounds a lookup of a key and a change of the reserve.
	oldSystemQueryTimeout = 2 * time.Second
)

// oldSystemForwarder forwards requests to the old system. The old system remembers
// keys and runs each of them once, so it is safe to repeat a call whose answer was
// lost.
type oldSystemForwarder struct {
	d *Daemon
	// sys is nil when there is no old system.
	sys ports.OldSystem
	// callSlots has capacity maxOldSystemCalls and holds one entry per call.
	callSlots chan struct{}
	// reserveRevision is the latest configuration revision whose reserve, the number
	// of slots that it may use on each worker, the old system has to apply.
	reserveRevision atomic.Uint64
}

func newOldSystemForwarder(d *Daemon, sys ports.OldSystem) *oldSystemForwarder {
	return &oldSystemForwarder{d: d, sys: sys, callSlots: make(chan struct{}, maxOldSystemCalls)}
}

// goLimited runs fn in a new goroutine. At most maxOldSystemCalls of them run at a
// time.
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

// startRun runs a request in the old system and reports its state in the background,
// until it is done or certainly was not accepted. Without an old system, or after
// the deadline, it reports the request as not sent.
func (o *oldSystemForwarder) startRun(r scheduler.OldSystemRun) {
	o.goLimited(func(ctx context.Context) {
		if o.sys == nil {
			// The scheduler repeats the run at once until the deadline, so delay the
			// report.
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

// certainlyNotAccepted reports whether a failed call certainly started nothing: it
// was not sent, or the old system answered that it cannot accept it.
func certainlyNotAccepted(err error) bool {
	switch jsonhttp.StatusOf(err) {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return true
	}
	return jsonhttp.NotSent(err)
}

// callRun makes one call to run a request and returns the state that the old system
// reports.
func (o *oldSystemForwarder) callRun(ctx context.Context, r scheduler.OldSystemRun) (ports.OldRequestState, error) {
	ctx, cancel := context.WithTimeout(ctx, oldSystemRunTimeout)
	defer cancel()
	return o.sys.Run(ctx, r.Key, r.Service, r.Payload)
}

// startReserve tells the old system how many slots it may use on each worker,
// repeats the call in the background until it is acknowledged, and reports the
// acknowledgement. A later revision replaces one that is not yet acknowledged.
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

// lookupRecord returns a record of a key that only the old system knows. It returns
// false when the old system doesn't know the key or can't be asked.
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

// startLookup asks the old system in the background whether it knows a key, and
// reports the result to the owner loop.
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
