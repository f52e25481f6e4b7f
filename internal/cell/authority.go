package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/succession"
)

const (
	// isolatedLeaderTimeout is how long a leader stays leader without an answer from
	// the store when it hears from too few daemons to learn about a new leader.
	isolatedLeaderTimeout = 2 * time.Second
	// newLeaderNoticeDelay is the longest time until a leader that hears from most
	// daemons learns that another daemon has become the leader.
	newLeaderNoticeDelay = time.Second
	// connectedLeaderTimeout is how long a leader stays leader without an answer from
	// the store while it hears from most daemons, which would report a new leader.
	connectedLeaderTimeout = 12 * time.Second
	// maxConfirmationWait is how long the answer that a job does not exist waits for the store's
	// confirmation of the leadership.
	maxConfirmationWait = 2 * time.Second
)

// previousLeadersEnd returns the time until which any previous leader may have
// extended the leases of workers.
func (l *leader) previousLeadersEnd() time.Time {
	switch {
	case l.previousTermsUnknown:
		return l.claim.at.Add(connectedLeaderTimeout)
	case len(l.previousTerms) == 0:
		return l.claim.at
	case len(l.previousTerms) >= maxPreviousTerms:
		return l.claim.at.Add(connectedLeaderTimeout)
	}
	end := time.Time{}
	for _, term := range l.previousTerms {
		if at := l.latestTermEnd(term); at.After(end) {
			end = at
		}
	}
	return end
}

