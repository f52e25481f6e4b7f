// Package linkrpc joins daemons by links: each is one connection with a stream
// of frames in both directions.
package linkrpc

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/ring"
)

const (
	// writeTimeout bounds one write to a link.
	writeTimeout = 1500 * time.Millisecond
	// dialTimeout bounds connecting.
	dialTimeout = 700 * time.Millisecond
	// queueFrames is how many frames may wait on a link before it is closed.
	maxQueuedFrames = 4096
	// mergeFrames is how many waiting frames are sent as one.
	maxMergedFrames = 256
)

// stream is a drpc stream of either side.
type stream interface {
	Context() context.Context
	Send(*cellpb.Frame) error
	Recv() (*cellpb.Frame, error)
	Close() error
}

// Link is an open connection to another daemon.
type Link struct {
	// Peer is what the other daemon said of itself first.
	PeerHello *cellpb.Hello
	// Greeted is when that arrived.
	HelloReceivedAt time.Time
	// Dialed tells that this daemon opened the link.
	Dialed bool

	stream    stream
	conn      net.Conn
	queue     *ring.Ring[*cellpb.Frame]
	lastRecv  atomic.Int64
	closeOnce sync.Once
	done      chan struct{}
}

// Handler takes the frames of a link in order.
type Handler interface {
	// Opened is called before the first frame.
	LinkOpened(*Link)
	Frame(*Link, *cellpb.Frame)
	// Closed is called after the last frame.
	LinkClosed(*Link)
}

func newLink(s stream, conn net.Conn, dialed bool, registry metrics.Registry) *Link {
	l := &Link{stream: s, conn: conn, Dialed: dialed, done: make(chan struct{}),
		queue: ring.New[*cellpb.Frame]("link", maxQueuedFrames, registry)}
	l.markReceived()
	return l
}

// Send queues a frame. A link whose queue is full is closed.
func (l *Link) Send(f *cellpb.Frame) bool {
	if !l.queue.TryPush(f) {
		l.Close()
		return false
	}
	return true
}

// start is the origin of steady times, which do not jump with the wall clock.
var clockOrigin = time.Now()

func (l *Link) markReceived() { l.lastRecv.Store(int64(time.Since(clockOrigin))) }

// Silence returns the time since the last frame arrived.
func (l *Link) IdleTime() time.Duration {
	return time.Since(clockOrigin) - time.Duration(l.lastRecv.Load())
}

// Done is closed when the link ends.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close ends the link.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}

// run exchanges frames until the link ends.
func (l *Link) run(h Handler) {
	h.LinkOpened(l)
	var wg conc.WaitGroup
	wg.Go(l.write)
	l.read(h)
	l.Close()
	wg.Wait()
	h.LinkClosed(l)
}

func (l *Link) read(h Handler) {
	for {
		f, err := l.stream.Recv()
		if err != nil {
			return
		}
		l.markReceived()
		h.Frame(l, f)
	}
}

func (l *Link) write() {
	defer l.Close()
	var waiting []*cellpb.Frame
	for {
		select {
		case <-l.done:
			return
		case f := <-l.queue.C():
			waiting = l.queue.DrainInto(append(waiting[:0], f), maxMergedFrames)
		}
		if err := l.stream.Send(mergeFrames(waiting)); err != nil {
			return
		}
	}
}

// merge joins frames into one. Of heartbeats and reports the last one counts,
// but what a heartbeat carries only once is kept.
func mergeFrames(frames []*cellpb.Frame) *cellpb.Frame {
	if len(frames) == 1 {
		return frames[0]
	}
	out := &cellpb.Frame{}
	for _, f := range frames {
		out.Calls = append(out.Calls, f.Calls...)
		out.Replies = append(out.Replies, f.Replies...)
		out.AdviceCalls = append(out.AdviceCalls, f.AdviceCalls...)
		out.AdviceReplies = append(out.AdviceReplies, f.AdviceReplies...)
		out.Probe = out.Probe || f.Probe
		if f.Handover != nil {
			out.Handover = f.Handover
		}
		if f.Report != nil {
			out.Report = f.Report
		}
		if f.Heartbeat != nil {
			out.Heartbeat = mergeHeartbeat(out.Heartbeat, f.Heartbeat)
		}
	}
	return out
}

func mergeHeartbeat(earlier, later *cellpb.Heartbeat) *cellpb.Heartbeat {
	if earlier == nil {
		return later
	}
	if later.Config == nil {
		later.Config = earlier.Config
	}
	later.Nodes = slices.Concat(earlier.Nodes, later.Nodes)
	return later
}

// boundedConn limits the time of each write.
type writeTimeoutConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
