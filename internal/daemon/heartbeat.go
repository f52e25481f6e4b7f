package daemon

import (
	"context"
	"sync"
	"time"

	"catkinvalve/internal/adapters/peerrpc"
	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/peerpb"
)

const (
	// remoteHeartbeatEvery makes every fourth heartbeat go to other data centres
	// as well: their traffic crosses regions, which is charged by volume.
	remoteHeartbeatEvery = 4
	// missedHeartbeatLimit is the number of missed heartbeats after which a peer
	// counts as dead.
	missedHeartbeatLimit = 3
)

// peerAddressBook holds the addresses of the other daemons, from the instance list
// and the configured seeds.
type peerAddressBook struct {
	mu sync.Mutex
	// targets is keyed by address.
	targets map[string]peerTarget
}

// peerTarget is the address of a daemon and its data centre. For a seed, ID and
// Region are empty.
type peerTarget struct {
	peerrpc.Target
	dataCentre model.DataCentre
}

func (b *peerAddressBook) replace(list []peerTarget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = make(map[string]peerTarget, len(list))
	for _, t := range list {
		b.targets[t.Addr] = t
	}
}

func (b *peerAddressBook) all() []peerTarget {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]peerTarget, 0, len(b.targets))
	for _, t := range b.targets {
		out = append(out, t)
	}
	return out
}

// sendHeartbeats sends heartbeats to all peers until ctx ends. Calls to
// different peers run concurrently, so that a dead peer does not delay the others.
// A peer whose last call is still running is skipped.
func (d *Daemon) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(d.set.Timings.HeartbeatInterval)
	defer ticker.Stop()
	inFlight := &sync.Map{}
	for round := 0; ; round++ {
		for _, t := range d.addressBook.all() {
			if t.dataCentre != d.set.DataCentre && round%remoteHeartbeatEvery != 0 {
				continue
			}
			if _, running := inFlight.LoadOrStore(t.Addr, true); running {
				continue
			}
			d.group.Go(func() {
				defer inFlight.Delete(t.Addr)
				callCtx, cancel := context.WithTimeout(ctx, missedHeartbeatLimit*d.set.Timings.HeartbeatInterval)
				defer cancel()
				d.exchangeHeartbeat(callCtx, t.Target)
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// exchangeHeartbeat sends the identity and state of this daemon to one peer, and
// fetches the peer's configuration if the response reports a newer revision. It
// returns false when the call fails.
func (d *Daemon) exchangeHeartbeat(ctx context.Context, to peerrpc.Target) bool {
	resp, err := d.peers.Heartbeat(ctx, to, d.heartbeatRequest())
	if err != nil {
		return false
	}
	d.fetchNewerConfig(resp.Revision, to)
	return true
}

// heartbeatRequest describes this daemon. Only a serving owner adds its load and the
// workers that operators asked to drain.
func (d *Daemon) heartbeatRequest() *peerpb.HeartbeatRequest {
	s := d.state.Load()
	req := &peerpb.HeartbeatRequest{
		Daemon: d.set.DaemonID, Incarnation: d.incarnation, DataCentre: string(d.set.DataCentre), Region: d.set.Region,
		PeerAddr: d.set.Addresses.AdvertisePeer, Revision: s.revision, Term: s.term, Ready: s.ready, Draining: s.draining,
	}
	if s.serving {
		req.Load = loadToProto(s.load)
		for _, id := range s.requestedDrains {
			req.Drained = append(req.Drained, string(id))
		}
	}
	return req
}

func requestedDrainsFromProto(r *peerpb.HeartbeatRequest) []model.WorkerID {
	out := make([]model.WorkerID, 0, len(r.Drained))
	for _, id := range r.Drained {
		out = append(out, model.WorkerID(id))
	}
	return out
}

func peerFromHeartbeat(r *peerpb.HeartbeatRequest) membership.Peer {
	return membership.Peer{
		ID: r.Daemon, Incarnation: r.Incarnation, DataCentre: model.DataCentre(r.DataCentre), Region: r.Region,
		Addr: r.PeerAddr, Revision: r.Revision, Term: r.Term, Ready: r.Ready, Draining: r.Draining, Load: loadFromProto(r.Load),
	}
}

func loadToProto(l membership.Load) *peerpb.Load {
	return &peerpb.Load{
		Free: peerpb.SizeToProto(l.Free), Capacity: peerpb.SizeToProto(l.Capacity), LargestFree: peerpb.SizeToProto(l.LargestFree),
		Workers: int32(l.Workers), Queued: l.Queued, Running: l.Running,
		BatchWaitMs: l.BatchWait.Milliseconds(), InteractiveWaitMs: l.InteractiveWait.Milliseconds(),
	}
}

func loadFromProto(p *peerpb.Load) membership.Load {
	if p == nil {
		return membership.Load{}
	}
	return membership.Load{
		Free: sizeFromProto(p.Free), Capacity: sizeFromProto(p.Capacity), LargestFree: sizeFromProto(p.LargestFree),
		Workers: int(p.Workers), Queued: p.Queued, Running: p.Running,
		BatchWait:       time.Duration(p.BatchWaitMs) * time.Millisecond,
		InteractiveWait: time.Duration(p.InteractiveWaitMs) * time.Millisecond,
	}
}

// sizeFromProto decodes a size. A malformed one becomes the zero size.
func sizeFromProto(p *peerpb.Size) model.Size {
	s, err := peerpb.SizeFromProto(p)
	if err != nil {
		return model.Size{}
	}
	return s
}

// recordsFromProto decodes records and leaves out malformed ones.
func recordsFromProto(ps []*peerpb.Record) []model.Record {
	out := make([]model.Record, 0, len(ps))
	for _, p := range ps {
		if r, err := peerpb.RecordFromProto(p); err == nil {
			out = append(out, r)
		}
	}
	return out
}
