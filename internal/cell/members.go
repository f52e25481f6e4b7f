package cell

import (
	"context"
	"slices"
	"sync"
	"time"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/cellpb"
)

// members is what a daemon knows about the others and about the leader.
type members struct {
	self string
	mu   sync.Mutex
	// nodes maps names to link addresses.
	nodes map[string]string
	// seeds are link addresses of daemons whose names are not known.
	seeds []string
	// links holds the open links to each daemon, the latest last. There are two
	// while both sides have dialed; the unused one is closed for its silence.
	links map[string][]*linkrpc.Link
	// token is the highest fencing token heard of.
	token uint64
	// leader is the name of the daemon with that token; empty when not known.
	leader     string
	leaderLink *linkrpc.Link
	leading    bool
	// heard is when the leader was last heard, or when this daemon started.
	heard      time.Time
	successors []string
	// changed is closed and replaced when the leader changes.
	changed chan struct{}
}

func newMembers(self string, now time.Time) *members {
	return &members{self: self, nodes: map[string]string{}, links: map[string][]*linkrpc.Link{}, heard: now, changed: make(chan struct{})}
}

// notify wakes those who wait for a leader. mu must be held.
func (m *members) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// reachable reports whether calls can go to the leader now. mu must be held.
func (m *members) reachable() bool { return m.leading || m.leaderLink != nil }

// hasLeader reports whether there was a leader within the last grace.
func (m *members) hasLeader(grace time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reachable() || time.Since(m.heard) < grace
}

// awaitLeader waits until there is a leader to send a call to. Otherwise it
// returns why not.
func (m *members) awaitLeader(ctx context.Context) (bool, string) {
	for {
		m.mu.Lock()
		ready, changed, silence := m.reachable(), m.changed, time.Since(m.heard)
		m.mu.Unlock()
		if ready {
			return true, ""
		}
		left := leaderlessWait - silence
		if left <= 0 {
			return false, "no_leader"
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false, "no_leader"
		}
		timer.Stop()
	}
}

// opened records a link.
func (m *members) opened(l *linkrpc.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := l.PeerHello.Node
	m.links[name] = append(m.links[name], l)
	m.nodes[name] = l.PeerHello.Address
	if l.PeerHello.Token > 0 {
		m.follow(l, l.PeerHello.Token)
	}
}

// follow takes the daemon at the other end of l as leader. mu must be held.
func (m *members) follow(l *linkrpc.Link, token uint64) {
	if token < m.token || m.leading && token <= m.token {
		return
	}
	m.token, m.leader, m.heard = token, l.PeerHello.Node, time.Now()
	if m.leaderLink != l {
		m.leaderLink = l
		m.notify()
	}
}

// closed forgets a link.
func (m *members) closed(l *linkrpc.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := l.PeerHello.Node
	m.links[name] = slices.DeleteFunc(m.links[name], func(o *linkrpc.Link) bool { return o == l })
	if len(m.links[name]) == 0 {
		delete(m.links, name)
	}
	if m.leaderLink == l {
		m.leaderLink = nil
	}
}

// doubt stops sending calls over a link whose daemon says that it does not lead.
func (m *members) doubt(l *linkrpc.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l != nil && m.leaderLink == l {
		m.leaderLink = nil
	}
}

// heartbeat takes a leader's heartbeat and reports whether it counts.
func (m *members) heartbeat(l *linkrpc.Link, h *cellpb.Heartbeat) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.Token < m.token || m.leading && h.Token <= m.token {
		return false
	}
	m.follow(l, h.Token)
	m.heard = time.Now()
	m.successors = h.Successors
	for _, n := range h.Nodes {
		m.nodes[n.Node] = n.Address
	}
	return true
}

// lead makes this daemon the leader.
func (m *members) lead(token uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if token < m.token {
		return
	}
	m.token, m.leader, m.leading, m.leaderLink, m.heard = token, m.self, true, nil, time.Now()
	m.notify()
}

// resign ends this daemon's lead.
func (m *members) resign() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leading {
		m.leading, m.heard = false, time.Now()
	}
}

// outranked reports whether a higher token than this one is known.
func (m *members) outranked(token uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.token > token
}

// addNode records a daemon's link address.
func (m *members) addNode(name, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if name != m.self {
		m.nodes[name] = address
	}
}

// setSeeds records link addresses of daemons whose names are not known.
func (m *members) setSeeds(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = addresses
}

// addresses returns the link addresses of all daemons that could be asked.
func (m *members) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.Clone(m.seeds)
	for name, address := range m.nodes {
		if name != m.self && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// heardToken takes a token that another daemon heard of.
func (m *members) heardToken(token uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if token > m.token {
		m.token, m.leader, m.leaderLink = token, "", nil
	}
}

// linked returns how many daemons there are open links to, and how many daemons
// are known.
func (m *members) linked() (int, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links), len(m.nodes)
}

// replaced returns when the process of a daemon's incarnation had certainly been
// replaced by another one, if that is known.
func (m *members) replaced(name string, incarnation int64) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	first, known := time.Time{}, false
	for _, l := range m.links[name] {
		if l.PeerHello.Incarnation <= incarnation {
			continue
		}
		began := l.HelloReceivedAt.Add(-time.Duration(l.PeerHello.UptimeMs) * time.Millisecond)
		if !known || began.Before(first) {
			first, known = began, true
		}
	}
	return first, known
}

// others returns the link addresses of the other daemons by name.
func (m *members) others() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]string, len(m.nodes))
	for name, address := range m.nodes {
		if name != m.self {
			out[name] = address
		}
	}
	return out
}

// linkTo returns the open link to a daemon, or nil.
func (m *members) linkTo(name string) *linkrpc.Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if links := m.links[name]; len(links) > 0 {
		return links[len(links)-1]
	}
	return nil
}

// linkToLeader returns the link to the leader, or nil.
func (m *members) linkToLeader() *linkrpc.Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaderLink
}

// peers returns the latest open link to each daemon.
func (m *members) peers() []*linkrpc.Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*linkrpc.Link, 0, len(m.links))
	for _, links := range m.links {
		out = append(out, links[len(links)-1])
	}
	return out
}

// closeSilent closes links on which nothing arrived for too long.
func (m *members) closeSilent(limit time.Duration) {
	m.mu.Lock()
	var silent []*linkrpc.Link
	for _, links := range m.links {
		for _, l := range links {
			if l.IdleTime() > limit {
				silent = append(silent, l)
			}
		}
	}
	m.mu.Unlock()
	for _, l := range silent {
		l.Close()
	}
}

// standing is a summary for the election.
type standing struct {
	token   uint64
	leader  string
	leading bool
	linked  bool
	silence time.Duration
	rank    int
	// daemons is how many there are, as far as known.
	daemons int
}

// standing returns what the daemon knows about the leader; rank is its place
// among the successors, or their number when it is not listed.
func (m *members) standing() standing {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := standing{token: m.token, leader: m.leader, leading: m.leading, linked: m.leaderLink != nil,
		silence: time.Since(m.heard), rank: len(m.successors),
		daemons: max(len(m.nodes), len(m.seeds)) + 1}
	for i, name := range m.successors {
		if name == m.self {
			s.rank = i
			break
		}
	}
	return s
}
