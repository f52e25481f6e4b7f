package cell

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
)

// Deps are the adapters that a daemon uses.
type Deps struct {
	Store   ports.Store
	Config  ports.ConfigSource
	List    ports.WorkerList
	Workers ports.WorkerClient
	// Advice is nil when there is no advice service.
	AdviceService ports.AdviceService
	// Idle closes unused connections to workers.
	CloseIdleConns func()
	Log            *logrus.Entry
	Registry       metrics.Registry
}

// Daemon is one daemon of a cell.
type Daemon struct {
	set         Settings
	deps        Deps
	log         *logrus.Entry
	registry    metrics.Registry
	incarnation int64
	started     time.Time
	// spread separates daemons in a first election.
	spread    float64
	config    *configHolder
	store     *storeHealth
	members   *members
	entry     *entry
	transport *linkrpc.Transport
	// linked holds the goroutines of dialed links.
	linked conc.WaitGroup
	// leading is this daemon's lead, or nil.
	leading  atomic.Pointer[leader]
	handover atomic.Bool
	// electNow wakes the election before its next tick.
	electNow chan struct{}
	leaving  atomic.Bool
	// claimed is the token of the lead that this daemon takes up or has.
	claimed atomic.Uint64
}

// New returns a daemon that does nothing yet.
func New(set Settings, deps Deps) *Daemon {
	now := time.Now()
	d := &Daemon{set: set, deps: deps, log: deps.Log, registry: deps.Registry, incarnation: now.UnixNano(), started: now, spread: rand.Float64(),
		config: &configHolder{log: deps.Log}, store: &storeHealth{log: deps.Log}, members: newMembers(set.Node, now), electNow: make(chan struct{}, 1)}
	d.entry = newEntry(d)
	d.transport = &linkrpc.Transport{Hello: d.hello, Handler: d, Viewer: d, Registry: deps.Registry, Log: deps.Log}
	d.config.changed = append(d.config.changed, func(c *ports.CellConfig) {
		if l := d.leading.Load(); l != nil {
			go l.push(configMsg{c})
		}
	})
	return d
}

// Calls returns what callers can ask of this daemon.
func (d *Daemon) API() API { return d.entry }

// Servers are the listeners of a daemon and their handlers.
type Servers struct {
	Callers, Readiness, Links, Metrics net.Listener
	CallerHandler, ReadinessHandler    http.Handler
	MetricsHandler                     http.Handler
}

const (
	// settle is how long a stopping daemon goes on taking new connections, until
	// the balancer has noticed.
	settle = 3200 * time.Millisecond
	// registerRetry is the pause between attempts to register.
	registerRetry = 300 * time.Millisecond
	// shutdownMargin is kept between the end of the process and its kill.
	shutdownMargin = 500 * time.Millisecond
	// lastAnswers is kept for the answers to calls whose outcome is still not known
	// when the process has to end.
	lastAnswers = 400 * time.Millisecond
)

// Run serves until ctx ends, and then until the calls in flight are answered.
func (d *Daemon) Run(ctx context.Context, s Servers) error {
	duties, stop := context.WithCancel(context.Background())
	defer stop()
	calls, endCalls := context.WithCancel(context.Background())
	defer endCalls()
	callers := &http.Server{Handler: s.CallerHandler, BaseContext: func(net.Listener) context.Context { return calls }, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, ErrorLog: nil}
	ready := &http.Server{Handler: s.ReadinessHandler, ReadHeaderTimeout: 5 * time.Second}
	metrics := &http.Server{Handler: s.MetricsHandler, ReadHeaderTimeout: 5 * time.Second}
	var wg conc.WaitGroup
	failed := make(chan error, 4)
	serve := func(name string, f func() error) {
		wg.Go(func() {
			if err := f(); err != nil && err != http.ErrServerClosed {
				failed <- fmt.Errorf("%s: %w", name, err)
			}
		})
	}
	serve("links", func() error { return d.transport.Serve(duties, s.Links) })
	serve("callers", func() error { return callers.Serve(s.Callers) })
	serve("metrics", func() error { return metrics.Serve(s.Metrics) })
	serve("readiness", func() error { return ready.Serve(s.Readiness) })
	wg.Go(func() { d.followConfig(duties) })
	wg.Go(func() { d.register(duties) })
	wg.Go(func() { d.elect(duties) })
	var err error
	select {
	case <-ctx.Done():
		err = d.shutdown(callers, endCalls)
	case err = <-failed:
	}
	_ = callers.Close()
	_ = ready.Close()
	_ = metrics.Close()
	stop()
	for _, l := range d.members.peers() {
		l.Close()
	}
	wg.Wait()
	d.linked.Wait()
	return err
}