// latestTermEnd returns the latest time at which the leader of a previous term may
// still have acted as leader.
func (l *leader) latestTermEnd(term *cellpb.Lead) time.Time {
	if term.Node == l.d.settings.Node {
		if term.Incarnation == l.d.incarnation {
			return l.claim.at
		}
		return l.d.started
	}
	if at, known := l.d.members.replacedAt(term.Node, term.Incarnation); known {
		return at
	}
	if r, reported := l.reports[term.Node]; reported && r.Token >= l.token {
		// The previous leader has known about the current term since its first report
		// with a token at least as high.
		return l.acknowledgedAt[term.Node]
	}
	if l.previousVoters != nil {
		if at, superseded := l.supersededAt(term.Node); superseded {
			return later(l.claim.at.Add(isolatedLeaderTimeout), at).Add(newLeaderNoticeDelay)
		}
		return l.claim.at.Add(connectedLeaderTimeout)
	}
	if linkedCount, known := l.d.members.linkedCount(); 2*(linkedCount+1) > known+1 {
		return l.claim.at.Add(isolatedLeaderTimeout + newLeaderNoticeDelay)
	}
	return l.claim.at.Add(connectedLeaderTimeout)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkLeadership stops the leader when the store has not confirmed the leadership for
// too long, when an append failed permanently or when a higher token was seen. It also
// starts a handover when the store does not serve this daemon.
func (l *leader) checkLeadership(now time.Time) {
	switch {
	case l.core.Fenced():
		l.stop("a worker has seen a higher token")
	case l.d.members.knowsHigherToken(l.token):
		l.stop("another daemon is the leader")
	case l.journal.hasPermanentError():
		l.stop("an append to the store failed permanently")
	}
	l.considerHandover(now)
	age := l.confirmation.age(now)
	if age > connectedLeaderTimeout || age > isolatedLeaderTimeout && !l.hearsMajority(now) {
		l.stop("the store did not confirm the leadership in time")
	}
}

const (
	// refusedHandoverDelay is how long the store may refuse this daemon's appends
	// before the leader asks the other daemons whether the store serves them.
	refusedHandoverDelay = 150 * time.Millisecond
	// unansweredHandoverDelay is the same limit for appends without an answer. It is
	// longer because a slow store causes them too.
	unansweredHandoverDelay = 800 * time.Millisecond
	// handoverRetryInterval is the minimum time between two handover requests, and
	// between two rounds of probes.
	handoverRetryInterval = 600 * time.Millisecond
)

// considerHandover asks the other daemons to probe the store when the store does not
// serve this daemon, and hands the leadership over to the best daemon that it serves.
func (l *leader) considerHandover(now time.Time) {
	waited, refused := l.journal.oldestAppendWait(now)
	limit := unansweredHandoverDelay
	if refused {
		limit = refusedHandoverDelay
	}
	if waited < limit {
		clear(l.probeLatencies)
		return
	}
	if now.Sub(l.confirmation.handoverRequestedAt) < handoverRetryInterval {
		return
	}
	probe := succession.Probe{Elapsed: now.Sub(l.confirmation.probedAt), Latencies: l.probeLatencies, MaxLatency: waited}
	if !refused {
		probe.Latencies = l.servedLatencies(waited)
	}
	if next := probe.Choose(l.successors(now)); next != "" {
		l.log.WithFields(logrus.Fields{"event": "store_probed", "peer": next, "waited_ms": waited.Milliseconds(), "refused": refused,
			"probe_ms": l.probeLatencies[next].Milliseconds(), "usual_ms": l.reports[next].GetStoreRttUs() / 1000}).Info("the store answers another daemon")
		l.confirmation.handoverRequestedAt = now
		clear(l.probeLatencies)
		l.handOver(next, "the store does not serve this daemon")
		return
	}
	if now.Sub(l.confirmation.probedAt) >= handoverRetryInterval {
		l.confirmation.probedAt = now
		clear(l.probeLatencies)
		for _, link := range l.d.members.peerLinks() {
			link.Send(&cellpb.Frame{Probe: true})
		}
	}
}

const (
	// betterLeaderCheckInterval is how long a leader leads before it looks for a better
	// one, and how long it waits for that after its last handover request.
	betterLeaderCheckInterval = 1500 * time.Millisecond
)

// considerBetterLeader hands the leadership over to the first successor if that has
// much better resources to lead. This happens, for example, when all daemons start at
// the same time and a slow one wins the election.
func (l *leader) considerBetterLeader(now time.Time, order []string) {
	// Before the recovery is complete, a handover would make the next leader start
	// the recovery again.
	if now.Sub(l.claim.at) < betterLeaderCheckInterval || now.Sub(l.confirmation.handoverRequestedAt) < betterLeaderCheckInterval || !l.core.Recovered() {
		return
	}
	if len(order) == 0 {
		return
	}
	best := l.candidate(order[0], now)
	if best.WorthHandover(l.d.leaderResources()) {
		l.confirmation.handoverRequestedAt = now
		l.handOver(order[0], "it is faster or closer to the store")
	}
}

// servedLatencies returns the results of the probes with those left out that do not show that the store
// serves the daemon. A store that is slow for all daemons is no reason for a handover.
func (l *leader) servedLatencies(waited time.Duration) map[string]time.Duration {
	out := make(map[string]time.Duration, len(l.probeLatencies))
	for name, took := range l.probeLatencies {
		usual := time.Duration(l.reports[name].GetStoreRttUs()) * time.Microsecond
		if !succession.Served(took, usual, waited) {
			took = waited + 1
		}
		out[name] = took
	}
	return out
}

// successors returns the names of the daemons that could take over, the best first.
func (l *leader) successors(now time.Time) []string {
	var candidates []succession.Candidate
	for name := range l.reports {
		candidates = append(candidates, l.candidate(name, now))
	}
	return succession.Order(candidates)
}

// candidate returns the properties of a daemon from its last report.
func (l *leader) candidate(name string, now time.Time) succession.Candidate {
	r := l.reports[name]
	return succession.Candidate{Node: name, StoreAge: time.Duration(r.StoreAgeMs) * time.Millisecond,
		LeaderResources: succession.LeaderResources{StoreLatency: time.Duration(r.StoreRttUs) * time.Microsecond, CPUShare: r.CpuShare, LinkMbps: r.LinkMbps},
		Leaving:         r.Leaving, ReportAge: now.Sub(r.receivedAt)}
}

// handOver asks a daemon to become the leader. If there is no open link to that daemon,
// it only writes the log line.
func (l *leader) handOver(to, reason string) {
	l.log.WithFields(logrus.Fields{"event": "handover", "to": to, "reason": reason}).Info("asking another daemon to become the leader")
	if link := l.d.members.linkTo(to); link != nil {
		link.Send(&cellpb.Frame{Handover: &cellpb.Handover{Token: l.token}})
	}
}

// handOverBeforeShutdown hands the leadership over to the best successor because this
// daemon shuts down.
func (l *leader) handOverBeforeShutdown(now time.Time) {
	if order := l.successors(now); len(order) > 0 {
		l.handOver(order[0], "this daemon shuts down")
	}
}

// confirmation records when the store last confirmed the leadership, and when the leader
// last tried to hand it over.
type confirmation struct {
	// confirmedAt is when the last successful call to the store was sent.
	confirmedAt time.Time
	// probedAt and handoverRequestedAt are when the leader last asked the other daemons to
	// probe the store, and last asked one of them to take over.
	probedAt, handoverRequestedAt time.Time
}

// confirm records that the store accepted a call that was sent at the given time.
func (c *confirmation) confirm(sent time.Time) {
	if sent.After(c.confirmedAt) {
		c.confirmedAt = sent
	}
}

// age returns the time since the last confirmation.
func (c *confirmation) age(now time.Time) time.Duration { return now.Sub(c.confirmedAt) }
