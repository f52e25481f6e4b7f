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

// peerService implements the peer RPC service, which other daemons call.
type peerService struct {
	peerpb.DRPCPeerUnimplementedServer
	d *Daemon

	mu sync.Mutex
	// snapshots holds, by caller, the records that the caller is paging through.
	// Later changes reach it by replication.
	snapshots map[string]fetchRecordsReply
}

// Heartbeat records the state of the sender and returns that of this daemon.
func (s *peerService) Heartbeat(_ context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	s.d.sendControl(heartbeatMsg{peerFromHeartbeat(r), requestedDrainsFromProto(r)})
	own := s.d.heartbeatRequest()
	return &peerpb.HeartbeatResponse{
		Daemon: own.Daemon, Incarnation: own.Incarnation, Revision: own.Revision, Term: own.Term,
		Ready: own.Ready, Draining: own.Draining, Load: own.Load,
	}, nil
}

// recordResponse encodes a record, or err as a fault in the response.
func recordResponse(key string, rec model.Record, err error) (*peerpb.RecordResponse, error) {
	if err != nil {
		return &peerpb.RecordResponse{Key: key, Fault: peerpb.FaultToProto(err)}, nil
	}
	return &peerpb.RecordResponse{Key: key, Record: peerpb.RecordToProto(&rec)}, nil
}

// callOrForward performs a call here, or forwards it to the owner of this data
// centre. A call from a local peer is never forwarded, so calls cannot loop.
func (s *peerService) callOrForward(ctx context.Context, c call) (*peerpb.RecordResponse, error) {
	st := s.d.state.Load()
	if st.serving || s.d.fromLocalPeer(ctx) {
		r := c.local(ctx)
		if r.fault != nil {
			return recordResponse(c.key, r.rec, r.fault)
		}
		return recordResponse(c.key, r.rec, nil)
	}
	owner, ok := st.localOwner()
	if !ok {
		return recordResponse(c.key, model.Record{}, fault.New(fault.NoOwner, "retry with the same key", "data centre %s has no owner", s.d.set.DataCentre))
	}
	rec, err := s.d.forward(ctx, owner, c)
	return recordResponse(c.key, rec, err)
}

// ownerToForwardTo returns the owner to which a call has to be forwarded, and false
// when it is answered here: this daemon is the owner, no owner is known, or the call
// comes from a local peer and is therefore never forwarded.
func (s *peerService) ownerToForwardTo(ctx context.Context) (membership.Peer, bool) {
	st := s.d.state.Load()
	if st.serving || s.d.fromLocalPeer(ctx) {
		return membership.Peer{}, false
	}
	return st.localOwner()
}

// Submit submits a request whose home is this data centre.
func (s *peerService) Submit(ctx context.Context, r *peerpb.SubmitRequest) (*peerpb.RecordResponse, error) {
	req, err := peerpb.RequestFromProto(r.Request)
	if err != nil {
		return recordResponse(r.GetRequest().GetKey(), model.Record{}, err)
	}
	return s.callOrForward(ctx, s.d.submitCall(req))
}

// Fate returns the fate of a key of this data centre. It waits at most
// longPollTimeout for a final one, and not at all when MinRevision is set.
func (s *peerService) Fate(ctx context.Context, r *peerpb.FateRequest) (*peerpb.RecordResponse, error) {
	if r.MinRevision > 0 {
		return s.callOrForward(ctx, s.d.earlierHomeFateCall(r.Key, r.MinRevision))
	}
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, longPollTimeout)
	return s.callOrForward(ctx, s.d.fateCall(r.Key, wait))
}

// Cancel cancels a request whose home is this data centre.
func (s *peerService) Cancel(ctx context.Context, r *peerpb.CancelRequest) (*peerpb.RecordResponse, error) {
	return s.callOrForward(ctx, s.d.cancelCall(r.Key))
}

