// Package linkrpc implements links between daemons. A link is one connection with a
// bidirectional stream of frames.
package linkrpc

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/lastseen"
	"catkinvalve/internal/ring"
	"catkinvalve/internal/telemetry"
)

const (
	// writeTimeout limits one write to a link's connection.
	writeTimeout = 1500 * time.Millisecond
	// dialTimeout limits the time to open a connection.
	dialTimeout = 700 * time.Millisecond
	// maxQueuedFrames is the maximum number of frames that wait to be sent on a link. The
	// link is closed when it is exceeded.
	maxQueuedFrames = 4096
	// maxMergedFrames is the number of waiting frames, in addition to the first one, that
	// are merged into one frame.
	maxMergedFrames = 256
	// maxMergedBytes limits the size of a merged frame, unless one of its parts is larger. The
	// receiver closes the link after a message of more than 4 MiB.
	maxMergedBytes = 1 << 20
)

// stream is the stream of a link, of the dialing or of the accepting side.
type stream interface {
	Context() context.Context
	Send(*cellpb.Frame) error
	Recv() (*cellpb.Frame, error)
	Close() error
}

// Link is an open connection to another daemon. It is safe for concurrent use.
type Link struct {
	// PeerHello is the first message of the other daemon, which describes it.
	PeerHello *cellpb.Hello
	// HelloReceivedAt is the time when PeerHello arrived.
	HelloReceivedAt time.Time

	stream stream
	conn   net.Conn
	queue  *ring.Ring[*cellpb.Frame]
	log    *logrus.Entry
	// dropped counts the frames that could not be encoded.
	dropped metrics.Counter
	// received is the time of the last received frame.
	received  lastseen.Mark
	closeOnce sync.Once
	done      chan struct{}
}

// Handler handles the events of links. The calls for one link are made one after the
// other; calls for different links may be concurrent.
type Handler interface {
	// LinkOpened is called before the first frame is handled.
	LinkOpened(*Link)
	// Frame handles a received frame. Frames of a link arrive in the order in which they
	// were sent.
	Frame(*Link, *cellpb.Frame)
	// LinkClosed is called after the last frame was handled.
	LinkClosed(*Link)
}

func (t *Transport) newLink(s stream, conn net.Conn) *Link {
	l := &Link{stream: s, conn: conn, done: make(chan struct{}), log: t.Log,
		queue:   ring.New[*cellpb.Frame]("link", maxQueuedFrames, t.Registry),
		dropped: telemetry.Counter(t.Registry, "link.frames_dropped")}
	l.received.Now()
	return l
}

// Send queues a frame for sending without waiting. If the queue is full, it closes the link
// and returns false. A frame that was queued may still be lost when the link closes.
func (l *Link) Send(f *cellpb.Frame) bool {
	if !l.queue.TryPush(f) {
		l.Close()
		return false
	}
	return true
}

// IdleTime returns the time since the last frame was received.
func (l *Link) IdleTime() time.Duration {
	return l.received.Age()
}

// Done returns a channel that is closed when the link is closed.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close closes the link and its connection. It may be called more than once.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}

// run sends and receives frames until the link is closed.
func (l *Link) run(h Handler) {
	h.LinkOpened(l)
	var wg conc.WaitGroup
	wg.Go(l.write)
	l.read(h)
	l.Close()
	wg.Wait()
	h.LinkClosed(l)
}

// read passes received frames to h until the stream fails.
func (l *Link) read(h Handler) {
	for {
		f, err := l.stream.Recv()
		if err != nil {
			return
		}
		l.received.Now()
		h.Frame(l, f)
	}
}

// write sends queued frames until the link is closed or the stream fails, and then closes
// the link.
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
		for rest := waiting; len(rest) > 0; {
			n := mergeable(rest)
			if err := l.send(rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
	}
}

// send sends frames as one. If that cannot be encoded, it sends those that can one by one and
// drops the others: one malformed text must not close the link for all.
func (l *Link) send(frames []*cellpb.Frame) error {
	err := l.stream.Send(mergeFrames(frames))
	if err == nil || !slices.ContainsFunc(frames, func(f *cellpb.Frame) bool { return encodingError(f) != nil }) {
		return err
	}
	for _, f := range frames {
		if err := encodingError(f); err != nil {
			l.dropped.Inc(1)
			l.log.WithError(err).WithFields(logrus.Fields{"event": "frame_dropped", "peer": l.PeerHello.GetNode()}).Error("a frame cannot be encoded and is not sent")
			continue
		}
		if err := l.stream.Send(f); err != nil {
			return err
		}
	}
	return nil
}

// encodingError returns why a frame cannot be encoded, for example because a text is not valid
// UTF-8.
func encodingError(f *cellpb.Frame) error {
	_, err := proto.Marshal(f)
	return err
}

// mergeable returns how many of the first frames, at least one, may be merged.
func mergeable(frames []*cellpb.Frame) int {
	if len(frames) == 1 {
		return 1
	}
	bytes := 0
	for i, f := range frames {
		if bytes += proto.Size(f); i > 0 && bytes > maxMergedBytes {
			return i
		}
	}
	return len(frames)
}

// mergeFrames merges frames into one. Of heartbeats, reports and handovers it keeps the last
// one. A heartbeat states nodes and the configuration only once, so these are kept from
// earlier heartbeats.
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
		out.WorkerCalls = append(out.WorkerCalls, f.WorkerCalls...)
		out.WorkerResults = append(out.WorkerResults, f.WorkerResults...)
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

// mergeHeartbeat returns later with the nodes of both heartbeats, and with the configuration
// of earlier if later has none. It changes later.
func mergeHeartbeat(earlier, later *cellpb.Heartbeat) *cellpb.Heartbeat {
	if earlier == nil {
		return later
	}
	if len(later.ConfigGzip) == 0 {
		later.ConfigGzip = earlier.ConfigGzip
	}
	later.Nodes = slices.Concat(earlier.Nodes, later.Nodes)
	return later
}

// writeTimeoutConn is a connection whose writes each fail after writeTimeout.
type writeTimeoutConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
