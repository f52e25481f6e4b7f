package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// blockedWriter acts like a pipe whose reader reads nothing until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

func (b *blockedWriter) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.String()
}

// Guards against callers that block when the reader of the log does not read, and against
// lines on the outcome of jobs that are dropped because detail lines fill the queue.
func TestBlockedLogReaderDoesNotBlockLogging(t *testing.T) {
	writer := &blockedWriter{release: make(chan struct{})}
	registry := metrics.NewRegistry()
	lines := NewLineWriter(writer, registry)
	log, err := NewLogger(lines, "info", "d", "dc")
	assert.NilError(t, err)
	begin := time.Now()
	const jobs = 400
	for i := range jobs {
		for range 50 {
			log.WithField("event", "run_started").WithField("detail", strings.Repeat("x", 100)).Info()
		}
		log.WithField("event", "job_ended").WithField("job", fmt.Sprint("job-", i)).Info()
	}
	assert.Assert(t, time.Since(begin) < 5*time.Second, "logging took %v", time.Since(begin))
	dropped := Counter(registry, "log.dropped").Count()
	assert.Assert(t, dropped > 0, "no line was dropped")
	close(writer.release)
	lines.Close()
	text := writer.text()
	for i := range jobs {
		assert.Assert(t, strings.Contains(text, fmt.Sprintf(`"job-%d"`, i)), "the outcome of job-%d is missing", i)
	}
	written := int64(strings.Count(text, "run_started"))
	assert.Equal(t, written+dropped, int64(jobs*50), "lines are neither written nor counted as dropped")
}

// Guards against a log that looks complete although lines were dropped.
func TestDroppedLinesAreReported(t *testing.T) {
	var out bytes.Buffer
	lines := NewLineWriter(io.Discard, metrics.NewRegistry())
	defer lines.Close()
	log, err := NewLogger(&out, "info", "d", "dc")
	assert.NilError(t, err)
	now := time.Unix(100, 0)
	s := newSheddingFormatter(log.Logger.Formatter, lines)
	s.now = func() time.Time { return now }
	log.Logger.SetFormatter(s)
	for range maxDetailLinesPerSecond + 7 {
		log.WithField("event", "run_ended").Info()
	}
	assert.Equal(t, strings.Count(out.String(), "\n"), maxDetailLinesPerSecond)
	now = now.Add(time.Second)
	out.Reset()
	log.WithField("event", "run_ended").Info()
	assert.Assert(t, strings.Contains(out.String(), `"dropped_before":7`), out.String())
	assert.Assert(t, strings.Contains(out.String(), `"level":"info"`), out.String())
}

// Guards against clients without a key whose requests fill the log.
func TestLinesOfUnauthorizedCallsAreLimited(t *testing.T) {
	var out bytes.Buffer
	lines := NewLineWriter(io.Discard, metrics.NewRegistry())
	defer lines.Close()
	log, err := NewLogger(&out, "info", "d", "dc")
	assert.NilError(t, err)
	s := newSheddingFormatter(log.Logger.Formatter, lines)
	s.now = func() time.Time { return time.Unix(100, 0) }
	log.Logger.SetFormatter(s)
	for range maxDetailLinesPerSecond + 1 {
		log.WithField("event", "call_unauthorized").Info()
	}
	assert.Equal(t, strings.Count(out.String(), "\n"), maxDetailLinesPerSecond)
}
