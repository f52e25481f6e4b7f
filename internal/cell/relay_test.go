package cell

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/adapters/linkrpc"
	"catkinvalve/internal/boottime"
	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
)

// newRelayedCell returns a cell whose leader makes no call to a worker itself while it has
// relays.
func newRelayedCell(t *testing.T, daemons int) *testCell {
	c := newTestCell(t, 0)
	c.maxDirect = 0
	for range daemons {
		c.add()
	}
	return c
}

// relays waits until daemons other than the leader make all its calls to workers, and
// returns these daemons.
func (c *testCell) relays(leader *testDaemon) []*testDaemon {
	c.t.Helper()
	c.eventually(5*time.Second, "other daemons call the workers", func() bool {
		before, _ := leader.workerCalls.counts()
		time.Sleep(1200 * time.Millisecond)
		after, _ := leader.workerCalls.counts()
		return after == before
	})
	var out []*testDaemon
	for _, d := range c.daemons {
		if syncs, _ := d.workerCalls.counts(); d != leader && syncs > 0 {
			out = append(out, d)
		}
	}
	return out
}

// Guards against a leader that makes all calls to the workers of a large cell itself.
func TestRelaysMakeCallsOfLeader(t *testing.T) {
	t.Parallel()
	c := newRelayedCell(t, 3)
	leader := c.leader(nil)
	assert.Assert(t, len(c.relays(leader)) > 0)
	_, before := leader.workerCalls.counts()
	for range 5 {
		id, reply := c.submit(leader)
		assert.Equal(t, reply.Verdict, VerdictOK, "%s", reply.Reason)
		c.waitForCompletion(leader, id)
	}
	_, after := leader.workerCalls.counts()
	assert.Equal(t, after, before, "the leader starts runs itself")
	c.checkNoDoubleRuns()
}

// Guards against runs that are lost or repeated when a relay stops answering with calls in
// flight and makes them seconds later.
func TestPausedRelayRepeatsNoRun(t *testing.T) {
	t.Parallel()
	c := newRelayedCell(t, 4)
	leader := c.leader(nil)
	relays := c.relays(leader)
	var ids []string
	for i := range 12 {
		if i == 4 {
			relays[0].workerCalls.setDelay(3 * time.Second)
		}
		id, reply := c.submit(leader)
		assert.Equal(t, reply.Verdict, VerdictOK, "%s", reply.Reason)
		ids = append(ids, id)
	}
	for _, id := range ids {
		c.waitForCompletion(leader, id)
	}
	time.Sleep(3 * time.Second) // the delayed calls reach the workers
	c.checkNoDoubleRuns()
}

// Guards against jobs that wait for a relay that is gone, and against runs that are
// repeated because its results were lost.
func TestStoppedRelayLosesNoJob(t *testing.T) {
	t.Parallel()
	c := newRelayedCell(t, 4)
	leader := c.leader(nil)
	relays := c.relays(leader)
	var ids []string
	for i := range 12 {
		if i == 4 {
			for _, l := range relays[0].members.peerLinks() {
				l.Close()
			}
		}
		id, reply := c.submit(leader)
		assert.Equal(t, reply.Verdict, VerdictOK, "%s", reply.Reason)
		ids = append(ids, id)
	}
	for _, id := range ids {
		c.waitForCompletion(leader, id)
	}
	c.checkNoDoubleRuns()
}

// relayBench is a daemon that is a relay for a test, which takes the place of the leader.
type relayBench struct {
	t       *testing.T
	daemon  *Daemon
	calls   *workerCalls
	link    *linkrpc.Link
	results chan *cellpb.WorkerResults
}

// View implements linkrpc.Viewer.
func (b *relayBench) View(*cellpb.ViewRequest) *cellpb.ViewResponse {
	return &cellpb.ViewResponse{Node: "leader"}
}

// LinkOpened implements linkrpc.Handler.
func (b *relayBench) LinkOpened(*linkrpc.Link) {}

// LinkClosed implements linkrpc.Handler.
func (b *relayBench) LinkClosed(*linkrpc.Link) {}

// Frame implements linkrpc.Handler.
func (b *relayBench) Frame(_ *linkrpc.Link, f *cellpb.Frame) {
	for _, r := range f.WorkerResults {
		b.results <- r
	}
}

func newRelayBench(t *testing.T) *relayBench {
	workers := newFakeWorkers("w1")
	b := &relayBench{t: t, calls: &workerCalls{fakeWorkers: workers}, results: make(chan *cellpb.WorkerResults, 10)}
	log := logrus.NewEntry(logrus.New())
	b.daemon = New(Settings{Node: "relay"}, Deps{Workers: b.calls, Log: log, Registry: metrics.NewRegistry()})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		assert.Check(t, b.daemon.transport.Serve(ctx, l))
	}()
	transport := &linkrpc.Transport{Hello: func() *cellpb.Hello { return &cellpb.Hello{Node: "leader"} }, Handler: b, Viewer: b, Registry: metrics.NewRegistry(), Log: log}
	b.link, err = transport.Dial(ctx, l.Addr().String(), &b.daemon.linkGoroutines)
	assert.NilError(t, err)
	t.Cleanup(func() {
		b.link.Close()
		cancel()
		<-served
		b.daemon.linkGoroutines.Wait()
	})
	return b
}

