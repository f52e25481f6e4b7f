package jobs

import (
	"maps"
	"slices"
	"time"

	"catkinvalve/internal/core/model"
)

// simStore models the store: it keeps the latest record of each key.
type simStore struct {
	accepted   map[string]AcceptedRecord
	progress   map[string]ProgressRecord
	workers    map[model.WorkerID]WorkerRecord
	runTimes   map[string]RunTimeRecord
	inFlight   *Batch
	lastAppend time.Time
	down       bool
	roundDue   bool
	appends    int
}

func newSimStore() *simStore {
	return &simStore{accepted: map[string]AcceptedRecord{}, progress: map[string]ProgressRecord{}, workers: map[model.WorkerID]WorkerRecord{}, runTimes: map[string]RunTimeRecord{}}
}

func (st *simStore) apply(b *Batch) {
	st.appends++
	for _, r := range b.Accepted {
		st.accepted[r.Spec.ID] = r
	}
	for _, r := range b.Progress {
		st.progress[r.Job] = cloneProgress(r)
	}
	for _, r := range b.Workers {
		st.workers[r.ID] = r
	}
	for _, r := range b.RunTimes {
		st.runTimes[r.Queue] = r
	}
	for _, queue := range b.DropRunTimes {
		delete(st.runTimes, queue)
	}
	for _, id := range b.DropAccepted {
		delete(st.accepted, id)
	}
	for _, id := range b.DropProgress {
		delete(st.progress, id)
	}
	for _, id := range b.DropWorkers {
		delete(st.workers, id)
	}
}

// cloneProgress copies what the core may change later.
func cloneProgress(r ProgressRecord) ProgressRecord {
	r.Occurrences = slices.Clone(r.Occurrences)
	for i := range r.Occurrences {
		o := &r.Occurrences[i]
		o.Steps = slices.Clone(o.Steps)
		for k := range o.Steps {
			st := &o.Steps[k]
			st.Done = slices.Clone(st.Done)
			st.Failures = slices.Clone(st.Failures)
			for f := range st.Failures {
				st.Failures[f].Runs = slices.Clone(st.Failures[f].Runs)
			}
		}
	}
	return r
}

func (st *simStore) snapshot() Snapshot {
	var s Snapshot
	for _, id := range slices.Sorted(maps.Keys(st.accepted)) {
		s.Accepted = append(s.Accepted, st.accepted[id])
	}
	for _, id := range slices.Sorted(maps.Keys(st.progress)) {
		s.Progress = append(s.Progress, cloneProgress(st.progress[id]))
	}
	for _, id := range slices.Sorted(maps.Keys(st.workers)) {
		s.Workers = append(s.Workers, st.workers[id])
	}
	for _, queue := range slices.Sorted(maps.Keys(st.runTimes)) {
		s.RunTimes = append(s.RunTimes, st.runTimes[queue])
	}
	return s
}

// flush starts an append of the next batch.
func (s *sim) flush() {
	if s.now.Sub(s.store.lastAppend) < simBatchInterval || s.store.inFlight != nil {
		if s.core.HasBatch() {
			s.scheduleRound()
		}
		return
	}
	b := s.core.TakeBatch()
	if b == nil {
		return
	}
	s.store.lastAppend = s.now
	s.store.inFlight = b
	s.append(b, s.token)
}

// append retries the append until the store is up. The append of a replaced
// leader is dropped.
func (s *sim) append(b *Batch, token uint64) {
	s.after(simStoreRTT, func() {
		if token != s.token {
			return
		}
		if s.store.down {
			s.append(b, token)
			return
		}
		s.store.apply(b)
		s.store.inFlight = nil
		if s.hasLeader {
			s.core.HandleBatchStored(s.now, b.Seq)
			s.scheduleRound()
		}
	})
}
