package cell

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/ports"
)

// Guards against daemons that start at the same time and claim the leadership from each
// other before a claim is complete.
func TestOnlyOneDaemonClaimsLeadership(t *testing.T) {
	t.Parallel()
	c := newTestCell(t, 0)
	c.store.appendDelay = func(a ports.Append) time.Duration {
		if a.Fence != nil && a.Fence.Seq == firstSeq {
			return 500 * time.Millisecond
		}
		return 2 * time.Millisecond
	}
	for range 8 {
		c.add()
	}
	c.leader(nil)
	epochs := map[uint64]bool{}
	for _, a := range c.store.appends() {
		epochs[a.fence.Epoch] = true
	}
	assert.Equal(t, len(epochs), 1, "%d daemons became the leader", len(epochs))
}

// claimant is a daemon that is claiming the leadership, as it appears to other daemons.
type claimant struct{ token uint64 }

func (c claimant) View(*cellpb.ViewRequest) *cellpb.ViewResponse {
	return &cellpb.ViewResponse{Node: "claimant", Claimed: c.token}
}
func (claimant) LinkOpened(*linkrpc.Link)           {}
func (claimant) Frame(*linkrpc.Link, *cellpb.Frame) {}
func (claimant) LinkClosed(*linkrpc.Link)           {}
func (c claimant) hello() *cellpb.Hello             { return &cellpb.Hello{Node: "claimant", Claimed: c.token} }

// Guards against a daemon that claims the leadership although another daemon, to which
// it has just opened a link, is already claiming it. After a power loss of all daemons,
// ten of them claimed the leadership within a second.
func TestClaimInProgressIsRespected(t *testing.T) {
	t.Parallel()
	c := newTestCell(t, 1)
	const token = 1000
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	peer := claimant{token}
	transport := &linkrpc.Transport{Hello: peer.hello, Handler: peer, Viewer: peer, Registry: metrics.NewRegistry(), Log: c.daemons[0].log}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		assert.Check(t, transport.Serve(ctx, l))
	}()
	defer func() { cancel(); <-served }()
	record := &cellpb.StoredNode{Node: "claimant", Address: l.Addr().String()}
	for range 50 {
		assert.Assert(t, c.daemons[0].followLeader(ctx, record, token), "the claim in progress is ignored")
	}
	assert.Assert(t, !c.daemons[0].followLeader(ctx, record, token+1), "a claim that failed is still respected")
}
