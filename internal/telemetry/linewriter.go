package telemetry

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// lineQueueBytes bounds the log lines that wait to be written.
	maxQueuedBytes = 1 << 20
	// lineFlush is how long lines are collected before they are written together.
	flushInterval = 100 * time.Millisecond
)

// LineWriter writes log lines on a goroutine of its own, many at a time. Write
// never blocks: lines that find the queue full are dropped and counted.
type LineWriter struct {
	out          io.Writer
	mu           sync.Mutex
	queue        []byte
	spareBuffer  []byte
	wake         chan struct{}
	closing      chan struct{}
	done         chan struct{}
	closeOnce    sync.Once
	droppedLines metrics.Counter
}

// NewLineWriter returns a writer to out. Dropped lines are counted as
// log.dropped.
func NewLineWriter(out io.Writer, registry metrics.Registry) *LineWriter {
	w := &LineWriter{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{}),
		droppedLines: Counter(registry, "log.dropped")}
	go w.run()
	return w
}

// Write implements io.Writer. It takes whole lines.
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

// fill returns how full the queue is, from 0 to 1.
func (w *LineWriter) fillRatio() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(len(w.queue)) / maxQueuedBytes
}

// Close writes what waits and stops. It gives up after a second when the reader
// does not take the lines.
func (w *LineWriter) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(time.Second):
	}
}

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

// maxWrite bounds one write. Readers of pipes see at most this much at a time.
const maxWriteBytes = 4 << 10

// write writes whole lines, a few at a time.
func (w *LineWriter) write(lines []byte) {
	for len(lines) > 0 {
		n := len(lines)
		if n > maxWriteBytes {
			n = bytes.LastIndexByte(lines[:maxWriteBytes], '\n') + 1
			if n == 0 {
				n = bytes.IndexByte(lines, '\n') + 1
			}
		}
		// Nobody is left to be told of a failed write of the log.
		_, _ = w.out.Write(lines[:n])
		lines = lines[n:]
	}
}

// flush writes all lines that wait.
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
