package succession

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against daemons that take over from a leader which only missed a
// heartbeat, and against all of them acting at once.
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
	assert.Assert(t, lost.ElectionDue(), "a broken link is not noticed at once")
}

// Guards against a small or distant daemon that claims the lead before the fit
// ones when all start together.
func TestTheFittestDaemonClaimsFirst(t *testing.T) {
	fit := FollowerState{LeaderResources: LeaderResources{StoreLatency: 5 * time.Millisecond, CPUShare: 0.8}, Jitter: 1, DaemonCount: 44}
	small := FollowerState{LeaderResources: LeaderResources{StoreLatency: 5 * time.Millisecond, CPUShare: 0.192}, Jitter: 0, DaemonCount: 44}
	distant := FollowerState{LeaderResources: LeaderResources{StoreLatency: 30 * time.Millisecond, CPUShare: 0.8}, Jitter: 0, DaemonCount: 44}
	delay := func(s FollowerState) time.Duration {
		for !s.ElectionDue() {
			s.HeartbeatAge += time.Millisecond
		}
		return s.HeartbeatAge
	}
	assert.Assert(t, delay(fit) < delay(small), "%v, %v", delay(fit), delay(small))
	typical := fit
	typical.Jitter = 0.5
	assert.Assert(t, delay(typical) < delay(distant), "%v, %v", delay(typical), delay(distant))
}

// Guards against a second leader beside one that others still hear, and against
// nobody taking over.
func TestJudge(t *testing.T) {
	hears := LeaderView{Token: 3, HeartbeatAge: 100 * time.Millisecond, Linked: true, LeaderAddress: "a"}
	misses := LeaderView{Token: 3, HeartbeatAge: 2 * time.Second, Linked: true}
	for name, c := range map[string]struct {
		opinions []LeaderView
		known    int
		want     Decision
	}{
		"one hears the leader":         {[]LeaderView{misses, hears}, 4, Follow},
		"it hears an earlier one":      {[]LeaderView{{Token: 2, Linked: true}, misses}, 2, Claim},
		"another takes up the lead":    {[]LeaderView{misses, {Token: 3, HeartbeatAge: -1, ClaimedToken: 4}}, 2, Wait},
		"all miss the leader":          {[]LeaderView{misses, misses}, 2, Claim},
		"too few answer":               {[]LeaderView{misses}, 5, CheckStore},
		"nobody else is there":         {nil, 0, Claim},
		"a link that ended is no sign": {[]LeaderView{{Token: 3, HeartbeatAge: 100 * time.Millisecond}, misses}, 2, Claim},
	} {
		got, address := Decide(c.opinions, c.known, 3)
		assert.Equal(t, got, c.want, name)
		if got == Follow {
			assert.Equal(t, address, "a")
		}
	}
}

// Guards against a successor that is leaving, silent or cut off from the store.
func TestOrderLeavesUnfitDaemonsOut(t *testing.T) {
	good := func(name string, share float64) Candidate {
		return Candidate{Node: name, StoreAge: time.Second, LeaderResources: LeaderResources{StoreLatency: 5 * time.Millisecond, CPUShare: share}}
	}
	leaving, silent, cut := good("leaving", 1), good("silent", 1), good("cut", 1)
	leaving.Leaving, silent.ReportAge, cut.StoreAge = true, 2*time.Second, 3*time.Second
	order := Order([]Candidate{leaving, good("small", 0.2), silent, good("large", 0.8), cut})
	assert.DeepEqual(t, order, []string{"large", "small"})
	large := good("large", 0.8)
	assert.Assert(t, large.WorthHandover(good("", 0.2).LeaderResources))
	assert.Assert(t, !large.WorthHandover(good("", 0.6).LeaderResources), "the lead moves for little")
	assert.Assert(t, !leaving.WorthHandover(LeaderResources{StoreLatency: time.Second, CPUShare: 0.1}))
}

// Guards against a leader whose link is too narrow for the calls to all workers.
func TestANarrowLinkCounts(t *testing.T) {
	candidate := func(name string, mbps float64) Candidate {
		return Candidate{Node: name, StoreAge: time.Second, LeaderResources: LeaderResources{StoreLatency: 5 * time.Millisecond, CPUShare: 0.8, LinkMbps: mbps}}
	}
	order := Order([]Candidate{candidate("narrow", 10), candidate("wide", 200)})
	assert.DeepEqual(t, order, []string{"wide", "narrow"})
	wide := candidate("wide", 200)
	assert.Assert(t, wide.WorthHandover(candidate("narrow", 10).LeaderResources))
}

// Guards against a hand-over to the daemon whose answer to a probe came first,
// although better ones were about to answer.
func TestTheBestOfAProbeIsChosen(t *testing.T) {
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
		"the last in order answers first":      {Probe{Elapsed: 10 * time.Millisecond, Latencies: took("slow")}, ""},
		"the best has answered":                {Probe{Elapsed: 10 * time.Millisecond, Latencies: took("slow", "best")}, "best"},
		"the best does not answer":             {Probe{Elapsed: ProbeTimeout, Latencies: took("slow", "next")}, "next"},
		"only the last answers":                {Probe{Elapsed: ProbeTimeout, Latencies: took("slow")}, "slow"},
		"the store keeps the best one waiting": {Probe{Elapsed: 10 * time.Millisecond, Latencies: map[string]time.Duration{"best": time.Second, "next": time.Millisecond}}, "next"},
		"nobody answers":                       {Probe{Elapsed: time.Second}, ""},
	} {
		c.probe.MaxLatency = 100 * time.Millisecond
		assert.Equal(t, c.probe.Choose(order), c.want, name)
	}
}
