package cell

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

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
	fullRateReportDaemons = 50
	// linkSilence closes a link.
	linkIdleTimeout = 1000 * time.Millisecond
	// askTimeout bounds the question about the leader.
	viewTimeout = 300 * time.Millisecond
	// storeCall bounds one call to the store while taking over.
	storeCallTimeout = 1500 * time.Millisecond
	// activityWindow is how long the store is watched for a leader's records.
	activityWindow = 800 * time.Millisecond
	// afterLoss is the pause after another daemon was faster.
	lostElectionPause = 300 * time.Millisecond
	// producer is the name under which leaders append to the jobs topic.
	producer = "leader"
)

var errNotElected = errors.New("another daemon was faster")

// elect takes over the lead when there is no leader, until ctx ends.
func (d *Daemon) runElections(ctx context.Context) {
	lastReportAt := time.Time{}
	tick := time.NewTicker(electionTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-d.electionWake:
		}
		d.members.closeIdleLinks(linkIdleTimeout)
		s := d.members.electionState()
		if s.isLeader {
			continue
		}
		if time.Since(lastReportAt) >= reportPeriod(s.daemonCount) {
			lastReportAt = time.Now()
			d.sendReport()
		}
		requested := d.handoverRequested.Swap(false)
		if !requested && !d.electionDue(s) || d.shuttingDown.Load() {
			continue
		}
		if requested || d.mayClaim(ctx, s) {
			d.tryLead(ctx, s.token)
		}
	}
}

// reportEvery returns how often a daemon reports, so that the reports to the
// leader do not grow with the number of daemons.
func reportPeriod(daemons int) time.Duration {
	return min(reportInterval*time.Duration(max(daemons, fullRateReportDaemons))/fullRateReportDaemons, maxReportInterval)
}

func (d *Daemon) electionDue(s electionState) bool {
	return d.store.age(time.Now()) >= 0 && succession.FollowerState{LeaderSeen: s.token > 0, HeartbeatAge: s.heartbeatAge, Rank: s.rank, LinkBroken: !s.linked,
		LeaderResources: d.leaderResources(), Jitter: d.electionJitter, DaemonCount: s.daemonCount}.ElectionDue()
}

// means returns what this daemon has to lead with.
func (d *Daemon) leaderResources() succession.LeaderResources {
	return succession.LeaderResources{StoreLatency: d.store.rtt(), CPUShare: d.settings.CPUShare, LinkMbps: d.settings.LinkMbps}
}

// wakeElection has the leader's state looked at now.
func (d *Daemon) wakeElection() {
	select {
	case d.electionWake <- struct{}{}:
	default:
	}
}

// probe tries the store and reports to the leader at the other end of a link.
func (d *Daemon) probeStore(l *linkrpc.Link) {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	sent := time.Now()
	_, err := d.deps.Store.Newest(ctx, ports.JobsTopic, lastKey)
	d.recordStoreCall(sent, err)
	if err == nil {
		r := d.nodeReport()
		r.ProbeUs = max(time.Since(sent).Microseconds(), 1)
		l.Send(&cellpb.Frame{Report: r})
	}
}

// report tells the leader how this daemon stands.
func (d *Daemon) sendReport() {
	if l := d.members.linkToLeader(); l != nil {
		l.Send(&cellpb.Frame{Report: d.nodeReport()})
	}
}

func (d *Daemon) nodeReport() *cellpb.NodeReport {
	return &cellpb.NodeReport{
		StoreAgeMs: d.store.age(time.Now()).Milliseconds(), StoreRttUs: d.store.rtt().Microseconds(),
		ConfigVersion: d.config.version(), CpuShare: d.settings.CPUShare, LinkMbps: d.settings.LinkMbps, Leaving: d.shuttingDown.Load(),
		Token: d.members.electionState().token,
	}
}

// mayLead asks the others and, if too few answer, the store whether anybody
// leads.
func (d *Daemon) mayClaim(ctx context.Context, s electionState) bool {
	if d.linkToRecordedLeader(ctx, s) {
		return false
	}
	views, asked := d.fetchLeaderViews(ctx)
	decision, address := succession.Decide(views, asked, s.token)
	d.log.WithFields(logrus.Fields{"event": "leader_missed", "silence_ms": s.heartbeatAge.Milliseconds(), "rank": s.rank,
		"asked": asked, "answered": len(views), "verdict": decision, "token": s.token}).Info("the leader is silent")
	switch decision {
	case succession.Follow:
		d.dial(ctx, address)
		return false
	case succession.Wait:
		pause.For(ctx, lostElectionPause)
		return false
	case succession.CheckStore:
		return !d.jobsTopicActive(ctx)
	}
	return true
}

