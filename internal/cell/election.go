package cell

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/succession"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
)

const (
	// electionTick is how often a daemon looks at the leader's silence.
	electionTick = 50 * time.Millisecond
	// reportInterval is how often a daemon reports to the leader.
	reportInterval = 400 * time.Millisecond
	// maxReportInterval is the same for a cell of many daemons.
	maxReportInterval = 800 * time.Millisecond
	// reportingDaemons is the number of daemons from which they report less often.
	reportingDaemons = 50
	// linkSilence closes a link.
	linkSilence = 1000 * time.Millisecond
	// askTimeout bounds the question about the leader.
	askTimeout = 300 * time.Millisecond
	// storeCall bounds one call to the store while taking over.
	storeCall = 1500 * time.Millisecond
	// activityWindow is how long the store is watched for a leader's records.
	activityWindow = 800 * time.Millisecond
	// afterLoss is the pause after another daemon was faster.
	afterLoss = 300 * time.Millisecond
	// producer is the name under which leaders append to the jobs topic.
	producer = "leader"
)

var errNotElected = errors.New("another daemon was faster")

// elect takes over the lead when there is no leader, until ctx ends.
func (d *Daemon) elect(ctx context.Context) {
	reported := time.Time{}
	tick := time.NewTicker(electionTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-d.electNow:
		}
		d.members.closeSilent(linkSilence)
		s := d.members.standing()
		if s.leading {
			continue
		}
		if time.Since(reported) >= reportEvery(s.daemons) {
			reported = time.Now()
			d.report()
		}
		asked := d.handover.Swap(false)
		if !asked && !d.due(s) || d.leaving.Load() {
			continue
		}
		if asked || d.mayLead(ctx, s) {
			d.tryLead(ctx, s.token)
		}
	}
}

// reportEvery returns how often a daemon reports, so that the reports to the
// leader do not grow with the number of daemons.
func reportEvery(daemons int) time.Duration {
	return min(reportInterval*time.Duration(max(daemons, reportingDaemons))/reportingDaemons, maxReportInterval)
}

func (d *Daemon) due(s standing) bool {
	return d.store.age(time.Now()) >= 0 && succession.Standing{EverLed: s.token > 0, Silence: s.silence, Rank: s.rank, Lost: !s.linked,
		Means: d.means(), Spread: d.spread, Daemons: s.daemons}.Due()
}

// means returns what this daemon has to lead with.
func (d *Daemon) means() succession.Means {
	return succession.Means{StoreResponse: d.store.usual(), CPUShare: d.set.CPUShare, LinkMbps: d.set.LinkMbps}
}

// wakeElection has the leader's state looked at now.
func (d *Daemon) wakeElection() {
	select {
	case d.electNow <- struct{}{}:
	default:
	}
}

// probe tries the store and reports to the leader at the other end of a link.
func (d *Daemon) probe(l *linkrpc.Link) {
	ctx, cancel := context.WithTimeout(context.Background(), storeCall)
	defer cancel()
	sent := time.Now()
	_, err := d.deps.Store.Newest(ctx, ports.JobsTopic, lastKey)
	d.observeStore(sent, err)
	if err == nil {
		r := d.nodeReport()
		r.ProbeUs = max(time.Since(sent).Microseconds(), 1)
		l.Send(&cellpb.Frame{Report: r})
	}
}

// report tells the leader how this daemon stands.
func (d *Daemon) report() {
	if l := d.members.linkToLeader(); l != nil {
		l.Send(&cellpb.Frame{Report: d.nodeReport()})
	}
}

func (d *Daemon) nodeReport() *cellpb.NodeReport {
	return &cellpb.NodeReport{
		StoreAgeMs: d.store.age(time.Now()).Milliseconds(), StoreRttUs: d.store.usual().Microseconds(),
		ConfigVersion: d.config.version(), CpuShare: d.set.CPUShare, LinkMbps: d.set.LinkMbps, Leaving: d.leaving.Load(),
		Token: d.members.standing().token,
	}
}

// mayLead asks the others and, if too few answer, the store whether anybody
// leads.
func (d *Daemon) mayLead(ctx context.Context, s standing) bool {
	if d.linkToKnownLeader(ctx, s) {
		return false
	}
	opinions, known := d.askOthers(ctx)
	verdict, address := succession.Judge(opinions, known, s.token)
	d.log.WithFields(logrus.Fields{"event": "leader_missed", "silence_ms": s.silence.Milliseconds(), "rank": s.rank,
		"asked": known, "answered": len(opinions), "verdict": verdict, "token": s.token}).Info("the leader is silent")
	switch verdict {
	case succession.Follow:
		d.dial(ctx, address)
		return false
	case succession.Wait:
		pause.For(ctx, afterLoss)
		return false
	case succession.CheckStore:
		return !d.storeActive(ctx)
	}
	return true
}

