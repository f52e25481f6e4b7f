package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"catkinvalve/internal/adapters/peerrpc"
	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/peerpb"
)

// peerService answers the calls of other daemons.
type peerService struct {
	peerpb.DRPCPeerUnimplementedServer
	d *Daemon

	mu sync.Mutex
	// snapshots holds the records that callers are paging through. Later changes
	// reach them as replicated records.
	snapshots map[string]fenceReply
}

// Heartbeat records the sender and answers with the own state.
func (s *peerService) Heartbeat(_ context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	s.d.control(heartbeatMsg{peerFromHeartbeat(r), drainedOf(r)})
	own := s.d.heartbeatRequest()
	return &peerpb.HeartbeatResponse{
		Daemon: own.Daemon, Incarnation: own.Incarnation, Revision: own.Revision, Term: own.Term,
		Ready: own.Ready, Draining: own.Draining, Load: own.Load,
	}, nil
}

func recordResponse(key string, rec model.Record, err error) (*peerpb.RecordResponse, error) {
	if err != nil {
		return &peerpb.RecordResponse{Key: key, Fault: peerpb.FaultToProto(err)}, nil
	}
	return &peerpb.RecordResponse{Key: key, Record: peerpb.RecordToProto(&rec)}, nil
}

// onward runs a forwarded call here, or passes it on once to the owner of this
// data centre. A call from a local peer is never passed on, so calls cannot circle.
func (s *peerService) onward(ctx context.Context, c call) (*peerpb.RecordResponse, error) {
	st := s.d.state.Load()
	if st.serving || s.d.fromLocalPeer(ctx) {
		a := c.local(ctx)
		if a.fault != nil {
			return recordResponse(c.key, a.rec, a.fault)
		}
		return recordResponse(c.key, a.rec, nil)
	}
	owner, ok := st.localOwner()
	if !ok {
		return recordResponse(c.key, model.Record{}, fault.New(fault.NoOwner, "retry with the same key", "data centre %s has no owner", s.d.set.DataCentre))
	}
	rec, err := s.d.forward(ctx, owner, c)
	return recordResponse(c.key, rec, err)
}

// passOn returns the owner to which a call that is not keyed has to be passed,
// under the same rule as onward.
func (s *peerService) passOn(ctx context.Context) (membership.Peer, bool) {
	st := s.d.state.Load()
	if st.serving || s.d.fromLocalPeer(ctx) {
		return membership.Peer{}, false
	}
	return st.localOwner()
}

// Submit handles a request whose home is this data centre.
func (s *peerService) Submit(ctx context.Context, r *peerpb.SubmitRequest) (*peerpb.RecordResponse, error) {
	req, err := peerpb.RequestFromProto(r.Request)
	if err != nil {
		return recordResponse(r.GetRequest().GetKey(), model.Record{}, err)
	}
	return s.onward(ctx, s.d.submitCall(req))
}

// Fate handles a question about a key of this data centre.
func (s *peerService) Fate(ctx context.Context, r *peerpb.FateRequest) (*peerpb.RecordResponse, error) {
	if r.MinRevision > 0 {
		return s.onward(ctx, s.d.earlierFateCall(r.Key, r.MinRevision))
	}
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, longPoll)
	return s.onward(ctx, s.d.fateCall(r.Key, wait))
}

// Cancel handles a cancellation of a key of this data centre.
func (s *peerService) Cancel(ctx context.Context, r *peerpb.CancelRequest) (*peerpb.RecordResponse, error) {
	return s.onward(ctx, s.d.cancelCall(r.Key))
}

// Explain tells why a key of this data centre waits.
func (s *peerService) Explain(ctx context.Context, r *peerpb.ExplainRequest) (*peerpb.ExplainResponse, error) {
	if owner, ok := s.passOn(ctx); ok {
		return s.d.peers.Explain(ctx, target(owner), r)
	}
	x, err := s.d.localExplain(ctx, r.Key)
	if err != nil {
		return &peerpb.ExplainResponse{Key: r.Key, Fault: peerpb.FaultToProto(err)}, nil
	}
	resp := &peerpb.ExplainResponse{Key: r.Key, Fate: string(x.Fate), Summary: x.Summary}
	for reason, n := range x.Counts {
		resp.Counts = append(resp.Counts, &peerpb.ReasonCount{Reason: string(reason), Count: int64(n)})
	}
	return resp, nil
}

