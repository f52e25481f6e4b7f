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
	// linesPerKind bounds the lines of one kind of detail in a second.
	maxDetailLinesPerSecond = 2000
	// detailShare is the part of the line queue that details may fill. The rest is
	// kept for lines on the fate of a request.
	detailQueueShare = 0.5
	// droppedField tells, on the next line of a kind, how many were dropped.
	droppedField = "dropped_before"
)

// detailPrefixes begin the events that are dropped first: steps of a request's
// way. Lines on what became of a request, on leaders, dependencies and
// configurations are dropped only when the whole queue is full.
var detailPrefixes = []string{"run_", "start_", "advice_", "link_", "worker_"}

// shedder formats lines and leaves out details while there are too many.
type sheddingFormatter struct {
	logrus.Formatter
	lines        *LineWriter
	droppedLines metrics.Counter
	mu           sync.Mutex
	byEvent      map[string]*eventRate
	now          func() time.Time
}

// kindVolume is the number of lines of a kind in the present second.
type eventRate struct {
	second  int64
	lines   int
	dropped int64
}

func newSheddingFormatter(f logrus.Formatter, w *LineWriter) *sheddingFormatter {
	return &sheddingFormatter{Formatter: f, lines: w, droppedLines: w.droppedLines, byEvent: map[string]*eventRate{}, now: time.Now}
}

// Format implements logrus.Formatter. A line that is left out is empty.
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

// admit decides about a line of a kind and returns how many were dropped before.
func (s *sheddingFormatter) admit(event string) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.byEvent[event]
	if k == nil {
		k = &eventRate{}
		s.byEvent[event] = k
	}
	if now := s.now().Unix(); now != k.second {
		k.second, k.lines = now, 0
	}
	if k.lines >= maxDetailLinesPerSecond || s.lines.fillRatio() > detailQueueShare {
		k.dropped++
		return 0, false
	}
	k.lines++
	dropped := k.dropped
	k.dropped = 0
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
