package cell

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/ports"
)

// testCell is a cell of daemons in one process. They are connected by real links; the
// store and the workers are fakes.
type testCell struct {
	t       *testing.T
	store   *fakeStore
	workers *fakeWorkers
	daemons []*testDaemon
	// addressPrefix is the common prefix of the cell's loopback addresses. Each cell has
	// its own, so that parallel tests do not use each other's ports.
	addressPrefix string
	lastJob       atomic.Int64
	config        ports.ConfigSource
	// maxDirect is the number of workers up to which leaders call workers themselves.
	maxDirect int
}

type testDaemon struct {
	*Daemon
	storeClient *fakeStoreClient
	workerCalls *workerCalls
	stop        context.CancelFunc
	done        chan struct{}
}

// cellCount is the number of cells created in this process.
var cellCount atomic.Int64

func newTestCell(t *testing.T, daemons int) *testCell {
	c := &testCell{t: t, store: newFakeStore(), workers: newFakeWorkers("w1", "w2", "w3"),
		addressPrefix: fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, cellCount.Add(1)%250), maxDirect: maxDirectWorkers}
	c.config = fakeConfig{&ports.CellConfig{Version: 1, Routes: []ports.Route{{Host: "host", Prefix: "/q/", Queue: jobs.Queue{
		Name: "q", Service: "service", MaxAttempts: 2, Slack: 2, Target: time.Second}}}}}
	for range daemons {
		c.add()
	}
	t.Cleanup(c.stop)
	return c
}

// add starts a daemon on the next loopback address.
func (c *testCell) add() *testDaemon {
	n := len(c.daemons) + 1
	ip := fmt.Sprintf("%s.%d", c.addressPrefix, n)
	listen := func() net.Listener {
		l, err := net.Listen("tcp", ip+":0")
		assert.NilError(c.t, err)
		return l
	}
	// The daemon gets the listener of its link port, so that no other process can take
	// the port in between.
	links := listen()
	linkPort := links.Addr().(*net.TCPAddr).Port
	settings := Settings{
		Node: fmt.Sprintf("daemon-%d", n), IP: ip, DataCentre: "dc", Region: "region",
		Regions: map[model.DataCentre]string{"dc": "region"}, FirstPort: linkPort, LastPort: linkPort, CPUShare: 1,
		Bounds: Bounds{MaxLease: 10 * time.Second, StopTimeout: 400 * time.Millisecond, GangTimeout: 3 * time.Second,
			ShutdownGrace: 5 * time.Second, StatusRetention: 2 * time.Minute},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	storeClient := &fakeStoreClient{store: c.store}
	d := &testDaemon{storeClient: storeClient, workerCalls: &workerCalls{fakeWorkers: c.workers}, done: make(chan struct{})}
	d.Daemon = New(settings, Deps{Store: storeClient, Config: c.config, List: c.workers, Workers: d.workerCalls, CloseIdleConns: func() {},
		Log: logrus.NewEntry(log), Registry: metrics.NewRegistry()})
	d.maxDirectWorkers = c.maxDirect
	servers := Servers{Callers: listen(), Readiness: listen(), Links: links, Metrics: listen(),
		CallerHandler: http.NotFoundHandler(), ReadinessHandler: http.NotFoundHandler(), MetricsHandler: http.NotFoundHandler()}
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go func() {
		defer close(d.done)
		if err := d.Run(ctx, servers); err != nil {
			c.t.Errorf("%s: %v", settings.Node, err)
		}
	}()
	c.daemons = append(c.daemons, d)
	return d
}

func (c *testCell) stop() {
	for _, d := range c.daemons {
		d.stop()
	}
	for _, d := range c.daemons {
		<-d.done
	}
}

// eventually waits until f returns true and fails the test after limit.
func (c *testCell) eventually(limit time.Duration, what string, f func() bool) {
	c.t.Helper()
	for end := time.Now().Add(limit); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// leader waits for a leader other than except, which may be nil.
func (c *testCell) leader(except *testDaemon) *testDaemon {
	c.t.Helper()
	var found *testDaemon
	c.eventually(8*time.Second, "a leader", func() bool {
		for _, d := range c.daemons {
			if l := d.activeLeader.Load(); l != nil && d != except {
				found = d
				return true
			}
		}
		return false
	})
	return found
}

// submit submits a job, again while the outcome is unknown, and returns its ID and the
// last reply.
func (c *testCell) submit(d *testDaemon) (string, Reply) {
	spec := &jobs.Spec{ID: fmt.Sprintf("%016x", c.lastJob.Add(1)), Queue: "q", Steps: []jobs.Step{
		{Count: 3, Size: model.Size{MilliCPU: 1000, MemMB: 100}, Estimate: taskDuration},
		{Count: 2, Size: model.Size{MilliCPU: 1000, MemMB: 100}, Estimate: taskDuration, After: []int{0}, Gang: true},
	}}
	for {
		copied := *spec
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		reply := d.API().Submit(ctx, &copied)
		cancel()
		if reply.Verdict != VerdictUnknown {
			return spec.ID, reply
		}
	}
}

// waitForCompletion waits until a daemon reports that a job is completed.
func (c *testCell) waitForCompletion(d *testDaemon, id string) {
	c.t.Helper()
	last := Reply{}
	c.eventually(20*time.Second, "job "+id+" is completed", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		last = d.API().State(ctx, Target{Queue: "q", JobID: id})
		if last.Verdict == VerdictNoJob {
			c.t.Errorf("accepted job %s is not known", id)
			return true
		}
		return last.View == jobs.ViewCompleted
	})
}

// checkNoDoubleRuns checks that no task ran twice.
func (c *testCell) checkNoDoubleRuns() {
	c.t.Helper()
	c.workers.mu.Lock()
	defer c.workers.mu.Unlock()
	assert.Equal(c.t, len(c.workers.doubleRuns), 0, "%v", c.workers.doubleRuns)
}
