package daemon

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/settings"
	"catkinvalve/internal/telemetry"
)

// TestMain fails when goroutines outlive their daemon.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds the wait for an expected event.
const testTimeout = 5 * time.Second

// fakeLog is an in-memory log that can fail calls or lose the answers to appends.
type fakeLog struct {
	mu       sync.Mutex
	records  map[string][]ports.LogRecord
	down     bool // appends and reads fail without effect
	lostAcks bool // appends take effect, but return an error
}

func newFakeLog() *fakeLog { return &fakeLog{records: map[string][]ports.LogRecord{}} }

func (l *fakeLog) Append(_ context.Context, stream string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	unavailable := fault.New(fault.LogUnavailable, "retry", "the log does not answer")
	if l.down {
		return 0, unavailable
	}
	offset := int64(len(l.records[stream]))
	l.records[stream] = append(l.records[stream], ports.LogRecord{Offset: offset, Time: time.Now(), Data: data})
	if l.lostAcks {
		return 0, unavailable
	}
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (ports.LogPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return ports.LogPage{}, fault.New(fault.LogUnavailable, "retry", "the log does not answer")
	}
	all := l.records[stream]
	page := ports.LogPage{Next: from}
	for _, r := range all[min(int(from), len(all)):min(int(from)+limit, len(all))] {
		page.Records = append(page.Records, r)
		page.Next = r.Offset + 1
	}
	return page, nil
}

// setFailures sets which calls fail from now on.
func (l *fakeLog) setFailures(down, lostAcks bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.lostAcks = down, lostAcks
}

// appends returns the records of a stream.
func (l *fakeLog) appends(stream string) []ports.LogRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ports.LogRecord(nil), l.records[stream]...)
}

// fakeList is an empty instance list.
type fakeList struct{}

func (fakeList) Instances(context.Context) ([]ports.Instance, error) { return nil, nil }

// fakeWorker is a worker whose answers are set by the test, and the dialer that
// returns it for every address.
type fakeWorker struct {
	mu sync.Mutex
	// start answers Start; nil accepts all tasks.
	start func(ports.Lease, []ports.StartTask) ([]ports.StartRefusal, error)
	// syncErr is the error that Sync returns.
	syncErr error
	calls   []startCall
	stops   []ports.StopTask
	leases  []ports.Lease
}

type startCall struct {
	lease ports.Lease
	tasks []ports.StartTask
}

func (w *fakeWorker) Worker(string) ports.Worker { return w }

func (w *fakeWorker) Acquire(_ context.Context, l ports.Lease, _, _ time.Duration) (ports.Grant, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leases = append(w.leases, l)
	return ports.Grant{BootID: "boot"}, nil
}

func (w *fakeWorker) Release(context.Context, ports.Lease) error { return nil }

func (w *fakeWorker) Sync(ctx context.Context, _ ports.Lease, _ time.Duration, _ int64, _ time.Duration) (ports.SyncResult, error) {
	w.mu.Lock()
	err := w.syncErr
	w.mu.Unlock()
	pause.For(ctx, 10*time.Millisecond)
	return ports.SyncResult{BootID: "boot"}, err
}

func (w *fakeWorker) Start(_ context.Context, l ports.Lease, tasks []ports.StartTask) ([]ports.StartRefusal, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, startCall{l, append([]ports.StartTask(nil), tasks...)})
	if w.start == nil {
		return nil, nil
	}
	return w.start(l, tasks)
}

func (w *fakeWorker) Stop(_ context.Context, _ ports.Lease, tasks []ports.StopTask) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = append(w.stops, tasks...)
	return nil
}

func (w *fakeWorker) startCalls() []startCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]startCall(nil), w.calls...)
}

// testDaemon is a daemon whose background goroutines are not running, so that a test
// can call their functions directly.
type testDaemon struct {
	*Daemon
	t      *testing.T
	log    *fakeLog
	worker *fakeWorker
}

// newTestDaemon returns daemon d1 of data centre dc-a, which is stopped at the end of
// the test.
func newTestDaemon(t *testing.T) *testDaemon {
	t.Helper()
	set := settings.Default()
	set.DaemonID, set.DataCentre, set.Region = "d1", "dc-a", "r"
	set.Timings.LogPoll, set.Timings.RenewInterval = 20*time.Millisecond, 50*time.Millisecond
	td := &testDaemon{t: t, log: newFakeLog(), worker: &fakeWorker{}}
	var err error
	td.Daemon, err = New(set, Deps{
		Log: td.log, List: fakeList{}, Workers: td.worker, Logger: telemetry.DiscardLogger(), Registry: metrics.NewRegistry(),
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		td.cancel()
		td.group.Wait()
		assert.NilError(t, td.peers.Close())
	})
	return td
}

// nextMessage waits for the next message of type M to the owner loop, and drops
// messages of other types before it.
func nextMessage[M message](td *testDaemon) M {
	td.t.Helper()
	end := time.After(testTimeout)
	for {
		select {
		case m := <-td.controls.C():
			if out, ok := m.(M); ok {
				return out
			}
		case <-end:
			td.t.Fatalf("no %T within %s", *new(M), testTimeout)
		}
	}
}

// expectNoMessage checks that no message of type M arrives within 300 ms.
func expectNoMessage[M message](td *testDaemon) {
	td.t.Helper()
	end := time.After(300 * time.Millisecond)
	for {
		select {
		case m := <-td.controls.C():
			if _, ok := m.(M); ok {
				td.t.Fatalf("unexpected %T", m)
			}
		case <-end:
			return
		}
	}
}

// eventually waits until a condition holds, and fails the test after testTimeout.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("not within %s: %s", testTimeout, what)
}

// newTaskStart returns the first attempt to start the task of a key.
func newTaskStart(key string) scheduler.Start {
	return scheduler.Start{ID: model.TaskID{Key: key}, Attempt: 1, Service: "s", Size: model.Size{Slots: 1}}
}
