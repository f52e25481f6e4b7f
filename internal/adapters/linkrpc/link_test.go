package linkrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
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

// testPeer is one end of a link. It collects the IDs of the calls that it receives.
type testPeer struct {
	transport *Transport
	calls     chan uint64
	closed    chan struct{}
}

func newTestPeer(name string) *testPeer {
	p := &testPeer{calls: make(chan uint64, 100), closed: make(chan struct{})}
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	p.transport = &Transport{Hello: func() *cellpb.Hello { return &cellpb.Hello{Node: name} }, Handler: p, Viewer: p,
		Registry: metrics.NewRegistry(), Log: logrus.NewEntry(log)}
	return p
}

// LinkOpened implements Handler.
func (p *testPeer) LinkOpened(*Link) {}

// LinkClosed implements Handler.
func (p *testPeer) LinkClosed(*Link) { close(p.closed) }

// Frame implements Handler.
func (p *testPeer) Frame(_ *Link, f *cellpb.Frame) {
	for _, c := range f.Calls {
		p.calls <- c.Id
	}
}

// View implements Viewer.
func (p *testPeer) View(*cellpb.ViewRequest) *cellpb.ViewResponse { return &cellpb.ViewResponse{} }

// Guards against one text that is not valid UTF-8, from a caller's path or from the worker list,
// that closes the link between two daemons and so fails all calls in flight on it.
func TestFrameThatCannotBeEncodedClosesNoLink(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	accepting, dialing := newTestPeer("accepting"), newTestPeer("dialing")
	wg.Go(func() { _ = accepting.transport.Serve(ctx, listener) })
	link, err := dialing.transport.Dial(ctx, listener.Addr().String(), &wg)
	assert.NilError(t, err)
	defer link.Close()

	const frames = 30
	for i := range uint64(frames) {
		job := "5c0e7a21d94b36f8"
		if i%10 == 5 {
			job = "\xff"
		}
		assert.Assert(t, link.Send(&cellpb.Frame{Calls: []*cellpb.Call{{Id: i, Job: job}}}))
	}
	for i := range uint64(frames) {
		if i%10 == 5 {
			continue
		}
		select {
		case got := <-accepting.calls:
			assert.Equal(t, got, i)
		case <-dialing.closed:
			t.Fatalf("the link was closed before call %d arrived", i)
		case <-time.After(5 * time.Second):
			t.Fatalf("call %d did not arrive", i)
		}
	}
	assert.Equal(t, link.dropped.Count(), int64(frames/10))
}

// Guards against merged frames so large that the receiver closes the link, and against frames that
// are left out.
func TestMergedFramesAreLimitedInSize(t *testing.T) {
	large := &cellpb.Frame{Calls: []*cellpb.Call{{Job: string(make([]byte, maxMergedBytes/2))}}}
	small := &cellpb.Frame{Calls: []*cellpb.Call{{Id: 1}}}
	assert.Equal(t, mergeable([]*cellpb.Frame{large}), 1)
	assert.Equal(t, mergeable([]*cellpb.Frame{small, large, small, large, small}), 3)
	assert.Equal(t, mergeable([]*cellpb.Frame{small, small}), 2)
	huge := &cellpb.Frame{Calls: []*cellpb.Call{{Job: string(make([]byte, 2*maxMergedBytes))}}}
	assert.Equal(t, mergeable([]*cellpb.Frame{huge, small}), 1)
}
