package daemon

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkinvalve/internal/adapters/peerrpc"
	"catkinvalve/internal/api"
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

// requestFromAPI converts a submission. Idempotent defaults to the service's setting.
// A repeated submission must have the same fingerprint, which leaves out the wait,
// the issue time and the deadline.
func (d *Daemon) requestFromAPI(r api.SubmitRequest) model.Request {
	req := model.Request{
		Key: r.Key, Service: r.Service, Team: r.Team, Tasks: r.Tasks,
		RunTime: time.Duration(r.RunMS) * time.Millisecond, Payload: r.Payload,
	}
	if r.Size != nil {
		req.Size = *r.Size
	}
	if r.Deadline != nil {
		req.Deadline = *r.Deadline
	}
	if r.IssuedAt != nil {
		req.IssuedAt = *r.IssuedAt
	}
	req.Fingerprint = fingerprint(r)
	if r.Idempotent != nil {
		req.Idempotent = *r.Idempotent
	} else if cfg, _ := d.config.active(); cfg != nil {
		if s := cfg.Service(r.Service); s != nil {
			req.Idempotent = s.Idempotent
		}
	}
	return req
}

// fingerprint returns a hash of the fields that a repeated submission must repeat, or
// 0 if they cannot be encoded.
func fingerprint(r api.SubmitRequest) uint64 {
	r.WaitMS, r.IssuedAt, r.Deadline = 0, nil, nil
	b, err := json.Marshal(r)
	if err != nil {
		return 0
	}
	h := xxhash.New()
	_, _ = h.Write(b)
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(r.Payload))))
	return h.Sum64()
}

// statusOf converts a record to its form in the API.
func (d *Daemon) statusOf(rec *model.Record) api.RequestStatus {
	home, _ := d.home(rec.Request.Key)
	s := api.RequestStatus{
		Key: rec.Request.Key, Service: rec.Request.Service, Team: rec.Request.Team, Class: rec.Request.Class,
		Side: rec.Side, Fate: rec.Fate, OK: rec.OK, Reason: rec.Reason, Answer: rec.Answer, AnswerDropped: rec.AnswerDropped, Home: home, AcceptedAt: rec.Accepted,
	}
	if !rec.Started.IsZero() {
		s.StartedAt = &rec.Started
	}
	if !rec.Ended.IsZero() {
		s.EndedAt = &rec.Ended
	}
	for i, t := range rec.Tasks {
		s.Tasks = append(s.Tasks, api.TaskStatus{Index: i, State: t.State, Worker: t.Worker, Attempt: t.Attempt})
	}
	return s
}
