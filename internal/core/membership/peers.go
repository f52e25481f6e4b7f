package membership

import (
	"slices"
	"strings"
	"time"

	"catkinvalve/internal/core/model"
)

// Load summarizes the load of a data centre. The owner sends it with its
// heartbeats; its encoded size is bounded.
type Load struct {
	// Free and Capacity are totals over the workers. LargestFree is, in each
	// dimension separately, the largest free capacity of one worker.
	Free, Capacity, LargestFree model.Size
	Workers                     int
	// Queued counts the entries of the owner's queue, Running the tasks that
	// hold capacity of a worker.
	Queued, Running int64
	// BatchWait and InteractiveWait are the waiting times of the oldest queued
	// requests of these classes.
	BatchWait, InteractiveWait time.Duration
}

// Peer is the state of another daemon according to its last heartbeat.
type Peer struct {
	ID          string
	Incarnation string
	DataCentre  model.DataCentre
	Region      string
	Addr        string
	Revision    uint64 // of the configuration
	// Term is the term in which the peer owns its data centre, or 0 for a standby.
	Term     uint64
	Ready    bool
	Draining bool
	Load     Load
	LastSeen time.Time // time of the last heartbeat
}

// Table holds the peers of one daemon. It is not safe for concurrent use.
type Table struct {
	self           Peer
	failureTimeout time.Duration
	peers          map[string]*Peer // by ID
	// maxTerm is the highest known term of this daemon's data centre.
	maxTerm uint64
}

// NewTable returns a table for the daemon self. A local peer counts as dead
// failureTimeout after its last heartbeat.
func NewTable(self Peer, failureTimeout time.Duration) *Table {
	return &Table{self: self, failureTimeout: failureTimeout, peers: map[string]*Peer{}}
}

// RecordHeartbeat records a heartbeat of a peer, received at now. It ignores
// heartbeats of the daemon itself.
func (t *Table) RecordHeartbeat(now time.Time, p Peer) {
	if p.ID == t.self.ID {
		return
	}
	p.LastSeen = now
	if p.DataCentre == t.self.DataCentre {
		t.ObserveTerm(p.Term)
	}
	t.peers[p.ID] = &p
}

// ObserveTerm raises the highest known term of this daemon's data centre to term
// if it is lower.
func (t *Table) ObserveTerm(term uint64) { t.maxTerm = max(t.maxTerm, term) }

// MaxTerm returns the highest known term of this daemon's data centre.
func (t *Table) MaxTerm() uint64 { return t.maxTerm }

// RemovePeer removes a peer, for example when it left the instance list.
func (t *Table) RemovePeer(id string) { delete(t.peers, id) }

// remoteTimeoutFactor extends the failure timeout for peers in other data
// centres, which exchange heartbeats less often.
const remoteTimeoutFactor = 4

// Alive reports whether a peer is known and its last heartbeat is more recent
// than the failure timeout.
func (t *Table) Alive(now time.Time, id string) bool {
	p := t.peers[id]
	if p == nil {
		return false
	}
	timeout := t.failureTimeout
	if p.DataCentre != t.self.DataCentre {
		timeout *= remoteTimeoutFactor
	}
	return now.Sub(p.LastSeen) < timeout
}

// Peers returns copies of all known peers, alive or not, sorted by ID.
func (t *Table) Peers() []Peer {
	out := make([]Peer, 0, len(t.peers))
	for _, p := range t.peers {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Owner returns the live peer with the highest term in a data centre. It returns
// false if no live peer owns the data centre; the daemon itself is not a peer.
func (t *Table) Owner(now time.Time, dc model.DataCentre) (Peer, bool) {
	var best *Peer
	for _, p := range t.peers {
		if p.DataCentre == dc && p.Term > 0 && t.Alive(now, p.ID) && (best == nil || p.Term > best.Term) {
			best = p
		}
	}
	if best == nil {
		return Peer{}, false
	}
	return *best, true
}

// LiveLocalPeers returns the live peers in this daemon's data centre, sorted by ID.
func (t *Table) LiveLocalPeers(now time.Time) []Peer {
	var out []Peer
	for _, p := range t.Peers() {
		if p.DataCentre == t.self.DataCentre && t.Alive(now, p.ID) {
			out = append(out, p)
		}
	}
	return out
}

// HasLiveLocalPeers reports whether another daemon of this daemon's data centre
// is alive. It makes no copies because the owner calls it for every batch.
func (t *Table) HasLiveLocalPeers(now time.Time) bool {
	for id, p := range t.peers {
		if p.DataCentre == t.self.DataCentre && t.Alive(now, id) {
			return true
		}
	}
	return false
}

// ShouldCampaign reports whether this daemon should campaign: its data centre
// has no live owner, and no live, ready local peer that is not draining has a
// lower ID. It is harmless if two daemons campaign at once, because a worker
// grants its lease to only one of them.
func (t *Table) ShouldCampaign(now time.Time) bool {
	if _, ok := t.Owner(now, t.self.DataCentre); ok {
		return false
	}
	for _, p := range t.LiveLocalPeers(now) {
		if p.Ready && !p.Draining && p.ID < t.self.ID {
			return false
		}
	}
	return true
}
