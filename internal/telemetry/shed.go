package telemetry

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

const (
	// maxDetailLinesPerSecond limits the lines of each detail event in a second.
	maxDetailLinesPerSecond = 2000
	// detailQueueShare is the fraction of the line queue that details may fill. The rest
	// is reserved for lines on the outcome of a request.
	detailQueueShare = 0.5
	// droppedField is the log field that states how many lines of the same event were
	// dropped before the line.
	droppedField = "dropped_before"
)

// detailPrefixes are the prefixes of detail events, which are dropped first: the single steps of
// processing a request, and calls without a valid key, which any client can send. Lines on the outcome of a request, on leaders,
// dependencies and configurations are dropped only when the whole queue is full.
var detailPrefixes = []string{"run_", "start_", "advice_", "link_", "worker_", "call_unauthorized"}

// sheddingFormatter formats log entries and drops those of detail events while there are
// too many of them or the line queue is filling up.
type sheddingFormatter struct {
	logrus.Formatter
	lines        *LineWriter
	droppedLines metrics.Counter
	mu           sync.Mutex
	byEvent      map[string]*eventRate
	now          func() time.Time
}

// eventRate counts the lines of one event.
type eventRate struct {
	// second is the Unix time of the second in which lines are counted.
	second int64
	// lines is the number of lines written in that second.
	lines int
	// dropped counts the lines dropped since the last one that was written.
	dropped int64
}

func newSheddingFormatter(f logrus.Formatter, w *LineWriter) *sheddingFormatter {
	return &sheddingFormatter{Formatter: f, lines: w, droppedLines: w.droppedLines, byEvent: map[string]*eventRate{}, now: time.Now}
}

// Format implements logrus.Formatter. It returns no bytes for a line that is dropped.
// Only lines of detail events below level warning can be dropped here.
func (s *sheddingFormatter) Format(e *logrus.Entry) ([]byte, error) {
	event, _ := e.Data["event"].(string)
	if e.Level <= logrus.WarnLevel || !isDetail(event) {
		return s.Formatter.Format(e)
	}
	dropped, keep := s.admit(event)
	if !keep {
		s.droppedLines.Inc(1)
		return nil, nil
	}
	if dropped == 0 {
		return s.Formatter.Format(e)
	}
	annotated := *e
	annotated.Data = maps.Clone(e.Data)
	annotated.Data[droppedField] = dropped
	return s.Formatter.Format(&annotated)
}

// admit reports whether to write a line of a detail event. If so, it also returns how many
// lines of the event were dropped since the last one that was written.
func (s *sheddingFormatter) admit(event string) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.byEvent[event]
	if rate == nil {
		rate = &eventRate{}
		s.byEvent[event] = rate
	}
	if now := s.now().Unix(); now != rate.second {
		rate.second, rate.lines = now, 0
	}
	if rate.lines >= maxDetailLinesPerSecond || s.lines.fillRatio() > detailQueueShare {
		rate.dropped++
		return 0, false
	}
	rate.lines++
	dropped := rate.dropped
	rate.dropped = 0
	return dropped, true
}

func isDetail(event string) bool {
	for _, p := range detailPrefixes {
		if strings.HasPrefix(event, p) {
			return true
		}
	}
	return false
}
