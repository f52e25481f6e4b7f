package daemon

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"catkinvalve/internal/ports"
	"catkinvalve/internal/ring"
	"catkinvalve/internal/settings"
)

// leaseWorker is a fake worker that grants every lease. Its syncs block until
// unblockSync is closed, like the long polls of an idle worker.
type leaseWorker struct {
	ports.Worker
	mu sync.Mutex
	// terms lists the terms of the granted leases.
	terms       []uint64
	unblockSync chan struct{}
	// synced receives a value when Sync is called.
	synced chan struct{}
}

func (w *leaseWorker) Acquire(_ context.Context, l ports.Lease, _, _ time.Duration) (ports.Grant, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.terms = append(w.terms, l.Term)
	return ports.Grant{}, nil
}

func (w *leaseWorker) Release(context.Context, ports.Lease) error { return nil }

func (w *leaseWorker) Sync(ctx context.Context, _ ports.Lease, _ time.Duration, _ int64, _ time.Duration) (ports.SyncResult, error) {
	select {
	case w.synced <- struct{}{}:
	default:
	}
	select {
	case <-w.unblockSync:
	case <-ctx.Done():
	}
	return ports.SyncResult{}, ctx.Err()
}

// grantCount returns the number of leases granted so far.
func (w *leaseWorker) grantCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.terms)
}

// A lease of an earlier ownership with a raised term must not count as a lease of a
// new campaign with a lower term. It did, and the campaign never asked that worker.
func TestCampaignAsksAWorkerWithARaisedTerm(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &Daemon{ctx: ctx, set: settings.Default(), now: time.Now, controls: ring.New[message]("control", 64, metrics.NewRegistry())}
	w := &leaseWorker{unblockSync: make(chan struct{}), synced: make(chan struct{}, 1)}
	a := newAgent(d, "w", w)
	a.campaign(5)
	waitForSync(t, w)
	// The owner had raised the term of this worker. It steps down and campaigns
	// again while a sync is in progress.
	a.held.Store(7)
	a.requestRelease()
	a.campaign(6)
	close(w.unblockSync)
	deadline := time.Now().Add(5 * time.Second)
	for w.grantCount() < 2 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, w.grantCount(), 2, "the campaign did not ask the worker")
	cancel()
	a.done.Wait()
}

// waitForSync waits until the agent calls Sync.
func waitForSync(t *testing.T, w *leaseWorker) {
	t.Helper()
	select {
	case <-w.synced:
	case <-time.After(5 * time.Second):
		t.Fatal("the agent did not renew its lease")
	}
}