// Replicate stores the owner's records.
func (s *peerService) Replicate(ctx context.Context, r *peerpb.ReplicateRequest) (*peerpb.ReplicateResponse, error) {
	reply := make(chan *peerpb.ReplicateResponse, 1)
	s.d.control(replicaMsg{owner: r.Owner, term: r.Term, records: recordsOf(r.Records), reply: reply})
	select {
	case resp := <-reply:
		return resp, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// FetchRecords pages through all records in order of key.
func (s *peerService) FetchRecords(ctx context.Context, r *peerpb.FetchRecordsRequest) (*peerpb.FetchRecordsResponse, error) {
	caller := peerrpc.CallerFromContext(ctx).ID
	f, ok := s.snapshot(caller)
	if !ok || r.After == "" {
		reply := make(chan fenceReply, 1)
		s.d.control(fenceMsg{term: r.Term, reply: reply})
		select {
		case f = <-reply:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		sortRecords(f.records)
	}
	resp := page(f.records, r.After, int(r.Limit))
	resp.Term, resp.Synced = f.term, f.synced
	s.keepSnapshot(caller, f, resp.More)
	return resp, nil
}

func (s *peerService) snapshot(caller string) (fenceReply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.snapshots[caller]
	return f, ok
}

func (s *peerService) keepSnapshot(caller string, f fenceReply, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !more {
		delete(s.snapshots, caller)
		return
	}
	s.snapshots[caller] = f
}

func sortRecords(records []model.Record) {
	slices.SortFunc(records, func(a, b model.Record) int { return strings.Compare(a.Request.Key, b.Request.Key) })
}

// page returns up to limit records after a key of records in order of key.
func page(records []model.Record, after string, limit int) *peerpb.FetchRecordsResponse {
	first, _ := slices.BinarySearchFunc(records, after+"\x00", func(r model.Record, key string) int {
		return strings.Compare(r.Request.Key, key)
	})
	rest := records[first:]
	n := min(len(rest), max(limit, 1))
	resp := &peerpb.FetchRecordsResponse{More: len(rest) > n}
	for i := range rest[:n] {
		resp.Records = append(resp.Records, peerpb.RecordToProto(&rest[i]))
	}
	return resp
}

// FetchConfig returns the accepted configuration when it is newer.
func (s *peerService) FetchConfig(_ context.Context, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	st, _ := s.d.config.state()
	resp := &peerpb.FetchConfigResponse{Revision: st.Revision}
	if st.Revision > r.HaveRevision {
		b, err := json.Marshal(st)
		if err != nil {
			return nil, err
		}
		resp.State = b
	}
	return resp, nil
}

// Delegate accepts a request of another home data centre.
func (s *peerService) Delegate(ctx context.Context, r *peerpb.DelegateRequest) (*peerpb.RecordResponse, error) {
	req, err := peerpb.RequestFromProto(r.Request)
	if err != nil {
		return recordResponse(r.GetRequest().GetKey(), model.Record{}, err)
	}
	return s.onward(ctx, s.d.delegateCall(model.DataCentre(r.Home), r.HomeTerm, req))
}

// RecoverHome lists what runs here for a home data centre.
func (s *peerService) RecoverHome(ctx context.Context, r *peerpb.RecoverHomeRequest) (*peerpb.FetchRecordsResponse, error) {
	if owner, ok := s.passOn(ctx); ok {
		return s.d.peers.RecoverHome(ctx, target(owner), r)
	}
	var records []model.Record
	var failed *fault.Error
	if err := s.d.query(ctx, func(l *loop, _ time.Time) {
		records, failed = l.core.RecoverHome(model.DataCentre(r.Home), r.HomeTerm)
	}); err != nil {
		return nil, err
	}
	if failed != nil {
		return &peerpb.FetchRecordsResponse{Fault: peerpb.FaultToProto(failed)}, nil
	}
	sortRecords(records)
	return page(records, r.After, int(r.Limit)), nil
}

// Drain stops new work on a worker of this data centre.
func (s *peerService) Drain(ctx context.Context, r *peerpb.DrainRequest) (*peerpb.DrainResponse, error) {
	if owner, ok := s.passOn(ctx); ok {
		return s.d.peers.Drain(ctx, target(owner), r)
	}
	n, found, err := s.d.localDrain(ctx, r.Worker)
	if err != nil {
		return &peerpb.DrainResponse{Fault: peerpb.FaultToProto(err)}, nil
	}
	return &peerpb.DrainResponse{Found: found, Running: int64(n)}, nil
}

// Status returns the view of this data centre's owner.
func (s *peerService) Status(ctx context.Context, r *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	if owner, ok := s.passOn(ctx); ok {
		return s.d.peers.Status(ctx, target(owner), r)
	}
	dc, err := s.d.localStatus(ctx)
	if err != nil {
		return nil, err
	}
	b, err := json.Marshal(dc)
	if err != nil {
		return nil, err
	}
	return &peerpb.StatusResponse{Status: b}, nil
}
