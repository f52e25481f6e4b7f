package daemon

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/scheduler"
	"catkinvalve/internal/core/split"
	"catkinvalve/internal/ring"
	"catkinvalve/internal/text"
)

// benchCore returns the core of an owner with the given number of workers, of 8 slots
// each, so that every request of the benchmark can be placed.
func benchCore(workers int) *scheduler.Core {
	now := time.Now()
	c := scheduler.New(scheduler.Config{DataCentre: "a", LeaseTTL: time.Second, TaskGrace: time.Second})
	c.ApplyConfig(now, &text.Config{
		DataCentres: []text.DataCentre{{Name: "a"}},
		Limits:      text.Limits{QueuePerTeam: 1 << 20, QueueTotal: 1 << 20},
		Teams:       []text.Team{{Name: "t", Quota: text.Quota{MilliCPU: 1 << 40, Slots: 1 << 40, Borrow: true}}},
		Services:    []text.Service{{Name: "s", Team: "t", Class: model.Interactive, Size: model.Size{MilliCPU: 1, MemMB: 1, Slots: 1}, NewPercent: 100}},
	}, split.History{})
	var listed []scheduler.ListedWorker
	for i := range workers {
		listed = append(listed, scheduler.ListedWorker{Worker: model.Worker{ID: model.WorkerID(fmt.Sprint("w", i)), Rack: fmt.Sprint("r", i/8)}})
	}
	c.SetWorkerList(now, listed)
	for _, l := range listed {
		c.HandleLeaseGranted(now, scheduler.LeaseGrant{Worker: l.Worker.ID, BootID: "b", Capacity: model.Size{MilliCPU: 32000, MemMB: 131072, Slots: 8, Conns: 64}})
	}
	c.StartServing(now, scheduler.Recovery{Term: 1, PeerSynced: true})
	return c
}

// submitRequest submits one request.
func submitRequest(c *scheduler.Core, now time.Time, key string) {
	_, _ = c.Submit(now, model.Request{Key: key, Service: "s"})
}

// finishTasks places the accepted requests and finishes every task that is started.
func finishTasks(c *scheduler.Core, now time.Time) {
	c.Schedule(now)
	for a := c.TakeActions(); !a.Empty(); a = c.TakeActions() {
		for i := range a.RecordsToReplicate {
			c.HandleReplicated(a.RecordsToReplicate[i].Request.Key, a.RecordsToReplicate[i].Version)
		}
		for w, starts := range a.Starts {
			for _, s := range starts {
				c.HandleTaskReport(now, w, scheduler.TaskReport{ID: s.ID, Attempt: s.Attempt, State: model.TaskDone, OK: true})
			}
		}
	}
}

// benchCallers is the number of goroutines that submit requests.
const benchCallers = 10

// BenchmarkOwnerLoop measures requests of concurrent callers that one goroutine
// handles in batches, as the daemon does.
func BenchmarkOwnerLoop(b *testing.B) {
	for _, workers := range []int{50, 556} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c := benchCore(workers)
			r := ring.New[string]("bench", requestRingSize, metrics.NewRegistry())
			done := make(chan struct{})
			go func() {
				defer close(done)
				var batch []string
				for n := 0; n < b.N; {
					batch = append(batch[:0], <-r.C())
					batch = r.DrainInto(batch, maxLoopBatch)
					now := time.Now()
					for _, key := range batch {
						submitRequest(c, now, key)
					}
					finishTasks(c, now)
					n += len(batch)
				}
			}()
			b.ResetTimer()
			produce(b, func(key string) { _ = r.Push(b.Context(), key) })
			<-done
		})
	}
}

// BenchmarkSharedMutex measures the alternative: each caller uses the core under a
// mutex.
func BenchmarkSharedMutex(b *testing.B) {
	for _, workers := range []int{50, 556} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c := benchCore(workers)
			var mu sync.Mutex
			b.ResetTimer()
			produce(b, func(key string) {
				mu.Lock()
				defer mu.Unlock()
				now := time.Now()
				submitRequest(c, now, key)
				finishTasks(c, now)
			})
		})
	}
}

// produce calls fn b.N times with distinct keys from benchCallers goroutines.
func produce(b *testing.B, fn func(key string)) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range benchCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				fn(fmt.Sprintf("a:%d", i))
			}
		}()
	}
	wg.Wait()
}
