// Package succession decides when a daemon that misses the leader takes over.
// It does no I/O.
package succession

import (
	"cmp"
	"slices"
	"time"
)

const (
	// HeartbeatInterval is how often a leader is heard.
	HeartbeatInterval = 150 * time.Millisecond
	// SilenceLimit is the silence after which a leader is suspected.
	LeaderTimeout = 500 * time.Millisecond
	// LostLimit is the silence after which it is when the link to it broke.
	BrokenLinkTimeout = 50 * time.Millisecond
	// RankDelay is added for each place in the order of succession.
	RankDelay = 200 * time.Millisecond
	// maxRank bounds the delay of daemons that are not in the order.
	maxRank = 6
	// costDelay scales the delay of a first election by the cost of a candidate,
	// so that a daemon with a fast processor close to the store wins.
	costDelayFactor = 15
	// bestCost is the cost of a daemon that need not wait.
	zeroDelayCost = 10 * time.Millisecond
	// spreadDelay for each daemon separates those of equal cost, so that few act
	// at the same time.
	jitterPerDaemon = 8 * time.Millisecond
	// heardLimit is how fresh another daemon's contact with the leader must be to
	// keep the leader in office.
	maxHeartbeatAge = 450 * time.Millisecond
)

// Standing is what a daemon knows when it considers to take over.
type FollowerState struct {
	// EverLed tells whether any leader was heard of.
	LeaderSeen bool
	// Silence is the time since the last heartbeat, or since the start.
	HeartbeatAge time.Duration
	// Lost tells that the link to the leader broke.
	LinkBroken bool
	// Rank is the daemon's place in the order of succession, from 0.
	Rank int
	LeaderResources
	// Spread, from 0 to 1, differs from daemon to daemon.
	Jitter float64
	// Daemons is how many there are.
	DaemonCount int
}

// Due reports whether it is time to ask the others about the leader.
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

// Opinion is another daemon's answer about the leader.
type LeaderView struct {
	// Token is the highest fencing token that it heard of.
	Token uint64
	// Heard is the time since it last heard that leader; negative when never.
	HeartbeatAge time.Duration
	// Linked tells that its link to the leader is open.
	Linked bool
	// Address is the leader's link address, if known.
	LeaderAddress string
	// Claimed is the token of a lead that it is taking up itself, or 0.
	ClaimedToken uint64
}

// Verdict is what follows from the opinions.
type Decision uint8

// Verdicts.
const (
	// Claim: take over.
	Claim Decision = iota
	// Follow: another daemon hears a leader.
	Follow
	// CheckStore: too few answered; the store has to show that nobody leads.
	CheckStore
	// Wait: another daemon is taking up the lead.
	Wait
)

// Judge weighs the answers of the other daemons. Known is how many there are.
// The address is that of the leader to follow.
func Decide(views []LeaderView, peerCount int, token uint64) (Decision, string) {
	for _, v := range views {
		if v.Token >= token && v.Token > 0 && v.Linked && v.HeartbeatAge >= 0 && v.HeartbeatAge < maxHeartbeatAge {
			return Follow, v.LeaderAddress
		}
	}
	for _, v := range views {
		if v.ClaimedToken > token {
			return Wait, ""
		}
	}
	if 2*len(views) >= peerCount {
		return Claim, ""
	}
	return CheckStore, ""
}

// Candidate is a daemon as the leader knows it.
type Candidate struct {
	Node string
	// StoreAge is the time since the store last answered it; negative when never.
	StoreAge time.Duration
	LeaderResources
	Leaving bool
	// Silence is the time since its last report.
	ReportAge time.Duration
}

const (
	// storeAgeLimit is the age from which a daemon counts as cut off from the store.
	maxStoreAge = 2500 * time.Millisecond
	// reportLimit is the silence from which a daemon counts as gone.
	maxReportAge = 1200 * time.Millisecond
)

func (c *Candidate) eligible() bool {
	return !c.Leaving && c.StoreAge >= 0 && c.StoreAge < maxStoreAge && c.ReportAge < maxReportAge
}

// Means are what a daemon has to lead with.
type LeaderResources struct {
	// StoreResponse is the usual response time of the store.
	StoreLatency time.Duration
	// CPUShare is the part of a core that the daemon may use.
	CPUShare float64
	// LinkMbps is the bandwidth of its network link; 0 when it is not known.
	LinkMbps float64
}

const (
	// cpuCost is the response time that a full core makes up for.
	cpuCost = 10 * time.Millisecond
	// linkCost is the response time that a link of 1 Mbit/s makes up for. All
	// calls to workers and all links to daemons share the leader's link.
	linkCost = 500 * time.Millisecond
	// minShare bounds the cost of a daemon that does not state its share.
	minCPUShare = 0.05
)

// cost ranks candidates; the lowest leads.
func (m *LeaderResources) cost() time.Duration {
	sum := m.StoreLatency + time.Duration(float64(cpuCost)/max(m.CPUShare, minCPUShare))
	if m.LinkMbps > 0 {
		sum += time.Duration(float64(linkCost) / m.LinkMbps)
	}
	return sum
}

// betterFactor is how much cheaper another daemon must be to be worth a change
// of hands.
const handoverCostFactor = 2

// Better reports whether c would lead so much better than a daemon with the
// given means that the lead should move.
func (c *Candidate) WorthHandover(current LeaderResources) bool {
	return c.eligible() && handoverCostFactor*c.cost() < current.cost()
}

// Order returns the names of the daemons that should take over, best first.
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

// ProbeWait is how long better candidates may take to answer a probe of the
// store before a worse one is chosen that has answered.
const ProbeTimeout = 120 * time.Millisecond

// Probe is a round in which all daemons were asked to call the store.
type Probe struct {
	// Age is the time since they were asked.
	Elapsed time.Duration
	// Answers holds how long the store took to answer each daemon that reported.
	Latencies map[string]time.Duration
	// Limit is the response time up to which the store counts as serving a daemon.
	MaxLatency time.Duration
}

// Choose returns the best candidate that the store serves, or "" when none has
// reported or a better one may still do. The order is that of Order.
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
