// Package succession decides when a daemon without contact to the leader takes
// over. It does no I/O.
package succession

import (
	"cmp"
	"slices"
	"time"
)

const (
	// HeartbeatInterval is the interval at which a leader sends heartbeats.
	HeartbeatInterval = 150 * time.Millisecond
	// LeaderTimeout is the heartbeat age from which a leader is suspected to have
	// failed.
	LeaderTimeout = 500 * time.Millisecond
	// BrokenLinkTimeout replaces LeaderTimeout when the link to the leader broke.
	BrokenLinkTimeout = 50 * time.Millisecond
	// RankDelay is added to the timeout for each rank in the succession order.
	RankDelay = 200 * time.Millisecond
	// maxRank bounds the delay of daemons that are not in the succession order.
	maxRank = 6
	// costDelayFactor multiplies the cost of a daemon above zeroDelayCost to give
	// its delay in a first election, so that a daemon with a fast processor and a
	// short response time of the store wins.
	costDelayFactor = 15
	// zeroDelayCost is the cost up to which a daemon does not wait.
	zeroDelayCost = 10 * time.Millisecond
	// jitterPerDaemon, times the number of daemons, is the maximum jitter of the
	// delay in a first election. It separates daemons of equal cost, so that few
	// act at the same time.
	jitterPerDaemon = 8 * time.Millisecond
	// maxHeartbeatAge is the age below which another daemon's last heartbeat shows
	// that the leader is alive.
	maxHeartbeatAge = 450 * time.Millisecond
)

// FollowerState is the information on which a daemon decides whether to start an
// election.
type FollowerState struct {
	// LeaderSeen is set once the daemon has known a leader.
	LeaderSeen bool
	// HeartbeatAge is the time since the last heartbeat, or since the start of the
	// daemon if there was none.
	HeartbeatAge time.Duration
	// LinkBroken is set when the link to the leader broke.
	LinkBroken bool
	// Rank is the daemon's position in the succession order, from 0.
	Rank int
	LeaderResources
	// Jitter, from 0 to 1, differs between daemons.
	Jitter float64
	// DaemonCount is the number of known daemons.
	DaemonCount int
}

// ElectionDue reports whether the daemon should now ask the other daemons about
// the leader.
func (s FollowerState) ElectionDue() bool {
	if !s.LeaderSeen {
		return s.HeartbeatAge >= costDelayFactor*max(s.cost()-zeroDelayCost, 0)+time.Duration(s.Jitter*float64(s.DaemonCount)*float64(jitterPerDaemon))
	}
	timeout := LeaderTimeout
	if s.LinkBroken {
		timeout = BrokenLinkTimeout
	}
	return s.HeartbeatAge >= timeout+time.Duration(min(s.Rank, maxRank))*RankDelay
}

// LeaderView is another daemon's answer about the leader.
type LeaderView struct {
	// Token is the highest fencing token that the daemon knows.
	Token uint64
	// HeartbeatAge is the time since the last heartbeat of the leader with that
	// token; negative if there was none.
	HeartbeatAge time.Duration
	// Linked is set while the daemon's link to the leader is open.
	Linked bool
	// Address is the leader's link address, or "" if it is not known.
	Address string
	// Claimed is the fencing token with which the daemon itself is becoming
	// leader, or 0.
	Claimed uint64
}

// Decision is the result of an election round.
type Decision uint8

// Decisions.
const (
	// Claim means that the daemon takes over.
	Claim Decision = iota
	// Follow means that another daemon receives heartbeats of a leader.
	Follow
	// CheckStore means that too few daemons answered; the daemon may take over only
	// if the store shows no active leader.
	CheckStore
	// Wait means that another daemon is becoming leader.
	Wait
)

// Decide evaluates the answers of other daemons. peerCount is the number of
// daemons that were asked, and token the highest fencing token that this daemon
// knows. The address is that of the leader to follow, for the decision Follow.
func Decide(views []LeaderView, peerCount int, token uint64) (Decision, string) {
	for _, v := range views {
		if v.Token >= token && v.Token > 0 && v.Linked && v.HeartbeatAge >= 0 && v.HeartbeatAge < maxHeartbeatAge {
			return Follow, v.Address
		}
	}
	for _, v := range views {
		if v.Claimed > token {
			return Wait, ""
		}
	}
	if 2*len(views) >= peerCount {
		return Claim, ""
	}
	return CheckStore, ""
}

// Candidate describes another daemon as the leader knows it.
type Candidate struct {
	// Node is the daemon's name.
	Node string
	// StoreAge is the time since the store last answered the daemon; negative if it
	// never did.
	StoreAge time.Duration
	LeaderResources
	// Leaving is set when the daemon is shutting down.
	Leaving bool
	// ReportAge is the time since the daemon's last report.
	ReportAge time.Duration
}

