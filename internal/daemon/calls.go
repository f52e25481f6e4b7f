package daemon

import (
	"context"
	"time"

	"catkinvalve/internal/adapters/peerrpc"
	"catkinvalve/internal/api"
	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/peerpb"
)

// Submit implements httpapi.Service. It returns the state of the request after its
// acceptance or, if r.WaitMS (milliseconds) is set, after waiting for its fate.
func (d *Daemon) Submit(ctx context.Context, r api.SubmitRequest) (api.RequestStatus, error) {
	req := d.requestFromAPI(r)
	if rec, found, err := d.findAtEarlierHome(ctx, req.Key); err != nil {
		return api.RequestStatus{}, err
	} else if found {
		return d.statusOf(&rec), nil
	}
	rec, err := d.route(ctx, d.submitCall(req))
	if err != nil {
		return api.RequestStatus{}, err
	}
	if wait := time.Duration(r.WaitMS) * time.Millisecond; wait > 0 && !rec.Fate.Terminal() {
		return d.Fate(ctx, req.Key, wait)
	}
	return d.statusOf(&rec), nil
}

// findAtEarlierHome looks for a record at the data centres that were the key's
// home before a recent change of the set of data centres. Such a data centre
// answers only once the new set is active there, from when on it does not accept
// the key any more. If one cannot be asked, an error is returned, because the
// request may have run there.
func (d *Daemon) findAtEarlierHome(ctx context.Context, key string) (model.Record, bool, error) {
	s, _ := d.config.state()
	if len(s.History.EarlierSets) == 0 {
		return model.Record{}, false, nil
	}
	home, err := d.home(key)
	if err != nil {
		return model.Record{}, false, err
	}
	homeOf := func(set []model.DataCentre) model.DataCentre { return membership.Home(key, set) }
	for _, dc := range s.History.EarlierHomes(d.now(), home, homeOf) {
		rec, err := d.routeTo(ctx, dc, d.earlierHomeFateCall(key, s.Revision))
		switch {
		case err == nil:
			return rec, true, nil
		case fault.KindOf(err) != fault.NotFound:
			return model.Record{}, false, fault.Wrap(err, fault.FateInDoubt, "retry later with the same key, or use a key with a data centre prefix",
				"data centre %s, the earlier home of %q, cannot tell whether it ran", dc, key)
		}
	}
	return model.Record{}, false, nil
}

// earlierHomeFateCall asks an earlier home for the fate of a key, which answers only
// once the given configuration revision is active there.
func (d *Daemon) earlierHomeFateCall(key string, revision uint64) call {
	return call{
		key: key,
		local: func(ctx context.Context) recordReply {
			return d.askLoop(ctx, func(reply chan recordReply) message { return fateMsg{key: key, minRevision: revision, reply: reply} })
		},
		remote: func(ctx context.Context, to peerrpc.Target) (*peerpb.RecordResponse, error) {
			return d.peers.Fate(ctx, to, &peerpb.FateRequest{Key: key, MinRevision: revision})
		},
	}
}

func (d *Daemon) submitCall(req model.Request) call {
	return call{
		key: req.Key,
		local: func(ctx context.Context) recordReply {
			return d.askLoop(ctx, func(reply chan recordReply) message { return submitMsg{req: req, reply: reply} })
		},
		remote: func(ctx context.Context, to peerrpc.Target) (*peerpb.RecordResponse, error) {
			return d.peers.Submit(ctx, to, &peerpb.SubmitRequest{Request: peerpb.RequestToProto(&req)})
		},
	}
}

// Fate implements httpapi.Service. It waits up to wait for a final fate, in polls of at
// most longPollTimeout, each of which goes to the current owner.
func (d *Daemon) Fate(ctx context.Context, key string, wait time.Duration) (api.RequestStatus, error) {
	deadline := d.now().Add(wait)
	for {
		rec, err := d.route(ctx, d.fateCall(key, min(longPollTimeout, deadline.Sub(d.now()))))
		if err != nil {
			// Waiting for the fate includes waiting for an owner.
			if retryable(err) && d.now().Before(deadline) && ctx.Err() == nil {
				continue
			}
			return api.RequestStatus{}, err
		}
		if rec.Fate.Terminal() || !d.now().Before(deadline) || ctx.Err() != nil {
			return d.statusOf(&rec), nil
		}
	}
}

