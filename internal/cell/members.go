package cell

import (
	"context"
	"slices"
	"sync"
	"time"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/cellpb"
)

// members is what a daemon knows about the other daemons and about the leader. It is
// safe for concurrent use.
type members struct {
	// self is the name of this daemon.
	self string
	mu   sync.Mutex
	// nodes maps the names of known daemons to their link addresses. Heartbeats may add
	// this daemon.
	nodes map[string]string
	// seeds are link addresses of daemons whose names are not known.
	seeds []string
	// links holds the open links to each daemon, the latest last. When both daemons
	// dial at the same time there are two; the unused one is closed as idle.
	links map[string][]*linkrpc.Link
	// token is the highest known fencing token of a leader.
	token uint64
	// leader is the name of the daemon with that token; empty when not known.
	leader string
	// leaderLink is the link to the leader; nil when there is none.
	leaderLink *linkrpc.Link
	// isLeader reports whether this daemon is the leader, with ownToken. It still is for a
	// moment after another daemon was heard with a higher token.
	isLeader bool
	ownToken uint64
	// leaderHeardAt is when the leader was last known to lead: its last heartbeat, the
	// end of this daemon's own leadership, or at first the start of this daemon.
	leaderHeardAt time.Time
	// leaderConfigAge is the age of the leader's knowledge of the store's configuration at
	// its last heartbeat; negative when not known.
	leaderConfigAge time.Duration
	// incompleteConfigToken is the token of a leader whose configuration lacks what this daemon
	// needs, because it runs an earlier version; 0 if there is none.
	incompleteConfigToken uint64
	// successors lists the daemons that should take over, the best first, as in the
	// last heartbeat.
	successors []string
	// leaderChanged is closed and replaced when the leader changes.
	leaderChanged chan struct{}
}

func newMembers(self string, now time.Time) *members {
	return &members{self: self, nodes: map[string]string{}, links: map[string][]*linkrpc.Link{}, leaderHeardAt: now, leaderConfigAge: -1, leaderChanged: make(chan struct{})}
}

// notifyLeaderChanged wakes the calls that wait for a leader. mu must be held.
func (m *members) notifyLeaderChanged() {
	close(m.leaderChanged)
	m.leaderChanged = make(chan struct{})
}

// leaderReachable reports whether calls can be sent to a leader. mu must be held.
func (m *members) leaderReachable() bool { return m.isLeader || m.leaderLink != nil }

// hasLeader reports whether there is a leader or there was one within the last grace.
func (m *members) hasLeader(grace time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaderReachable() || time.Since(m.leaderHeardAt) < grace
}

// awaitLeader waits until a call can be sent to a leader. It returns false and a reason
// when ctx ends or when the cell has been without a leader for leaderlessWait.
func (m *members) awaitLeader(ctx context.Context) (bool, string) {
	for {
		m.mu.Lock()
		ready, leaderChanged, heartbeatAge := m.leaderReachable(), m.leaderChanged, time.Since(m.leaderHeardAt)
		m.mu.Unlock()
		if ready {
			return true, ""
		}
		left := leaderlessWait - heartbeatAge
		if left <= 0 {
			return false, "no_leader"
		}
		timer := time.NewTimer(left)
		select {
		case <-leaderChanged:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false, "no_leader"
		}
		timer.Stop()
	}
}

// addLink records an opened link. If the peer is a leader with the highest known token,
// it becomes the known leader.
func (m *members) addLink(l *linkrpc.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := l.PeerHello.Node
	m.links[name] = append(m.links[name], l)
	m.nodes[name] = l.PeerHello.Address
	if l.PeerHello.Token > 0 {
		m.setLeader(l, l.PeerHello.Token)
	}
}

// outdated reports whether a token is lower than that of the known leader, or not higher than
// this daemon's own while it is the leader. mu must be held.
func (m *members) outdated(token uint64) bool {
	return token < m.token || m.isLeader && token <= m.ownToken
}

// setLeader records the daemon at the other end of l as the leader, unless its token is
// outdated. mu must be held.
func (m *members) setLeader(l *linkrpc.Link, token uint64) {
	if m.outdated(token) {
		return
	}
	if m.leader != l.PeerHello.Node {
		m.leaderConfigAge = -1
	}
	m.token, m.leader, m.leaderHeardAt = token, l.PeerHello.Node, time.Now()
	if m.leaderLink != l {
		m.leaderLink = l
		m.notifyLeaderChanged()
	}
}