// shutdown hands the lead over and lets calls in flight end. Those that would not
// end in time are answered all the same: their callers have to ask again.
func (d *Daemon) shutdown(callers *http.Server, endCalls func()) error {
	d.leaving.Store(true)
	d.log.WithField("event", "stopping").Info("the daemon stops")
	if l := d.leading.Load(); l != nil {
		l.push(leaveMsg{})
	}
	d.report()
	deadline := time.Now().Add(d.set.Bounds.ShutdownGrace - shutdownMargin)
	time.Sleep(min(settle, time.Until(deadline)))
	if shutdownBy(callers, deadline.Add(-lastAnswers)) == nil {
		return nil
	}
	endCalls()
	if err := shutdownBy(callers, deadline); err != nil {
		return fmt.Errorf("calls in flight did not end: %w", err)
	}
	return nil
}

// shutdownBy waits until the calls in flight have ended, or until a deadline.
func shutdownBy(s *http.Server, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return s.Shutdown(ctx)
}

// register records this daemon in the store, once.
func (d *Daemon) register(ctx context.Context) {
	value, err := d.nodeRecord()
	if err != nil {
		d.log.WithError(err).Error("cannot encode the record of this daemon")
		return
	}
	d.members.setSeeds(d.set.SeedLinkAddresses())
	for ctx.Err() == nil {
		_, err := d.appendOnce(ctx, ports.Append{Topic: ports.NodesTopic, Records: []ports.KeyedRecord{{Key: d.set.Node, Value: value}}})
		if err == nil {
			break
		}
		pause.For(ctx, registerRetry)
	}
	for name, address := range d.readNodes(ctx) {
		d.members.addNode(name, address)
	}
}

// nodeRecord is the stored form of this daemon.
func (d *Daemon) nodeRecord() ([]byte, error) {
	return proto.Marshal(&cellpb.StoredNode{Node: d.set.Node, Address: d.set.LinkAddress(), DataCentre: string(d.set.DataCentre), Incarnation: d.incarnation})
}

// readNodes returns the link addresses of the daemons in the store by name, as
// far as they can be read.
func (d *Daemon) readNodes(ctx context.Context) map[string]string {
	nodes := map[string]string{}
	err := d.everyRecord(ctx, ports.NodesTopic, func(r *ports.NewestRecord) {
		n := &cellpb.StoredNode{}
		if err := proto.Unmarshal(r.Value, n); err != nil || n.Node == "" || n.Address == "" {
			d.log.WithFields(logrus.Fields{"event": "record_unreadable", "key": r.Key}).Error("the record of a daemon cannot be read")
			return
		}
		nodes[n.Node] = n.Address
	})
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "nodes_unreadable", "error": err.Error()}).Warn("cannot read the list of daemons")
	}
	return nodes
}

// hello is what this daemon says of itself on a new link.
func (d *Daemon) hello() *cellpb.Hello {
	h := &cellpb.Hello{Node: d.set.Node, Address: d.set.LinkAddress(), DataCentre: string(d.set.DataCentre), Incarnation: d.incarnation, Claimed: d.claimed.Load(),
		UptimeMs: time.Since(d.started).Milliseconds()}
	if l := d.leading.Load(); l != nil {
		h.Token = l.token
	}
	return h
}