const (
	// maxStoreAge is the age of the store's last answer from which a daemon counts
	// as disconnected from the store.
	maxStoreAge = 2500 * time.Millisecond
	// maxReportAge is the age of the last report from which a daemon counts as
	// failed.
	maxReportAge = 1200 * time.Millisecond
)

// eligible reports whether the daemon may become leader.
func (c *Candidate) eligible() bool {
	return !c.Leaving && c.StoreAge >= 0 && c.StoreAge < maxStoreAge && c.ReportAge < maxReportAge
}

// LeaderResources are the resources on which a daemon's speed as leader depends.
type LeaderResources struct {
	// StoreLatency is the usual response time of the store.
	StoreLatency time.Duration
	// CPUShare is the share of a core that the daemon may use; 0 if it is not known.
	CPUShare float64
	// LinkMbps is the bandwidth of the daemon's network link in Mbit/s; 0 if it is
	// not known.
	LinkMbps float64
}

const (
	// cpuCost is the cost of a CPU share of a full core; smaller shares cost
	// proportionally more.
	cpuCost = 10 * time.Millisecond
	// linkCost is the cost of a link of 1 Mbit/s; faster links cost proportionally
	// less. Bandwidth counts because the leader's link carries all calls to workers
	// and all links to daemons.
	linkCost = 500 * time.Millisecond
	// minCPUShare bounds the cost of a daemon that does not state its CPU share.
	minCPUShare = 0.05
)

// cost returns the cost of a daemon as leader, in units of response time. The
// daemon with the lowest cost should lead.
func (r *LeaderResources) cost() time.Duration {
	sum := r.StoreLatency + time.Duration(float64(cpuCost)/max(r.CPUShare, minCPUShare))
	if r.LinkMbps > 0 {
		sum += time.Duration(float64(linkCost) / r.LinkMbps)
	}
	return sum
}

// handoverCostFactor is the factor by which the cost of another daemon must be
// lower to justify a handover.
const handoverCostFactor = 2

// WorthHandover reports whether a leader with the given resources should hand
// over to c.
func (c *Candidate) WorthHandover(current LeaderResources) bool {
	return c.eligible() && handoverCostFactor*c.cost() < current.cost()
}

// Order returns the names of the eligible candidates in succession order, that
// is by increasing cost.
func Order(candidates []Candidate) []string {
	eligible := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return !c.eligible() })
	slices.SortFunc(eligible, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.cost(), b.cost()), cmp.Compare(a.Node, b.Node))
	})
	out := make([]string, 0, len(eligible))
	for i := range eligible {
		out = append(out, eligible[i].Node)
	}
	return out
}

// ProbeTimeout is how long Choose waits for the probe results of better
// candidates before it chooses a worse candidate that has reported.
const ProbeTimeout = 120 * time.Millisecond

// Probe is a round in which all daemons were asked to call the store and to
// report its response time.
type Probe struct {
	// Elapsed is the time since the daemons were asked.
	Elapsed time.Duration
	// Latencies holds the response time of the store for each daemon that reported.
	Latencies map[string]time.Duration
	// MaxLatency is the response time up to which a daemon's access to the store
	// counts as working.
	MaxLatency time.Duration
}

const (
	// minProbeSpeedup is how many times faster the store must answer another daemon than an append of
	// the leader has been waiting.
	minProbeSpeedup = 4
	// slowStoreFactor is how many times its usual response time a probe takes in a store that is slow
	// for all daemons, and slowStoreSpeedup replaces minProbeSpeedup there: appends queue in such a
	// store, probes do not, and a handover would only add a takeover in it.
	slowStoreFactor  = 6
	slowStoreSpeedup = 16
)

// Served reports whether a probe, which took some time, shows that the store serves another daemon
// while an append of the leader has been waiting without an answer. usual is the daemon's usual response
// time of the store, or 0 if it is not known.
func Served(took, usual, waited time.Duration) bool {
	speedup := time.Duration(minProbeSpeedup)
	if usual > 0 && took > slowStoreFactor*usual {
		speedup = slowStoreSpeedup
	}
	return took*speedup <= waited
}

// Choose returns the best candidate with working access to the store. It returns
// "" if there is none yet, or if a better candidate may still report. The
// argument is the result of Order.
func (p *Probe) Choose(order []string) string {
	for _, name := range order {
		took, answered := p.Latencies[name]
		switch {
		case answered && took <= p.MaxLatency:
			return name
		case !answered && p.Elapsed < ProbeTimeout:
			return ""
		}
	}
	return ""
}
