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

// delegator hands requests to other data centres and follows their fate.
type delegator struct {
	d  *Daemon
	mu sync.Mutex
	// following holds the keys that a goroutine follows, and next the
	// delegation that takes over when it ends.
	following map[string]bool
	next      map[string]scheduler.Delegation
}

func newDelegator(d *Daemon) *delegator {
	return &delegator{d: d, following: map[string]bool{}, next: map[string]scheduler.Delegation{}}
}

// start delegates a request and follows it until its fate is final.
func (g *delegator) start(del scheduler.Delegation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.following[del.Request.Key] {
		g.next[del.Request.Key] = del
		return
	}
	g.follower(del)
}

// follower starts the goroutine of a key. The caller holds mu.
func (g *delegator) follower(del scheduler.Delegation) {
	g.following[del.Request.Key] = true
	g.d.group.Go(func() {
		defer g.forget(del.Request.Key)
		g.follow(g.d.ctx, del)
	})
}

func (g *delegator) forget(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.following, key)
	if del, ok := g.next[key]; ok && g.d.ctx.Err() == nil {
		delete(g.next, key)
		g.follower(del)
	}
}

func (g *delegator) follow(ctx context.Context, del scheduler.Delegation) {
	sent := del.MaybeSent
	for ctx.Err() == nil && g.d.state.Load().serving {
		rec, err := g.delegate(ctx, del)
		switch {
		case err == nil:
			g.d.control(delegateMsg{scheduler.DelegationReport{Key: del.Request.Key, Record: &rec}})
			if rec.Fate.Terminal() {
				return
			}
			sent = true
			g.await(ctx, del)
		case !sent && surelyNotRun(err):
			g.d.control(delegateMsg{scheduler.DelegationReport{Key: del.Request.Key, NotRun: true}})
			return
		default:
			sent = sent || !surelyNotRun(err)
			pause.For(ctx, retryPause)
		}
	}
}

// surelyNotRun reports whether a failed delegation certainly started nothing:
// it was not sent, or the other owner refused it.
func surelyNotRun(err error) bool {
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
	err := g.d.firstDelegate(ctx, del, &out)
	return out, err
}

// firstDelegate asks the owner that the membership table knows.
func (d *Daemon) firstDelegate(ctx context.Context, del scheduler.Delegation, out *model.Record) error {
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

// await polls for the final fate at the other data centre.
func (g *delegator) await(ctx context.Context, del scheduler.Delegation) {
	peers := g.d.state.Load().peersIn(del.To)
	if len(peers) == 0 {
		pause.For(ctx, retryPause)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, longPoll+forwardTimeout)
	defer cancel()
	resp, err := g.d.peers.Fate(callCtx, target(peers[0]), &peerpb.FateRequest{Key: del.Request.Key, WaitMs: longPoll.Milliseconds()})
	if err != nil {
		pause.For(ctx, retryPause)
		return
	}
	if rec, err := peerpb.RecordFromProto(resp.Record); err == nil {
		g.d.control(delegateMsg{scheduler.DelegationReport{Key: del.Request.Key, Record: &rec}})
	}
}

// cancel asks the other data centre to stop a request. It is repeated until
// answered; the fate comes back through follow.
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
