package daemon

import (
	"context"
	"time"

	"catkinvalve/internal/adapters/peerrpc"
	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/peerpb"
)

const (
	// routeTimeout bounds how long a call looks for an owner of the home data
	// centre. It is long enough for a takeover: lease TTL and election.
	routeTimeout = 8 * time.Second
	// routeRetryDelay is the delay between two attempts.
	routeRetryDelay = 50 * time.Millisecond
	// forwardTimeout bounds a forwarded call, including its wait for a fate of at most
	// longPollTimeout. Only the delegator adds it to that wait.
	forwardTimeout = 3 * time.Second
	// longPollTimeout bounds one forwarded wait for a fate, so that a dead owner
	// is noticed.
	longPollTimeout = 2 * time.Second
)

// call is one operation on a key at the owner of its home data centre.
type call struct {
	key string
	// local performs the operation when this daemon is the owner.
	local func(ctx context.Context) recordReply
	// remote performs it at a peer and returns the peer's record. If it fails,
	// peerrpc.NotSent tells whether it certainly had no effect.
	remote func(ctx context.Context, to peerrpc.Target) (*peerpb.RecordResponse, error)
}

// home returns the home data centre of a key under the active configuration.
func (d *Daemon) home(key string) (model.DataCentre, error) {
	cfg, _ := d.config.active()
	if cfg == nil {
		return "", fault.New(fault.NotReady, "retry at another daemon, or publish a configuration", "no configuration is in force at this daemon")
	}
	return membership.Home(key, dataCentreNames(cfg)), nil
}

// route performs a call at the owner of the key's home data centre, and repeats it
// until it is answered or routeTimeout has passed. Repeating is safe, because the
// owner keeps a record by key.
func (d *Daemon) route(ctx context.Context, c call) (model.Record, error) {
	home, err := d.home(c.key)
	if err != nil {
		return model.Record{}, err
	}
	return d.routeTo(ctx, home, c)
}

// routeTo is route for a given home data centre.
func (d *Daemon) routeTo(ctx context.Context, home model.DataCentre, c call) (model.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	maybeSent := false
	for {
		rec, err := d.tryOwners(ctx, home, c)
		if err == nil {
			return rec, nil
		}
		if !retryable(err) {
			return model.Record{}, refusalError(home, c.key, maybeSent, err)
		}
		maybeSent = maybeSent || fault.KindOf(err) == fault.FateUnknownYet
		pause.For(ctx, routeRetryDelay)
		if ctx.Err() != nil {
			return model.Record{}, routeError(home, c.key, maybeSent, err)
		}
	}
}

// retryable reports whether the same call may succeed at another daemon or later.
func retryable(err error) bool {
	switch fault.KindOf(err) {
	case fault.NoOwner, fault.HomeUnreachable, fault.FateUnknownYet, fault.StaleTerm, fault.Draining:
		return true
	}
	return false
}

// refusalError returns the error of a call that was answered with a refusal. A
// refusal means that this attempt started nothing. If the answer to an earlier
// attempt was lost, that one may have been accepted, so the error must say that
// the fate is unknown.
func refusalError(home model.DataCentre, key string, maybeSent bool, err error) error {
	switch fault.KindOf(err) {
	case fault.Overloaded, fault.DeadlineExceeded, fault.CanNeverRun, fault.UnknownService, fault.FateInDoubt:
		if maybeSent {
			return routeError(home, key, true, err)
		}
	}
	return err
}

// routeError returns the error of a call that was not answered. last is the error
// of the last attempt.
func routeError(home model.DataCentre, key string, maybeSent bool, last error) error {
	if maybeSent {
		return fault.Wrap(last, fault.FateUnknownYet, "ask for the fate of the key later, or repeat the request with the same key",
			"the request %q may have reached data centre %s, which did not answer", key, home)
	}
	if fault.KindOf(last) == fault.NoOwner || fault.KindOf(last) == fault.Draining {
		return last
	}
	return fault.Wrap(last, fault.HomeUnreachable, "retry later, or use a key with the prefix of a reachable data centre for a new request",
		"data centre %s, the home of %q, cannot be reached; nothing was sent", home, key)
}

// tryOwners performs a call once: here if this daemon is the owner, otherwise at
// the candidates in turn until one answers or the call may have reached one.
func (d *Daemon) tryOwners(ctx context.Context, home model.DataCentre, c call) (model.Record, error) {
	s := d.state.Load()
	if home == d.set.DataCentre && s.serving {
		r := c.local(ctx)
		if r.fault != nil {
			return model.Record{}, r.fault
		}
		return r.rec, nil
	}
	var last error = fault.New(fault.NoOwner, "retry with the same key", "data centre %s has no known owner", home)
	for _, p := range d.ownerCandidates(s, home) {
		rec, err := d.forward(ctx, p, c)
		if err == nil || !retryable(err) || fault.KindOf(err) == fault.FateUnknownYet {
			return rec, err
		}
		last = err
	}
	return model.Record{}, last
}

// ownerCandidates lists the peers to call: the live owner of this data centre, or
// all known daemons of another one, which forward the call to their owner.
func (d *Daemon) ownerCandidates(s *state, home model.DataCentre) []membership.Peer {
	if home != d.set.DataCentre {
		return s.peersIn(home)
	}
	if p, ok := s.localOwner(); ok {
		return []membership.Peer{p}
	}
	return nil
}

// forward performs a call at a peer and returns the peer's record.
func (d *Daemon) forward(ctx context.Context, p membership.Peer, c call) (model.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	resp, err := c.remote(ctx, target(p))
	if err != nil {
		return model.Record{}, err
	}
	rec, err := peerpb.RecordFromProto(resp.Record)
	if err != nil {
		return model.Record{}, fault.Wrap(err, fault.Internal, "report this as a defect", "daemon %s sent a malformed record", p.ID)
	}
	return rec, nil
}
