package cell

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
)

// fence raises the producer's epoch.
func (d *Daemon) fence(ctx context.Context, token uint64) error {
	_, err := repeat(ctx, d, func(ctx context.Context) (int64, error) {
		return d.deps.Store.Append(ctx, ports.Append{Topic: ports.JobsTopic, Fence: &ports.Fence{Producer: producer, Epoch: token}})
	})
	return err
}

// appendOnce makes one append.
func (d *Daemon) appendOnce(ctx context.Context, a ports.Append) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	sent := time.Now()
	offset, err := d.deps.Store.Append(ctx, a)
	d.observeStore(sent, err)
	return offset, err
}

// leaderKey is the key of the leader record.
const leaderKey = "leader"

// readLeader returns the newest leader record, its token and the topic's end.
func (d *Daemon) readLeader(ctx context.Context) (*cellpb.StoredNode, uint64, int64, error) {
	page, err := d.newest(ctx, ports.LeaderTopic, "")
	if err != nil {
		return nil, 0, 0, err
	}
	for _, r := range page.Records {
		record := &cellpb.StoredNode{}
		if err := proto.Unmarshal(r.Value, record); err != nil {
			d.log.WithFields(logrus.Fields{"event": "record_unreadable", "key": r.Key, "error": err.Error()}).Error("a leader record cannot be read")
			continue
		}
		return record, tokenAt(r.Offset), page.End, nil
	}
	return nil, 0, page.End, nil
}

// tokenAt returns the fencing token of the leader record at an offset.
func tokenAt(offset int64) uint64 { return uint64(offset) + 1 }

// claim is a lead that was taken, and whose it was before.
type claim struct {
	token uint64
	at    time.Time
}

// tryLead becomes the leader if nobody else is faster, and leads until another
// daemon takes over or ctx ends.
func (d *Daemon) tryLead(ctx context.Context, known uint64) {
	start := time.Now()
	defer d.claimed.Store(0)
	claim, err := d.claim(ctx, known)
	token := claim.token
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "claim_failed", "error": err.Error()}).Info("cannot become the leader")
		pause.For(ctx, afterLoss)
		return
	}
	stored, err := d.load(ctx)
	if err == nil {
		err = d.announce(ctx, token, &stored)
	}
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "claim_failed", "token": token, "error": err.Error()}).Warn("cannot take up the lead")
		return
	}
	snapshot := &stored.snapshot
	d.log.WithFields(logrus.Fields{"event": "leader_elected", "token": token, "jobs": len(snapshot.Accepted),
		"progress": len(snapshot.Progress), "workers": len(snapshot.Workers), "took_ms": time.Since(start).Milliseconds()}).Info("this daemon leads")
	l := newLeader(d, claim, &stored)
	l.run(ctx)
}

// claim writes the leader record and fences the jobs topic.
func (d *Daemon) claim(ctx context.Context, known uint64) (claim, error) {
	record, token, end, err := d.readLeader(ctx)
	if err != nil {
		return claim{}, err
	}
	if token > known && record.Node != d.set.Node && d.followLeader(ctx, record, token) {
		return claim{}, errNotElected
	}
	value, err := d.nodeRecord()
	if err != nil {
		return claim{}, err
	}
	// Said before the append, since others may read the record before its answer
	// arrives here.
	d.claimed.Store(tokenAt(end))
	offset, err := d.appendOnce(ctx, ports.Append{Topic: ports.LeaderTopic, End: &end, Records: []ports.KeyedRecord{{Key: leaderKey, Value: value}}})
	if err != nil {
		if offset, err = d.claimedAnyway(ctx, end, err); err != nil {
			return claim{}, err
		}
	}
	token = tokenAt(offset)
	if err := d.fence(ctx, token); err != nil {
		return claim{}, fmt.Errorf("cannot fence the jobs topic: %w", err)
	}
	return claim{token: token, at: time.Now()}, nil
}

// maxFormer bounds the earlier leads that a leader remembers.
const maxFormer = 8

// firstSeq is the sequence number of a leader's first append, which goes out
// alone: the store takes any number from a new epoch, and the others have to
// follow it.
const firstSeq = 1

// announce writes that this daemon leads, before its first order.
func (d *Daemon) announce(ctx context.Context, token uint64, s *stored) error {
	own := &cellpb.Lead{Node: d.set.Node, Incarnation: d.incarnation, Token: token}
	value, err := proto.Marshal(&cellpb.StoredLead{Lead: own, Former: s.former()})
	if err != nil {
		return err
	}
	_, err = repeat(ctx, d, func(ctx context.Context) (int64, error) {
		return d.deps.Store.Append(ctx, ports.Append{Topic: ports.JobsTopic, Records: []ports.KeyedRecord{{Key: leadKey, Value: value}},
			Fence: &ports.Fence{Producer: producer, Epoch: token, Seq: firstSeq}})
	})
	if err != nil && !executed(err, firstSeq) {
		return fmt.Errorf("cannot announce the lead: %w", err)
	}
	return nil
}

// claimedAnyway finds out whether a claim without an answer was executed.
func (d *Daemon) claimedAnyway(ctx context.Context, end int64, cause error) (int64, error) {
	var e *ports.StoreError
	if !errors.As(cause, &e) || e.Kind != ports.StoreNoAnswer {
		return 0, cause
	}
	record, token, _, err := d.readLeader(ctx)
	if err != nil {
		return 0, err
	}
	if record == nil || record.Node != d.set.Node || record.Incarnation != d.incarnation || token != tokenAt(end) {
		return 0, cause
	}
	return end, nil
}
