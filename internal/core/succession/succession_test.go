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
		s := Standing{EverLed: true, Rank: rank}
		limit := SilenceLimit + time.Duration(rank)*RankDelay
		s.Silence = limit - time.Millisecond
		assert.Assert(t, !s.Due(), "rank %d acts after %v", rank, s.Silence)
		s.Silence = limit
		assert.Assert(t, s.Due(), "rank %d waits for %v", rank, s.Silence)
	}
	lost := Standing{EverLed: true, Lost: true, Silence: LostLimit}
	assert.Assert(t, lost.Due(), "a broken link is not noticed at once")
}

// Guards against a small or distant daemon that claims the lead before the fit
// ones when all start together.
func TestTheFittestDaemonClaimsFirst(t *testing.T) {
	fit := Standing{Means: Means{StoreResponse: 5 * time.Millisecond, CPUShare: 0.8}, Spread: 1, Daemons: 44}
	small := Standing{Means: Means{StoreResponse: 5 * time.Millisecond, CPUShare: 0.192}, Spread: 0, Daemons: 44}
	distant := Standing{Means: Means{StoreResponse: 30 * time.Millisecond, CPUShare: 0.8}, Spread: 0, Daemons: 44}
	delay := func(s Standing) time.Duration {
		for !s.Due() {
			s.Silence += time.Millisecond
		}
		return s.Silence
	}
	assert.Assert(t, delay(fit) < delay(small), "%v, %v", delay(fit), delay(small))
	typical := fit
	typical.Spread = 0.5
	assert.Assert(t, delay(typical) < delay(distant), "%v, %v", delay(typical), delay(distant))
}

// Guards against a second leader beside one that others still hear, and against
// nobody taking over.
func TestJudge(t *testing.T) {
	hears := Opinion{Token: 3, Heard: 100 * time.Millisecond, Linked: true, Address: "a"}
	misses := Opinion{Token: 3, Heard: 2 * time.Second, Linked: true}
	for name, c := range map[string]struct {
		opinions []Opinion
		known    int
		want     Verdict
	}{
		"one hears the leader":         {[]Opinion{misses, hears}, 4, Follow},
		"it hears an earlier one":      {[]Opinion{{Token: 2, Linked: true}, misses}, 2, Claim},
		"another takes up the lead":    {[]Opinion{misses, {Token: 3, Heard: -1, Claimed: 4}}, 2, Wait},
		"all miss the leader":          {[]Opinion{misses, misses}, 2, Claim},
		"too few answer":               {[]Opinion{misses}, 5, CheckStore},
		"nobody else is there":         {nil, 0, Claim},
		"a link that ended is no sign": {[]Opinion{{Token: 3, Heard: 100 * time.Millisecond}, misses}, 2, Claim},
	} {
		got, address := Judge(c.opinions, c.known, 3)
		assert.Equal(t, got, c.want, name)
		if got == Follow {
			assert.Equal(t, address, "a")
		}
	}
}

// Guards against a successor that is leaving, silent or cut off from the store.
func TestOrderLeavesUnfitDaemonsOut(t *testing.T) {
	good := func(name string, share float64) Candidate {
		return Candidate{Node: name, StoreAge: time.Second, Means: Means{StoreResponse: 5 * time.Millisecond, CPUShare: share}}
	}
	leaving, silent, cut := good("leaving", 1), good("silent", 1), good("cut", 1)
	leaving.Leaving, silent.Silence, cut.StoreAge = true, 2*time.Second, 3*time.Second
	order := Order([]Candidate{leaving, good("small", 0.2), silent, good("large", 0.8), cut})
	assert.DeepEqual(t, order, []string{"large", "small"})
	large := good("large", 0.8)
	assert.Assert(t, large.Better(good("", 0.2).Means))
	assert.Assert(t, !large.Better(good("", 0.6).Means), "the lead moves for little")
	assert.Assert(t, !leaving.Better(Means{StoreResponse: time.Second, CPUShare: 0.1}))
}

// Guards against a leader whose link is too narrow for the calls to all workers.
func TestANarrowLinkCounts(t *testing.T) {
	candidate := func(name string, mbps float64) Candidate {
		return Candidate{Node: name, StoreAge: time.Second, Means: Means{StoreResponse: 5 * time.Millisecond, CPUShare: 0.8, LinkMbps: mbps}}
	}
	order := Order([]Candidate{candidate("narrow", 10), candidate("wide", 200)})
	assert.DeepEqual(t, order, []string{"wide", "narrow"})
	wide := candidate("wide", 200)
	assert.Assert(t, wide.Better(candidate("narrow", 10).Means))
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
		"the last in order answers first":      {Probe{Age: 10 * time.Millisecond, Answers: took("slow")}, ""},
		"the best has answered":                {Probe{Age: 10 * time.Millisecond, Answers: took("slow", "best")}, "best"},
		"the best does not answer":             {Probe{Age: ProbeWait, Answers: took("slow", "next")}, "next"},
		"only the last answers":                {Probe{Age: ProbeWait, Answers: took("slow")}, "slow"},
		"the store keeps the best one waiting": {Probe{Age: 10 * time.Millisecond, Answers: map[string]time.Duration{"best": time.Second, "next": time.Millisecond}}, "next"},
		"nobody answers":                       {Probe{Age: time.Second}, ""},
	} {
		c.probe.Limit = 100 * time.Millisecond
		assert.Equal(t, c.probe.Choose(order), c.want, name)
	}
}
