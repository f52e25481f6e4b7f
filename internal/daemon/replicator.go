package daemon

import (
	"context"
	"sync"
	"time"

	"catkinvalve/internal/adapters/peerrpc"
	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/peerpb"
)

const (
	// replicateBatchRecords bounds the records of one Replicate call.
	replicateBatchRecords = 256
	// replicateTimeout bounds one Replicate call. The call to a standby that does
	// not answer is repeated until its heartbeats stop.
	replicateTimeout = 500 * time.Millisecond
)

// replicator sends changed records to the standbys. It blocks on the owner loop,
// so the owner loop must never block on it: add always succeeds. Memory is bounded
// by the size of the record table, as only the latest version of each record is
// kept.
type replicator struct {
	d       *Daemon
	mu      sync.Mutex
	term    uint64
	pending map[string]model.Record
	// order lists the keys of pending in the order of their first change.
	order []string
	wake  chan struct{}
}

func newReplicator(d *Daemon) *replicator {
	return &replicator{d: d, pending: map[string]model.Record{}, wake: make(chan struct{}, 1)}
}

// add queues records for replication. A record replaces the queued one of its key.
func (r *replicator) add(term uint64, records []model.Record) {
	r.mu.Lock()
	r.term = term
	for i := range records {
		key := records[i].Request.Key
		if _, ok := r.pending[key]; !ok {
			r.order = append(r.order, key)
		}
		r.pending[key] = records[i]
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// reset drops the queued records after a step-down.
func (r *replicator) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.pending)
	r.order = nil
}

// takeBatch removes the next batch, in the order of first change, and returns it
// with the term of its owner.
func (r *replicator) takeBatch() (uint64, []model.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(r.order), replicateBatchRecords)
	out := make([]model.Record, 0, n)
	for _, key := range r.order[:n] {
		out = append(out, r.pending[key])
		delete(r.pending, key)
	}
	r.order = r.order[n:]
	return r.term, out
}

func (r *replicator) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for ctx.Err() == nil {
			term, records := r.takeBatch()
			if len(records) == 0 {
				break
			}
			r.send(ctx, term, records)
		}
	}
}

// send replicates a batch to all live standbys and then acknowledges it to the
// owner loop. It returns only when every standby that still sends heartbeats has
// answered; one that refused the batch is reported with its term.
func (r *replicator) send(ctx context.Context, term uint64, records []model.Record) {
	req := &peerpb.ReplicateRequest{DataCentre: string(r.d.set.DataCentre), Owner: r.d.holder, Term: term}
	for i := range records {
		req.Records = append(req.Records, peerpb.RecordToProto(&records[i]))
	}
	var wg sync.WaitGroup
	for _, peer := range r.d.state.Load().localPeers {
		wg.Add(1)
		r.d.group.Go(func() { defer wg.Done(); r.sendTo(ctx, peer, req) })
	}
	wg.Wait()
	acks := make([]recordVersion, len(records))
	for i := range records {
		acks[i] = recordVersion{records[i].Request.Key, records[i].Version}
	}
	r.d.sendControl(replicationAckMsg{term, acks})
}

// sendTo replicates a batch to one standby, until it answers or its heartbeats
// stop.
func (r *replicator) sendTo(ctx context.Context, peer membership.Peer, req *peerpb.ReplicateRequest) {
	for ctx.Err() == nil && r.d.state.Load().hasLiveLocalPeer(peer.ID) {
		callCtx, cancel := context.WithTimeout(ctx, replicateTimeout)
		resp, err := r.d.peers.Replicate(callCtx, target(peer), req)
		cancel()
		switch {
		case err != nil:
			pause.For(ctx, retryDelay)
		case resp.Accepted:
			return
		default:
			r.d.sendControl(staleTermMsg{resp.Term})
			return
		}
	}
}

func target(p membership.Peer) peerrpc.Target {
	return peerrpc.Target{ID: p.ID, Addr: p.Addr, Region: p.Region}
}
