package cell

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/boottime"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
)

const (
	// resultDelay is how long a relay collects results before it sends them.
	resultDelay = 10 * time.Millisecond
	// maxCallAge is the delay on the way from the leader above which a relay does not make
	// a call any more, for example after its process was paused.
	maxCallAge = time.Second
	// delayWindow is the time over which the shortest delay on a link is determined.
	delayWindow = 5 * time.Second
)

// relay makes calls to workers for the leader at the other end of one link.
type relay struct {
	d    *Daemon
	link *linkrpc.Link
	// ctx ends when the link is closed.
	ctx    context.Context
	cancel context.CancelFunc
	// mu guards the other fields.
	mu      sync.Mutex
	results *cellpb.WorkerResults
	delay   linkDelay
}

// relayFor returns the relay of a link, which is created with the first calls.
func (d *Daemon) relayFor(l *linkrpc.Link) *relay {
	d.relaysMu.Lock()
	defer d.relaysMu.Unlock()
	r := d.relays[l]
	if r == nil {
		r = &relay{d: d, link: l}
		r.ctx, r.cancel = context.WithCancel(context.Background())
		d.relays[l] = r
	}
	return r
}

// dropRelay ends the relay of a closed link.
func (d *Daemon) dropRelay(l *linkrpc.Link) {
	d.relaysMu.Lock()
	defer d.relaysMu.Unlock()
	if r := d.relays[l]; r != nil {
		r.cancel()
		delete(d.relays, l)
	}
}

// superseded reports whether this daemon knows that a leader with a higher token than the
// given one exists, from another daemon or from the refusal of a worker.
func (d *Daemon) superseded(token uint64) bool {
	return d.members.knowsHigherToken(token) || token <= d.refusedToken.Load()
}

// recordRefusedToken records that a worker refused a token.
func (d *Daemon) recordRefusedToken(token uint64) {
	for {
		known := d.refusedToken.Load()
		if known >= token || d.refusedToken.CompareAndSwap(known, token) {
			return
		}
	}
}

// makeCalls makes the calls of a group concurrently. Starts and syncs that were delayed too
// long on their way are not made: the leader has given them up.
func (r *relay) makeCalls(calls *cellpb.WorkerCalls) {
	token := calls.Token
	caller := &workerCaller{client: r.d.deps.Workers, token: token, superseded: func() bool { return r.d.superseded(token) }}
	stale := r.age(calls) > maxCallAge
	if stale {
		r.d.log.WithFields(logrus.Fields{"event": "calls_expired", "syncs": len(calls.Syncs), "starts": len(calls.Starts)}).Warn("calls of the leader arrived too late and are not made")
	}
	for _, p := range calls.Syncs {
		r.goCall(func(ctx context.Context) { r.addSync(p.Target.GetId(), r.sync(ctx, caller, p, stale)) })
	}
	for _, p := range calls.Starts {
		r.goCall(func(ctx context.Context) {
			r.addResult(p.Target.GetId(), token, r.start(ctx, caller, p, calls.Payloads, stale))
		})
	}
	for _, p := range calls.Stops {
		r.goCall(func(ctx context.Context) {
			res := caller.stop(ctx, p.ToRequest())
			r.addResult(p.Target.GetId(), token, callOutcome{res.Status, res.ClockMs})
		})
	}
	for _, p := range calls.Paces {
		r.goCall(func(ctx context.Context) {
			res := caller.pace(ctx, p.ToRequest())
			r.addResult(p.Target.GetId(), token, callOutcome{status: res.Status})
		})
	}
}

// goCall runs f on a goroutine.
func (r *relay) goCall(f func(context.Context)) {
	r.d.linkGoroutines.Go(func() { f(r.ctx) })
}

// callOutcome is the outcome of a call other than a sync.
type callOutcome struct {
	status  jobs.CallStatus
	clockMs int64
}

func (r *relay) sync(ctx context.Context, caller *workerCaller, p *cellpb.SyncCall, stale bool) jobs.SyncResult {
	req := p.ToRequest()
	if stale {
		return jobs.SyncResult{Worker: req.Worker, Status: jobs.CallNotSent}
	}
	result := caller.sync(ctx, req)
	if result.Status == jobs.CallFenced {
		r.d.recordRefusedToken(caller.token)
	}
	return result
}

func (r *relay) start(ctx context.Context, caller *workerCaller, p *cellpb.StartCall, payloads []string, stale bool) callOutcome {
	req, ok := p.ToRequest(payloads)
	switch {
	case !ok:
		return callOutcome{status: jobs.CallMalformed}
	case stale:
		return callOutcome{status: jobs.CallNotSent}
	}
	res := caller.start(ctx, req)
	return callOutcome{res.Status, res.ClockMs}
}

// addResult adds the outcome of a call to the next group of results.
func (r *relay) addResult(id, token uint64, o callOutcome) {
	if o.status == jobs.CallFenced {
		r.d.recordRefusedToken(token)
	}
	r.collect(func(g *cellpb.WorkerResults) {
		g.Calls = append(g.Calls, &cellpb.CallResult{Id: id, Status: uint32(o.status), ClockMs: o.clockMs})
	})
}

// addSync adds the result of a sync to the next group of results.
func (r *relay) addSync(id uint64, result jobs.SyncResult) {
	report := cellpb.FromSyncResult(id, &result)
	r.collect(func(g *cellpb.WorkerResults) { g.Syncs = append(g.Syncs, report) })
}

// collect lets add change the next group of results, which is sent resultDelay after its
// first result.
func (r *relay) collect(add func(*cellpb.WorkerResults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.results == nil {
		r.results = &cellpb.WorkerResults{}
		time.AfterFunc(resultDelay, r.flush)
	}
	add(r.results)
}

// flush sends the collected results.
func (r *relay) flush() {
	r.mu.Lock()
	results := r.results
	r.results = nil
	r.mu.Unlock()
	r.link.Send(&cellpb.Frame{WorkerResults: []*cellpb.WorkerResults{results}})
}

// age returns how much longer calls were on their way than the fastest ones.
func (r *relay) age(calls *cellpb.WorkerCalls) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := boottime.Now()
	return r.delay.observe(now, now-time.Duration(calls.SentMs)*time.Millisecond)
}

// linkDelay determines how much longer a message was on its way than the fastest message of
// the last one to two windows. The clocks of the two daemons have different origins and may
// run at slightly different speeds.
type linkDelay struct {
	windowStart       time.Duration
	current, previous time.Duration
	known             bool
}

// observe adds the difference between the receiver's clock and a message's time stamp, and
// returns the excess over the smallest difference.
func (d *linkDelay) observe(now, difference time.Duration) time.Duration {
	switch {
	case !d.known:
		d.windowStart, d.current, d.previous, d.known = now, difference, difference, true
	case now-d.windowStart > delayWindow:
		d.windowStart, d.previous, d.current = now, d.current, difference
	}
	d.current = min(d.current, difference)
	return difference - min(d.current, d.previous)
}
