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
	// electionTick is how often a daemon checks the age of the leader's last heartbeat.
	electionTick = 50 * time.Millisecond
	// reportInterval is how often a daemon reports to the leader.
	reportInterval = 400 * time.Millisecond
	// maxReportInterval limits the interval of the reports in a cell of many daemons.
	maxReportInterval = 800 * time.Millisecond
	// fullRateReportDaemons is the number of daemons above which each of them reports
	// less often than every reportInterval.
	fullRateReportDaemons = 50
	// linkIdleTimeout is the time without received data after which a link is closed.
	linkIdleTimeout = 1000 * time.Millisecond
	// viewTimeout limits the requests to other daemons for their view of the leader.
	viewTimeout = 300 * time.Millisecond
	// storeCallTimeout limits one call to the store that is not an append of a leader's
	// batch.
	storeCallTimeout = 1500 * time.Millisecond
	// activityWindow is how long a daemon watches the store for new records of a leader.
	activityWindow = 800 * time.Millisecond
	// lostElectionPause is the pause after another daemon was faster or a claim failed.
	lostElectionPause = 300 * time.Millisecond
	// producer is the name with which leaders append to the jobs topic.
	producer = "leader"
)

var errNotElected = errors.New("another daemon is or becomes the leader")

// runElections takes over the leadership whenever the cell has no leader, until ctx
// ends. While another daemon leads, it sends reports to that daemon.
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
			d.claimAndLead(ctx, s.token)
		}
	}
}

// reportPeriod returns the interval between two reports of a daemon. It grows with the
// number of daemons, up to a limit, to bound the rate of reports that the leader gets.
func reportPeriod(daemons int) time.Duration {
	return min(reportInterval*time.Duration(max(daemons, fullRateReportDaemons))/fullRateReportDaemons, maxReportInterval)
}

// electionDue reports whether this daemon should check whether it has to take over. It
// returns false as long as the store has never answered this daemon.
func (d *Daemon) electionDue(s electionState) bool {
	return d.store.age(time.Now()) >= 0 && succession.FollowerState{LeaderSeen: s.token > 0, HeartbeatAge: s.heartbeatAge, Rank: s.rank, LinkBroken: !s.linked,
		LeaderResources: d.leaderResources(), Jitter: d.electionJitter, DaemonCount: s.daemonCount}.ElectionDue()
}

// leaderResources returns the resources with which this daemon would lead.
func (d *Daemon) leaderResources() succession.LeaderResources {
	return succession.LeaderResources{StoreLatency: d.store.rtt(), CPUShare: d.settings.CPUShare, LinkMbps: d.settings.LinkMbps}
}

// wakeElection makes the election loop check the leader's state immediately.
func (d *Daemon) wakeElection() {
	select {
	case d.electionWake <- struct{}{}:
	default:
	}
}

// probeStore calls the store and reports the time of the call to the leader at the
// other end of a link. It reports nothing if the call fails.
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

// sendReport sends the state of this daemon to the leader, if there is a link to it.
func (d *Daemon) sendReport() {
	if l := d.members.linkToLeader(); l != nil {
		l.Send(&cellpb.Frame{Report: d.nodeReport()})
	}
}

// nodeReport returns the state of this daemon for the leader.
func (d *Daemon) nodeReport() *cellpb.NodeReport {
	return &cellpb.NodeReport{
		StoreAgeMs: d.store.age(time.Now()).Milliseconds(), StoreRttUs: d.store.rtt().Microseconds(),
		ConfigVersion: d.config.version(), CpuShare: d.settings.CPUShare, LinkMbps: d.settings.LinkMbps, Leaving: d.shuttingDown.Load(),
		Token: d.members.electionState().token,
	}
}

