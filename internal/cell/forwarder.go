package cell

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/telemetry"
)

const (
	// answerMargin is the time reserved between an answer and the caller's deadline, unless
	// that is near.
	answerMargin = 100 * time.Millisecond
	// minCallTime is the time left to a caller below which a call is not sent.
	minCallTime = 30 * time.Millisecond
	// leaderlessWait is how long after the loss of the leader calls wait for the next
	// leader. Later calls are refused immediately.
	leaderlessWait = 2 * time.Second
	// noLeaderRetryAfter is the time after which a caller should retry a call that
	// failed because there is no leader.
	noLeaderRetryAfter = time.Second
	// maxWaitingCalls limits the calls that wait for an answer of the leader.
	maxWaitingCalls = 4096
)

// verdictNotLeader means that the daemon that received the call is not the leader. It
// is never returned to callers.
const verdictNotLeader Verdict = 250

// verdictLinkLost means that the call was not sent, or that before the answer the link was
// closed or this daemon's leadership ended. It is never returned to callers.
const verdictLinkLost Verdict = 251

// forwarder implements API by forwarding the calls to the leader.
type forwarder struct {
	d *Daemon
	// lastID is the ID of the last call.
	lastID atomic.Uint64
	// mu guards waiting and the links of its calls.
	mu sync.Mutex
	// waiting maps the IDs of calls to the calls that wait for an answer.
	waiting       map[uint64]*waitingCall
	latencyByKind map[cellpb.CallKind]metrics.Histogram
	refused       metrics.Counter
	unknown       metrics.Counter
	unauthorized  metrics.Counter
}

// waitingCall is a call without an answer.
type waitingCall struct {
	// reply has room for one reply, so that delivering it does not block.
	reply chan Reply
	// link is the link over which the call was sent; nil when this daemon is the leader.
	link *linkrpc.Link
}

func newForwarder(d *Daemon) *forwarder {
	f := &forwarder{d: d, waiting: map[uint64]*waitingCall{}, latencyByKind: map[cellpb.CallKind]metrics.Histogram{},
		refused: telemetry.Counter(d.registry, "calls.refused"), unknown: telemetry.Counter(d.registry, "calls.unknown"), unauthorized: telemetry.Counter(d.registry, "calls.unauthorized")}
	histograms := telemetry.NewHistograms(d.registry, telemetry.DefaultMaxPairs)
	for kind, name := range cellpb.CallKind_name {
		f.latencyByKind[cellpb.CallKind(kind)] = histograms.Latency(name)
	}
	return f
}

// Resolve implements API.
func (f *forwarder) Resolve(host, path, key string) (Target, *Reply) {
	config := f.d.config.current.Load()
	if config == nil {
		return Target{}, &Reply{Verdict: VerdictUnavailable, Reason: "no_configuration", RetryAfter: noLeaderRetryAfter}
	}
	route := matchRoute(config, host, path)
	if route == nil {
		return Target{}, &Reply{Verdict: VerdictNoQueue}
	}
	t := Target{Queue: route.Queue.Name, JobID: path[len(route.Prefix):]}
	if config.Tenants == nil || route.Queue.Anonymous {
		return t, nil
	}
	tenant, known := config.Tenants.ByKey(key)
	if !known {
		f.recordUnauthorized(t, config.Version)
		return Target{}, &Reply{Verdict: VerdictUnauthorized, Reason: "key_unknown"}
	}
	t.Tenant = tenant
	return t, nil
}

// maxLoggedID limits the part of a job ID that is logged before the ID is checked.
const maxLoggedID = 64

// recordUnauthorized logs and counts a request with an unknown key, which is not logged itself.
func (f *forwarder) recordUnauthorized(t Target, configVersion int64) {
	f.unauthorized.Inc(1)
	f.d.log.WithFields(logrus.Fields{"event": "call_unauthorized", "job": t.JobID[:min(len(t.JobID), maxLoggedID)], "queue": t.Queue, "config_version": configVersion}).Info("a call has no key of a tenant")
}