// linkToKnownLeader reads who leads from the store and links to a newer leader.
func (d *Daemon) linkToKnownLeader(ctx context.Context, s standing) bool {
	record, token, _, err := d.readLeader(ctx)
	if err != nil || record == nil || record.Node == d.set.Node {
		return false
	}
	if token <= s.token && s.linked {
		return false // linked, and silent all the same
	}
	return d.followLeader(ctx, record, token)
}

// followLeader links to the daemon of a leader record and reports whether it
// leads or takes up the lead. A daemon that claimed the lead may have failed to
// take it up.
func (d *Daemon) followLeader(ctx context.Context, record *cellpb.StoredNode, token uint64) bool {
	l := d.dial(ctx, record.Address)
	return l != nil && l.Peer.Node == record.Node && max(l.Peer.Token, l.Peer.Claimed) >= token
}

// dial opens a link. It returns nil when that does not work.
func (d *Daemon) dial(ctx context.Context, address string) *linkrpc.Link {
	if address == "" {
		return nil
	}
	l, err := d.transport.Dial(ctx, address, &d.linked)
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "link_failed", "address": address, "error": err.Error()}).Debug("cannot link to a daemon")
		return nil
	}
	return l
}

// maxAsked bounds the daemons that are asked about the leader: when all miss it
// at once, their questions would keep them busy.
const maxAsked = 8

// askOthers asks some of the known daemons about the leader.
func (d *Daemon) askOthers(ctx context.Context) ([]succession.Opinion, int) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	others := d.members.addresses()
	rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
	others = others[:min(len(others), maxAsked)]
	var mu sync.Mutex
	var opinions []succession.Opinion
	var wg conc.WaitGroup
	for _, address := range others {
		wg.Go(func() {
			v, err := d.transport.Ask(ctx, address, d.set.Node)
			if err != nil {
				return
			}
			d.config.offer(v.Config.ToConfig(), "daemon")
			mu.Lock()
			defer mu.Unlock()
			opinions = append(opinions, succession.Opinion{Token: v.Token, Heard: time.Duration(v.HeardAgeMs) * time.Millisecond, Linked: v.Linked, Address: v.LeaderAddress, Claimed: v.Claimed})
		})
	}
	wg.Wait()
	return opinions, len(others)
}

// storeActive reports whether a leader writes to the store.
func (d *Daemon) storeActive(ctx context.Context) bool {
	before, err := d.jobsEnd(ctx)
	if err != nil || !pause.For(ctx, activityWindow) {
		return true
	}
	after, err := d.jobsEnd(ctx)
	return err != nil || after != before
}

// lastKey sorts after every key, so that a page from it on holds no record.
const lastKey = "~"

func (d *Daemon) jobsEnd(ctx context.Context) (int64, error) {
	page, err := d.newest(ctx, ports.JobsTopic, lastKey)
	return page.End, err
}

// newest reads a page of a topic.
func (d *Daemon) newest(ctx context.Context, topic ports.Topic, after string) (ports.NewestPage, error) {
	return repeat(ctx, d, func(ctx context.Context) (ports.NewestPage, error) { return d.deps.Store.Newest(ctx, topic, after) })
}

// everyRecord calls f with the newest record of each key of a topic.
func (d *Daemon) everyRecord(ctx context.Context, topic ports.Topic, f func(*ports.NewestRecord)) error {
	after := ""
	for {
		page, err := d.newest(ctx, topic, after)
		if err != nil {
			return err
		}
		for i := range page.Records {
			f(&page.Records[i])
			after = page.Records[i].Key
		}
		if !page.More || len(page.Records) == 0 {
			return nil
		}
	}
}

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

const (
	// takeoverCalls is how often a call that has its effect once is tried while
	// taking over.
	takeoverCalls = 4
	takeoverPause = 60 * time.Millisecond
)

// repeat makes a call again when the store does not answer or refuses.
func repeat[T any](ctx context.Context, d *Daemon, call func(context.Context) (T, error)) (T, error) {
	var out T
	var err error
	for range takeoverCalls {
		sent := time.Now()
		once, cancel := context.WithTimeout(ctx, storeCall)
		out, err = call(once)
		cancel()
		d.observeStore(sent, err)
		var e *ports.StoreError
		if !errors.As(err, &e) || !e.Transient() {
			return out, err
		}
		if !pause.For(ctx, takeoverPause) {
			break
		}
	}
	return out, err
}

// observeStore keeps the health of the path to the store. A refusal for the
// content of a call is an answer.
func (d *Daemon) observeStore(sent time.Time, err error) {
	var e *ports.StoreError
	if errors.As(err, &e) && e.Transient() {
		d.store.failed(err)
		return
	}
	d.store.ok(time.Now(), time.Since(sent))
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

// claim is a lead that was taken, and whose it was before.
type claim struct {
	token uint64
	at    time.Time
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
