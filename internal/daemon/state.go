package daemon

import (
	"time"

	"catkinvalve/internal/core/election"
	"catkinvalve/internal/core/membership"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
)

// state is a read-only snapshot of the owner loop for other goroutines. Every
// tick publishes a new one; a published snapshot is never modified.
type state struct {
	// publishedAt is the time of the tick that published the snapshot.
	publishedAt time.Time
	role        election.Role
	// term is 0 unless this daemon is owner or recovering to become owner.
	term     uint64
	revision uint64
	ready    bool
	draining bool
	serving  bool
	// synced is true on a standby that has every record of the owner, and on an owner
	// that is not in doubt.
	synced bool
	// inDoubt is true on an owner that may lack records of earlier requests.
	// pendingDataCentres lists the data centres that have not reported which requests
	// they run for this one.
	inDoubt            bool
	pendingDataCentres []model.DataCentre
	// peers lists all known daemons except this one, localPeers the live ones of this
	// data centre.
	peers      []membership.Peer
	localPeers []membership.Peer
	// load and requestedDrains are set only on a serving owner.
	load            membership.Load
	requestedDrains []model.WorkerID
	counters        scheduler.Counters
	// records is the number of records in the core.
	records int
}

// hasLiveLocalPeer reports whether a daemon is a live peer in this data centre.
func (s *state) hasLiveLocalPeer(id string) bool {
	for i := range s.localPeers {
		if s.localPeers[i].ID == id {
			return true
		}
	}
	return false
}

// localOwner returns the live local peer with the highest owner term, and false
// when no local peer is owner.
func (s *state) localOwner() (membership.Peer, bool) {
	var best membership.Peer
	for _, p := range s.localPeers {
		if p.Term > best.Term {
			best = p
		}
	}
	return best, best.Term > 0
}

// peersIn returns the known daemons of a data centre. The one with the highest
// owner term comes first.
func (s *state) peersIn(dc model.DataCentre) []membership.Peer {
	var out []membership.Peer
	for _, p := range s.peers {
		if p.DataCentre != dc {
			continue
		}
		out = append(out, p)
		if last := len(out) - 1; p.Term > out[0].Term {
			out[0], out[last] = out[last], out[0]
		}
	}
	return out
}
