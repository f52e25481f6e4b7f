package workerclient

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/adapters/jsonhttp"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standin/workerd"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var lease = ports.Lease{Holder: "a", Term: 1}

func newWorker(tb testing.TB) (*workerd.Fleet, ports.Worker) {
	tb.Helper()
	fleet, err := workerd.NewFleet(context.Background(), workerd.FleetConfig{ID: "w", Listen: "127.0.0.1:0"})
	assert.NilError(tb, err)
	client, err := jsonhttp.New(jsonhttp.Options{})
	assert.NilError(tb, err)
	tb.Cleanup(func() { client.Close(); fleet.Close() })
	return fleet, New(client).Worker(fleet.Addr("w"))
}

// Guards against errors with a wrong kind, by which the daemon decides how to proceed, or
// without a remedy.
func TestErrorKinds(t *testing.T) {
	fleet, w := newWorker(t)
	calls := map[string]func() error{
		"acquire": func() error { _, err := w.Acquire(t.Context(), lease, time.Second, time.Second); return err },
		"release": func() error { return w.Release(t.Context(), lease) },
		"sync":    func() error { _, err := w.Sync(t.Context(), lease, time.Second, 0, 0); return err },
		"start":   func() error { _, err := w.Start(t.Context(), lease, nil); return err },
		"stop":    func() error { return w.Stop(t.Context(), lease, nil) },
	}
	check := func(want fault.Kind) {
		t.Helper()
		for name, call := range calls {
			var f *fault.Error
			assert.Assert(t, errors.As(call(), &f), name)
			assert.Equal(t, f.Kind, want, name)
			assert.Assert(t, f.Remedy != "", name)
		}
	}
	_, err := w.Acquire(t.Context(), ports.Lease{Holder: "b", Term: 1}, time.Minute, time.Minute)
	assert.NilError(t, err)
	check(fault.LeaseLost)
	fleet.Close()
	check(fault.WorkerUnavailable)
}

// Guards against fields that are lost when port types are converted to messages and back.
func TestRoundTrip(t *testing.T) {
	_, w := newWorker(t)
	_, err := w.Acquire(t.Context(), lease, time.Minute, time.Minute)
	assert.NilError(t, err)
	start := ports.StartTask{
		ID: model.TaskID{Key: "dc:a/b", Index: 3}, Attempt: 2, Service: "s",
		Size: model.Size{MilliCPU: 1, MemMB: 2, Accel: 3, Slots: 4, Conns: 5}, Payload: []byte{0, 255},
	}
	_, err = w.Start(t.Context(), lease, []ports.StartTask{start})
	assert.NilError(t, err)
	g, err := w.Acquire(t.Context(), lease, time.Minute, time.Minute)
	assert.NilError(t, err)
	assert.DeepEqual(t, g.Tasks, []model.RunningTask{{
		ID: start.ID, Attempt: 2, Service: "s", Size: start.Size, State: model.TaskRunning,
	}})
	res, err := w.Sync(t.Context(), lease, time.Minute, 0, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, res, ports.SyncResult{
		BootID: g.BootID,
		Events: []ports.TaskEvent{{Seq: 1, ID: start.ID, Attempt: 2, State: model.TaskRunning}},
		Usage:  []model.Usage{{ID: start.ID, Size: start.Size}},
	})
}

// BenchmarkSync measures a sync including the time in the stand-in worker.
func BenchmarkSync(b *testing.B) {
	_, w := newWorker(b)
	_, err := w.Acquire(b.Context(), lease, time.Minute, time.Minute)
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, err := w.Sync(b.Context(), lease, time.Minute, 0, 0)
		assert.NilError(b, err)
	}
}
