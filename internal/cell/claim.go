package cell

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
)

// fenceJobsTopic raises the producer's epoch of the jobs topic to the token, so that
// the store refuses the appends of previous leaders.
func (d *Daemon) fenceJobsTopic(ctx context.Context, token uint64) error {
	_, err := retryTransient(ctx, d, func(ctx context.Context) (int64, error) {
		return d.deps.Store.Append(ctx, ports.Append{Topic: ports.JobsTopic, Fence: &ports.Fence{Producer: producer, Epoch: token}})
	})
	return err
}

// appendOnce sends one append without retries and returns its offset.
func (d *Daemon) appendOnce(ctx context.Context, a ports.Append) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent := time.Now()
	offset, err := d.deps.Store.Append(ctx, a)
	d.recordStoreCall(sent, err)
	return offset, err
}

// leaderKey is the key of the leader record.
const leaderKey = "leader"

// readLeaderRecord returns the newest leader record, its token and the topic's end
// offset. The record is nil when there is none that can be decoded.
func (d *Daemon) readLeaderRecord(ctx context.Context) (*cellpb.StoredNode, uint64, int64, error) {
	page, err := d.readNewest(ctx, ports.LeaderTopic, "")
	if err != nil {
		return nil, 0, 0, err
	}
	for _, r := range page.Records {
		record := &cellpb.StoredNode{}
		if err := proto.Unmarshal(r.Value, record); err != nil {
			d.log.WithFields(logrus.Fields{"event": "record_unreadable", "key": r.Key, "error": err.Error()}).Error("cannot decode the leader record")
			continue
		}
		return record, tokenAt(r.Offset), page.End, nil
	}
	return nil, 0, page.End, nil
}

// tokenAt returns the fencing token of the leader record at an offset.
func tokenAt(offset int64) uint64 { return uint64(offset) + 1 }

// claim is a successful claim of the leadership.
type claim struct {
	token uint64
	// at is when the jobs topic was fenced with the token.
	at time.Time
}

// claimAndLead claims the leadership unless another daemon is faster. On success it
// leads until another daemon takes over or ctx ends.
func (d *Daemon) claimAndLead(ctx context.Context, knownToken uint64) {
	start := time.Now()
	defer d.claimedToken.Store(0)
	claim, err := d.claim(ctx, knownToken)
	token := claim.token
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "claim_failed", "error": err.Error()}).Info("cannot become the leader")
		pause.For(ctx, lostElectionPause)
		return
	}
	stored, err := d.loadState(ctx)
	if err == nil {
		err = d.storeTerm(ctx, token, &stored)
	}
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "claim_failed", "token": token, "error": err.Error()}).Warn("cannot start the leadership term after the claim")
		return
	}
	snapshot := &stored.snapshot
	d.log.WithFields(logrus.Fields{"event": "leader_elected", "token": token, "jobs": len(snapshot.Accepted),
		"progress": len(snapshot.Progress), "workers": len(snapshot.Workers), "took_ms": time.Since(start).Milliseconds()}).Info("this daemon is the leader")
	l := newLeader(d, claim, &stored)
	l.run(ctx)
}

// claim appends the leader record and fences the jobs topic. It returns errNotElected
// when a daemon with a token above knownToken leads or is about to lead.
func (d *Daemon) claim(ctx context.Context, knownToken uint64) (claim, error) {
	record, token, end, err := d.readLeaderRecord(ctx)
	if err != nil {
		return claim{}, err
	}
	if token > knownToken && record.Node != d.settings.Node && d.followLeader(ctx, record, token) {
		return claim{}, errNotElected
	}
	value, err := d.nodeRecord()
	if err != nil {
		return claim{}, err
	}
	// The token is set before the append because other daemons may read the record and
	// link to this daemon before the answer of the append arrives.
	d.claimedToken.Store(tokenAt(end))
	offset, err := d.appendOnce(ctx, ports.Append{Topic: ports.LeaderTopic, End: &end, Records: []ports.KeyedRecord{{Key: leaderKey, Value: value}}})
	if err != nil {
		if offset, err = d.resolveUnansweredClaim(ctx, end, err); err != nil {
			return claim{}, err
		}
	}
	token = tokenAt(offset)
	if err := d.fenceJobsTopic(ctx, token); err != nil {
		return claim{}, fmt.Errorf("cannot fence the jobs topic: %w", err)
	}
	return claim{token: token, at: time.Now()}, nil
}

// maxPreviousTerms limits the previous terms that a leader keeps track of.
const maxPreviousTerms = 8

// firstSeq is the sequence number of a leader's first append. This append must be
// answered before the next one is sent: in a new epoch the store accepts any sequence
// number first, and the following ones must continue from it.
const firstSeq = 1

// storeTerm stores the term of this daemon together with the previous ones, and the voters of
// the last term as its own. This happens before the leader makes its first call to a worker.
func (d *Daemon) storeTerm(ctx context.Context, token uint64, s *storedState) error {
	own := &cellpb.Lead{Node: d.settings.Node, Incarnation: d.incarnation, Token: token}
	value, err := proto.Marshal(&cellpb.StoredLead{Lead: own, Former: s.previousTerms()})
	if err != nil {
		return err
	}
	records, err := voterRecords(token, slices.Collect(maps.Keys(s.voters())), nil)
	if err != nil {
		return err
	}
	records = append(records, ports.KeyedRecord{Key: termKey, Value: value})
	_, err = retryTransient(ctx, d, func(ctx context.Context) (int64, error) {
		return d.deps.Store.Append(ctx, ports.Append{Topic: ports.JobsTopic, Records: records,
			Fence: &ports.Fence{Producer: producer, Epoch: token, Seq: firstSeq}})
	})
	if err != nil && !alreadyExecuted(err, firstSeq) {
		return fmt.Errorf("cannot store the leadership term: %w", err)
	}
	return nil
}

// resolveUnansweredClaim reads the leader record to find out whether the store executed
// a claim whose answer is missing. It returns the record's offset, or cause when the
// claim was not executed or failed for another reason.
func (d *Daemon) resolveUnansweredClaim(ctx context.Context, end int64, cause error) (int64, error) {
	var e *ports.StoreError
	if !errors.As(cause, &e) || e.Kind != ports.StoreNoAnswer {
		return 0, cause
	}
	record, token, _, err := d.readLeaderRecord(ctx)
	if err != nil {
		return 0, err
	}
	if record == nil || record.Node != d.settings.Node || record.Incarnation != d.incarnation || token != tokenAt(end) {
		return 0, cause
	}
	return end, nil
}