// linkToKnownLeader reads who leads from the store and links to a newer leader.
func (d *Daemon) linkToRecordedLeader(ctx context.Context, s electionState) bool {
	record, token, _, err := d.readLeaderRecord(ctx)
	if err != nil || record == nil || record.Node == d.settings.Node {
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
	return l != nil && l.PeerHello.Node == record.Node && max(l.PeerHello.Token, l.PeerHello.Claimed) >= token
}

// dial opens a link. It returns nil when that does not work.
func (d *Daemon) dial(ctx context.Context, address string) *linkrpc.Link {
	if address == "" {
		return nil
	}
	l, err := d.transport.Dial(ctx, address, &d.linkGoroutines)
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "link_failed", "address": address, "error": err.Error()}).Debug("cannot link to a daemon")
		return nil
	}
	return l
}

// maxAsked bounds the daemons that are asked about the leader: when all miss it
// at once, their questions would keep them busy.
const maxAskedDaemons = 8

// askOthers asks some of the known daemons about the leader.
func (d *Daemon) fetchLeaderViews(ctx context.Context) ([]succession.LeaderView, int) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	others := d.members.addressesToAsk()
	rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
	others = others[:min(len(others), maxAskedDaemons)]
	var mu sync.Mutex
	var views []succession.LeaderView
	var wg conc.WaitGroup
	for _, address := range others {
		wg.Go(func() {
			v, err := d.transport.FetchView(ctx, address, d.settings.Node)
			if err != nil {
				return
			}
			d.config.applyIfNewer(v.Config.ToConfig(), "daemon")
			mu.Lock()
			defer mu.Unlock()
			views = append(views, succession.LeaderView{Token: v.Token, HeartbeatAge: time.Duration(v.HeardAgeMs) * time.Millisecond, Linked: v.Linked, LeaderAddress: v.LeaderAddress, ClaimedToken: v.Claimed})
		})
	}
	wg.Wait()
	return views, len(others)
}

// storeActive reports whether a leader writes to the store.
func (d *Daemon) jobsTopicActive(ctx context.Context) bool {
	before, err := d.jobsTopicEnd(ctx)
	if err != nil || !pause.For(ctx, activityWindow) {
		return true
	}
	after, err := d.jobsTopicEnd(ctx)
	return err != nil || after != before
}

// lastKey sorts after every key, so that a page from it on holds no record.
const lastKey = "~"

func (d *Daemon) jobsTopicEnd(ctx context.Context) (int64, error) {
	page, err := d.readNewest(ctx, ports.JobsTopic, lastKey)
	return page.End, err
}

// newest reads a page of a topic.
func (d *Daemon) readNewest(ctx context.Context, topic ports.Topic, after string) (ports.NewestPage, error) {
	return retryTransient(ctx, d, func(ctx context.Context) (ports.NewestPage, error) { return d.deps.Store.Newest(ctx, topic, after) })
}

// everyRecord calls f with the newest record of each key of a topic.
func (d *Daemon) forEachRecord(ctx context.Context, topic ports.Topic, f func(*ports.NewestRecord)) error {
	after := ""
	for {
		page, err := d.readNewest(ctx, topic, after)
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

const (
	// takeoverCalls is how often a call that has its effect once is tried while
	// taking over.
	takeoverAttempts   = 4
	takeoverRetryPause = 60 * time.Millisecond
)

// repeat makes a call again when the store does not answer or refuses.
func retryTransient[T any](ctx context.Context, d *Daemon, call func(context.Context) (T, error)) (T, error) {
	var out T
	var err error
	for range takeoverAttempts {
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		out, err = call(callCtx)
		cancel()
		d.recordStoreCall(sent, err)
		var e *ports.StoreError
		if !errors.As(err, &e) || !e.Transient() {
			return out, err
		}
		if !pause.For(ctx, takeoverRetryPause) {
			break
		}
	}
	return out, err
}

// observeStore keeps the health of the path to the store. A refusal for the
// content of a call is an answer.
func (d *Daemon) recordStoreCall(sent time.Time, err error) {
	var e *ports.StoreError
	if errors.As(err, &e) && e.Transient() {
		d.store.recordFailure(err)
		return
	}
	d.store.recordAnswer(time.Now(), time.Since(sent))
}
