package confirm

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"catkinvalve/internal/core/split"
	_ "catkinvalve/internal/propseed"
)

var logTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func publicationRecord(id string, base uint64) []byte {
	b, _ := json.Marshal(Record{Publication: &Publication{ID: id, Base: base, Text: "text-" + id}})
	return b
}

func snapshotRecord(s State) []byte {
	b, _ := json.Marshal(Record{Snapshot: &s})
	return b
}

var acceptAll = TextRules{
	Validate: func(string) error { return nil },
	DeriveHistory: func(before split.History, at time.Time, text string) split.History {
		return before.WithRevision(at, split.Revision{NewPercent: map[string]int{"s": len(text)}})
	},
}

func newReaderAtStart() *Reader {
	r := NewReader(acceptAll)
	r.HandleStreamStart()
	return r
}

// Of two publications from the same base, only the first may be accepted.
func TestFirstPublicationFromABaseWins(t *testing.T) {
	r := newReaderAtStart()
	assert.Assert(t, r.Apply(0, logTime, publicationRecord("a", 0)))
	assert.Assert(t, !r.Apply(1, logTime, publicationRecord("b", 0)))
	v, ok := r.Verdict("b")
	assert.Assert(t, ok && !v.Accepted)
	assert.Equal(t, v.Revision, uint64(1))
	assert.Equal(t, r.State().Text, "text-a")
}

// A publication that is retried because its acknowledgement was lost must be
// neither applied twice nor refused.
func TestRepeatedPublishIDKeepsFirstVerdict(t *testing.T) {
	r := newReaderAtStart()
	r.Apply(0, logTime, publicationRecord("a", 0))
	r.Apply(1, logTime, publicationRecord("b", 1))
	assert.Assert(t, !r.Apply(2, logTime, publicationRecord("a", 2)))
	v, _ := r.Verdict("a")
	assert.Assert(t, v.Accepted)
	assert.Equal(t, r.State().Revision, uint64(2))
}

// An invalid text must not come into force when it is appended to the log
// directly.
func TestInvalidTextIsRefused(t *testing.T) {
	refuseAll := acceptAll
	refuseAll.Validate = func(string) error { return errors.New("bad") }
	r := NewReader(refuseAll)
	r.HandleStreamStart()
	assert.Assert(t, !r.Apply(0, logTime, publicationRecord("a", 0)))
	assert.Equal(t, r.State().Revision, uint64(0))
}

// A reader that missed records dropped by the log must not derive a revision
// from later ones.
func TestTruncationRemovesBaselineAndKeepsRevision(t *testing.T) {
	r := newReaderAtStart()
	r.Apply(0, logTime, publicationRecord("a", 0))
	r.HandleTruncation(5)
	assert.Assert(t, !r.HasBaseline())
	assert.Assert(t, !r.Apply(5, logTime, publicationRecord("x", 1)))
	assert.Equal(t, r.State().Revision, uint64(1))
	// A snapshot taken before the gap is no baseline: records 2 to 4 are unknown.
	r.Apply(6, logTime, snapshotRecord(State{Revision: 2, Text: "t", NextOffset: 2}))
	assert.Assert(t, !r.HasBaseline())
	r.Apply(7, logTime, snapshotRecord(State{Revision: 4, Text: "t4", NextOffset: 5}))
	assert.Assert(t, r.HasBaseline())
	assert.Equal(t, r.State().Revision, uint64(4))
}

// Publications between the offset of a snapshot and the snapshot record itself
// must not be lost.
func TestPublicationsBeforeTheSnapshotRecordAreApplied(t *testing.T) {
	r := NewReader(acceptAll)
	r.HandleTruncation(10)
	r.Apply(10, logTime, publicationRecord("late", 3))
	changed := r.Apply(11, logTime, snapshotRecord(State{Revision: 3, Text: "t3", NextOffset: 10}))
	assert.Assert(t, changed)
	assert.Equal(t, r.State().Revision, uint64(4))
	assert.Equal(t, r.State().Text, "text-late")
}

// The state of a lagging peer must not return a daemon to an earlier revision.
func TestAdoptNeverDecreasesRevision(t *testing.T) {
	r := newReaderAtStart()
	r.Apply(0, logTime, publicationRecord("a", 0))
	r.Apply(1, logTime, publicationRecord("b", 1))
	assert.Assert(t, !r.Adopt(State{Revision: 1, NextOffset: 1, Text: "text-a"}))
	assert.Equal(t, r.State().Revision, uint64(2))
	assert.Assert(t, r.Adopt(State{Revision: 5, NextOffset: 9, Text: "five"}))
	assert.Equal(t, r.NextOffset(), int64(9))
}

// A new reader must find a baseline in a log that drops old records.
func TestSnapshotBecomesDueByAgeAndByCount(t *testing.T) {
	r := newReaderAtStart()
	r.Apply(0, logTime, publicationRecord("a", 0))
	assert.Assert(t, !r.NeedsSnapshot(logTime.Add(time.Minute), time.Hour))
	assert.Assert(t, r.NeedsSnapshot(logTime.Add(2*time.Hour), time.Hour))
	for i := range publicationsPerSnapshot {
		r.Apply(int64(i+1), logTime, publicationRecord(fmt.Sprint("p", i), uint64(i+1)))
	}
	assert.Assert(t, r.NeedsSnapshot(logTime, time.Hour))
}

// Readers that start at different offsets, or lose records to retention, must
// reach the same revision.
func TestReadersAgreeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := newReaderAtStart()
		var log [][]byte
		var states []State
		n := rapid.IntRange(1, 60).Draw(t, "records")
		for i := range n {
			var data []byte
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 && len(states) > 0 {
				data = snapshotRecord(states[rapid.IntRange(0, len(states)-1).Draw(t, "as of")])
			} else {
				base := full.State().Revision
				if base > 0 && rapid.Bool().Draw(t, "stale") {
					base--
				}
				data = publicationRecord(fmt.Sprint("p", rapid.IntRange(0, 30).Draw(t, "id")), base)
			}
			log = append(log, data)
			full.Apply(int64(i), logTime, data)
			states = append(states, full.State())
		}
		late := NewReader(acceptAll)
		first := rapid.IntRange(0, n-1).Draw(t, "first")
		if first == 0 {
			late.HandleStreamStart()
		} else {
			late.HandleTruncation(int64(first))
		}
		previous := uint64(0)
		for i := first; i < n; i++ {
			late.Apply(int64(i), logTime, log[i])
			if late.State().Revision < previous {
				t.Fatalf("revision decreased from %d to %d", previous, late.State().Revision)
			}
			previous = late.State().Revision
			if late.HasBaseline() && late.State().Revision != states[i].Revision {
				t.Fatalf("late reader is at revision %d, full reader at %d", late.State().Revision, states[i].Revision)
			}
			if late.HasBaseline() {
				assert.DeepEqual(t, late.State().History, states[i].History)
			}
		}
	})
}
