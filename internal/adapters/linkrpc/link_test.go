package linkrpc

import (
	"testing"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/cellpb"
)

// Guards against data that is sent in only one frame, such as nodes, configurations and
// handovers, being lost when waiting frames are merged.
func TestMergedFramesKeepEverything(t *testing.T) {
	node := func(name string) []*cellpb.StoredNode { return []*cellpb.StoredNode{{Node: name}} }
	merged := mergeFrames([]*cellpb.Frame{
		{Heartbeat: &cellpb.Heartbeat{Token: 1, Nodes: node("a"), ConfigGzip: []byte{5}}, Calls: []*cellpb.Call{{Id: 1}}},
		{Probe: true, Calls: []*cellpb.Call{{Id: 2}}},
		{Heartbeat: &cellpb.Heartbeat{Token: 2, Nodes: node("b")}, Handover: &cellpb.Handover{Token: 9}},
	})
	assert.Equal(t, len(merged.Calls), 2)
	assert.Assert(t, merged.Probe)
	assert.Equal(t, merged.Handover.Token, uint64(9))
	assert.Equal(t, merged.Heartbeat.Token, uint64(2))
	assert.DeepEqual(t, merged.Heartbeat.ConfigGzip, []byte{5})
	assert.Equal(t, len(merged.Heartbeat.Nodes), 2)
}
