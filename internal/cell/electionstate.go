package cell

import "time"

// electionState is what a daemon knows about the leader when it checks whether to
// start an election.
type electionState struct {
	// token is the highest known fencing token of a leader.
	token uint64
	// leader is the name of the daemon with that token; empty when not known.
	leader string
	// isLeader reports whether this daemon is the leader.
	isLeader bool
	// linked reports whether there is a link to the leader.
	linked bool
	// heartbeatAge is the time since the leader was last known to lead.
	heartbeatAge time.Duration
	// rank is this daemon's index among the successors, or their number when it is not
	// one of them.
	rank int
	// daemonCount is the number of known daemons plus one for this daemon, which is counted
	// twice after a heartbeat has listed it.
	daemonCount int
}

// electionState returns the current state.
func (m *members) electionState() electionState {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := electionState{token: m.token, leader: m.leader, isLeader: m.isLeader, linked: m.leaderLink != nil,
		heartbeatAge: time.Since(m.leaderHeardAt), rank: len(m.successors),
		daemonCount: max(len(m.nodes), len(m.seeds)) + 1}
	for i, name := range m.successors {
		if name == m.self {
			s.rank = i
			break
		}
	}
	return s
}