// start sends the start of a run, which was sent delay ago, and returns its status.
func (b *relayBench) start(token uint64, run int64, delay time.Duration) jobs.CallStatus {
	b.t.Helper()
	group := &cellpb.WorkerCalls{Token: token, SentMs: (boottime.Now() - delay).Milliseconds()}
	group.AddStart(7, &jobs.StartRequest{Worker: "w1", Task: jobs.TaskRef{Job: "j"}, Run: run, LeaseDeadlineMs: 1 << 40, Timeout: time.Second})
	assert.Assert(b.t, b.link.Send(&cellpb.Frame{WorkerCalls: []*cellpb.WorkerCalls{group}}))
	select {
	case r := <-b.results:
		assert.Equal(b.t, len(r.Calls), 1)
		assert.Equal(b.t, r.Calls[0].Id, uint64(7))
		return r.Calls[0].CallStatus()
	case <-time.After(5 * time.Second):
		b.t.Fatal("no result from the relay")
	}
	return jobs.CallNoAnswer
}

// Guards against a relay that still makes calls for a leader after it has heard of a later
// one, or after a worker refused the leader's token.
func TestRelayServesOnlyLatestLeader(t *testing.T) {
	b := newRelayBench(t)
	assert.Equal(t, b.start(5, 1, 0), jobs.CallOK)
	b.daemon.members.observeToken(6)
	assert.Equal(t, b.start(5, 2, 0), jobs.CallFenced)
	_, starts := b.calls.counts()
	assert.Equal(t, starts, 1)

	b = newRelayBench(t)
	b.calls.workers["w1"].token = 9
	assert.Equal(t, b.start(8, 1, 0), jobs.CallFenced)
	assert.Equal(t, b.start(8, 1, 0), jobs.CallFenced)
	_, starts = b.calls.counts()
	assert.Equal(t, starts, 1, "the relay calls a worker again with a refused token")
}

// Guards against a relay that was paused and then makes calls that the leader has given up.
func TestRelayMakesNoDelayedCall(t *testing.T) {
	b := newRelayBench(t)
	assert.Equal(t, b.start(5, 1, 0), jobs.CallOK)
	assert.Equal(t, b.start(5, 2, maxCallAge+100*time.Millisecond), jobs.CallNotSent)
	_, starts := b.calls.counts()
	assert.Equal(t, starts, 1)
	assert.Equal(t, b.start(5, 2, 0), jobs.CallOK)
}

// Guards against a relay that fails on a malformed group of calls.
func TestRelayAnswersMalformedCalls(t *testing.T) {
	b := newRelayBench(t)
	group := &cellpb.WorkerCalls{Token: 1, SentMs: boottime.Now().Milliseconds(), Starts: []*cellpb.StartCall{{Payload: 3}},
		Stops: []*cellpb.StopCall{{Target: &cellpb.CallTarget{Worker: "w1"}}}}
	assert.Assert(t, b.link.Send(&cellpb.Frame{WorkerCalls: []*cellpb.WorkerCalls{group}}))
	answered := 0
	for answered < 2 {
		select {
		case r := <-b.results:
			answered += len(r.Calls)
		case <-time.After(5 * time.Second):
			t.Fatal("no result from the relay")
		}
	}
}

// Guards against delays that are misjudged because the clocks of two daemons run at
// slightly different speeds.
func TestLinkDelayFollowsClockDrift(t *testing.T) {
	var d linkDelay
	for now := time.Duration(0); now < 100*time.Second; now += 100 * time.Millisecond {
		drift := now / 50
		assert.Assert(t, d.observe(now, time.Hour+drift) < 250*time.Millisecond, "at %v", now)
	}
	assert.Equal(t, d.observe(100*time.Second, time.Hour+2*time.Second+3*time.Second) > maxCallAge, true)
}

// Guards against results of calls whose kinds or statuses this build does not know.
func TestUnknownResultsCountAsNoAnswer(t *testing.T) {
	report := &cellpb.SyncReport{Status: uint32(jobs.CallOK), Ends: []*cellpb.RunEnd{{Kind: 77}}}
	assert.Equal(t, report.ToResult(model.WorkerID("w1"), time.Now()).Status, jobs.CallNoAnswer)
	assert.Equal(t, (&cellpb.CallResult{Status: 99}).CallStatus(), jobs.CallNoAnswer)
}