// removeLink removes a closed link.
func (m *members) removeLink(l *linkrpc.Link) {
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

// dropLeaderLink stops the use of l as the link to the leader, because its daemon
// answered that it is not the leader. l may be nil.
func (m *members) dropLeaderLink(l *linkrpc.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l != nil && m.leaderLink == l {
		m.leaderLink = nil
	}
}

// handleHeartbeat records the content of a heartbeat. It returns false when the
// heartbeat is from an outdated leader and was ignored.
func (m *members) handleHeartbeat(l *linkrpc.Link, h *cellpb.Heartbeat) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outdated(h.Token) {
		return false
	}
	m.setLeader(l, h.Token)
	m.leaderHeardAt = time.Now()
	m.leaderConfigAge = time.Duration(h.ConfigAgeMs-1) * time.Millisecond
	m.successors = h.Successors
	for _, n := range h.Nodes {
		m.nodes[n.Node] = n.Address
	}
	return true
}

// leaderReadsConfig reports whether another daemon leads that reads the configuration from
// the store and sends it to this one.
func (m *members) leaderReadsConfig() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.isLeader && m.leaderLink != nil && m.incompleteConfigToken != m.token && m.leaderConfigAge >= 0 && m.leaderConfigAge+time.Since(m.leaderHeardAt) < maxLeaderConfigAge
}

// recordIncompleteConfig records that the configuration of the present leader lacks what this daemon
// needs.
func (m *members) recordIncompleteConfig() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incompleteConfigToken = m.token
}

// becomeLeader records this daemon as the leader, unless a higher token is known.
func (m *members) becomeLeader(token uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if token < m.token {
		return
	}
	m.token, m.leader, m.isLeader, m.ownToken, m.leaderLink, m.leaderHeardAt = token, m.self, true, token, nil, time.Now()
	m.notifyLeaderChanged()
}

// stepDown records that this daemon is no longer the leader.
func (m *members) stepDown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isLeader {
		m.isLeader, m.leaderHeardAt = false, time.Now()
	}
}

// knowsHigherToken reports whether a higher token than the given one is known.
func (m *members) knowsHigherToken(token uint64) bool {
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

// addressesToAsk returns the link addresses of the seeds and of all other daemons.
func (m *members) addressesToAsk() []string {
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

// observeToken records a token that another daemon reported. If it is higher than the
// known one, the leader is unknown from then on.
func (m *members) observeToken(token uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if token > m.token {
		m.token, m.leader, m.leaderLink = token, "", nil
	}
}

// linkedCount returns the number of daemons to which there is an open link and the number
// of daemons in nodes, which includes this one after a heartbeat has listed it.
func (m *members) linkedCount() (int, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links), len(m.nodes)
}

// replacedAt returns the earliest known start of a later process of a daemon, by which
// the process with the given incarnation had ended. The bool is false when no later
// process is known.
func (m *members) replacedAt(name string, incarnation int64) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	earliest, known := time.Time{}, false
	for _, l := range m.links[name] {
		if l.PeerHello.Incarnation <= incarnation {
			continue
		}
		startedAt := l.HelloReceivedAt.Add(-time.Duration(l.PeerHello.UptimeMs) * time.Millisecond)
		if !known || startedAt.Before(earliest) {
			earliest, known = startedAt, true
		}
	}
	return earliest, known
}

// otherAddresses returns the link addresses of the other daemons by name.
func (m *members) otherAddresses() map[string]string {
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

// linkTo returns the latest open link to a daemon, or nil.
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

// peerLinks returns the latest open link to each daemon.
func (m *members) peerLinks() []*linkrpc.Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*linkrpc.Link, 0, len(m.links))
	for _, links := range m.links {
		out = append(out, links[len(links)-1])
	}
	return out
}

// closeIdleLinks closes the links that received nothing for longer than limit.
func (m *members) closeIdleLinks(limit time.Duration) {
	m.mu.Lock()
	var idle []*linkrpc.Link
	for _, links := range m.links {
		for _, l := range links {
			if l.IdleTime() > limit {
				idle = append(idle, l)
			}
		}
	}
	m.mu.Unlock()
	for _, l := range idle {
		l.Close()
	}
}
