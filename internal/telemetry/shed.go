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
	linesPerKind = 2000
	// detailShare is the part of the line queue that details may fill. The rest is
	// kept for lines on the fate of a request.
	detailShare = 0.5
	// droppedField tells, on the next line of a kind, how many were dropped.
	droppedField = "dropped_before"
)

// detailPrefixes begin the events that are dropped first: steps of a request's
// way. Lines on what became of a request, on leaders, dependencies and
// configurations are dropped only when the whole queue is full.
var detailPrefixes = []string{"run_", "start_", "advice_", "link_", "worker_"}

// shedder formats lines and leaves out details while there are too many.
type shedder struct {
	logrus.Formatter
	lines   *LineWriter
	counter metrics.Counter
	mu      sync.Mutex
	kinds   map[string]*kindVolume
	now     func() time.Time
}

// kindVolume is the number of lines of a kind in the present second.
type kindVolume struct {
	second  int64
	lines   int
	dropped int64
}

func newShedder(f logrus.Formatter, w *LineWriter) *shedder {
	return &shedder{Formatter: f, lines: w, counter: w.counter, kinds: map[string]*kindVolume{}, now: time.Now}
}

// Format implements logrus.Formatter. A line that is left out is empty.
func (s *shedder) Format(e *logrus.Entry) ([]byte, error) {
	event, _ := e.Data["event"].(string)
	if e.Level <= logrus.WarnLevel || !isDetail(event) {
		return s.Formatter.Format(e)
	}
	dropped, keep := s.admit(event)
	if !keep {
		s.counter.Inc(1)
		return nil, nil
	}
	if dropped == 0 {
		return s.Formatter.Format(e)
	}
	marked := *e
	marked.Data = maps.Clone(e.Data)
	marked.Data[droppedField] = dropped
	return s.Formatter.Format(&marked)
}

// admit decides about a line of a kind and returns how many were dropped before.
func (s *shedder) admit(event string) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[event]
	if k == nil {
		k = &kindVolume{}
		s.kinds[event] = k
	}
	if now := s.now().Unix(); now != k.second {
		k.second, k.lines = now, 0
	}
	if k.lines >= linesPerKind || s.lines.fill() > detailShare {
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
