package peerrpc

import (
	"context"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/peerpb"
)

// Guards against cross-region traffic, which is charged by volume, that is not counted, and
// against traffic within a region that is counted as cross-region.
func TestBytesAreCountedByRegion(t *testing.T) {
	_, to := startPeer(t, &fakePeer{}, Options{})
	registry := metrics.NewRegistry()
	c := startClient(t, Options{Registry: registry})
	count := func(name string) int64 {
		return registry.Get("peer.client.control." + name).(metrics.Counter).Count()
	}
	sendHeartbeat := func(to Target) {
		_, err := c.Heartbeat(context.Background(), to, &peerpb.HeartbeatRequest{Daemon: "d1"})
		assert.NilError(t, err)
	}
	sendHeartbeat(to)
	assert.Assert(t, count("cross_region.sent_bytes") > 0)
	assert.Assert(t, count("cross_region.received_bytes") > 0)
	assert.Equal(t, count("same_region.sent_bytes"), int64(0))
	crossRegionSent := count("cross_region.sent_bytes")

	_, near := startPeer(t, &fakePeer{}, Options{})
	near.Region = "brittany"
	sendHeartbeat(near)
	assert.Assert(t, count("same_region.sent_bytes") > 0)
	assert.Equal(t, count("cross_region.sent_bytes"), crossRegionSent)
}
