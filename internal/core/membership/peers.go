package membership

import (
	"slices"
	"strings"
	"time"

	"catkinvalve/internal/core/model"
)

// Load is the bounded load summary that an owner sends with its heartbeats.
type Load struct {
	Free, Capacity, LargestFree model.Size
	Workers                     int
	Queued, Running             int64
	BatchWait, InteractiveWait  time.Duration
}

// Peer is what a daemon knows of another one from heartbeats.
type Peer struct {
	ID          string
	Incarnation string
	DataCentre  model.DataCentre
	Region      string
	Addr        string
	Revision    uint64
	// Term is the term that the peer leads its data centre with; 0 for a standby.
	Term     uint64
	Ready    bool
	Draining bool
	Load     Load
	LastSeen time.Time
}

// Table holds the peers of one daemon. It is not safe for concurrent use.
type Table struct {
	self           Peer
	failureTimeout time.Duration
	peers          map[string]*Peer
	// maxTerm is the highest term seen for the own data centre.
	maxTerm uint64
}

// NewTable returns a table for the daemon self. A peer that was not heard of
// for suspect counts as dead.
func NewTable(self Peer, failureTimeout time.Duration) *Table {
	return &Table{self: self, failureTimeout: failureTimeout, peers: map[string]*Peer{}}
}

// Seen records a heartbeat of a peer.
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

// SawTerm raises the highest term known for the own data centre.
func (t *Table) ObserveTerm(term uint64) { t.maxTerm = max(t.maxTerm, term) }

// MaxTerm returns the highest term known for the own data centre.
func (t *Table) MaxTerm() uint64 { return t.maxTerm }

// Forget removes a peer that left the instance list.
func (t *Table) RemovePeer(id string) { delete(t.peers, id) }

// remoteSuspectFactor stretches the suspicion time for peers of other data
// centres, which exchange heartbeats less often.
const remoteTimeoutFactor = 4

// Alive reports whether a peer was heard of recently.
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

// Peers returns copies of all known peers in order of ID.
func (t *Table) Peers() []Peer {
	out := make([]Peer, 0, len(t.peers))
	for _, p := range t.peers {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Owner returns the living peer with the highest term in a data centre.
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

// LocalPeers returns the living peers of the own data centre in order of ID.
func (t *Table) LiveLocalPeers(now time.Time) []Peer {
	var out []Peer
	for _, p := range t.Peers() {
		if p.DataCentre == t.self.DataCentre && t.Alive(now, p.ID) {
			out = append(out, p)
		}
	}
	return out
}

// HasLocalPeers reports whether another daemon of the own data centre is alive.
// The owner asks with every batch, so it makes no copies.
func (t *Table) HasLiveLocalPeers(now time.Time) bool {
	for id, p := range t.peers {
		if p.DataCentre == t.self.DataCentre && t.Alive(now, id) {
			return true
		}
	}
	return false
}

// Candidate reports whether the own daemon should campaign: no living owner is
// known and no living, ready local peer has a lower ID. Two daemons that disagree do
// no harm, because the workers grant each lease once.
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
