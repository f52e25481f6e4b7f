package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/succession"
)

const (
	// authorityAlone is how long a leader orders without an answer from the store
	// when it hears too few daemons to be told of a new leader.
	isolatedLeaderTimeout = 2 * time.Second
	// tellingTime is how long it takes a new leader to be heard of by a former one
	// that hears most daemons.
	newLeaderNoticeDelay = time.Second
	// authorityWithoutStore is how long it does while it hears most daemons, which
	// would tell it of a new leader.
	connectedLeaderTimeout = 12 * time.Second
	// freshProof is how recent the store's confirmation must be to deny that a job
	// exists.
	maxConfirmationAge = 2 * time.Second
)

// formerEnd returns until when any earlier leader may have gone on extending the
// leases of workers.
func (l *leader) previousLeadersEnd() time.Time {
	switch {
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

// endOf returns until when the leader of an earlier lead may have gone on.
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
	if r, heard := l.reports[term.Node]; heard && r.Token >= l.token {
		// It knows of this leader; that was so when its first report came.
		return l.acknowledgedAt[term.Node]
	}
	if linked, known := l.d.members.linked(); 2*(linked+1) > known+1 {
		return l.claim.at.Add(isolatedLeaderTimeout + newLeaderNoticeDelay)
	}
	return l.claim.at.Add(connectedLeaderTimeout)
}

// checkAuthority ends the lead when the store did not confirm it for too long,
// or when a higher token was seen.
func (l *leader) checkLeadership(now time.Time) {
	switch {
	case l.core.Fenced():
		l.stop("a worker has seen a higher token")
	case l.d.members.knowsHigherToken(l.token):
		l.stop("another daemon leads")
	case l.journal.hasPermanentError():
		l.stop("the store has seen a higher token")
	}
	l.considerHandover(now)
	age := l.confirmation.age(now)
	if age > connectedLeaderTimeout || age > isolatedLeaderTimeout && !l.hearsMajority(now) {
		l.stop("the store did not confirm the lead")
	}
}

const (
	// refusedAfter is how long the store may refuse this daemon's appends before
	// the others are asked whether it serves them.
	refusedHandoverDelay = 150 * time.Millisecond
	// silentStoreAfter is the same for appends without an answer, which also a
	// slow store causes.
	unansweredHandoverDelay = 800 * time.Millisecond
	// handoverRetry is the time between two offers.
	handoverRetryInterval = 600 * time.Millisecond
)

// considerHandover asks the other daemons to try the store when it does not
// serve this one, and offers the lead to the best one that it serves.
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
	if now.Sub(l.confirmation.offeredAt) < handoverRetryInterval {
		return
	}
	maxLatency := waited
	if !refused {
		maxLatency = waited / minProbeSpeedup
	}
	probe := succession.Probe{Elapsed: now.Sub(l.confirmation.probedAt), Latencies: l.probeLatencies, MaxLatency: maxLatency}
	if next := probe.Choose(l.successors(now)); next != "" {
		l.confirmation.offeredAt = now
		clear(l.probeLatencies)
		l.handOver(next, "the store does not answer this daemon")
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
	// settleTime is how long a leader leads before it looks for a better one.
	betterLeaderCheckInterval = 1500 * time.Millisecond
)

// considerBetter offers the lead to the first successor if that would lead much
// better, such as after all daemons started at once and a slow one was first.
func (l *leader) considerBetterLeader(now time.Time, order []string) {
	// Before the recovery is complete, the next leader would wait once more.
	if now.Sub(l.claim.at) < betterLeaderCheckInterval || now.Sub(l.confirmation.offeredAt) < betterLeaderCheckInterval || !l.core.Recovered() {
		return
	}
	if len(order) == 0 {
		return
	}
	best := l.candidate(order[0], now)
	if best.WorthHandover(l.d.leaderResources()) {
		l.confirmation.offeredAt = now
		l.handOver(order[0], "it is faster or closer to the store")
	}
}

// quickAnswer is how many times faster the store must answer another daemon
// than it keeps this one waiting: a store that is slow for all is no reason.
const minProbeSpeedup = 4

// hearsMost reports whether most daemons were heard lately.
func (l *leader) hearsMajority(now time.Time) bool {
	heard := 0
	for _, r := range l.reports {
		if now.Sub(r.receivedAt) < linkIdleTimeout {
			heard++
		}
	}
	return 2*heard >= len(l.nodes)
}

// successors ranks the other daemons.
func (l *leader) successors(now time.Time) []string {
	var candidates []succession.Candidate
	for name := range l.reports {
		candidates = append(candidates, l.candidate(name, now))
	}
	return succession.Order(candidates)
}

// candidate returns a daemon as its last report describes it.
func (l *leader) candidate(name string, now time.Time) succession.Candidate {
	r := l.reports[name]
	return succession.Candidate{Node: name, StoreAge: time.Duration(r.StoreAgeMs) * time.Millisecond,
		LeaderResources: succession.LeaderResources{StoreLatency: time.Duration(r.StoreRttUs) * time.Microsecond, CPUShare: r.CpuShare, LinkMbps: r.LinkMbps},
		Leaving:         r.Leaving, ReportAge: now.Sub(r.receivedAt)}
}

// handOver asks a daemon to take over.
func (l *leader) handOver(to, reason string) {
	l.log.WithFields(logrus.Fields{"event": "handover", "to": to, "reason": reason}).Info("asking another daemon to lead")
	if link := l.d.members.linkTo(to); link != nil {
		link.Send(&cellpb.Frame{Handover: &cellpb.Handover{Token: l.token}})
	}
}

// leave hands the lead to the best successor because this daemon stops.
func (l *leader) handOverBeforeShutdown(now time.Time) {
	if order := l.successors(now); len(order) > 0 {
		l.handOver(order[0], "this daemon stops")
	}
}

// proof is when the store last confirmed the lead.
type confirmation struct {
	confirmedAt time.Time
	// probed and offered are when the others were last asked to try the store
	// and to take over.
	probedAt, offeredAt time.Time
}

// confirm records that a call sent at a time was accepted.
func (p *confirmation) confirm(sent time.Time) {
	if sent.After(p.confirmedAt) {
		p.confirmedAt = sent
	}
}

func (p *confirmation) age(now time.Time) time.Duration { return now.Sub(p.confirmedAt) }
