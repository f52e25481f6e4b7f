// Package cellstore implements a topic of the metadata store in memory, for
// tests and for the stand-in of the store. It follows the documented behaviour
// of the store.
package cellstore

import (
	"maps"
	"slices"
	"sync"

	"catkinvalve/internal/ports"
)

// dedupWindow is the number of a producer's last appends that are recognised
// when they are repeated.
const dedupWindow = 5

// Topic is a keyed topic with one partition.
type Topic struct {
	mu      sync.Mutex
	records []ports.KeyedRecord
	newest  map[string]ports.NewestRecord
	epoch   uint64
	lastSeq uint64
	// offsetsBySeq maps the sequence numbers of the last appends of the epoch to
	// the offsets that were returned.
	offsetsBySeq map[uint64]int64
	// grown is closed and replaced when records are added.
	grown chan struct{}
}

// New returns an empty topic.
func New() *Topic {
	return &Topic{newest: map[string]ports.NewestRecord{}, offsetsBySeq: map[uint64]int64{}, grown: make(chan struct{})}
}

// Append adds records and returns the offset of the first one. A repeated append
// adds nothing and returns the offset of the original. An append without records
// only sets the epoch of the fence and returns the end of the topic. Errors are
// of type *ports.StoreError.
func (t *Topic) Append(a ports.Append) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	end := int64(len(t.records))
	if a.End != nil && *a.End != end {
		return 0, &ports.StoreError{Kind: ports.StoreEndMismatch, End: end}
	}
	if a.Fence != nil {
		first, repeated, err := t.checkSequence(a.Fence, end, len(a.Records) == 0)
		if err != nil || repeated || len(a.Records) == 0 {
			return first, err
		}
	}
	t.appendRecords(a.Records)
	return end, nil
}

// checkSequence checks the epoch and the sequence number of an append and
// records them. first is the offset to return, repeated is set for an append
// that was executed before. The caller holds mu.
func (t *Topic) checkSequence(f *ports.Fence, end int64, fenceOnly bool) (first int64, repeated bool, err error) {
	switch {
	case f.Epoch < t.epoch:
		return 0, false, &ports.StoreError{Kind: ports.StoreFenced}
	case f.Epoch > t.epoch:
		t.epoch, t.lastSeq, t.offsetsBySeq = f.Epoch, 0, map[uint64]int64{}
	}
	if fenceOnly {
		return end, false, nil
	}
	if first, repeated := t.offsetsBySeq[f.Seq]; repeated {
		return first, true, nil
	}
	if t.lastSeq != 0 && f.Seq != t.lastSeq+1 {
		return 0, false, &ports.StoreError{Kind: ports.StoreOutOfSequence, ExpectedSeq: t.lastSeq + 1}
	}
	t.lastSeq = f.Seq
	t.offsetsBySeq[f.Seq] = end
	delete(t.offsetsBySeq, f.Seq-dedupWindow)
	return end, false, nil
}

func (t *Topic) appendRecords(records []ports.KeyedRecord) {
	for _, r := range records {
		offset := int64(len(t.records))
		r.Value = slices.Clone(r.Value)
		t.records = append(t.records, r)
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		} else {
			t.newest[r.Key] = ports.NewestRecord{Key: r.Key, Value: r.Value, Offset: offset}
		}
	}
	close(t.grown)
	t.grown = make(chan struct{})
}

// Newest returns the newest record of each key greater than after, in order of
// the keys and at most pageSize of them. Keys whose newest value is empty are
// deleted and not returned.
func (t *Topic) Newest(after string, pageSize int) ports.NewestPage {
	t.mu.Lock()
	defer t.mu.Unlock()
	page := ports.NewestPage{End: int64(len(t.records))}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		switch {
		case key <= after:
		case len(page.Records) == pageSize:
			page.More = true
			return page
		default:
			page.Records = append(page.Records, t.newest[key])
		}
	}
	return page
}

// RecordsFrom returns the records from an offset on, the end of the topic, and a
// channel that is closed when records are added.
func (t *Topic) RecordsFrom(offset int64) (records []ports.KeyedRecord, end int64, grown <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	end = int64(len(t.records))
	if offset >= 0 && offset < end {
		records = slices.Clone(t.records[offset:])
	}
	return records, end, t.grown
}