// MaxBodyBytes implements API.
func (f *forwarder) MaxBodyBytes() int64 {
	if c := f.d.config.current.Load(); c != nil {
		return c.MaxBodyBytes
	}
	return 0
}

// Submit implements API.
func (f *forwarder) Submit(ctx context.Context, spec *jobs.Spec) Reply {
	return f.call(ctx, &cellpb.Call{Kind: cellpb.CallKind_SUBMIT, Queue: spec.Queue, Tenant: spec.Tenant, Job: spec.ID, Spec: cellpb.FromSpec(spec)})
}

// Cancel implements API.
func (f *forwarder) Cancel(ctx context.Context, t Target) Reply {
	return f.call(ctx, &cellpb.Call{Kind: cellpb.CallKind_CANCEL, Queue: t.Queue, Tenant: t.Tenant, Job: t.JobID})
}

// State implements API.
func (f *forwarder) State(ctx context.Context, t Target) Reply {
	return f.call(ctx, &cellpb.Call{Kind: cellpb.CallKind_STATE, Queue: t.Queue, Tenant: t.Tenant, Job: t.JobID})
}

// Pending implements API.
func (f *forwarder) Pending(ctx context.Context, queue string) Reply {
	return f.call(ctx, &cellpb.Call{Kind: cellpb.CallKind_PENDING, Queue: queue})
}

// Tenants implements API.
func (f *forwarder) Tenants(ctx context.Context) Reply {
	return decompressReport(f.call(ctx, &cellpb.Call{Kind: cellpb.CallKind_TENANTS}))
}

// Plan implements API.
func (f *forwarder) Plan(ctx context.Context, spec *jobs.Spec) Reply {
	return decompressReport(f.call(ctx, &cellpb.Call{Kind: cellpb.CallKind_PLAN, Queue: spec.Queue, Tenant: spec.Tenant, Job: spec.ID, Spec: cellpb.FromSpec(spec)}))
}

// Ready implements API. A daemon is ready when it has a configuration and there was a
// leader within readyWithoutLeader.
func (f *forwarder) Ready() bool {
	return !f.d.shuttingDown.Load() && f.d.config.current.Load() != nil && f.d.members.hasLeader(readyWithoutLeader)
}

// readyWithoutLeader is how long after the loss of the leader a daemon remains ready.
const readyWithoutLeader = 2500 * time.Millisecond

// ShuttingDown implements API.
func (f *forwarder) ShuttingDown() bool { return f.d.shuttingDown.Load() }

// call sends a call to the leader. If the leader is lost before the answer arrives, it
// sends the call to the next leader, until answerMargin before the deadline of ctx.
func (f *forwarder) call(ctx context.Context, c *cellpb.Call) Reply {
	start := time.Now()
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-marginFor(time.Until(deadline))))
		defer cancel()
	}
	c.ConfigVersion = f.d.config.version()
	reply := f.callLeader(ctx, c)
	telemetry.ObserveSince(f.latencyByKind[c.Kind], start)
	if reply.Verdict == VerdictUnavailable || reply.Verdict == VerdictOverloaded || reply.Verdict == VerdictUnknown {
		f.refused.Inc(1)
		f.d.log.WithFields(logrus.Fields{"event": "call_failed", "call": c.Kind.String(), "job": c.Job, "queue": c.Queue,
			"verdict": reply.Verdict.String(), "reason": reply.Reason, "waited_ms": time.Since(start).Milliseconds(),
			"retry_after_ms": reply.RetryAfter.Milliseconds()}).Info("a call was not carried out")
	}
	return reply
}

