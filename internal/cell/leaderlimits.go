package cell

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/model"
)

// Shares of the process's memory for what clients make the leader hold, in addition to the share
// of package intake.
const (
	jobMemoryShare   = 0.2
	inboxMemoryShare = 0.05
)

// inboxRetryAfter is when a caller may retry a call that did not fit into the leader's inbox, which
// the leader empties many times a second.
const inboxRetryAfter = time.Second

// memoryPart returns a share of the process's memory in bytes; 0 if that is not known.
func (s *Settings) memoryPart(share float64) int64 { return int64(share * float64(s.MemoryMB<<20)) }

// byteLimit limits the memory of messages that wait. A limit of 0 does not apply.
type byteLimit struct {
	limit   int64
	used    atomic.Int64
	refused metrics.Counter
}

// reserve reserves n bytes, and reports whether there was room.
func (b *byteLimit) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit || b.limit == 0 {
		return true
	}
	b.used.Add(-n)
	b.refused.Inc(1)
	return false
}

func (b *byteLimit) release(n int64) { b.used.Add(-n) }

// receiveCall puts a call of another daemon into the inbox. It returns the reply if there is no room
// or l, which may be nil, does not lead. The call has no effect then.
func (l *leader) receiveCall(from *linkrpc.Link, c *cellpb.Call) *Reply {
	if l == nil {
		return &Reply{Verdict: verdictNotLeader}
	}
	m := callMsg{origin: callOrigin{from, c.Id}, call: c, receivedAt: time.Now(), bytes: int64(proto.Size(c))}
	if !l.inboxBytes.reserve(m.bytes) {
		return &Reply{Verdict: VerdictOverloaded, Reason: string(model.ReasonMemoryFull), RetryAfter: inboxRetryAfter}
	}
	if !l.inbox.TryPush(m) {
		l.inboxBytes.release(m.bytes)
		return &Reply{Verdict: verdictNotLeader}
	}
	return nil
}
