package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/voters"
)

// newTermLeader returns the leader of a term with a token, which finds the given voters of the last term.
func newTermLeader(node string, token uint64, previous voters.Set) *leader {
	d := New(Settings{Node: node}, Deps{Log: discardedLog(), Registry: metrics.NewRegistry()})
	former := &cellpb.Lead{Node: "d1", Incarnation: 1, Token: token - 1}
	s := &storedState{lastTerm: &cellpb.StoredLead{Lead: former}, recoveredToken: former.Token, votersByToken: map[uint64]voters.Set{former.Token: previous}}
	return newLeader(d, claim{token: token, at: time.Now()}, s)
}

// Guards against daemons that have left for good and are counted for ever: a later leader finds no
// majority and lets all accepted jobs wait for as long as if the former one might still lead.
func TestDaemonsThatLeftDoNotVote(t *testing.T) {
	l := newTermLeader("d2", 7, voters.New("d1", "d2", "d3", "d4", "d5", "d6"))
	assert.Assert(t, l.core.Recovered())
	at := l.claim.at.Add(voterAbsence)
	for _, name := range []string{"d3", "d7"} {
		reportMsg{name, 1, &cellpb.NodeReport{Token: 7}}.apply(l, at)
	}
	l.changeVoters(at)
	changed := map[string]bool{}
	for _, r := range l.voterRecords {
		changed[r.Key] = len(r.Value) > 0
	}
	assert.DeepEqual(t, changed, map[string]bool{"v:d1": false, "v:d4": false, "v:d5": false, "v:d6": false, "v:d7": true})

	// Until the change is stored, a successor may find either set.
	assert.Assert(t, !l.hearsMajority(at))
	entryStoredMsg{voters: true, sentAt: at}.apply(l, at)
	assert.DeepEqual(t, l.voters.Current, voters.New("d2", "d3", "d7"))
	assert.Assert(t, l.hearsMajority(at))

	var s storedState
	for _, r := range l.voterRecords {
		if len(r.Value) > 0 {
			assert.NilError(t, s.decode(r.Key, r.Value))
		}
	}
	assert.DeepEqual(t, s.votersByToken[7], voters.New("d7"))
}

// Guards against a leader that takes the daemons which it hears from now for daemons that have known of
// it all the while: its predecessor may have led until they did.
func TestFormerLeaderLedUntilItsVotersKnewOfTheNextOne(t *testing.T) {
	l := newTermLeader("d2", 7, voters.New("d1", "d2", "d3", "d4", "d5", "d6", "d7"))
	former := l.previousTerms[0]
	assert.Equal(t, l.latestTermEnd(former), l.claim.at.Add(connectedLeaderTimeout))
	soon, late := l.claim.at.Add(300*time.Millisecond), l.claim.at.Add(5*time.Second)
	reportMsg{"d3", 1, &cellpb.NodeReport{Token: 7}}.apply(l, soon)
	assert.Equal(t, l.latestTermEnd(former), l.claim.at.Add(connectedLeaderTimeout), "four others may still report to the former leader")
	reportMsg{"d4", 1, &cellpb.NodeReport{Token: 6}}.apply(l, soon)
	assert.Equal(t, l.latestTermEnd(former), l.claim.at.Add(connectedLeaderTimeout), "d4 does not know of the term")
	reportMsg{"d4", 1, &cellpb.NodeReport{Token: 7}}.apply(l, late)
	assert.Equal(t, l.latestTermEnd(former), late.Add(newLeaderNoticeDelay))

	l = newTermLeader("d2", 7, voters.New("d1", "d2", "d3", "d4", "d5", "d6", "d7"))
	for i := 3; i <= 4; i++ {
		reportMsg{fmt.Sprintf("d%d", i), 1, &cellpb.NodeReport{Token: 7}}.apply(l, l.claim.at.Add(300*time.Millisecond))
	}
	assert.Equal(t, l.latestTermEnd(l.previousTerms[0]), l.claim.at.Add(isolatedLeaderTimeout+newLeaderNoticeDelay))
}
