package cell

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/ring"
)

// Guards against calls of other daemons that fill the leader's memory before it handles them, and
// against room that is not released when they are handled.
func TestInboxIsLimitedInBytes(t *testing.T) {
	l := &leader{inbox: ring.New[message]("test", 10, metrics.NewRegistry())}
	l.inboxBytes.limit, l.inboxBytes.refused = 1000, metrics.NewCounter()
	call := &cellpb.Call{Kind: cellpb.CallKind_SUBMIT, Spec: &cellpb.Job{Payload: string(make([]byte, 600))}}
	assert.Assert(t, l.receiveCall(nil, call) == nil)
	refusal := l.receiveCall(nil, call)
	assert.Equal(t, refusal.Reason, string(model.ReasonMemoryFull))
	assert.Assert(t, refusal.RetryAfter >= 1)
	m := l.inbox.DrainInto(nil, 1)[0].(callMsg)
	l.inboxBytes.release(m.bytes)
	assert.Equal(t, l.inboxBytes.used.Load(), int64(0))
	assert.Equal(t, l.inboxBytes.refused.Count(), int64(1))
	var none *leader
	assert.Equal(t, none.receiveCall(nil, call).Verdict, verdictNotLeader)
}
