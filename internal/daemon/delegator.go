package daemon

import (
	"context"
	"sync"
	"time"

	"catkinvalve/internal/adapters/peerrpc"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/peerpb"
)

// delegator delegates requests to other data centres and reports their fates to the
// owner loop.
type delegator struct {
	d  *Daemon
	mu sync.Mutex
	// following holds the keys that have a goroutine, queued the delegations of
	// such keys that start when the goroutine ends.
	following map[string]bool
	queued    map[string]scheduler.Delegation
}

func newDelegator(d *Daemon) *delegator {
	return &delegator{d: d, following: map[string]bool{}, queued: map[string]scheduler.Delegation{}}
}

// start delegates a request and follows it in the background until its fate is
// final. If an earlier delegation of the key is still followed, it is queued.
func (g *delegator) start(del scheduler.Delegation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.following[del.Request.Key] {
		g.queued[del.Request.Key] = del
		return
	}
	g.startFollower(del)
}

// startFollower starts the goroutine that follows a key. The caller holds mu.
func (g *delegator) startFollower(del scheduler.Delegation) {
	g.following[del.Request.Key] = true
	g.d.group.Go(func() {
		defer g.finishFollower(del.Request.Key)
		g.follow(g.d.ctx, del)
	})
}

// finishFollower removes the ended goroutine of a key and starts the queued
// delegation, if any.
func (g *delegator) finishFollower(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.following, key)
	if del, ok := g.queued[key]; ok && g.d.ctx.Err() == nil {
		delete(g.queued, key)
		g.startFollower(del)
	}
}

// follow delegates a request and reports each known state of it, until its fate is
// final or it certainly did not run. Delegating is repeated by key, which is safe,
// because the other owner keeps a record.
func (g *delegator) follow(ctx context.Context, del scheduler.Delegation) {
	maybeSent := del.MaybeSent
	for ctx.Err() == nil && g.d.state.Load().serving {
		rec, err := g.delegate(ctx, del)
		switch {
		case err == nil:
			g.d.sendControl(delegationReportMsg{scheduler.DelegationReport{Key: del.Request.Key, Record: &rec}})
			if rec.Fate.Terminal() {
				return
			}
			maybeSent = true
			g.awaitFate(ctx, del)
		case !maybeSent && certainlyNotRun(err):
			g.d.sendControl(delegationReportMsg{scheduler.DelegationReport{Key: del.Request.Key, NotRun: true}})
			return
		default:
			maybeSent = maybeSent || !certainlyNotRun(err)
			pause.For(ctx, retryDelay)
		}
	}
}

// certainlyNotRun reports whether a failed delegation certainly started nothing:
// it was not sent, or the other owner refused it.
func certainlyNotRun(err error) bool {
	if peerrpc.NotSent(err) {
		return true
	}
	switch fault.KindOf(err) {
	case fault.Overloaded, fault.CanNeverRun, fault.UnknownService, fault.DeadlineExceeded, fault.NoOwner:
		return true
	}
	return false
}

func (g *delegator) delegate(ctx context.Context, del scheduler.Delegation) (model.Record, error) {
	var out model.Record
	err := g.d.delegateToOwner(ctx, del, &out)
	return out, err
}

// delegateToOwner delegates a request to the known owner of the other data centre,
// or to any known daemon there, which forwards it. The record is written to out.
func (d *Daemon) delegateToOwner(ctx context.Context, del scheduler.Delegation, out *model.Record) error {
	s := d.state.Load()
	peers := s.peersIn(del.To)
	if len(peers) == 0 {
		return fault.New(fault.NoOwner, "retry later", "data centre %s has no known owner", del.To)
	}
	callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	req := del.Request
	resp, err := d.peers.Delegate(callCtx, target(peers[0]), &peerpb.DelegateRequest{
		Home: string(d.set.DataCentre), HomeTerm: s.term, Request: peerpb.RequestToProto(&req),
	})
	if err != nil {
		return err
	}
	*out, err = peerpb.RecordFromProto(resp.Record)
	return err
}

// awaitFate polls the other data centre once for the final fate and reports the
// record that it returns.
func (g *delegator) awaitFate(ctx context.Context, del scheduler.Delegation) {
	peers := g.d.state.Load().peersIn(del.To)
	if len(peers) == 0 {
		pause.For(ctx, retryDelay)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, longPollTimeout+forwardTimeout)
	defer cancel()
	resp, err := g.d.peers.Fate(callCtx, target(peers[0]), &peerpb.FateRequest{Key: del.Request.Key, WaitMs: longPollTimeout.Milliseconds()})
	if err != nil {
		pause.For(ctx, retryDelay)
		return
	}
	if rec, err := peerpb.RecordFromProto(resp.Record); err == nil {
		g.d.sendControl(delegationReportMsg{scheduler.DelegationReport{Key: del.Request.Key, Record: &rec}})
	}
}

// cancel asks the other data centre in the background to cancel a request, and
// repeats the call until it is answered. The fate is reported by follow.
func (g *delegator) cancel(del scheduler.Delegation) {
	g.d.group.Go(func() {
		for g.d.ctx.Err() == nil && g.d.state.Load().serving {
			for _, p := range g.d.state.Load().peersIn(del.To) {
				ctx, cancel := context.WithTimeout(g.d.ctx, forwardTimeout)
				_, err := g.d.peers.Cancel(ctx, target(p), &peerpb.CancelRequest{Key: del.Request.Key})
				cancel()
				if err == nil || fault.KindOf(err) == fault.NotFound {
					return
				}
			}
			pause.For(g.d.ctx, time.Second)
		}
	})
}