// Explain explains why a request of this data centre waits.
func (s *peerService) Explain(ctx context.Context, r *peerpb.ExplainRequest) (*peerpb.ExplainResponse, error) {
	if owner, ok := s.ownerToForwardTo(ctx); ok {
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

// Replicate stores the owner's records. A daemon that has accepted an owner of a
// higher term, or is owner itself, refuses them and returns the highest term that
// it knows.
func (s *peerService) Replicate(ctx context.Context, r *peerpb.ReplicateRequest) (*peerpb.ReplicateResponse, error) {
	reply := make(chan *peerpb.ReplicateResponse, 1)
	s.d.sendControl(replicateMsg{term: r.Term, records: recordsFromProto(r.Records), reply: reply})
	select {
	case resp := <-reply:
		return resp, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// FetchRecords returns one page of all records in order of key. The first page, with
// After empty, takes a snapshot, from which the caller's later pages are served.
func (s *peerService) FetchRecords(ctx context.Context, r *peerpb.FetchRecordsRequest) (*peerpb.FetchRecordsResponse, error) {
	caller := peerrpc.CallerFromContext(ctx).ID
	f, ok := s.snapshot(caller)
	if !ok || r.After == "" {
		reply := make(chan fetchRecordsReply, 1)
		s.d.sendControl(fetchRecordsMsg{term: r.Term, reply: reply})
		select {
		case f = <-reply:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		sortRecords(f.records)
	}
	resp := recordPage(f.records, r.After, int(r.Limit))
	resp.Term, resp.Synced = f.term, f.synced
	s.storeSnapshot(caller, f, resp.More)
	return resp, nil
}

// snapshot returns the records that a caller is paging through, and false when it has
// none.
func (s *peerService) snapshot(caller string) (fetchRecordsReply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.snapshots[caller]
	return f, ok
}

// maxSnapshots limits the memory that callers can use, whose IDs are not checked. Only daemons that
// have just started fetch records.
const maxSnapshots = 16

// storeSnapshot keeps a snapshot while the caller has more pages to fetch, and drops
// it after the last one. If there are too many it drops another one, whose caller gets a
// new one with its next page.
func (s *peerService) storeSnapshot(caller string, f fetchRecordsReply, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !more {
		delete(s.snapshots, caller)
		return
	}
	if _, ok := s.snapshots[caller]; !ok && len(s.snapshots) >= maxSnapshots {
		s.dropSnapshot()
	}
	s.snapshots[caller] = f
}

// dropSnapshot drops any snapshot. mu must be held.
func (s *peerService) dropSnapshot() {
	for caller := range s.snapshots {
		delete(s.snapshots, caller)
		return
	}
}

// sortRecords sorts records by key.
func sortRecords(records []model.Record) {
	slices.SortFunc(records, func(a, b model.Record) int { return strings.Compare(a.Request.Key, b.Request.Key) })
}

// recordPage returns the first records whose keys are greater than after: at most
// limit, and at least one if there is any. records must be sorted by key.
func recordPage(records []model.Record, after string, limit int) *peerpb.FetchRecordsResponse {
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

// FetchConfig returns the accepted configuration when it is newer than the
// caller's, otherwise only its revision.
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

// Delegate submits a request that its home data centre delegates to this one.
func (s *peerService) Delegate(ctx context.Context, r *peerpb.DelegateRequest) (*peerpb.RecordResponse, error) {
	req, err := peerpb.RequestFromProto(r.Request)
	if err != nil {
		return recordResponse(r.GetRequest().GetKey(), model.Record{}, err)
	}
	return s.callOrForward(ctx, s.d.delegateCall(model.DataCentre(r.Home), r.HomeTerm, req))
}

// RecoverHome returns one page of the records that this data centre runs for a home
// data centre, in order of key.
func (s *peerService) RecoverHome(ctx context.Context, r *peerpb.RecoverHomeRequest) (*peerpb.FetchRecordsResponse, error) {
	if owner, ok := s.ownerToForwardTo(ctx); ok {
		return s.d.peers.RecoverHome(ctx, target(owner), r)
	}
	var records []model.Record
	var recoverErr *fault.Error
	if err := s.d.queryLoop(ctx, func(l *ownerLoop, _ time.Time) {
		records, recoverErr = l.core.RecoverHome(model.DataCentre(r.Home), r.HomeTerm)
	}); err != nil {
		return nil, err
	}
	if recoverErr != nil {
		return &peerpb.FetchRecordsResponse{Fault: peerpb.FaultToProto(recoverErr)}, nil
	}
	sortRecords(records)
	return recordPage(records, r.After, int(r.Limit)), nil
}

// Drain excludes a worker of this data centre from new work.
func (s *peerService) Drain(ctx context.Context, r *peerpb.DrainRequest) (*peerpb.DrainResponse, error) {
	if owner, ok := s.ownerToForwardTo(ctx); ok {
		return s.d.peers.Drain(ctx, target(owner), r)
	}
	n, found, err := s.d.localDrain(ctx, r.Worker)
	if err != nil {
		return &peerpb.DrainResponse{Fault: peerpb.FaultToProto(err)}, nil
	}
	return &peerpb.DrainResponse{Found: found, Running: int64(n)}, nil
}

// Status returns the status of this data centre as its owner sees it, or as this
// daemon sees it when the call is not forwarded.
func (s *peerService) Status(ctx context.Context, r *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	if owner, ok := s.ownerToForwardTo(ctx); ok {
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
