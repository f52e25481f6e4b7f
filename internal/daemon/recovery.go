package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"catkinvalve/internal/adapters/peerrpc"
	"catkinvalve/internal/core/election"
	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/peerpb"
)

const (
	// recoveryTimeout bounds how long a new owner waits for each source of
	// records. It is shorter than a lease TTL, so that a takeover stays within 4 s.
	recoveryTimeout = 800 * time.Millisecond
	// lateRecoveryInterval is the interval at which the sources that did not
	// answer in time are asked again.
	lateRecoveryInterval = time.Second
	// fetchPageSize bounds the records of one page that is fetched from a peer.
	fetchPageSize = 256
)

// recoveryRequest describes the recovery of a new owner with the given term.
type recoveryRequest struct {
	term       uint64
	localPeers []membership.Peer
	// remotePeers has an entry for every other data centre, which is nil when no
	// daemon there is known.
	remotePeers map[model.DataCentre][]membership.Peer
	// synced is true when this daemon already has every record of the last owner.
	synced bool
}

// recover loads records from the local peers, the journal and the other data
// centres concurrently, and reports the result to the owner loop. It returns at
// once.
func (d *Daemon) recover(r recoveryRequest) {
	d.group.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, recoveryTimeout)
		defer cancel()
		res := scheduler.Recovery{Term: r.term, PeerSynced: r.synced}
		var mu sync.Mutex
		var wg sync.WaitGroup
		run := func(fn func()) {
			wg.Add(1)
			d.group.Go(func() { defer wg.Done(); fn() })
		}
		for _, peer := range r.localPeers {
			run(func() {
				synced := d.fetchRecords(ctx, peer, r.term)
				mu.Lock()
				defer mu.Unlock()
				res.PeerSynced = res.PeerSynced || synced
			})
		}
		run(func() {
			read := d.readJournal(ctx, func(rs []model.Record) { d.sendControl(restoreMsg{records: rs}) })
			mu.Lock()
			defer mu.Unlock()
			res.JournalRead = read
		})
		for dc, peers := range r.remotePeers {
			run(func() {
				if d.recoverDelegated(ctx, dc, peers, r.term) {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				res.PendingDataCentres = append(res.PendingDataCentres, dc)
			})
		}
		wg.Wait()
		d.sendControl(recoveryDoneMsg{res})
	})
}

// fetchRecords fetches all records of a local peer and restores them. It returns
// true when that peer had every record of the last owner.
func (d *Daemon) fetchRecords(ctx context.Context, peer membership.Peer, term uint64) bool {
	synced := true
	complete := d.restorePages("", func(after string) (*peerpb.FetchRecordsResponse, error) {
		resp, err := d.peers.FetchRecords(ctx, target(peer), &peerpb.FetchRecordsRequest{
			DataCentre: string(d.set.DataCentre), Term: term, After: after, Limit: fetchPageSize,
		})
		synced = synced && err == nil && resp.Synced
		return resp, err
	})
	return complete && synced
}

// restorePages fetches records page by page and restores them. It returns false
// when a page could not be fetched. delegatedTo is set for records of requests
// that another data centre runs for this one.
func (d *Daemon) restorePages(delegatedTo model.DataCentre, fetch func(after string) (*peerpb.FetchRecordsResponse, error)) bool {
	after := ""
	for {
		resp, err := fetch(after)
		if err != nil {
			return false
		}
		records := recordsFromProto(resp.Records)
		d.sendControl(restoreMsg{records: records, delegatedTo: delegatedTo})
		if !resp.More || len(records) == 0 {
			return true
		}
		after = records[len(records)-1].Request.Key
	}
}

// recoverDelegated asks the owner of another data centre for the requests that it
// runs for this one. Any daemon there forwards the call to its owner. It returns
// false when no daemon answered.
func (d *Daemon) recoverDelegated(ctx context.Context, dc model.DataCentre, peers []membership.Peer, term uint64) bool {
	for _, p := range peers {
		if d.recoverDelegatedFrom(ctx, dc, target(p), term) {
			return true
		}
	}
	return false
}

func (d *Daemon) recoverDelegatedFrom(ctx context.Context, dc model.DataCentre, to peerrpc.Target, term uint64) bool {
	return d.restorePages(dc, func(after string) (*peerpb.FetchRecordsResponse, error) {
		return d.peers.RecoverHome(ctx, to, &peerpb.RecoverHomeRequest{
			Home: string(d.set.DataCentre), HomeTerm: term, After: after, Limit: fetchPageSize,
		})
	})
}

// watchRecords runs until ctx ends. On a standby it keeps the records complete. On
// an owner in doubt it repeats the recovery from the sources that did not answer.
func (d *Daemon) watchRecords(ctx context.Context) {
	ticker := time.NewTicker(d.set.Timings.HeartbeatInterval)
	defer ticker.Stop()
	var lastLateRecovery time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s := d.state.Load()
		if s.role == election.Standby && !s.synced {
			d.syncStandby(ctx, s)
		}
		if s.inDoubt && d.now().Sub(lastLateRecovery) > lateRecoveryInterval {
			lastLateRecovery = d.now()
			d.recoverLate(ctx, s)
		}
	}
}

// syncStandby fetches all records of the owner. A heartbeat is sent before, so that
// the owner already replicates to this daemon and no change is missed.
func (d *Daemon) syncStandby(ctx context.Context, s *state) {
	owner, ok := s.localOwner()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 10*recoveryTimeout)
	defer cancel()
	if !d.exchangeHeartbeat(ctx, target(owner)) {
		return
	}
	// The owner replicates to this daemon from the next tick of its owner loop on.
	pause.For(ctx, 2*tickInterval)
	if d.fetchRecords(ctx, owner, 0) {
		d.sendControl(syncedMsg{owner.Term})
	}
}

// recoverLate reads the journal and asks the pending data centres again, and reports
// each source that was read. The newest record of each key is restored once the
// whole journal was read.
func (d *Daemon) recoverLate(ctx context.Context, s *state) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	newest := map[string]model.Record{}
	if !d.journalTruncated.Load() && d.readJournal(ctx, func(rs []model.Record) { keepNewest(newest, rs) }) {
		d.sendControl(restoreMsg{records: slices.Collect(maps.Values(newest))})
		d.sendControl(lateRecoveryMsg{journalRead: true})
	}
	for _, dc := range s.pendingDataCentres {
		if d.recoverDelegated(ctx, dc, s.peersIn(dc), s.term) {
			d.sendControl(lateRecoveryMsg{dataCentre: dc})
		}
	}
}

// keepNewest adds records to newest and keeps the newest one of each key. A serving
// owner restores only keys that it does not know, so an older record must not
// reach it first.
func keepNewest(newest map[string]model.Record, records []model.Record) {
	for _, r := range records {
		if have, ok := newest[r.Request.Key]; !ok || r.Newer(&have) {
			newest[r.Request.Key] = r
		}
	}
}
