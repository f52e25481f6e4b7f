package telemetry

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxQueuedBytes limits the log lines that wait to be written.
	maxQueuedBytes = 1 << 20
	// flushInterval is how long lines are collected before they are written together.
	flushInterval = 100 * time.Millisecond
)

// LineWriter writes log lines in batches on a goroutine of its own, so that a slow or
// blocked reader of the log never blocks a caller of Write. Lines that do not fit into the
// queue are dropped and counted. It is safe for concurrent use.
type LineWriter struct {
	out io.Writer
	// mu guards queue and spareBuffer.
	mu sync.Mutex
	// queue holds the lines that wait to be written.
	queue []byte
	// spareBuffer is the memory of the lines that were written last, for the next queue.
	spareBuffer  []byte
	wake         chan struct{}
	closing      chan struct{}
	done         chan struct{}
	closeOnce    sync.Once
	droppedLines metrics.Counter
}

// NewLineWriter returns a LineWriter that writes to out. Dropped lines are counted in the
// metric log.dropped. The caller must call Close to stop its goroutine.
func NewLineWriter(out io.Writer, registry metrics.Registry) *LineWriter {
	w := &LineWriter{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{}),
		droppedLines: Counter(registry, "log.dropped")}
	go w.run()
	return w
}

// Write implements io.Writer. The argument must consist of whole lines. Write always
// returns len(p), also when it drops p.
func (w *LineWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	full := len(w.queue)+len(p) > maxQueuedBytes
	if !full {
		w.queue = append(w.queue, p...)
	}
	w.mu.Unlock()
	if full {
		w.droppedLines.Inc(1)
		return len(p), nil
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// fillRatio returns the used fraction of the queue, from 0 to 1.
func (w *LineWriter) fillRatio() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(len(w.queue)) / maxQueuedBytes
}

// Close writes the queued lines and stops the goroutine. When the reader of the log is
// blocked, Close returns after 1 second.
func (w *LineWriter) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(time.Second):
	}
}

// run flushes the queue at most once per flushInterval until Close is called.
func (w *LineWriter) run() {
	defer close(w.done)
	for {
		select {
		case <-w.closing:
			w.flush()
			return
		case <-w.wake:
		}
		select {
		case <-w.closing:
		case <-time.After(flushInterval):
		}
		w.flush()
	}
}

// maxWriteBytes limits one write, so that a reader of a pipe gets at most this much at a
// time. A longer line is written alone.
const maxWriteBytes = 4 << 10

// write writes lines in chunks of whole lines.
func (w *LineWriter) write(lines []byte) {
	for len(lines) > 0 {
		n := len(lines)
		if n > maxWriteBytes {
			n = bytes.LastIndexByte(lines[:maxWriteBytes], '\n') + 1
			if n == 0 {
				n = bytes.IndexByte(lines, '\n') + 1
			}
		}
		// There is no other place to report a failed write of the log.
		_, _ = w.out.Write(lines[:n])
		lines = lines[n:]
	}
}

// flush writes all queued lines. Only the goroutine of run may call it.
func (w *LineWriter) flush() {
	w.mu.Lock()
	lines := w.queue
	w.queue, w.spareBuffer = w.spareBuffer[:0], nil
	w.mu.Unlock()
	w.write(lines)
	w.mu.Lock()
	w.spareBuffer = lines[:0]
	w.mu.Unlock()
}