// callLeader sends a call to the current leader and its successors until one of them
// answers or ctx ends.
func (f *forwarder) callLeader(ctx context.Context, c *cellpb.Call) Reply {
	if remainingTime(ctx) < minCallTime {
		// It is not sent, so that it does not run after its caller has left. An earlier attempt
		// of the caller may have run, so this is no promise.
		return Reply{Verdict: VerdictUnknown, Reason: "deadline_too_near"}
	}
	sent := false
	for {
		ok, reason := f.d.members.awaitLeader(ctx)
		if !ok {
			return f.failureReply(c, sent, reason)
		}
		id, w := f.addWaitingCall()
		if w == nil {
			return Reply{Verdict: VerdictOverloaded, Reason: "too_many_calls", RetryAfter: noLeaderRetryAfter}
		}
		c.Id = id
		sentNow := f.d.sendToLeader(c, w)
		sent = sent || sentNow
		reply := f.awaitReply(ctx, id, w, sentNow)
		switch reply.Verdict {
		case verdictNotLeader:
			f.d.members.dropLeaderLink(w.link)
		case verdictLinkLost:
		case VerdictUnknown:
			return f.failureReply(c, sent, "no_answer")
		default:
			return reply
		}
	}
}

// marginFor returns the time that is kept for the answer of a call whose caller waits for another
// remaining time. A caller with little time left, such as one that comes back after a refusal, keeps
// most of it for the call.
func marginFor(remaining time.Duration) time.Duration {
	return min(answerMargin, max(remaining/4, 0))
}

// remainingTime returns the time until the deadline of ctx, or the longest duration if it has none.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return math.MaxInt64
	}
	return time.Until(deadline)
}

// failureReply returns the reply for a call that the leader did not answer. Once a
// call that submits or cancels a job was sent, its outcome is unknown. A call that was
// never sent was not accepted.
func (f *forwarder) failureReply(c *cellpb.Call, sent bool, reason string) Reply {
	if sent && (c.Kind == cellpb.CallKind_SUBMIT || c.Kind == cellpb.CallKind_CANCEL) {
		return Reply{Verdict: VerdictUnknown, Reason: reason}
	}
	return Reply{Verdict: VerdictUnavailable, Reason: reason, RetryAfter: noLeaderRetryAfter}
}

// addWaitingCall registers a call and returns its ID. It returns nil when too many
// calls are waiting.
func (f *forwarder) addWaitingCall() (uint64, *waitingCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.waiting) >= maxWaitingCalls {
		return 0, nil
	}
	id := f.lastID.Add(1)
	w := &waitingCall{reply: make(chan Reply, 1)}
	f.waiting[id] = w
	return id, w
}

// awaitReply waits for the answer to a call and removes the call from the waiting
// ones. When ctx ends first, the verdict is VerdictUnknown.
func (f *forwarder) awaitReply(ctx context.Context, id uint64, w *waitingCall, sent bool) Reply {
	defer func() {
		f.mu.Lock()
		delete(f.waiting, id)
		f.mu.Unlock()
	}()
	if !sent {
		return Reply{Verdict: verdictLinkLost}
	}
	select {
	case r := <-w.reply:
		return r
	case <-ctx.Done():
		return Reply{Verdict: VerdictUnknown}
	}
}

// deliverReply passes a reply to the call that waits for it. Only the first reply to a
// call has an effect.
func (f *forwarder) deliverReply(id uint64, r Reply) {
	f.mu.Lock()
	w := f.waiting[id]
	f.mu.Unlock()
	if w == nil {
		return
	}
	select {
	case w.reply <- r:
	default:
	}
}

// failCallsOverLink answers the waiting calls that were sent over a link with
// verdictLinkLost.
func (f *forwarder) failCallsOverLink(l *linkrpc.Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.waiting {
		if w.link == l {
			select {
			case w.reply <- Reply{Verdict: verdictLinkLost}:
			default:
			}
		}
	}
}

// failLocalCalls answers the waiting calls that were sent to this daemon's own leader
// with verdictLinkLost.
func (f *forwarder) failLocalCalls() { f.failCallsOverLink(nil) }

// String returns the verdict's name, or an empty string for internal verdicts.
func (v Verdict) String() string {
	names := map[Verdict]string{VerdictOK: "ok", VerdictOverloaded: "overloaded", VerdictUnavailable: "unavailable",
		VerdictUnknown: "unknown", VerdictNoJob: "no_job", VerdictNoQueue: "no_queue", VerdictUnauthorized: "unauthorized", VerdictConflict: "conflict"}
	return names[v]
}
