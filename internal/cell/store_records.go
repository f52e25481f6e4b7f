package cell

import (
	"context"
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/voters"
	"catkinvalve/internal/ports"
)

// Prefixes of the keys of the jobs topic.
const (
	jobPrefix      = "j:"
	progressPrefix = "p:"
	workerPrefix   = "w:"
	runTimePrefix  = "d:"
	// recoveredKey is the key of the token of the last leader that completed its
	// recovery, after which it knew what every worker ran.
	recoveredKey = "recovered"
	// termKey is the key of the record of the last leadership term.
	termKey = "lead"
	// aliveKey is the key of the record that an idle leader appends to confirm its
	// leadership.
	aliveKey = "alive"
)

// encodeBatch returns the records of a batch. Deletions come last, so that they take
// precedence over other records of the same key in the batch.
func encodeBatch(b *jobs.Batch) ([]ports.KeyedRecord, error) {
	var out []ports.KeyedRecord
	put := func(key string, m proto.Message) error {
		value, err := proto.Marshal(m)
		if err != nil {
			return fmt.Errorf("cannot encode %s: %w", key, err)
		}
		out = append(out, ports.KeyedRecord{Key: key, Value: value})
		return nil
	}
	for i := range b.Accepted {
		if err := put(jobPrefix+b.Accepted[i].Spec.ID, cellpb.FromAccepted(&b.Accepted[i])); err != nil {
			return nil, err
		}
	}
	for i := range b.Progress {
		if err := put(progressPrefix+b.Progress[i].Job, cellpb.FromProgress(&b.Progress[i])); err != nil {
			return nil, err
		}
	}
	for _, w := range b.Workers {
		if err := put(workerPrefix+string(w.ID), cellpb.FromWorkerRecord(&w)); err != nil {
			return nil, err
		}
	}
	for i := range b.RunTimes {
		if err := put(runTimePrefix+b.RunTimes[i].Queue, cellpb.FromRunTimes(&b.RunTimes[i])); err != nil {
			return nil, err
		}
	}
	if b.RecoveredToken != 0 {
		if err := put(recoveredKey, &cellpb.StoredRecovery{Token: b.RecoveredToken}); err != nil {
			return nil, err
		}
	}
	for _, id := range b.DropAccepted {
		out = append(out, ports.KeyedRecord{Key: jobPrefix + id})
	}
	for _, id := range b.DropProgress {
		out = append(out, ports.KeyedRecord{Key: progressPrefix + id})
	}
	for _, id := range b.DropWorkers {
		out = append(out, ports.KeyedRecord{Key: workerPrefix + string(id)})
	}
	for _, queue := range b.DropRunTimes {
		out = append(out, ports.KeyedRecord{Key: runTimePrefix + queue})
	}
	return out, nil
}

// storedState is the state that previous leaders stored in the jobs topic.
type storedState struct {
	snapshot jobs.Snapshot
	// recoveredToken is the token of the last leader that completed its recovery.
	recoveredToken uint64
	// lastTerm is the record of the last term; nil when there was none.
	lastTerm *cellpb.StoredLead
	// votersByToken holds the voters by the token of their term.
	votersByToken map[uint64]voters.Set
	// termUnreadable is set when that record cannot be decoded, so that any daemon may have led.
	termUnreadable bool
}

// previousTerms returns the terms whose leaders a new leader has to take into account:
// the last one and, unless its leader completed the recovery, those before it. It
// returns at most maxPreviousTerms.
func (s *storedState) previousTerms() []*cellpb.Lead {
	if s.lastTerm == nil || s.lastTerm.Lead == nil {
		return nil
	}
	if s.recoveredToken >= s.lastTerm.Lead.Token {
		return []*cellpb.Lead{s.lastTerm.Lead}
	}
	previousTerms := append(s.lastTerm.Former, s.lastTerm.Lead)
	return previousTerms[max(0, len(previousTerms)-maxPreviousTerms):]
}

// loadState reads the state from the jobs topic. Records that cannot be decoded are
// logged. The leader then waits as long as if anything might run on such a worker, and as
// if any daemon might have led in such a term.
func (d *Daemon) loadState(ctx context.Context) (storedState, error) {
	var s storedState
	err := d.forEachRecord(ctx, ports.JobsTopic, func(r *ports.NewestRecord) {
		if err := s.decode(r.Key, r.Value); err != nil {
			d.log.WithFields(logrus.Fields{"event": "record_unreadable", "key": r.Key, "offset": r.Offset, "error": err.Error()}).Error("cannot decode a record of the jobs topic")
		}
	})
	return s, err
}

// decode adds one record of the jobs topic to the state.
func (s *storedState) decode(key string, value []byte) error {
	snap := &s.snapshot
	switch {
	case len(value) == 0, key == aliveKey:
		// The record was deleted or has no content.
	case strings.HasPrefix(key, jobPrefix):
		p := &cellpb.StoredJob{}
		if err := proto.Unmarshal(value, p); err != nil {
			return err
		}
		r, err := p.ToAccepted()
		if err != nil {
			return err
		}
		snap.Accepted = append(snap.Accepted, r)
	case strings.HasPrefix(key, progressPrefix):
		p := &cellpb.StoredProgress{}
		if err := proto.Unmarshal(value, p); err != nil {
			return err
		}
		r, err := p.ToProgress()
		if err != nil {
			return err
		}
		snap.Progress = append(snap.Progress, r)
	case strings.HasPrefix(key, workerPrefix):
		p := &cellpb.StoredWorker{}
		if err := proto.Unmarshal(value, p); err != nil {
			snap.Workers = append(snap.Workers, jobs.WorkerRecord{ID: model.WorkerID(strings.TrimPrefix(key, workerPrefix))})
			return err
		}
		snap.Workers = append(snap.Workers, p.ToWorkerRecord())
	case strings.HasPrefix(key, runTimePrefix):
		p := &cellpb.StoredRunTimes{}
		if err := proto.Unmarshal(value, p); err != nil {
			return err
		}
		snap.RunTimes = append(snap.RunTimes, p.ToRunTimes())
	case strings.HasPrefix(key, voterPrefix):
		return s.decodeVoter(strings.TrimPrefix(key, voterPrefix), value)
	case key == recoveredKey:
		p := &cellpb.StoredRecovery{}
		if err := proto.Unmarshal(value, p); err != nil {
			return err
		}
		s.recoveredToken = p.Token
	case key == termKey:
		p := &cellpb.StoredLead{}
		if err := proto.Unmarshal(value, p); err != nil {
			s.termUnreadable = true
			return err
		}
		s.lastTerm = p
	default:
		return fmt.Errorf("unknown key prefix")
	}
	return nil
}
