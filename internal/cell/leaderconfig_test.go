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
	assert.Equal(t, len(l.heartbeat(linkOf(1)).ConfigGzip), 0, "sent to a daemon that has it")
	assert.Assert(t, len(l.heartbeat(linkOf(2)).ConfigGzip) > 0, "not sent to the new process")
	reportMsg{"peer", 2, &cellpb.NodeReport{ConfigVersion: 7}}.apply(l, time.Now())
	reportMsg{"peer", 1, &cellpb.NodeReport{}}.apply(l, time.Now())
	assert.Equal(t, len(l.heartbeat(linkOf(2)).ConfigGzip), 0, "a late report of the former process counts")
}

func discardedLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
