package joblog

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// log contains lines of two daemons, not sorted by time: one with the prefix of a log
// collector, one that is truncated and one that is not JSON.
const log = `
 35.1 edge-2 {"daemon":"edge-2","event":"leader_elected","time":"2026-01-01T00:00:05Z","token":3,"jobs":7}
{"daemon":"edge-1","event":"job_accepted","job":"a1","time":"2026-01-01T00:00:01Z","token":2,"age_ms":12}
{"daemon":"edge-1","event":"run_started","job":"a1","task":"a1.0.0.0","run":1,"worker":"w1","time":"2026-01-01T00:00:02Z"}
{"daemon":"edge-1","event":"run_started","job":"a1","task":"a1.0.0.1","run":1,"worker":"w2","time":"2026-01-01T00:00:02Z"}
{"daemon":"edge-1","event":"run_started","job":"b2","task":"b2.0.0.0","run":1,"worker":"w1","time":"2026-01-01T00:00:02Z"}
{"daemon":"edge-1","event":"worker_state","worker":"w1","detail":"silent","time":"2026-01-01T00:00:03Z"}
{"daemon":"edge-1","event":"worker_state","worker":"w9","detail":"silent","time":"2026-01-01T00:00:03Z"}
{"daemon":"edge-2","event":"run_lost","job":"a1","task":"a1.0.0.0","run":1,"worker":"w1","detail":"the worker's lease ended","time":"2026-01-01T00:00:07Z","dropped_before":4}
{"daemon":"edge-2","event":"job_ended","job":"a1","detail":"completed","time":"2026-01-01T00:00:09Z","age_ms":8000}
{"daemon":"edge-2","event":"leader_ended","time":"2026-01-01T00:00:20Z"}
{"daemon":"edge-2","event":"job_en
not a line of a daemon
`

// Guards against a timeline that misses events of the job on another daemon, or that
// contains unrelated events.
func TestTimelineCoversAllDaemons(t *testing.T) {
	lines, err := Read(strings.NewReader(log))
	assert.NilError(t, err)
	timeline := NewTimeline("a1", lines)
	var got []string
	for i := range timeline.Rows {
		r := &timeline.Rows[i]
		got = append(got, r.Daemon+" "+r.Event+" "+r.Subject()+" "+r.Details())
	}
	assert.DeepEqual(t, got, []string{
		"edge-1 job_accepted a1 token=2 age_ms=12",
		"edge-1 run_started a1.0.0.0 and 1 more run=1",
		"edge-1 worker_state  detail=silent",
		"edge-2 leader_elected  token=3 jobs=7",
		"edge-2 run_lost a1.0.0.0 detail=the worker's lease ended run=1 dropped_before=4",
		"edge-2 job_ended a1 detail=completed age_ms=8000",
	})
	assert.Equal(t, timeline.Outcome.Event, "job_ended")
	assert.Equal(t, timeline.Dropped, int64(4))
	assert.Equal(t, len(NewTimeline("unknown", lines).Rows), 0)
}

// Guards against malformed lines that cause a panic.
func FuzzRead(f *testing.F) {
	f.Add(log)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := Read(strings.NewReader(text))
		if err == nil {
			NewTimeline("a1", lines)
		}
	})
}
