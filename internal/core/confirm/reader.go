// Package confirm decides which published configurations are accepted. Every
// daemon applies the records of the configuration stream in log order and
// therefore reaches the same verdicts. The revision never decreases.
package confirm

import (
	"encoding/json"
	"time"

	"catkinvalve/internal/core/split"
)

// maxVerdicts bounds the number of verdicts that are kept. A publisher retries
// within seconds, and there are only a few thousand changes a day.
const maxVerdicts = 512

// Record is the JSON form of a record of the configuration stream. Exactly one
// of Publication and Snapshot is set.
type Record struct {
	Publication *Publication `json:"publish,omitempty"`
	Snapshot    *State       `json:"snapshot,omitempty"`
}

// Publication is an operator's request to replace the configuration text. It is
// accepted only if Base is still the accepted revision.
type Publication struct {
	ID     string `json:"id"`
	Base   uint64 `json:"base"`
	Text   string `json:"text"`
	Author string `json:"author,omitempty"`
}

// Verdict is the outcome of one publication.
type Verdict struct {
	ID       string    `json:"id"`
	Author   string    `json:"author,omitempty"`
	Time     time.Time `json:"time"`
	Accepted bool      `json:"accepted"`
	// Revision is the revision created by this publication, or the revision that
	// stayed in force if the publication was refused.
	Revision uint64 `json:"revision"`
}

// State is the accepted configuration at one offset of the stream.
type State struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
	// NextOffset is the offset of the first record that the state does not include.
	NextOffset int64 `json:"next"`
	// AcceptedAt is the time at which the log stored the accepted record.
	AcceptedAt time.Time `json:"accepted_at"`
	Verdicts   []Verdict `json:"verdicts"`
	// History is what is still needed from earlier revisions.
	History split.History `json:"carried"`
}

// TextRules evaluate configuration texts. They must be deterministic, so that
// every daemon gets the same results.
type TextRules struct {
	// Validate returns an error for a text that must not come into force.
	Validate func(text string) error
	// DeriveHistory returns the revision history of an accepted text from that of
	// the revision before it.
	DeriveHistory func(before split.History, at time.Time, text string) split.History
}

// Reader follows the configuration stream. It is not safe for concurrent use.
type Reader struct {
	state       State
	hasBaseline bool
	// contiguousFrom is the offset from which all records were read without a gap.
	contiguousFrom int64
	// pending holds publications that were read without a baseline. They get
	// their verdict once a snapshot gives the revision before them.
	pending []pending
	// lastSnapshotAt is the log time of the last snapshot record read.
	lastSnapshotAt time.Time
	// publicationsSinceSnapshot counts publications after the last snapshot record.
	publicationsSinceSnapshot int
	rules                     TextRules
}

// pending is a publication that has no verdict yet.
type pending struct {
	offset      int64
	loggedAt    time.Time
	publication Publication
}

// maxPending bounds the memory of a reader without a baseline. The next snapshot
// record is due after publicationsPerSnapshot publications at the latest.
const maxPending = 4 * publicationsPerSnapshot

// publicationsPerSnapshot is the number of publications after which a snapshot
// is due regardless of its age, for logs that limit retention by record count.
const publicationsPerSnapshot = 64

// NewReader returns a reader without a baseline.
func NewReader(rules TextRules) *Reader { return &Reader{rules: rules} }

// HasBaseline reports whether the reader knows the accepted revision. It gets
// this baseline from the start of an untruncated stream, a snapshot or a peer.
func (r *Reader) HasBaseline() bool { return r.hasBaseline }

// State returns the accepted state.
func (r *Reader) State() State { return r.state }

// NextOffset returns the offset of the next record to read.
func (r *Reader) NextOffset() int64 { return r.state.NextOffset }

// Adopt replaces the reader's state by that of a peer if the peer's is newer. It
// reports whether the revision in force changed.
func (r *Reader) Adopt(s State) bool {
	if s.Revision < r.state.Revision || (r.hasBaseline && s.NextOffset <= r.state.NextOffset) {
		return false
	}
	changed := s.Revision > r.state.Revision
	r.setBaseline(s)
	return changed
}

// setBaseline replaces the state by s and drops the pending publications.
func (r *Reader) setBaseline(s State) {
	r.state, r.contiguousFrom, r.hasBaseline = cloneState(s), s.NextOffset, true
	r.pending = nil
}