// View implements linkrpc.Viewer.
func (d *Daemon) View() *cellpb.ViewResponse {
	s := d.members.standing()
	v := &cellpb.ViewResponse{Node: d.set.Node, Token: s.token, HeardAgeMs: -1, StoreAgeMs: d.store.age(time.Now()).Milliseconds(),
		Config: cellpb.FromConfig(d.config.current.Load()), Claimed: d.claimed.Load()}
	switch {
	case s.leading:
		v.HeardAgeMs, v.LeaderAddress, v.Linked = 0, d.set.LinkAddress(), true
	case s.leader != "":
		v.Linked = s.linked
		v.HeardAgeMs, v.LeaderAddress = s.silence.Milliseconds(), d.members.others()[s.leader]
	}
	return v
}

// sendToLeader sends a call to the leader and reports whether it was sent.
func (d *Daemon) sendToLeader(c *cellpb.Call, w *waitingCall) bool {
	if l := d.leading.Load(); l != nil {
		return l.inbox.TryPush(callMsg{caller{nil, c.Id}, c, time.Now()})
	}
	link := d.members.linkToLeader()
	if link == nil {
		return false
	}
	d.entry.mu.Lock()
	w.link = link
	d.entry.mu.Unlock()
	select {
	case <-link.Done():
		return false
	default:
	}
	return link.Send(&cellpb.Frame{Calls: []*cellpb.Call{c}})
}

// Opened implements linkrpc.Handler.
func (d *Daemon) LinkOpened(l *linkrpc.Link) {
	d.members.opened(l)
	if lead := d.leading.Load(); lead != nil {
		lead.push(linkMsg{l})
	}
	d.log.WithFields(logrus.Fields{"event": "link_opened", "peer": l.PeerHello.Node, "peer_token": l.PeerHello.Token}).Info("linked to a daemon")
}

// Closed implements linkrpc.Handler.
func (d *Daemon) LinkClosed(l *linkrpc.Link) {
	d.members.closed(l)
	d.wakeElection()
	d.entry.linkClosed(l)
	if lead := d.leading.Load(); lead != nil {
		lead.push(linkLostMsg{l.PeerHello.Node})
	}
	d.log.WithFields(logrus.Fields{"event": "link_closed", "peer": l.PeerHello.Node}).Info("a link to a daemon ended")
}

// Frame implements linkrpc.Handler.
func (d *Daemon) Frame(l *linkrpc.Link, f *cellpb.Frame) {
	if f.Heartbeat != nil && d.members.heartbeat(l, f.Heartbeat) {
		d.config.offer(f.Heartbeat.Config.ToConfig(), "leader")
	}
	for _, r := range f.Replies {
		d.entry.resolve(r.Id, fromProtoReply(r))
	}
	lead := d.leading.Load()
	for _, c := range f.Calls {
		if lead == nil || !lead.inbox.TryPush(callMsg{caller{l, c.Id}, c, time.Now()}) {
			l.Send(&cellpb.Frame{Replies: []*cellpb.Reply{toProtoReply(c.Id, Reply{Verdict: verdictNotLeader})}})
		}
	}
	for _, c := range f.AdviceCalls {
		d.linked.Go(func() {
			order := c.ToAdviceOrder()
			l.Send(&cellpb.Frame{AdviceReplies: []*cellpb.AdviceReply{cellpb.FromAdviceResult(d.ask(context.Background(), order))}})
		})
	}
	if lead != nil {
		for _, r := range f.AdviceReplies {
			lead.push(advisedMsg{r.ToAdviceResult()})
		}
		if f.Report != nil {
			lead.push(reportMsg{l.PeerHello.Node, f.Report})
		}
	}
	if f.Probe {
		d.linked.Go(func() { d.probe(l) })
	}
	if f.Handover != nil && !d.members.outranked(f.Handover.Token) {
		d.handover.Store(true)
		d.wakeElection()
	}
}
