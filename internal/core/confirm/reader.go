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
	RevisionHistory split.History `json:"carried"`
}

// Rules judge and digest texts. They have to give the same results on every daemon.
type TextRules struct {
	// Validate refuses texts that must not come into force.
	Validate func(text string) error
	// Carry derives what the accepted text has to know of earlier revisions.
	DeriveHistory func(before split.History, at time.Time, text string) split.History
}

// Reader follows the configuration stream. It is not safe for concurrent use.
type Reader struct {
	state    State
	anchored bool
	// from is the offset from which the reader has read without a gap.
	from int64
	// unconfirmed holds publications read without an anchor. They get their
	// verdict once a snapshot tells the revision before them.
	unconfirmed []unconfirmed
	// snapshotAt is the log time of the last snapshot record seen.
	snapshotAt time.Time
	// sinceSnapshot counts the publications after the last snapshot record.
	sinceSnapshot int
	rules         TextRules
}

type unconfirmed struct {
	offset  int64
	at      time.Time
	publish Publication
}

// maxUnconfirmed bounds the memory of a reader without an anchor. A snapshot
// follows at the latest after snapshotEvery publications.
const maxUnconfirmed = 4 * snapshotEvery

// snapshotEvery is the number of publications after which a snapshot is due
// regardless of time, for logs that limit retention by count.
const snapshotEvery = 64

// NewReader returns a reader without an anchor.
func NewReader(rules TextRules) *Reader { return &Reader{rules: rules} }

// Anchored reports whether the reader knows the accepted revision. A reader is
// anchored at the start of an untruncated stream, by a snapshot or by a peer.
func (r *Reader) HasBaseline() bool { return r.anchored }

// State returns the accepted state.
func (r *Reader) State() State { return r.state }

// Next returns the offset to read from.
func (r *Reader) NextOffset() int64 { return r.state.NextOffset }

// Adopt takes a state from a peer when it is newer. It returns true when the
// revision in force changed.
func (r *Reader) Adopt(s State) bool {
	if s.Revision < r.state.Revision || (r.anchored && s.NextOffset <= r.state.NextOffset) {
		return false
	}
	changed := s.Revision > r.state.Revision
	r.anchor(s)
	return changed
}

func (r *Reader) anchor(s State) {
	r.state, r.from, r.anchored = cloneState(s), s.NextOffset, true
	r.unconfirmed = nil
}

// Truncated tells the reader that the log starts at first. A reader that has
// not read up to first loses its anchor: a publication may have been dropped.
// Its revision stays in force until a snapshot or a peer gives a newer one.
func (r *Reader) HandleTruncation(first int64) {
	if first > r.state.NextOffset {
		r.anchored = false
		r.unconfirmed = nil
		r.state.NextOffset, r.from = first, first
	}
}

// StartOfStream anchors a reader that sees a stream from its first offset on.
func (r *Reader) HandleStreamStart() {
	if r.state.NextOffset == 0 {
		r.anchored = true
	}
}

// Apply feeds one record in log order. It returns true when a new revision
// came into force. Records that cannot be decoded are skipped by every reader.
func (r *Reader) Apply(offset int64, at time.Time, data []byte) bool {
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
		return r.applySnapshot(at, *rec.Snapshot)
	case rec.Publication == nil:
		return false
	case r.anchored:
		return r.applyPublish(at, *rec.Publication)
	case len(r.unconfirmed) < maxUnconfirmed:
		r.unconfirmed = append(r.unconfirmed, unconfirmed{offset, at, *rec.Publication})
	}
	return false
}

// applySnapshot anchors a reader that has read every record since the
// snapshot's position; otherwise publications between the two may be missing.
func (r *Reader) applySnapshot(at time.Time, s State) bool {
	r.snapshotAt, r.sinceSnapshot = at, 0
	if r.anchored || s.Revision < r.state.Revision || s.NextOffset < r.from {
		return false
	}
	before, next, pending := r.state.Revision, r.state.NextOffset, r.unconfirmed
	r.anchor(s)
	for _, u := range pending {
		if u.offset >= s.NextOffset {
			r.applyPublish(u.at, u.publish)
		}
	}
	r.state.NextOffset = max(next, s.NextOffset)
	return r.state.Revision > before
}

func (r *Reader) applyPublish(at time.Time, p Publication) bool {
	r.sinceSnapshot++
	if _, seen := r.Verdict(p.ID); seen {
		return false
	}
	v := Verdict{ID: p.ID, Author: p.Author, Time: at, Revision: r.state.Revision}
	if p.Base == r.state.Revision && r.rules.Validate(p.Text) == nil {
		v.Accepted = true
		v.Revision = r.state.Revision + 1
		r.state.Revision, r.state.Text, r.state.AcceptedAt = v.Revision, p.Text, at
		r.state.RevisionHistory = r.rules.DeriveHistory(r.state.RevisionHistory, at, p.Text)
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
	if !r.anchored || r.state.Revision == 0 {
		return false
	}
	if r.sinceSnapshot >= snapshotEvery {
		return true
	}
	last := r.state.AcceptedAt
	if r.snapshotAt.After(last) {
		last = r.snapshotAt
	}
	return now.Sub(last) > maxAge
}

func cloneState(s State) State {
	s.Verdicts = append([]Verdict(nil), s.Verdicts...)
	return s
}