// HandleTruncation tells the reader that the log now starts at firstOffset. A
// reader that had not read up to there loses its baseline, because an accepted
// publication may have been dropped. Its revision stays in force until a
// snapshot or a peer provides a newer one.
func (r *Reader) HandleTruncation(firstOffset int64) {
	if firstOffset > r.state.NextOffset {
		r.hasBaseline = false
		r.pending = nil
		r.state.NextOffset, r.contiguousFrom = firstOffset, firstOffset
	}
}

// HandleStreamStart gives a reader a baseline if it reads the stream from its
// first offset.
func (r *Reader) HandleStreamStart() {
	if r.state.NextOffset == 0 {
		r.hasBaseline = true
	}
}

// Apply processes one record; records must be passed in log order. It reports
// whether a new revision came into force. Records that cannot be decoded are
// skipped, which every reader does in the same way.
func (r *Reader) Apply(offset int64, loggedAt time.Time, data []byte) bool {
	if offset < r.state.NextOffset {
		return false
	}
	defer func() { r.state.NextOffset = offset + 1 }()
	var rec Record
	if err := json.Unmarshal(data, &rec); err != nil {
		return false
	}
	switch {
	case rec.Snapshot != nil:
		return r.applySnapshot(loggedAt, *rec.Snapshot)
	case rec.Publication == nil:
		return false
	case r.hasBaseline:
		return r.applyPublication(loggedAt, *rec.Publication)
	case len(r.pending) < maxPending:
		r.pending = append(r.pending, pending{offset, loggedAt, *rec.Publication})
	}
	return false
}

// applySnapshot uses a snapshot as the baseline if the reader has none. The
// reader must have read every record from the snapshot's offset on; otherwise
// publications in between may be missing.
func (r *Reader) applySnapshot(loggedAt time.Time, s State) bool {
	r.lastSnapshotAt, r.publicationsSinceSnapshot = loggedAt, 0
	if r.hasBaseline || s.Revision < r.state.Revision || s.NextOffset < r.contiguousFrom {
		return false
	}
	previousRevision, previousOffset, replay := r.state.Revision, r.state.NextOffset, r.pending
	r.setBaseline(s)
	for _, p := range replay {
		if p.offset >= s.NextOffset {
			r.applyPublication(p.loggedAt, p.publication)
		}
	}
	r.state.NextOffset = max(previousOffset, s.NextOffset)
	return r.state.Revision > previousRevision
}

// applyPublication gives a publication its verdict and reports whether it was
// accepted. It ignores an ID that already has a verdict.
func (r *Reader) applyPublication(loggedAt time.Time, p Publication) bool {
	r.publicationsSinceSnapshot++
	if _, seen := r.Verdict(p.ID); seen {
		return false
	}
	v := Verdict{ID: p.ID, Author: p.Author, Time: loggedAt, Revision: r.state.Revision}
	if p.Base == r.state.Revision && r.rules.Validate(p.Text) == nil {
		v.Accepted = true
		v.Revision = r.state.Revision + 1
		r.state.Revision, r.state.Text, r.state.AcceptedAt = v.Revision, p.Text, loggedAt
		r.state.History = r.rules.DeriveHistory(r.state.History, loggedAt, p.Text)
	}
	r.state.Verdicts = append(r.state.Verdicts, v)
	if n := len(r.state.Verdicts); n > maxVerdicts {
		r.state.Verdicts = append([]Verdict(nil), r.state.Verdicts[n-maxVerdicts:]...)
	}
	return v.Accepted
}

// Verdict returns the outcome of a publication, and false if the reader has not
// read it or no longer keeps its verdict.
func (r *Reader) Verdict(id string) (Verdict, bool) {
	for i := len(r.state.Verdicts) - 1; i >= 0; i-- {
		if r.state.Verdicts[i].ID == id {
			return r.state.Verdicts[i], true
		}
	}
	return Verdict{}, false
}

// NeedsSnapshot reports whether a snapshot record should be appended: the last
// accepted or snapshot record is older than maxAge, or followed by so many
// publications that a new reader might soon find no baseline in the log.
func (r *Reader) NeedsSnapshot(now time.Time, maxAge time.Duration) bool {
	if !r.hasBaseline || r.state.Revision == 0 {
		return false
	}
	if r.publicationsSinceSnapshot >= publicationsPerSnapshot {
		return true
	}
	last := r.state.AcceptedAt
	if r.lastSnapshotAt.After(last) {
		last = r.lastSnapshotAt
	}
	return now.Sub(last) > maxAge
}

func cloneState(s State) State {
	s.Verdicts = append([]Verdict(nil), s.Verdicts...)
	return s
}
