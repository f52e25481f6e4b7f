package cell

import (
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/ports"
)

// Guards against a daemon that restarts while the store does not serve it and stays without a
// configuration: the leader took the report of its former process for its own.
func TestRestartedDaemonGetsConfiguration(t *testing.T) {
	config := &ports.CellConfig{Version: 7}
	d := New(Settings{Node: "leader"}, Deps{Log: discardedLog(), Registry: metrics.NewRegistry()})
	d.config.applyIfNewer(config, "test")
	l := newLeader(d, claim{token: 1, at: time.Now()}, &storedState{})
	linkOf := func(incarnation int64) *linkrpc.Link {
		return &linkrpc.Link{PeerHello: &cellpb.Hello{Node: "peer", Incarnation: incarnation}}
	}
	reportMsg{"peer", 1, &cellpb.NodeReport{ConfigVersion: 7}}.apply(l, time.Now())
	assert.Equal(t, len(l.heartbeat(time.Now(), linkOf(1)).ConfigGzip), 0, "sent to a daemon that has it")
	assert.Assert(t, len(l.heartbeat(time.Now(), linkOf(2)).ConfigGzip) > 0, "not sent to the new process")
	reportMsg{"peer", 2, &cellpb.NodeReport{ConfigVersion: 7}}.apply(l, time.Now())
	assert.Equal(t, len(l.heartbeat(time.Now(), linkOf(2)).ConfigGzip), 0, "sent to the new process although it has it")
}

// Guards against a daemon that keeps an old configuration because the new one was sent to it once,
// at a moment at which it could not take it.
func TestUnconfirmedConfigurationIsSentAgain(t *testing.T) {
	d := New(Settings{Node: "leader"}, Deps{Log: discardedLog(), Registry: metrics.NewRegistry()})
	d.config.applyIfNewer(&ports.CellConfig{Version: 7}, "test")
	now := time.Now()
	l := newLeader(d, claim{token: 1, at: now}, &storedState{})
	link := &linkrpc.Link{PeerHello: &cellpb.Hello{Node: "peer", Incarnation: 1}}
	sends := func(after time.Duration) bool { return len(l.heartbeat(now.Add(after), link).ConfigGzip) > 0 }
	report := func(after time.Duration, version int64) {
		reportMsg{"peer", 1, &cellpb.NodeReport{ConfigVersion: version}}.apply(l, now.Add(after))
	}
	assert.Assert(t, sends(0))
	assert.Assert(t, !sends(5*time.Second), "sent again without any report")
	report(configConfirmTimeout-time.Millisecond, 6)
	assert.Assert(t, !sends(5*time.Second), "sent again on a report that may be older")
	report(configConfirmTimeout, 6)
	assert.Assert(t, sends(5*time.Second), "not sent again")
	assert.Assert(t, !sends(5*time.Second), "sent again at once")
	report(9*time.Second, 7)
	assert.Assert(t, !sends(9*time.Second), "sent to a daemon that has it")
}

// Guards against a daemon that keeps an old configuration after it was the leader: the new leader's
// heartbeats came before it had stepped down, and all but the first were ignored.
func TestDeposedLeaderTakesHeartbeatsOfItsSuccessor(t *testing.T) {
	m := newMembers("deposed", time.Now())
	m.becomeLeader(5)
	link := &linkrpc.Link{PeerHello: &cellpb.Hello{Node: "successor"}}
	assert.Assert(t, !m.handleHeartbeat(link, &cellpb.Heartbeat{Token: 5}), "took a heartbeat with its own token")
	for range 3 {
		assert.Assert(t, m.handleHeartbeat(link, &cellpb.Heartbeat{Token: 6}), "ignored a heartbeat of its successor")
	}
	assert.Assert(t, !m.handleHeartbeat(link, &cellpb.Heartbeat{Token: 5}))
	m.stepDown()
	assert.Equal(t, m.linkToLeader(), link)
}

// Guards against a daemon that is ignored after a restart because its clock was set back meanwhile: its
// incarnation, the time of its start, is then lower than that of the process before.
func TestDaemonWithClockSetBackIsHeard(t *testing.T) {
	d := New(Settings{Node: "leader"}, Deps{Log: discardedLog(), Registry: metrics.NewRegistry()})
	l := newLeader(d, claim{token: 1, at: time.Now()}, &storedState{})
	reportMsg{"peer", 2, &cellpb.NodeReport{}}.apply(l, time.Now())
	reportMsg{"peer", 1, &cellpb.NodeReport{ConfigVersion: 7}}.apply(l, time.Now())
	link := &linkrpc.Link{PeerHello: &cellpb.Hello{Node: "peer", Incarnation: 1}}
	assert.Equal(t, l.reportOver(link).GetConfigVersion(), int64(7))
}

// Guards against a leader that goes back to an older configuration, whose message arrives later, or
// that misses one which arrives while it takes over.
func TestLeaderHasTheNewestConfiguration(t *testing.T) {
	queue := func(version int64, name string) *ports.CellConfig {
		return &ports.CellConfig{Version: version, Routes: []ports.Route{{Host: "host", Prefix: "/", Queue: jobs.Queue{Name: name, Service: "s"}}}}
	}
	d := New(Settings{Node: "leader"}, Deps{Log: discardedLog(), Registry: metrics.NewRegistry()})
	d.config.applyIfNewer(queue(1, "first"), "test")
	l := newLeader(d, claim{token: 1, at: time.Now()}, &storedState{})
	configMsg{queue(3, "third")}.apply(l, time.Now())
	configMsg{queue(2, "second")}.apply(l, time.Now())
	assert.Assert(t, l.core.HasQueue("third"))
	assert.Equal(t, l.configVersion, int64(3))

	d.config.applyIfNewer(queue(4, "fourth"), "test")
	l.catchUpConfig()
	assert.Assert(t, l.core.HasQueue("fourth"))
}

func discardedLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
