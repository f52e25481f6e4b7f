package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"catkinvalve/internal/core/model"
	_ "catkinvalve/internal/propseed"
)

const failureTimeout = 1500 * time.Millisecond

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Every key must have exactly one home, whatever the order of the data centres
// in the configuration text and whatever the form of the key.
func TestHome(t *testing.T) {
	dcs := []model.DataCentre{"klang-a", "klang-b", "penang-a"}
	for _, tc := range []struct {
		name, key string
		want      model.DataCentre // "" if chosen by hash
	}{
		{"prefix", "klang-b:order-17", "klang-b"},
		{"prefix only", "penang-a:", "penang-a"},
		{"first colon counts", "klang-a:klang-b:1", "klang-a"},
		{"unknown prefix", "breizh-a:1", ""},
		{"part of a name", "klang:1", ""},
		{"no prefix", "order-17", ""},
		{"name without a colon", "klang-a", ""},
		{"empty", "", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := Home(tc.key, dcs)
			reversed := slices.Clone(dcs)
			slices.Reverse(reversed)
			assert.Equal(t, Home(tc.key, reversed), got)
			assert.Assert(t, slices.Contains(dcs, got))
			if tc.want != "" {
				assert.Equal(t, got, tc.want)
			}
		})
	}
	assert.Equal(t, Home("klang-a:1", nil), model.DataCentre(""))
}

// Adding a data centre must not move keys between the existing ones, and keys
// must be spread evenly.
func TestHomeMovesOnlyToNewDataCentre(t *testing.T) {
	var dcs []model.DataCentre
	for i := range 7 {
		dcs = append(dcs, model.DataCentre(fmt.Sprint("dc-", i)))
	}
	counts := map[model.DataCentre]int{}
	for i := range 7000 {
		key := fmt.Sprint("key-", i)
		before, after := Home(key, dcs[:6]), Home(key, dcs)
		assert.Assert(t, before == after || after == dcs[6], "%s moved from %s to %s", key, before, after)
		counts[after]++
	}
	for dc, n := range counts {
		assert.Assert(t, n > 800 && n < 1200, "%s is the home of %d of 7000 keys", dc, n)
	}
}

func readyPeer(id string, dc model.DataCentre, term uint64) Peer {
	return Peer{ID: id, DataCentre: dc, Term: term, Ready: true}
}

// Each data centre without a live owner must have a daemon that campaigns, and
// no daemon may campaign while there is a live owner.
func TestShouldCampaign(t *testing.T) {
	with := func(p Peer, set func(*Peer)) Peer {
		set(&p)
		return p
	}
	for _, tc := range []struct {
		name  string
		peers []Peer
		after time.Duration
		want  bool
	}{
		{"alone", nil, 0, true},
		{"lower ID", []Peer{readyPeer("a", "dc", 0)}, 0, false},
		{"higher ID", []Peer{readyPeer("z", "dc", 0)}, 0, true},
		{"lower ID is not ready", []Peer{with(readyPeer("a", "dc", 0), func(p *Peer) { p.Ready = false })}, 0, true},
		{"lower ID is draining", []Peer{with(readyPeer("a", "dc", 0), func(p *Peer) { p.Draining = true })}, 0, true},
		{"lower ID is dead", []Peer{readyPeer("a", "dc", 0)}, failureTimeout, true},
		{"live owner", []Peer{readyPeer("z", "dc", 3)}, failureTimeout - 1, false},
		{"draining owner", []Peer{with(readyPeer("z", "dc", 3), func(p *Peer) { p.Draining = true })}, 0, false},
		{"dead owner", []Peer{readyPeer("z", "dc", 3)}, failureTimeout, true},
		{"owner elsewhere", []Peer{readyPeer("a", "other", 3)}, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := NewTable(readyPeer("m", "dc", 0), failureTimeout)
			for _, p := range tc.peers {
				table.RecordHeartbeat(epoch, p)
			}
			assert.Equal(t, table.ShouldCampaign(epoch.Add(tc.after)), tc.want)
		})
	}
}

// Exactly one daemon of a data centre must campaign when all of them know the
// same peers.
func TestOneDaemonCampaignsWhenViewsAreEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var daemons []Peer
		for i := range rapid.IntRange(1, 4).Draw(t, "daemons") {
			p := readyPeer(fmt.Sprint("d", i), "dc", 0)
			p.Ready = i == 0 || rapid.Bool().Draw(t, "ready")
			daemons = append(daemons, p)
		}
		candidates := 0
		for _, self := range daemons {
			table := NewTable(self, failureTimeout)
			for _, p := range daemons {
				table.RecordHeartbeat(epoch, p)
			}
			if self.Ready && table.ShouldCampaign(epoch) {
				candidates++
			}
		}
		assert.Equal(t, candidates, 1)
	})
}

// The highest term must never decrease and must not include terms of other data
// centres.
func TestMaxTerm(t *testing.T) {
	table := NewTable(readyPeer("m", "dc", 0), failureTimeout)
	for _, step := range []struct {
		p    Peer
		want uint64
	}{{readyPeer("a", "dc", 4), 4}, {readyPeer("b", "other", 9), 4}, {readyPeer("a", "dc", 0), 4}, {readyPeer("m", "dc", 7), 4}, {readyPeer("c", "dc", 5), 5}} {
		table.RecordHeartbeat(epoch, step.p)
		assert.Equal(t, table.MaxTerm(), step.want)
	}
	table.ObserveTerm(8)
	table.ObserveTerm(6)
	assert.Equal(t, table.MaxTerm(), uint64(8))
	table.RemovePeer("a")
	assert.Equal(t, len(table.Peers()), 2)
}

// The owner must be neither a former nor a dead owner, nor the daemon itself.
func TestOwnerAndLiveLocalPeers(t *testing.T) {
	table := NewTable(readyPeer("m", "dc", 0), failureTimeout)
	table.RecordHeartbeat(epoch, readyPeer("m", "dc", 9))
	table.RecordHeartbeat(epoch, readyPeer("a", "dc", 2))
	table.RecordHeartbeat(epoch.Add(failureTimeout), readyPeer("b", "dc", 1))
	table.RecordHeartbeat(epoch, readyPeer("x", "other", 1))
	owner, ok := table.Owner(epoch, "dc")
	assert.Assert(t, ok && owner.ID == "a")
	owner, ok = table.Owner(epoch.Add(failureTimeout), "dc")
	assert.Assert(t, ok && owner.ID == "b", "the owner with the higher term is dead")
	assert.Equal(t, len(table.LiveLocalPeers(epoch.Add(failureTimeout))), 1)
	_, ok = table.Owner(epoch.Add(2*failureTimeout), "other")
	assert.Assert(t, ok, "heartbeats from other data centres are less frequent")
	_, ok = table.Owner(epoch.Add(remoteTimeoutFactor*failureTimeout), "other")
	assert.Assert(t, !ok)
	assert.Assert(t, !table.Alive(epoch, "unknown"))
}
