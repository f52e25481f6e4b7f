// Package confirm applies the accept rule of the configuration stream. Every
// daemon feeds it the same records in log order and therefore reaches the same
// verdicts. A revision never goes back.
package confirm

import (
	"encoding/json"
	"time"

	"catkinvalve/internal/core/split"
)

// maxVerdicts bounds the publications whose verdict is remembered. A publisher
// retries within seconds, and the users make a few thousand changes a day.
const maxVerdicts = 512

// Record is the JSON form of a record of the configuration stream. Exactly one
// of Publish and Snapshot is set.
type Record struct {
	Publication *Publication `json:"publish,omitempty"`
	Snapshot    *State       `json:"snapshot,omitempty"`
}

// Publication is an operator's conditional publication.
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
	// Revision is the accepted revision, or the one in force instead.
	Revision uint64 `json:"revision"`
}

// State is the accepted configuration at one offset of the stream.
type State struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
	// Next is the offset of the first record that the state does not include.
	NextOffset int64 `json:"next"`
	// AcceptedAt is the log's time of the accepted record.
	AcceptedAt time.Time `json:"accepted_at"`
	Verdicts   []Verdict `json:"verdicts"`
	// Carried is what the revision knows of earlier ones.
	RevisionHistory split.Carried `json:"carried"`
}

// Rules judge and digest texts. They have to give the same results on every daemon.
type TextRules struct {
	// Validate refuses texts that must not come into force.
	Validate func(text string) error
	// Carry derives what the accepted text has to know of earlier revisions.
	DeriveHistory func(before split.Carried, at time.Time, text string) split.Carried
}

// Reader follows the configuration stream. It is not safe for concurrent use.
type Reader struct {
	state       State
	hasBaseline bool
	// from is the offset from which the reader has read without a gap.
	contiguousFrom int64
	// unconfirmed holds publications read without an anchor. They get their
	// verdict once a snapshot tells the revision before them.
	pending []pendingPublication
	// snapshotAt is the log time of the last snapshot record seen.
	lastSnapshotAt time.Time
	// sinceSnapshot counts the publications after the last snapshot record.
	publicationsSinceSnapshot int
	rules                     TextRules
}

type pendingPublication struct {
	offset      int64
	loggedAt    time.Time
	publication Publication
}

// maxUnconfirmed bounds the memory of a reader without an anchor. A snapshot
// follows at the latest after snapshotEvery publications.
const maxPending = 4 * publicationsPerSnapshot

// snapshotEvery is the number of publications after which a snapshot is due
// regardless of time, for logs that limit retention by count.
const publicationsPerSnapshot = 64

// NewReader returns a reader without an anchor.
func NewReader(rules TextRules) *Reader { return &Reader{rules: rules} }

// Anchored reports whether the reader knows the accepted revision. A reader is
// anchored at the start of an untruncated stream, by a snapshot or by a peer.
func (r *Reader) HasBaseline() bool { return r.hasBaseline }

// State returns the accepted state.
func (r *Reader) State() State { return r.state }

// Next returns the offset to read from.
func (r *Reader) NextOffset() int64 { return r.state.NextOffset }

// Adopt takes a state from a peer when it is newer. It returns true when the
// revision in force changed.
func (r *Reader) Adopt(s State) bool {
	if s.Revision < r.state.Revision || (r.hasBaseline && s.NextOffset <= r.state.NextOffset) {
		return false
	}
	changed := s.Revision > r.state.Revision
	r.setBaseline(s)
	return changed
}

func (r *Reader) setBaseline(s State) {
	r.state, r.contiguousFrom, r.hasBaseline = cloneState(s), s.NextOffset, true
	r.pending = nil
}

// Truncated tells the reader that the log starts at first. A reader that has
// not read up to first loses its anchor: a publication may have been dropped.
// Its revision stays in force until a snapshot or a peer gives a newer one.
func (r *Reader) HandleTruncation(firstOffset int64) {
	if firstOffset > r.state.NextOffset {
		r.hasBaseline = false
		r.pending = nil
		r.state.NextOffset, r.contiguousFrom = firstOffset, firstOffset
	}
}

// StartOfStream anchors a reader that sees a stream from its first offset on.
func (r *Reader) HandleStreamStart() {
	if r.state.NextOffset == 0 {
		r.hasBaseline = true
	}
}

// Apply feeds one record in log order. It returns true when a new revision
// came into force. Records that cannot be decoded are skipped by every reader.
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
		r.pending = append(r.pending, pendingPublication{offset, loggedAt, *rec.Publication})
	}
	return false
}

// applySnapshot anchors a reader that has read every record since the
// snapshot's position; otherwise publications between the two may be missing.
func (r *Reader) applySnapshot(loggedAt time.Time, s State) bool {
	r.lastSnapshotAt, r.publicationsSinceSnapshot = loggedAt, 0
	if r.hasBaseline || s.Revision < r.state.Revision || s.NextOffset < r.contiguousFrom {
		return false
	}
	previousRevision, previousNext, replay := r.state.Revision, r.state.NextOffset, r.pending
	r.setBaseline(s)
	for _, u := range replay {
		if u.offset >= s.NextOffset {
			r.applyPublication(u.loggedAt, u.publication)
		}
	}
	r.state.NextOffset = max(previousNext, s.NextOffset)
	return r.state.Revision > previousRevision
}

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
		r.state.RevisionHistory = r.rules.DeriveHistory(r.state.RevisionHistory, loggedAt, p.Text)
	}
	r.state.Verdicts = append(r.state.Verdicts, v)
	if n := len(r.state.Verdicts); n > maxVerdicts {
		r.state.Verdicts = append([]Verdict(nil), r.state.Verdicts[n-maxVerdicts:]...)
	}
	return v.Accepted
}

// Verdict returns the outcome of a publication that the reader has seen.
func (r *Reader) Verdict(id string) (Verdict, bool) {
	for i := len(r.state.Verdicts) - 1; i >= 0; i-- {
		if r.state.Verdicts[i].ID == id {
			return r.state.Verdicts[i], true
		}
	}
	return Verdict{}, false
}

// NeedsSnapshot reports whether the last accepted or snapshot record is older
// than maxAge, or followed by many publications, so that a newcomer might soon
// find no anchor in the log.
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