// mayClaim reports whether this daemon may claim the leadership because the cell has
// no leader. It reads the leader record and asks other daemons and, if too few of
// them answer, watches the store for activity of a leader. If it finds a leader, it
// links to it.
func (d *Daemon) mayClaim(ctx context.Context, s electionState) bool {
	if d.linkToRecordedLeader(ctx, s) {
		return false
	}
	views, asked := d.fetchLeaderViews(ctx)
	decision, address := succession.Decide(views, asked, s.token)
	d.log.WithFields(logrus.Fields{"event": "leader_missed", "silence_ms": s.heartbeatAge.Milliseconds(), "rank": s.rank,
		"asked": asked, "answered": len(views), "verdict": decision, "token": s.token}).Info("no heartbeat from a leader")
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

// linkToRecordedLeader reads the leader record from the store and links to a leader
// that is newer than the known one or not linked. It reports whether that daemon leads
// or is about to lead.
func (d *Daemon) linkToRecordedLeader(ctx context.Context, s electionState) bool {
	record, token, _, err := d.readLeaderRecord(ctx)
	if err != nil || record == nil || record.Node == d.settings.Node {
		return false
	}
	if token <= s.token && s.linked {
		return false // the leader sends no heartbeats although it is linked
	}
	return d.followLeader(ctx, record, token)
}

// followLeader links to the daemon of a leader record and reports whether that daemon
// leads or is still claiming the leadership with a token at least as high. A daemon
// that stored a leader record may have failed to become the leader afterwards.
func (d *Daemon) followLeader(ctx context.Context, record *cellpb.StoredNode, token uint64) bool {
	l := d.dial(ctx, record.Address)
	return l != nil && l.PeerHello.Node == record.Node && max(l.PeerHello.Token, l.PeerHello.Claimed) >= token
}

// dial opens a link. It returns nil when the address is empty or the link fails.
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

// maxAskedDaemons limits the daemons that are asked about the leader. When all daemons
// lose the leader at the same time, asking all others would overload them.
const maxAskedDaemons = 8

// fetchLeaderViews asks up to maxAskedDaemons random daemons for their view of the
// leader. It returns the views received and the number of daemons asked.
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
			v, err := d.transport.FetchView(ctx, address, &cellpb.ViewRequest{Node: d.settings.Node, ConfigVersion: d.config.version()})
			if err != nil {
				return
			}
			d.applyPassedOn(v.Config, "daemon")
			mu.Lock()
			defer mu.Unlock()
			views = append(views, succession.LeaderView{Token: v.Token, HeartbeatAge: time.Duration(v.HeardAgeMs) * time.Millisecond, Linked: v.Linked, Address: v.LeaderAddress, Claimed: v.Claimed})
		})
	}
	wg.Wait()
	return views, len(others)
}

// jobsTopicActive reports whether a leader appends to the jobs topic. It returns true
// when this cannot be found out.
func (d *Daemon) jobsTopicActive(ctx context.Context) bool {
	before, err := d.jobsTopicEnd(ctx)
	if err != nil || !pause.For(ctx, activityWindow) {
		return true
	}
	after, err := d.jobsTopicEnd(ctx)
	return err != nil || after != before
}

// lastKey sorts after every key, so that a page that starts after it has no records.
const lastKey = "~"

// jobsTopicEnd returns the end offset of the jobs topic.
func (d *Daemon) jobsTopicEnd(ctx context.Context) (int64, error) {
	page, err := d.readNewest(ctx, ports.JobsTopic, lastKey)
	return page.End, err
}

// readNewest reads the page of a topic's newest records that follows a key.
func (d *Daemon) readNewest(ctx context.Context, topic ports.Topic, after string) (ports.NewestPage, error) {
	return retryTransient(ctx, d, func(ctx context.Context) (ports.NewestPage, error) { return d.deps.Store.Newest(ctx, topic, after) })
}

// forEachRecord calls f with the newest record of each key of a topic. It returns the
// error of the first page that cannot be read.
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
		if !page.More {
			return nil
		}
	}
}

const (
	// takeoverAttempts limits the attempts of an idempotent call during a takeover.
	takeoverAttempts = 4
	// takeoverRetryPause is the pause between two of these attempts.
	takeoverRetryPause = 60 * time.Millisecond
)

// retryTransient makes an idempotent call and retries it while the store does not
// answer or refuses it for now. It returns the result of the last attempt.
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

// recordStoreCall records the result of a call in the store's health. A call that the
// store rejects because of its content counts as answered.
func (d *Daemon) recordStoreCall(sent time.Time, err error) {
	var e *ports.StoreError
	if errors.As(err, &e) && e.Transient() {
		d.store.recordFailure(err)
		return
	}
	d.store.recordAnswer(time.Now(), time.Since(sent))
}
