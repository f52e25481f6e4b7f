package succession

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A daemon must not start an election when the leader only missed a heartbeat,
// and the daemons must act one after the other.
func TestSuccessorsActInOrder(t *testing.T) {
	for rank := range 3 {
		s := FollowerState{LeaderSeen: true, Rank: rank}
		limit := LeaderTimeout + time.Duration(rank)*RankDelay
		s.HeartbeatAge = limit - time.Millisecond
		assert.Assert(t, !s.ElectionDue(), "rank %d acts after %v", rank, s.HeartbeatAge)
		s.HeartbeatAge = limit
		assert.Assert(t, s.ElectionDue(), "rank %d waits for %v", rank, s.HeartbeatAge)
	}
	lost := FollowerState{LeaderSeen: true, LinkBroken: true, HeartbeatAge: BrokenLinkTimeout}
	assert.Assert(t, lost.ElectionDue(), "no election is due after the link broke")
}

// When all daemons start together, a daemon with a small CPU share or a slow
// store must not become leader before better ones.
func TestBestDaemonStartsElectionFirst(t *testing.T) {
	strong := FollowerState{LeaderResources: LeaderResources{StoreLatency: 5 * time.Millisecond, CPUShare: 0.8}, Jitter: 1, DaemonCount: 44}
	small := FollowerState{LeaderResources: LeaderResources{StoreLatency: 5 * time.Millisecond, CPUShare: 0.192}, Jitter: 0, DaemonCount: 44}
	distant := FollowerState{LeaderResources: LeaderResources{StoreLatency: 30 * time.Millisecond, CPUShare: 0.8}, Jitter: 0, DaemonCount: 44}
	delay := func(s FollowerState) time.Duration {
		for !s.ElectionDue() {
			s.HeartbeatAge += time.Millisecond
		}
		return s.HeartbeatAge
	}
	assert.Assert(t, delay(strong) < delay(small), "%v, %v", delay(strong), delay(small))
	typical := strong
	typical.Jitter = 0.5
	assert.Assert(t, delay(typical) < delay(distant), "%v, %v", delay(typical), delay(distant))
}

// There must be no second leader while others receive heartbeats of the first,
// and a daemon must take over when nobody does.
func TestDecide(t *testing.T) {
	alive := LeaderView{Token: 3, HeartbeatAge: 100 * time.Millisecond, Linked: true, Address: "a"}
	timedOut := LeaderView{Token: 3, HeartbeatAge: 2 * time.Second, Linked: true}
	for name, c := range map[string]struct {
		views     []LeaderView
		peerCount int
		want      Decision
	}{
		"one receives heartbeats":       {[]LeaderView{timedOut, alive}, 4, Follow},
		"one follows an earlier leader": {[]LeaderView{{Token: 2, Linked: true}, timedOut}, 2, Claim},
		"another is becoming leader":    {[]LeaderView{timedOut, {Token: 3, HeartbeatAge: -1, Claimed: 4}}, 2, Wait},
		"nobody receives heartbeats":    {[]LeaderView{timedOut, timedOut}, 2, Claim},
		"too few answer":                {[]LeaderView{timedOut}, 5, CheckStore},
		"nobody else is there":          {nil, 0, Claim},
		"the link has ended":            {[]LeaderView{{Token: 3, HeartbeatAge: 100 * time.Millisecond}, timedOut}, 2, Claim},
	} {
		got, address := Decide(c.views, c.peerCount, 3)
		assert.Equal(t, got, c.want, name)
		if got == Follow {
			assert.Equal(t, address, "a")
		}
	}
}

// A daemon that is leaving, does not report or is disconnected from the store
// must not be in the succession order.
func TestOrderExcludesIneligibleDaemons(t *testing.T) {
	good := func(name string, share float64) Candidate {
		return Candidate{Node: name, StoreAge: time.Second, LeaderResources: LeaderResources{StoreLatency: 5 * time.Millisecond, CPUShare: share}}
	}
	leaving, silent, cut := good("leaving", 1), good("silent", 1), good("cut", 1)
	leaving.Leaving, silent.ReportAge, cut.StoreAge = true, 2*time.Second, 3*time.Second
	order := Order([]Candidate{leaving, good("small", 0.2), silent, good("large", 0.8), cut})
	assert.DeepEqual(t, order, []string{"large", "small"})
	large := good("large", 0.8)
	assert.Assert(t, large.WorthHandover(good("", 0.2).LeaderResources))
	assert.Assert(t, !large.WorthHandover(good("", 0.6).LeaderResources), "handover for a small advantage")
	assert.Assert(t, !leaving.WorthHandover(LeaderResources{StoreLatency: time.Second, CPUShare: 0.1}))
}

// The bandwidth of a daemon's link must count, because the leader's link carries
// the calls to all workers.
func TestLinkBandwidthCounts(t *testing.T) {
	candidate := func(name string, mbps float64) Candidate {
		return Candidate{Node: name, StoreAge: time.Second, LeaderResources: LeaderResources{StoreLatency: 5 * time.Millisecond, CPUShare: 0.8, LinkMbps: mbps}}
	}
	order := Order([]Candidate{candidate("narrow", 10), candidate("wide", 200)})
	assert.DeepEqual(t, order, []string{"wide", "narrow"})
	wide := candidate("wide", 200)
	assert.Assert(t, wide.WorthHandover(candidate("narrow", 10).LeaderResources))
}

// Guards against a handover in a store that is slow for all daemons: probes are faster than appends there,
// which queue, and the takeover needs appends as well.
func TestSlowStoreIsNoReasonForHandover(t *testing.T) {
	const usual = 10 * time.Millisecond
	assert.Assert(t, Served(usual, usual, 800*time.Millisecond), "the store serves the other daemon as usual")
	assert.Assert(t, !Served(300*time.Millisecond, usual, 800*time.Millisecond), "hardly faster")
	assert.Assert(t, !Served(200*time.Millisecond, usual, 1200*time.Millisecond), "the store is slow for the other daemon too")
	assert.Assert(t, Served(200*time.Millisecond, usual, 3200*time.Millisecond), "the store does not answer the leader at all")
	assert.Assert(t, Served(200*time.Millisecond, 0, 800*time.Millisecond), "the usual time is not known")
}

// A handover must not go to the daemon that reports first while a better one may
// still report.
func TestProbeChoosesBestCandidate(t *testing.T) {
	order := []string{"best", "next", "slow"}
	took := func(names ...string) map[string]time.Duration {
		out := map[string]time.Duration{}
		for _, name := range names {
			out[name] = 5 * time.Millisecond
		}
		return out
	}
	for name, c := range map[string]struct {
		probe Probe
		want  string
	}{
		"the last in order reports first": {Probe{Elapsed: 10 * time.Millisecond, Latencies: took("slow")}, ""},
		"the best has reported":           {Probe{Elapsed: 10 * time.Millisecond, Latencies: took("slow", "best")}, "best"},
		"the best does not report":        {Probe{Elapsed: ProbeTimeout, Latencies: took("slow", "next")}, "next"},
		"only the last reports":           {Probe{Elapsed: ProbeTimeout, Latencies: took("slow")}, "slow"},
		"the store is slow for the best":  {Probe{Elapsed: 10 * time.Millisecond, Latencies: map[string]time.Duration{"best": time.Second, "next": time.Millisecond}}, "next"},
		"nobody reports":                  {Probe{Elapsed: time.Second}, ""},
	} {
		c.probe.MaxLatency = 100 * time.Millisecond
		assert.Equal(t, c.probe.Choose(order), c.want, name)
	}
}