func (d *Daemon) fateCall(key string, wait time.Duration) call {
	return call{
		key:   key,
		local: func(ctx context.Context) recordReply { return d.fateWithOldSystem(ctx, key, wait) },
		remote: func(ctx context.Context, to peerrpc.Target) (*peerpb.RecordResponse, error) {
			return d.peers.Fate(ctx, to, &peerpb.FateRequest{Key: key, WaitMs: max(0, wait.Milliseconds())})
		},
	}
}

// fateWithOldSystem asks the owner loop, and then the old system about a key that
// has no record here: the old system keeps its keys when the daemons have lost
// theirs.
func (d *Daemon) fateWithOldSystem(ctx context.Context, key string, wait time.Duration) recordReply {
	r := d.localFate(ctx, key, wait)
	if r.fault == nil || r.fault.Kind != fault.NotFound {
		return r
	}
	if rec, ok := d.oldSystem.lookupRecord(ctx, key); ok {
		return recordReply{rec: rec}
	}
	return r
}

// localFate asks the owner loop and waits up to wait for a final fate. After that
// it returns the fate as it is.
func (d *Daemon) localFate(ctx context.Context, key string, wait time.Duration) recordReply {
	if wait <= 0 {
		return d.askLoop(ctx, func(reply chan recordReply) message { return fateMsg{key: key, reply: reply} })
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply := make(chan recordReply, 1)
	if !d.requests.TryPush(fateMsg{key: key, wait: true, reply: reply}) {
		return recordReply{fault: errOverloaded()}
	}
	select {
	case r := <-reply:
		return r
	case <-waitCtx.Done():
		d.sendControl(removeWaiterMsg{key, reply})
		return d.askLoop(ctx, func(reply chan recordReply) message { return fateMsg{key: key, reply: reply} })
	}
}

func errOverloaded() *fault.Error {
	return fault.New(fault.Overloaded, "retry later with backoff and the same key", "the daemon's request ring is full; nothing was started")
}

// askLoop sends a message to the owner loop and waits for its reply. It returns an
// overload fault when the request ring is full.
func (d *Daemon) askLoop(ctx context.Context, build func(chan recordReply) message) recordReply {
	reply := make(chan recordReply, 1)
	if !d.requests.TryPush(build(reply)) {
		return recordReply{fault: errOverloaded()}
	}
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		return recordReply{fault: fault.New(fault.FateUnknownYet, "ask for the fate of the key", "the call ended before the daemon answered")}
	}
}

// Cancel implements httpapi.Service. It returns the state of the request after the
// cancellation was accepted.
func (d *Daemon) Cancel(ctx context.Context, key string) (api.RequestStatus, error) {
	rec, err := d.route(ctx, d.cancelCall(key))
	if err != nil {
		return api.RequestStatus{}, err
	}
	return d.statusOf(&rec), nil
}

func (d *Daemon) cancelCall(key string) call {
	return call{
		key: key,
		local: func(ctx context.Context) recordReply {
			return d.askLoop(ctx, func(reply chan recordReply) message { return cancelMsg{key: key, reply: reply} })
		},
		remote: func(ctx context.Context, to peerrpc.Target) (*peerpb.RecordResponse, error) {
			return d.peers.Cancel(ctx, to, &peerpb.CancelRequest{Key: key})
		},
	}
}

// delegateCall submits a request that another data centre delegates to the owner
// of this one.
func (d *Daemon) delegateCall(home model.DataCentre, term uint64, req model.Request) call {
	return call{
		key: req.Key,
		local: func(ctx context.Context) recordReply {
			return d.askLoop(ctx, func(reply chan recordReply) message {
				return submitMsg{req: req, home: home, term: term, reply: reply}
			})
		},
		remote: func(ctx context.Context, to peerrpc.Target) (*peerpb.RecordResponse, error) {
			return d.peers.Delegate(ctx, to, &peerpb.DelegateRequest{
				Home: string(home), HomeTerm: term, Request: peerpb.RequestToProto(&req),
			})
		},
	}
}
